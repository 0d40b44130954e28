/* One call to a plain service, forwarded as a whole. */
#ifndef REQUEST_FORWARD_H
#define REQUEST_FORWARD_H

#include "connection/reply.h"
#include "process/router.h"

void forward_start(router_t *router, SoupServerMessage *message, str_t path);

#endif
