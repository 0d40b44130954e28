/* The release of a prefill result that no decode engine will fetch, at the engine that holds
 * it.
 */
#ifndef REQUEST_PREFILL_RELEASE_H
#define REQUEST_PREFILL_RELEASE_H

#include "request/relay.h"

void prefill_release_start(relay_t *relay, server_t *server, const char *source,
			   const char *handle);
void prefill_releases_cancel(relay_t *relay);

#endif
