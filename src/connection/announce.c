#include "connection/announce.h"

#include <rpc/rpc.h>

#include "connection/address.h"

/* ONC RPC numbers of the one-way call. The program number is from the range
 * that RFC 5531 leaves to users.
 */
#define ANNOUNCE_PROGRAM 0x20a00b02
#define ANNOUNCE_VERSION 2
#define ANNOUNCE_PROCEDURE 1

#define MAX_DATAGRAM_BYTES 8192
#define MAX_SERVERS 256 /* in one announcement */

/* Upper bound for each count of one server's use. No router gets near it, and
 * sums over all routers stay far from overflow.
 */
#define MAX_USE (INT64_C(1) << 40)

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

/* A VM that hears from fewer than one in this many peers is likely cut off. */
#define MIN_HEARD_DIVISOR 8

/* Another entry VM. */
typedef struct {
	char *vm;
	GSocketAddress *address;
	int64_t added_us; /* time when it was added or its address set */
	int64_t sent_us; /* time of the last announcement to it */
} announce_peer_t;

static void free_peer(gpointer data)
{
	announce_peer_t *peer = data;

	g_free(peer->vm);
	g_object_unref(peer->address);
	g_free(peer);
}

/* Encodes or decodes the header of the RPC call, without credentials. Like all
 * functions xdr_...(), it works in the direction of the stream and returns
 * false if that fails.
 */
static bool xdr_call_header(XDR *xdrs, struct rpc_msg *call, uint32_t xid)
{
	static char credentials[2][MAX_AUTH_BYTES];

	memset(call, 0, sizeof(*call));
	call->rm_xid = xid;
	call->rm_direction = CALL;
	call->rm_call.cb_rpcvers = RPC_MSG_VERSION;
	call->rm_call.cb_prog = ANNOUNCE_PROGRAM;
	call->rm_call.cb_vers = ANNOUNCE_VERSION;
	call->rm_call.cb_proc = ANNOUNCE_PROCEDURE;
	call->rm_call.cb_cred.oa_base = credentials[0];
	call->rm_call.cb_verf.oa_base = credentials[1];
	return xdr_callmsg(xdrs, call);
}

/* Encodes or decodes a name. To decode, `name` must have room for
 * OCCUPANCY_NAME_BYTES and a null byte.
 */
static bool xdr_name(XDR *xdrs, char *name)
{
	return xdr_string(xdrs, &name, OCCUPANCY_NAME_BYTES);
}

static bool xdr_use(XDR *xdrs, char *server, occupancy_use_t *use)
{
	return xdr_name(xdrs, server) && xdr_int64_t(xdrs, &use->streams) &&
	       xdr_int64_t(xdrs, &use->kv_tokens) &&
	       xdr_int64_t(xdrs, &use->prefill_tokens);
}

/* Encodes or decodes a deadline, as the time left in ms, because clocks of VMs
 * differ.
 */
static bool xdr_time_left(XDR *xdrs, int64_t *at_us, int64_t now_us)
{
	int32_t left_ms = (int32_t)CLAMP((*at_us - now_us) / CLOCK_US_PER_MS,
					 INT32_MIN, INT32_MAX);

	if (!xdr_int32_t(xdrs, &left_ms))
		return false;
	*at_us = now_us + left_ms * CLOCK_US_PER_MS;
	return true;
}

static bool xdr_claim(XDR *xdrs, occupancy_urgency_t *claim, int64_t now_us)
{
	bool_t late = claim->late;

	if (!xdr_bool(xdrs, &late) ||
	    !xdr_time_left(xdrs, &claim->due_us, now_us))
		return false;
	claim->late = late;
	return true;
}

/* Encodes or decodes a rate, as an integer in thousandths per second. */
static bool xdr_rate(XDR *xdrs, double *per_s)
{
	uint32_t per_ks = (uint32_t)CLAMP(*per_s * 1000, 0, UINT32_MAX);

	if (!xdr_uint32_t(xdrs, &per_ks))
		return false;
	*per_s = per_ks / 1000.0;
	return true;
}

