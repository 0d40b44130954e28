#include "process/decide/peer_choice.h"

/* A VM that has announced nothing for this many intervals is not asked. */
#define MAX_SILENT_REPEATS 2

/* Records that a request was passed on to a VM. */
void peer_tries_add(peer_tries_t *tries, const char *vm)
{
	if (tries->n < PEER_TRIES_MAX)
		tries->vms[tries->n++] = g_strdup(vm);
}

/* Frees the names. */
void peer_tries_finish(peer_tries_t *tries)
{
	for (unsigned i = 0; i < tries->n; i++)
		g_free(tries->vms[i]);
	tries->n = 0;
}

static bool was_tried(const peer_tries_t *tries, const char *vm)
{
	for (unsigned i = 0; i < tries->n; i++) {
		if (g_str_equal(tries->vms[i], vm))
			return true;
	}
	return false;
}

/* Returns whether a VM has announced that it suspects a server. */
static bool suspects(const occupancy_peer_t *peer, const char *server)
{
	for (guint i = 0; i < peer->suspects->len; i++) {
		if (g_str_equal(g_ptr_array_index(peer->suspects, i), server))
			return true;
	}
	return false;
}

/* Returns whether a VM reaches a service, as far as it has announced: of each
 * stage at least one server that takes work is not silent for it. A VM that
 * announces as many silent servers as an announcement holds is likely cut off.
 */
bool peer_reaches(const occupancy_peer_t *peer, const server_set_t *servers,
		  const char *service)
{
	bool has_servers[STAGES_N] = {false};
	bool has_reached[STAGES_N] = {false};
	bool any = false;
	GHashTableIter iter;
	gpointer value;

	if (peer->suspects->len >= OCCUPANCY_MAX_SUSPECTS)
		return false;
	g_hash_table_iter_init(&iter, servers->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const server_t *server = value;
		stage_t stage = server->entry.stage;

		if (!g_str_equal(server->entry.service, service) ||
		    !server_takes_work(server))
			continue;
		any = true;
		has_servers[stage] = true;
		if (!has_reached[stage])
			has_reached[stage] = !suspects(peer, server->entry.id);
	}
	for (int stage = 0; stage < STAGES_N; stage++) {
		if (has_servers[stage] && !has_reached[stage])
			return false;
	}
	return any;
}

/* Returns whether a VM has fewer requests from this VM than another one, or was
 * passed one longer ago.
 */
static bool is_less_used(const occupancy_peer_t *peer,
			 const occupancy_peer_t *other)
{
	if (peer->passed_on != other->passed_on)
		return peer->passed_on < other->passed_on;
	return peer->passed_on_us < other->passed_on_us;
}

/* Returns the VM to ask: of those that are alive, reach the service and were not
 * tried, the one that this VM uses least. NULL when there is none; borrowed.
 */
occupancy_peer_t *peer_choose(const occupancy_t *occupancy,
			      const server_set_t *servers, const char *service,
			      const peer_tries_t *tries, int64_t now_us)
{
	unsigned vms = g_hash_table_size(occupancy->peers);
	int64_t max_silent_us = MAX_SILENT_REPEATS * occupancy_repeat_us(vms);
	occupancy_peer_t *best = NULL;
	GHashTableIter iter;
	gpointer value;

	if (tries->n >= PEER_TRIES_MAX)
		return NULL;
	g_hash_table_iter_init(&iter, occupancy->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		occupancy_peer_t *peer = value;

		if (now_us - peer->received_us <= max_silent_us &&
		    !was_tried(tries, peer->vm) &&
		    (!best || is_less_used(peer, best)) &&
		    peer_reaches(peer, servers, service))
			best = peer;
	}
	return best;
}
