/* A request that this VM passes on to another VM, as it does not reach the
 * request's service itself. The other VM sends it to a backend server; its
 * answer goes to the caller unchanged.
 */
#ifndef REQUEST_PEER_CALL_H
#define REQUEST_PEER_CALL_H

#include "request/relay.h"

bool peer_call_start(const relay_request_t *request);

#endif