/* Encodes the use of at most MAX_SERVERS servers. */
static bool encode_uses(XDR *xdrs, GHashTable *own)
{
	uint32_t n = MIN(g_hash_table_size(own), MAX_SERVERS);
	GHashTableIter iter;
	gpointer server, use;

	if (!xdr_uint32_t(xdrs, &n))
		return false;
	g_hash_table_iter_init(&iter, own);
	while (n-- > 0 && g_hash_table_iter_next(&iter, &server, &use)) {
		if (!xdr_use(xdrs, server, use))
			return false;
	}
	return true;
}

/* Encodes the first OCCUPANCY_MAX_WAITERS waiting requests. */
static bool encode_claims(XDR *xdrs, const GArray *waiters, int64_t now_us)
{
	uint32_t n = MIN(waiters->len, OCCUPANCY_MAX_WAITERS);

	if (!xdr_uint32_t(xdrs, &n))
		return false;
	for (uint32_t i = 0; i < n; i++) {
		occupancy_urgency_t claim =
			g_array_index(waiters, occupancy_urgency_t, i);

		if (!xdr_claim(xdrs, &claim, now_us))
			return false;
	}
	return true;
}

/* Encodes the IDs of servers that this router suspects to have failed. */
static bool encode_suspects(XDR *xdrs, const GPtrArray *suspects)
{
	uint32_t n = MIN(suspects->len, OCCUPANCY_MAX_SUSPECTS);

	if (!xdr_uint32_t(xdrs, &n))
		return false;
	for (uint32_t i = 0; i < n; i++) {
		if (!xdr_name(xdrs, g_ptr_array_index(suspects, i)))
			return false;
	}
	return true;
}

/* Encodes the servers that are unavailable their stage, and for how long. */
static bool encode_changing(XDR *xdrs, const GArray *unavailable,
			    int64_t now_us)
{
	uint32_t n = MIN(unavailable->len, OCCUPANCY_MAX_SUSPECTS);

	if (!xdr_uint32_t(xdrs, &n))
		return false;
	for (uint32_t i = 0; i < n; i++) {
		occupancy_unavailable_t change =
			g_array_index(unavailable, occupancy_unavailable_t, i);

		if (!xdr_name(xdrs, change.server) ||
		    !xdr_time_left(xdrs, &change.until_us, now_us))
			return false;
	}
	return true;
}

/* Encodes or decodes what a VM has observed of one service. */
static bool xdr_workload(XDR *xdrs, char *service, workload_t *workload)
{
	if (!xdr_string(xdrs, &service, OCCUPANCY_SERVICE_BYTES))
		return false;
	for (int i = 0; i < WORKLOAD_SUMS_N; i++) {
		if (!xdr_double(xdrs, &workload->sums[i]))
			return false;
	}
	return true;
}

/* Encodes what this VM has observed of at most OCCUPANCY_MAX_WORKLOADS
 * services. Names that are too long are left out.
 */
static bool encode_workloads(XDR *xdrs, GHashTable *workloads, int64_t now_us)
{
	const char *services[OCCUPANCY_MAX_WORKLOADS];
	uint32_t n = 0;
	GHashTableIter iter;
	gpointer service;

	g_hash_table_iter_init(&iter, workloads);
	while (n < OCCUPANCY_MAX_WORKLOADS &&
	       g_hash_table_iter_next(&iter, &service, NULL)) {
		if (strlen(service) <= OCCUPANCY_SERVICE_BYTES)
			services[n++] = service;
	}
	if (!xdr_uint32_t(xdrs, &n))
		return false;
	for (uint32_t i = 0; i < n; i++) {
		occupancy_workload_t *workload =
			g_hash_table_lookup(workloads, services[i]);

		workload_decay(&workload->own, now_us);
		if (!xdr_workload(xdrs, (char *)services[i], &workload->own))
			return false;
	}
	return true;
}

