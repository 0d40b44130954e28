/* Functions shared by rpc.c, which has the socket and the calls that this
 * process makes, and rpc_serve.c, which serves the calls that it receives.
 */
#ifndef CONNECTION_RPC_SERVE_H
#define CONNECTION_RPC_SERVE_H

#include "connection/rpc.h"

void rpc_fill_sender(rpc_t *rpc, wire_sender_t *sender);
void rpc_send_datagram(rpc_t *rpc, GSocketAddress *destination,
		       const void *data, size_t len);
void rpc_count_dropped(wire_status_t status, const char *address);
void rpc_receive_call(rpc_t *rpc, const char *address, str_t datagram);

#endif
