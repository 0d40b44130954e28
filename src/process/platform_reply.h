/* Parses the responses of the platform. */
#ifndef PROCESS_PLATFORM_REPLY_H
#define PROCESS_PLATFORM_REPLY_H

#include "process/platform.h"

platform_outcome_t platform_reply_outcome(const client_response_t *response);
bool platform_reply_version(const client_response_t *response,
			    uint64_t *version);
GArray *platform_reply_rows(GBytes *body);
GArray *platform_reply_vms(GBytes *body);

#endif