/* Encodes this router's announcement: its use of servers, its waiting requests
 * and their rate of arrival, the servers that it suspects to have failed, those
 * that are unavailable, and when it is time what it has observed of the services. Returns false
 * if it does not fit into `size` bytes.
 */
bool announce_encode(const announce_t *announce, int64_t now_us, char *out,
		     size_t size, size_t *len)
{
	uint64_t incarnation = announce->incarnation;
	uint32_t sequence = announce->sequence;
	double arrivals =
		arrival_rate_per_s(&announce->occupancy->arrivals, now_us);
	struct rpc_msg call;
	bool ok;
	XDR xdrs;

	xdrmem_create(&xdrs, out, (u_int)size, XDR_ENCODE);
	ok = xdr_call_header(&xdrs, &call, sequence) &&
	     xdr_name(&xdrs, (char *)announce->vm) &&
	     xdr_uint64_t(&xdrs, &incarnation) &&
	     xdr_uint32_t(&xdrs, &sequence) &&
	     encode_uses(&xdrs, announce->occupancy->own) &&
	     encode_claims(&xdrs, announce->occupancy->waiters, now_us) &&
	     xdr_rate(&xdrs, &arrivals) &&
	     encode_suspects(&xdrs, announce->occupancy->suspects) &&
	     encode_changing(&xdrs, announce->occupancy->unavailable, now_us) &&
	     (now_us < announce->workloads_at_us ||
	      encode_workloads(&xdrs, announce->occupancy->workloads, now_us));
	*len = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	return ok;
}

/* Returns whether the header of an RPC call is that of an announcement. */
static bool is_announcement(const struct rpc_msg *call)
{
	return call->rm_direction == CALL &&
	       call->rm_call.cb_rpcvers == RPC_MSG_VERSION &&
	       call->rm_call.cb_prog == ANNOUNCE_PROGRAM &&
	       call->rm_call.cb_vers == ANNOUNCE_VERSION &&
	       call->rm_call.cb_proc == ANNOUNCE_PROCEDURE;
}

/* Returns whether all counts are within bounds, so that a malformed
 * announcement cannot make sums overflow.
 */
static bool is_valid_use(const occupancy_use_t *use)
{
	return use->streams >= 0 && use->streams <= MAX_USE &&
	       use->kv_tokens >= 0 && use->kv_tokens <= MAX_USE &&
	       use->prefill_tokens >= 0 && use->prefill_tokens <= MAX_USE;
}

static bool decode_uses(XDR *xdrs, GHashTable *uses)
{
	uint32_t n;

	if (!xdr_uint32_t(xdrs, &n) || n > MAX_SERVERS)
		return false;
	while (n-- > 0) {
		char server[OCCUPANCY_NAME_BYTES + 1] = "";
		occupancy_use_t use;

		if (!xdr_use(xdrs, server, &use) || !is_valid_use(&use))
			return false;
		g_hash_table_insert(uses, g_strdup(server),
				    g_memdup2(&use, sizeof(use)));
	}
	return true;
}

static bool decode_claims(XDR *xdrs, GArray *waiters, int64_t now_us)
{
	uint32_t n;

	if (!xdr_uint32_t(xdrs, &n) || n > OCCUPANCY_MAX_WAITERS)
		return false;
	while (n-- > 0) {
		occupancy_urgency_t claim = {.due_us = now_us};

		if (!xdr_claim(xdrs, &claim, now_us))
			return false;
		g_array_append_val(waiters, claim);
	}
	return true;
}

static bool decode_suspects(XDR *xdrs, GPtrArray *suspects)
{
	uint32_t n;

	if (!xdr_uint32_t(xdrs, &n) || n > OCCUPANCY_MAX_SUSPECTS)
		return false;
	while (n-- > 0) {
		char server[OCCUPANCY_NAME_BYTES + 1] = "";

		if (!xdr_name(xdrs, server))
			return false;
		g_ptr_array_add(suspects, g_strdup(server));
	}
	return true;
}

