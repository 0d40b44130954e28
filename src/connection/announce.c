#include "connection/announce.h"

#include "connection/address.h"
#include "process/decide/zone_forwarders.h"
#include "process/log.h"

#define MAX_DATAGRAM_BYTES 8192

/* Most peers, five times as many as the largest deployments have. */
#define MAX_PEERS 4096

/* Delay of an announcement, so that it holds all changes made meanwhile. */
#define SEND_DELAY_US (1 * CLOCK_US_PER_MS)

/* Interval of announcements that hold the observations of services. These
 * change slowly, and the others are sent at each change of the use of servers.
 */
#define WORKLOADS_INTERVAL_US (300 * CLOCK_US_PER_MS)

/* Shortest interval of announcements to a silent peer. */
#define SILENT_PEER_INTERVAL_US (2 * CLOCK_US_PER_S)
/* Time without announcements after which a peer may count as silent. It starts
 * when the peer is added.
 */
#define SILENT_AFTER_US (5 * CLOCK_US_PER_S)

/* A VM that receives announcements from fewer than one in this many peers is
 * likely cut off.
 */
#define MIN_LIVE_DIVISOR 8

/* A VM that was not heard for longer than this many repeats is not asked to forward
 * announcements.
 */
#define FORWARDER_SILENT_REPEATS 2

/* Another entry VM. */
typedef struct {
	char *vm;
	GSocketAddress *address;
	char *address_text; /* "IP:port" */
	int64_t added_us; /* time when it was added or its address set */
	int64_t sent_us; /* time of the last announcement to it */
} announce_peer_t;

static void free_peer(gpointer data)
{
	announce_peer_t *peer = data;

	g_free(peer->vm);
	g_free(peer->address_text);
	g_object_unref(peer->address);
	g_free(peer);
}

/* Returns the time since the last announcement from a peer, or since the peer
 * was added if that is later.
 */
static int64_t silent_for_us(const announce_t *announce,
			     const announce_peer_t *peer, int64_t now_us)
{
	const occupancy_peer_t *known =
		g_hash_table_lookup(announce->occupancy->peers, peer->vm);
	int64_t received_us = known ? known->received_us : peer->added_us;

	return now_us - MAX(received_us, peer->added_us);
}

/* Returns whether a peer has been silent for so long that it has likely failed.
 */
static bool is_silent(const announce_t *announce, const announce_peer_t *peer,
		      int64_t now_us)
{
	return silent_for_us(announce, peer, now_us) >
	       MAX(SILENT_AFTER_US, 2 * announce->occupancy->peer_ttl_us);
}

/* Sends an announcement to one peer, unless that is silent and was sent one not
 * long ago. The next announcement makes up for a lost one.
 */
static void send_to_peer(announce_t *announce, announce_peer_t *peer,
			 const char *data, size_t len, int64_t now_us)
{
	if (is_silent(announce, peer, now_us) &&
	    now_us - peer->sent_us < SILENT_PEER_INTERVAL_US)
		return;
	peer->sent_us = now_us;
	(void)g_socket_send_to(announce->socket, peer->address, data, len, NULL,
			       NULL);
	announce->sent++;
}

/* Returns the zone in which a peer forwards announcements; empty: in none. */
static const char *forwarding_zone(const announce_t *announce,
				   const announce_peer_t *peer)
{
	const occupancy_peer_t *known =
		g_hash_table_lookup(announce->occupancy->peers, peer->vm);

	return known ? known->zone : "";
}

/* Forwards another VM's announcement to the peers of the own zone. */
static void forward(announce_t *announce, char *data, size_t len,
		    int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	announce_ask_to_forward(data, false);
	g_hash_table_iter_init(&iter, announce->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		announce_peer_t *peer = value;

		if (!g_str_equal(forwarding_zone(announce, peer),
				 announce->zone))
			continue;
		send_to_peer(announce, peer, data, len, now_us);
		announce->forwarded++;
	}
}

/* Reads all datagrams that have arrived. */
static gboolean on_readable(GSocket *socket, GIOCondition condition,
			    gpointer data)
{
	announce_t *announce = data;
	char buffer[MAX_DATAGRAM_BYTES];
	bool any_accepted = false;
	gssize n;

	while ((n = g_socket_receive_from(socket, NULL, buffer, sizeof(buffer),
					  NULL, NULL)) >= 0) {
		int64_t now_us = clock_now(&announce->clock);

		announce->received++;
		if (!announce_decode(announce->occupancy, buffer, (size_t)n,
				     now_us)) {
			announce->malformed++;
			continue;
		}
		any_accepted = true;
		if (announce_asks_to_forward(buffer, (size_t)n))
			forward(announce, buffer, (size_t)n, now_us);
	}
	if (any_accepted && announce->on_announcement)
		announce->on_announcement(announce->context);
	return G_SOURCE_CONTINUE;
}

