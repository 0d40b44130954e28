/* What a backend server says of itself in the head of any of its answers: to a request,
 * a health check, an order, or the release of a prompt's result.
 */
#ifndef REQUEST_SERVER_NOTICE_H
#define REQUEST_SERVER_NOTICE_H

#include "request/relay.h"

void server_notice_mark_leaving(relay_t *relay, server_t *server,
				const char *call);
void server_notice_record(relay_t *relay, server_t *server, unsigned status,
			  const response_fields_t *fields, const char *call);
void server_notice_read(relay_t *relay, server_t *server,
			const http_head_t *head, const char *call);

#endif