static bool decode_changing(XDR *xdrs, GArray *unavailable, int64_t now_us)
{
	uint32_t n;

	if (!xdr_uint32_t(xdrs, &n) || n > OCCUPANCY_MAX_SUSPECTS)
		return false;
	while (n-- > 0) {
		occupancy_unavailable_t change = {.until_us = now_us};

		if (!xdr_name(xdrs, change.server) ||
		    !xdr_time_left(xdrs, &change.until_us, now_us))
			return false;
		g_array_append_val(unavailable, change);
	}
	return true;
}

/* Decodes the observations of services. An announcement without them, as each
 * one of an earlier release, ends before them, at `len` bytes.
 */
static bool decode_workloads(XDR *xdrs, size_t len,
			     occupancy_announcement_t *news)
{
	uint32_t n;

	if (xdr_getpos(xdrs) == len)
		return true;
	news->has_workloads = true;
	if (!xdr_uint32_t(xdrs, &n) || n > OCCUPANCY_MAX_WORKLOADS)
		return false;
	while (n-- > 0) {
		char service[OCCUPANCY_SERVICE_BYTES + 1] = "";
		workload_t workload = {.updated_us = 0};

		if (!xdr_workload(xdrs, service, &workload) ||
		    !workload_is_valid(&workload))
			return false;
		g_hash_table_replace(news->workloads, g_strdup(service),
				     g_memdup2(&workload, sizeof(workload)));
	}
	return true;
}

static bool decode_announcement(XDR *xdrs, size_t len,
				occupancy_announcement_t *news, int64_t now_us)
{
	struct rpc_msg call;

	return xdr_call_header(xdrs, &call, 0) && is_announcement(&call) &&
	       xdr_name(xdrs, news->vm) &&
	       xdr_uint64_t(xdrs, &news->incarnation) &&
	       xdr_uint32_t(xdrs, &news->sequence) &&
	       decode_uses(xdrs, news->use) &&
	       decode_claims(xdrs, news->waiters, now_us) &&
	       xdr_rate(xdrs, &news->arrivals_per_s) &&
	       decode_suspects(xdrs, news->suspects) &&
	       decode_changing(xdrs, news->unavailable, now_us) &&
	       decode_workloads(xdrs, len, news);
}

/* Updates `occupancy` from a peer's announcement. Returns false and changes
 * nothing if the announcement is malformed.
 */
bool announce_decode(occupancy_t *occupancy, const char *data, size_t len,
		     int64_t now_us)
{
	occupancy_announcement_t news;
	bool ok;
	XDR xdrs;

	occupancy_announcement_init(&news);
	xdrmem_create(&xdrs, (char *)data, (u_int)len, XDR_DECODE);
	ok = decode_announcement(&xdrs, len, &news, now_us);
	xdr_destroy(&xdrs);
	if (ok)
		occupancy_apply_announcement(occupancy, &news, now_us);
	occupancy_announcement_finish(&news);
	return ok;
}

/* Reads all datagrams that have arrived. */
static gboolean on_readable(GSocket *socket, GIOCondition condition,
			    gpointer data)
{
	announce_t *announce = data;
	char buffer[MAX_DATAGRAM_BYTES];
	bool news = false;
	gssize n;

	while ((n = g_socket_receive_from(socket, NULL, buffer, sizeof(buffer),
					  NULL, NULL)) >= 0) {
		announce->received++;
		if (announce_decode(announce->occupancy, buffer, (size_t)n,
				    clock_now(&announce->clock)))
			news = true;
		else
			announce->malformed++;
	}
	if (news && announce->on_announcement)
		announce->on_announcement(announce->context);
	return G_SOURCE_CONTINUE;
}