/* Returns whether a peer's process has just started. */
static bool is_new(const announce_t *announce, const char *vm, int64_t now_us)
{
	const int64_t *until_us = g_hash_table_lookup(announce->new_until, vm);

	return until_us && now_us < *until_us;
}

/* Sends an announcement to the peers that have just started, with the streams of all
 * VMs.
 */
static void send_to_new_peers(announce_t *announce, int64_t now_us)
{
	char buffer[MAX_DATAGRAM_BYTES];
	GHashTableIter iter;
	gpointer value;
	size_t len;

	if (!announce_encode(announce, announce->occupancy->all_origins, now_us,
			     buffer, sizeof(buffer), &len))
		return;
	g_hash_table_iter_init(&iter, announce->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		announce_peer_t *peer = value;

		if (is_new(announce, peer->vm, now_us))
			send_to_peer(announce, peer, buffer, len, now_us);
	}
}

/* Returns how a peer can take part in the spread of an announcement. One that may not
 * get what is forwarded, as it is silent, gets it from this VM.
 */
static zone_peer_t zone_peer(const announce_t *announce,
			     const announce_peer_t *peer, int64_t now_us)
{
	int64_t max_silent_us =
		FORWARDER_SILENT_REPEATS *
		occupancy_repeat_us(g_hash_table_size(announce->peers));

	return (zone_peer_t){
		.zone = is_silent(announce, peer, now_us)
				? ""
				: forwarding_zone(announce, peer),
		.heard = silent_for_us(announce, peer, now_us) <= max_silent_us,
	};
}

/* Sends an encoded announcement to all peers but those that have just started. */
static void spread(announce_t *announce, char *data, size_t len, int64_t now_us)
{
	guint n_peers = g_hash_table_size(announce->peers);
	announce_peer_t **targets = g_new(announce_peer_t *, n_peers);
	zone_peer_t *peers = g_new(zone_peer_t, n_peers);
	zone_send_t *sends = g_new(zone_send_t, n_peers);
	GHashTableIter iter;
	gpointer value;
	size_t n = 0;

	g_hash_table_iter_init(&iter, announce->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		targets[n] = value;
		if (is_new(announce, targets[n]->vm, now_us))
			continue;
		peers[n] = zone_peer(announce, targets[n], now_us);
		n++;
	}
	zone_forwarders_choose(announce->zone, peers, n,
			       announce->sequence + g_str_hash(announce->vm),
			       sends);
	for (size_t i = 0; i < n; i++) {
		if (sends[i] == ZONE_FORWARDED)
			continue;
		announce_ask_to_forward(data, sends[i] == ZONE_SEND_TO_FORWARD);
		send_to_peer(announce, targets[i], data, len, now_us);
	}
	g_free(targets);
	g_free(peers);
	g_free(sends);
}

/* Sends an announcement to all peers but those that have just started. */
static void send_to_peers(announce_t *announce, int64_t now_us)
{
	char buffer[MAX_DATAGRAM_BYTES];
	size_t len;

	if (announce_encode(announce, announce->occupancy->origins, now_us,
			    buffer, sizeof(buffer), &len))
		spread(announce, buffer, len, now_us);
}

/* Sends an announcement to the peers and sets the time of the next one. */
static void on_next_send(void *context)
{
	announce_t *announce = context;
	int64_t now_us = clock_now(&announce->clock);

	alarm_set(&announce->next_send,
		  now_us + occupancy_repeat_us(
				   g_hash_table_size(announce->peers)));
	announce->sequence++;
	send_to_peers(announce, now_us);
	if (now_us < announce->new_peers_until_us)
		send_to_new_peers(announce, now_us);
	else
		g_hash_table_remove_all(announce->new_until);
	if (now_us >= announce->workloads_at_us)
		announce->workloads_at_us = now_us + WORKLOADS_INTERVAL_US;
}

/* Opens the socket on `address` ("IP:port") and schedules the first
 * announcement. Returns false if the address is malformed or cannot be bound;
 * announce_finish() is to be called either way. `vm` and `occupancy` are
 * borrowed.
 */
