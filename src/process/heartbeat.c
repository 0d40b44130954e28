#include "process/heartbeat.h"

#include "connection/rpc.h"

/* The two enumerations have the same values. */
G_STATIC_ASSERT((int)MEMBER_LEFT == (int)PEER_LEFT);
G_STATIC_ASSERT((int)MEMBER_SUSPECT == (int)PEER_SUSPECT);
G_STATIC_ASSERT(MEMBER_UPDATES_MAX <= PEER_UPDATES_MAX);
G_STATIC_ASSERT(MEMBER_NAME_SIZE == PEER_NAME_MAX + 1);
G_STATIC_ASSERT(MEMBER_ADDRESS_SIZE == PEER_ADDRESS_MAX + 1);

static peer_update to_update(const member_info_t *info)
{
	return (peer_update){
		.vm = (char *)info->vm,
		.zone = (char *)info->zone,
		.address = (char *)info->address,
		.incarnation = info->incarnation,
		.refutation = info->refutation,
		.state = (peer_state)info->state,
	};
}

static member_info_t from_update(const peer_update *update)
{
	member_info_t info = {
		.incarnation = update->incarnation,
		.refutation = update->refutation,
		.state = (member_state_t)update->state,
	};

	g_strlcpy(info.vm, update->vm, sizeof(info.vm));
	g_strlcpy(info.zone, update->zone, sizeof(info.zone));
	g_strlcpy(info.address, update->address, sizeof(info.address));
	return info;
}

/* Borrows the strings of the message and the given updates. */
static peer_ping to_ping(const member_message_t *message, peer_update *updates,
			 size_t n)
{
	peer_ping ping = {
		.self = to_update(&message->self),
		.config_version = message->config_version,
		.updates = {(u_int)n, updates},
	};

	memcpy(ping.manifest, message->manifest, sizeof(ping.manifest));
	for (size_t i = 0; i < n; i++)
		updates[i] = to_update(&message->updates[i]);
	return ping;
}

/* Encodes a heartbeat; updates that do not fit because of long names are left
 * out. Returns false when not even the sender fits.
 */
bool heartbeat_encode(const member_message_t *message, wire_buffer_t *body)
{
	peer_update updates[MEMBER_UPDATES_MAX];
	size_t n = message->n_updates;

	for (;;) {
		peer_ping ping = to_ping(message, updates, n);

		if (rpc_encode(peer_ping, &ping, body))
			return true;
		if (n-- == 0)
			return false;
	}
}

/* Converts a decoded heartbeat. */
void heartbeat_from_ping(const peer_ping *ping, member_message_t *message)
{
	message->self = from_update(&ping->self);
	message->config_version = ping->config_version;
	memcpy(message->manifest, ping->manifest, sizeof(message->manifest));
	message->n_updates = MIN(ping->updates.updates_len, MEMBER_UPDATES_MAX);
	for (size_t i = 0; i < message->n_updates; i++)
		message->updates[i] =
			from_update(&ping->updates.updates_val[i]);
}

/* Decodes a heartbeat; returns false when it is malformed. */
bool heartbeat_decode(str_t body, member_message_t *message)
{
	peer_ping ping;
	bool ok = rpc_decode(peer_ping, body, &ping);

	if (ok)
		heartbeat_from_ping(&ping, message);
	rpc_free(peer_ping, &ping);
	return ok;
}

/*
 * Encodes the request to probe another member. The wait ends before the
 * deadline of the request, so that a negative answer still arrives.
 */
bool heartbeat_encode_ping_req(const member_action_t *action, int64_t now_us,
			       const member_message_t *message,
			       wire_buffer_t *body)
{
	peer_update updates[MEMBER_UPDATES_MAX];
	int64_t wait_us = (action->deadline_us - now_us) * 2 / 3;
	size_t n = message->n_updates;

	for (;;) {
		peer_ping_req request = {
			.vm = (char *)action->vm,
			.address = (char *)action->target,
			.timeout_ms = (u_int)MAX(wait_us / CLOCK_US_PER_MS, 1),
			.ping = to_ping(message, updates, n),
		};

		if (rpc_encode(peer_ping_req, &request, body))
			return true;
		if (n-- == 0)
			return false;
	}
}
