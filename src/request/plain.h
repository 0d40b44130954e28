/* One call to a plain service, forwarded as a whole. */
#ifndef REQUEST_PLAIN_H
#define REQUEST_PLAIN_H

#include "connection/reply.h"
#include "process/router.h"

void plain_start(router_t *router, SoupServerMessage *message, str_t path);

#endif