bool announce_init(announce_t *announce, const char *address,
		   clock_source_t clock, const char *vm, uint64_t incarnation,
		   occupancy_t *occupancy)
{
	GSocketAddress *own = address_parse(address);

	*announce = (announce_t){
		.vm = vm,
		.zone = "",
		.incarnation = incarnation,
		.clock = clock,
		.occupancy = occupancy,
		.peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       free_peer),
		.new_until = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, g_free),
	};
	if (own)
		announce->socket = g_socket_new(
			g_socket_address_get_family(own),
			G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, NULL);
	if (!announce->socket ||
	    !g_socket_bind(announce->socket, own, TRUE, NULL)) {
		g_clear_object(&own);
		return false;
	}
	g_object_unref(own);
	g_socket_set_blocking(announce->socket, FALSE);
	announce->source =
		g_socket_create_source(announce->socket, G_IO_IN, NULL);
	g_source_set_callback(announce->source, G_SOURCE_FUNC(on_readable),
			      announce, NULL);
	g_source_attach(announce->source, g_main_context_get_thread_default());
	alarm_init(&announce->next_send, clock, on_next_send, announce);
	alarm_set(&announce->next_send, clock_now(&clock) + SEND_DELAY_US);
	return true;
}

/* Closes the socket and frees the peers. */
void announce_finish(announce_t *announce)
{
	if (announce->source) {
		g_source_destroy(announce->source);
		g_source_unref(announce->source);
		alarm_finish(&announce->next_send);
	}
	g_clear_object(&announce->socket);
	g_clear_pointer(&announce->peers, g_hash_table_unref);
	g_clear_pointer(&announce->new_until, g_hash_table_unref);
}

/* Returns whether there is room for a peer. Logs the first one that has none. */
static bool has_room(announce_t *announce, const char *vm)
{
	guint n_peers = g_hash_table_size(announce->peers);

	if (n_peers < MAX_PEERS || g_hash_table_contains(announce->peers, vm))
		return true;
	if (!announce->full)
		log_event(LOG_ERROR, "too_many_vms", LOG_CSTR("peer", vm),
			  LOG_UINT("peers", n_peers));
	announce->full = true;
	return false;
}

/* Adds a peer, or changes its address. Ignores this VM itself, a malformed address, and one
 * peer more than there is room for.
 */
void announce_set_peer(announce_t *announce, const char *vm,
		       const char *address)
{
	GSocketAddress *parsed;
	announce_peer_t *peer;

	if (g_str_equal(vm, announce->vm) || !has_room(announce, vm))
		return;
	parsed = address_parse(address);
	if (!parsed)
		return;
	peer = g_new0(announce_peer_t, 1);
	peer->vm = g_strdup(vm);
	peer->address = parsed;
	peer->address_text = g_strdup(address);
	peer->added_us = clock_now(&announce->clock);
	g_hash_table_replace(announce->peers, peer->vm, peer);
	occupancy_set_peers(announce->occupancy,
			    g_hash_table_size(announce->peers));
	announce_schedule(announce);
}

/* Returns the address of a peer, "IP:port", borrowed, or NULL if it is not known.
 */
const char *announce_peer_address(const announce_t *announce, const char *vm)
{
	const announce_peer_t *peer = g_hash_table_lookup(announce->peers, vm);

	return peer ? peer->address_text : NULL;
}

/* Removes a peer. */
void announce_remove_peer(announce_t *announce, const char *vm)
{
	g_hash_table_remove(announce->peers, vm);
	announce->full = false;
	occupancy_set_peers(announce->occupancy,
			    g_hash_table_size(announce->peers));
}

/* Returns the name of the peer that has been silent for longest, borrowed, or
 * NULL if none has been silent for more than `min_silent_us`. Also returns NULL
 * if few peers announce themselves, because this VM is then likely cut off itself.
 */
const char *announce_longest_silent_peer(const announce_t *announce,
					 int64_t now_us, int64_t min_silent_us)
{
	const char *longest_silent = NULL;
	unsigned live = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, announce->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const announce_peer_t *peer = value;
		int64_t silent = silent_for_us(announce, peer, now_us);

		live += silent < SILENT_AFTER_US ? 1 : 0;
		if (silent > min_silent_us) {
			min_silent_us = silent;
			longest_silent = peer->vm;
		}
	}
	return live * MIN_LIVE_DIVISOR < g_hash_table_size(announce->peers)
		       ? NULL
		       : longest_silent;
}

/* Lets announcements to a peer hold the streams of all VMs until a time, as its
 * process has just started. Its row may be read later, or again.
 */
void announce_set_new_until(announce_t *announce, const char *vm,
			    int64_t until_us)
{
	g_hash_table_replace(announce->new_until, g_strdup(vm),
			     g_memdup2(&until_us, sizeof(until_us)));
	announce->new_peers_until_us =
		MAX(announce->new_peers_until_us, until_us);
}

/* Schedules an announcement of a change, within SEND_DELAY_US. */
void announce_schedule(announce_t *announce)
{
	int64_t at_us = clock_now(&announce->clock) + SEND_DELAY_US;

	if (announce->next_send.at_us > at_us)
		alarm_set(&announce->next_send, at_us);
}

/* Schedules an announcement that also holds what changes slowly. */
void announce_schedule_whole(announce_t *announce)
{
	announce->workloads_at_us = 0;
	announce_schedule(announce);
}
