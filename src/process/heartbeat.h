/* Conversion of heartbeats between the membership and the RPC messages. */
#ifndef PROCESS_HEARTBEAT_H
#define PROCESS_HEARTBEAT_H

#include "connection/wire.h"
#include "process/member.h"

bool heartbeat_encode(const member_message_t *message, wire_buffer_t *body);
bool heartbeat_decode(str_t body, member_message_t *message);
bool heartbeat_encode_ping_req(const member_action_t *action, int64_t now_us,
			       const member_message_t *message,
			       wire_buffer_t *body);
void heartbeat_from_ping(const peer_ping *ping, member_message_t *message);

#endif