/* Returns the time since the last announcement from a peer, or since the peer
 * was added if that is later.
 */
static int64_t silent_for_us(const announce_t *announce,
			     const announce_peer_t *peer, int64_t now_us)
{
	const occupancy_peer_t *heard =
		g_hash_table_lookup(announce->occupancy->peers, peer->vm);
	int64_t received_us = heard ? heard->received_us : peer->added_us;

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

/* Sends an announcement to the peers and sets the time of the next one. */
static void on_next_send(void *context)
{
	announce_t *announce = context;
	int64_t now_us = clock_now(&announce->clock);
	char buffer[MAX_DATAGRAM_BYTES];
	GHashTableIter iter;
	gpointer value;
	size_t len;

	alarm_set(&announce->next_send,
		  now_us + occupancy_repeat_us(
				   g_hash_table_size(announce->peers)));
	announce->sequence++;
	if (!announce_encode(announce, now_us, buffer, sizeof(buffer), &len))
		return;
	if (now_us >= announce->workloads_at_us)
		announce->workloads_at_us = now_us + WORKLOADS_INTERVAL_US;
	g_hash_table_iter_init(&iter, announce->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		announce_peer_t *peer = value;

		if (is_silent(announce, peer, now_us) &&
		    now_us - peer->sent_us < SILENT_PEER_INTERVAL_US)
			continue;
		peer->sent_us = now_us;
		/* The next announcement makes up for a lost one. */
		(void)g_socket_send_to(announce->socket, peer->address, buffer,
				       len, NULL, NULL);
		announce->sent++;
	}
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
		.incarnation = incarnation,
		.clock = clock,
		.occupancy = occupancy,
		.peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       free_peer),
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
}

/* Adds a peer, or changes its address. Ignores this VM itself and a malformed
 * address.
 */
void announce_set_peer(announce_t *announce, const char *vm,
		       const char *address)
{
	GSocketAddress *parsed;
	announce_peer_t *peer;

	if (g_str_equal(vm, announce->vm))
		return;
	parsed = address_parse(address);
	if (!parsed)
		return;
	peer = g_new0(announce_peer_t, 1);
	peer->vm = g_strdup(vm);
	peer->address = parsed;
	peer->added_us = clock_now(&announce->clock);
	g_hash_table_replace(announce->peers, peer->vm, peer);
	occupancy_set_peers(announce->occupancy,
			    g_hash_table_size(announce->peers));
	announce_schedule(announce);
}

/* Removes a peer. */
void announce_remove_peer(announce_t *announce, const char *vm)
{
	g_hash_table_remove(announce->peers, vm);
	occupancy_set_peers(announce->occupancy,
			    g_hash_table_size(announce->peers));
}

/* Returns the name of the peer that has been silent for longest, borrowed, or
 * NULL if none has been silent for more than `min_silent_us`. Also returns NULL
 * if few peers are heard, because this VM is then likely cut off itself.
 */
const char *announce_longest_silent_peer(const announce_t *announce,
					 int64_t now_us, int64_t min_silent_us)
{
	const char *longest_silent = NULL;
	unsigned heard = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, announce->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const announce_peer_t *peer = value;
		int64_t silent = silent_for_us(announce, peer, now_us);

		heard += silent < SILENT_AFTER_US ? 1 : 0;
		if (silent > min_silent_us) {
			min_silent_us = silent;
			longest_silent = peer->vm;
		}
	}
	return heard * MIN_HEARD_DIVISOR < g_hash_table_size(announce->peers)
		       ? NULL
		       : longest_silent;
}

/* Schedules an announcement of a change, within SEND_DELAY_US. */
void announce_schedule(announce_t *announce)
{
	int64_t at_us = clock_now(&announce->clock) + SEND_DELAY_US;

	if (announce->next_send.at_us > at_us)
		alarm_set(&announce->next_send, at_us);
}
