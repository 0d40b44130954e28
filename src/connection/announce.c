#include "connection/announce.h"

#include <rpc/rpc.h>

#include "connection/address.h"

/* Numbers of the one-way call; the program number is from the range that RFC
 * 5531 leaves to users.
 */
#define ANNOUNCE_PROGRAM 0x20a00b02
#define ANNOUNCE_VERSION 2
#define ANNOUNCE_PROCEDURE 1

#define MAX_DATAGRAM_BYTES 8192
#define MAX_SERVERS 256

/* Use of one server that no router has; sums over all stay far from overflow.
 */
#define MAX_USE (INT64_C(1) << 40)

/* Changes within this time go out together. */
#define COALESCE_US (1 * CLOCK_US_PER_MS)

/* A peer that was never heard, or not for long, is told less often. */
#define SILENT_REPEAT_US (2 * CLOCK_US_PER_S)
#define SILENT_AFTER_US (5 * CLOCK_US_PER_S)

/* A VM that hears less than one in so many peers is likely cut off. */
#define HEARD_SHARE 8

typedef struct {
	char *vm;
	GSocketAddress *address;
	int64_t known_us;
	int64_t told_us;
} announce_peer_t;

static void free_peer(gpointer data)
{
	announce_peer_t *peer = data;

	g_free(peer->vm);
	g_object_unref(peer->address);
	g_free(peer);
}

static bool code_call(XDR *xdrs, struct rpc_msg *call, uint32_t xid)
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

static bool code_name(XDR *xdrs, char *name)
{
	return xdr_string(xdrs, &name, OCCUPANCY_NAME_BYTES);
}

static bool code_use(XDR *xdrs, char *server, occupancy_use_t *use)
{
	return code_name(xdrs, server) && xdr_int64_t(xdrs, &use->streams) &&
	       xdr_int64_t(xdrs, &use->kv_tokens) &&
	       xdr_int64_t(xdrs, &use->prefill_tokens);
}

/* A deadline travels as what is left of it: clocks of VMs differ. */
static bool code_deadline(XDR *xdrs, int64_t *at_us, int64_t now_us)
{
	int32_t left_ms = (int32_t)CLAMP((*at_us - now_us) / CLOCK_US_PER_MS,
					 INT32_MIN, INT32_MAX);

	if (!xdr_int32_t(xdrs, &left_ms))
		return false;
	*at_us = now_us + left_ms * CLOCK_US_PER_MS;
	return true;
}

static bool code_claim(XDR *xdrs, occupancy_urgency_t *claim, int64_t now_us)
{
	bool_t late = claim->late;

	if (!xdr_bool(xdrs, &late) ||
	    !code_deadline(xdrs, &claim->due_us, now_us))
		return false;
	claim->late = late;
	return true;
}

/* A rate travels in thousandths. */
static bool code_rate(XDR *xdrs, double *per_s)
{
	uint32_t per_ks = (uint32_t)CLAMP(*per_s * 1000, 0, UINT32_MAX);

	if (!xdr_uint32_t(xdrs, &per_ks))
		return false;
	*per_s = per_ks / 1000.0;
	return true;
}

static bool encode_uses(XDR *xdrs, GHashTable *own)
{
	uint32_t n = MIN(g_hash_table_size(own), MAX_SERVERS);
	GHashTableIter iter;
	gpointer server, use;

	if (!xdr_uint32_t(xdrs, &n))
		return false;
	g_hash_table_iter_init(&iter, own);
	while (n-- > 0 && g_hash_table_iter_next(&iter, &server, &use)) {
		if (!code_use(xdrs, server, use))
			return false;
	}
	return true;
}

static bool encode_claims(XDR *xdrs, const GArray *waiters, int64_t now_us)
{
	uint32_t n = MIN(waiters->len, OCCUPANCY_MAX_WAITERS);

	if (!xdr_uint32_t(xdrs, &n))
		return false;
	for (uint32_t i = 0; i < n; i++) {
		occupancy_urgency_t claim =
			g_array_index(waiters, occupancy_urgency_t, i);

		if (!code_claim(xdrs, &claim, now_us))
			return false;
	}
	return true;
}

static bool encode_suspects(XDR *xdrs, const GPtrArray *suspects)
{
	uint32_t n = MIN(suspects->len, OCCUPANCY_MAX_SUSPECTS);

	if (!xdr_uint32_t(xdrs, &n))
		return false;
	for (uint32_t i = 0; i < n; i++) {
		if (!code_name(xdrs, g_ptr_array_index(suspects, i)))
			return false;
	}
	return true;
}

static bool encode_changing(XDR *xdrs, const GArray *unavailable,
			    int64_t now_us)
{
	uint32_t n = MIN(unavailable->len, OCCUPANCY_MAX_SUSPECTS);

	if (!xdr_uint32_t(xdrs, &n))
		return false;
	for (uint32_t i = 0; i < n; i++) {
		occupancy_unavailable_t change =
			g_array_index(unavailable, occupancy_unavailable_t, i);

		if (!code_name(xdrs, change.server) ||
		    !code_deadline(xdrs, &change.until_us, now_us))
			return false;
	}
	return true;
}

/* Encodes this router's own use, waiting requests, and what it knows of
 * servers that peers may not know yet.
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
	ok = code_call(&xdrs, &call, sequence) &&
	     code_name(&xdrs, (char *)announce->vm) &&
	     xdr_uint64_t(&xdrs, &incarnation) &&
	     xdr_uint32_t(&xdrs, &sequence) &&
	     encode_uses(&xdrs, announce->occupancy->own) &&
	     encode_claims(&xdrs, announce->occupancy->waiters, now_us) &&
	     code_rate(&xdrs, &arrivals) &&
	     encode_suspects(&xdrs, announce->occupancy->suspects) &&
	     encode_changing(&xdrs, announce->occupancy->unavailable, now_us);
	*len = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	return ok;
}

static bool is_announcement(const struct rpc_msg *call)
{
	return call->rm_direction == CALL &&
	       call->rm_call.cb_rpcvers == RPC_MSG_VERSION &&
	       call->rm_call.cb_prog == ANNOUNCE_PROGRAM &&
	       call->rm_call.cb_vers == ANNOUNCE_VERSION &&
	       call->rm_call.cb_proc == ANNOUNCE_PROCEDURE;
}

static bool is_plausible(const occupancy_use_t *use)
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

		if (!code_use(xdrs, server, &use) || !is_plausible(&use))
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

		if (!code_claim(xdrs, &claim, now_us))
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

		if (!code_name(xdrs, server))
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

		if (!code_name(xdrs, change.server) ||
		    !code_deadline(xdrs, &change.until_us, now_us))
			return false;
		g_array_append_val(unavailable, change);
	}
	return true;
}

static bool decode_news(XDR *xdrs, occupancy_announcement_t *news,
			int64_t now_us)
{
	struct rpc_msg call;

	return code_call(xdrs, &call, 0) && is_announcement(&call) &&
	       code_name(xdrs, news->vm) &&
	       xdr_uint64_t(xdrs, &news->incarnation) &&
	       xdr_uint32_t(xdrs, &news->sequence) &&
	       decode_uses(xdrs, news->use) &&
	       decode_claims(xdrs, news->waiters, now_us) &&
	       code_rate(xdrs, &news->arrivals_per_s) &&
	       decode_suspects(xdrs, news->suspects) &&
	       decode_changing(xdrs, news->unavailable, now_us);
}

/* Takes in a peer's announcement; nothing of it when it is malformed, which is
 * told by false.
 */
bool announce_decode(occupancy_t *occupancy, const char *data, size_t len,
		     int64_t now_us)
{
	occupancy_announcement_t news;
	bool ok;
	XDR xdrs;

	occupancy_announcement_init(&news);
	xdrmem_create(&xdrs, (char *)data, (u_int)len, XDR_DECODE);
	ok = decode_news(&xdrs, &news, now_us);
	xdr_destroy(&xdrs);
	if (ok)
		occupancy_apply_announcement(occupancy, &news, now_us);
	occupancy_announcement_finish(&news);
	return ok;
}

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

/* For how long a peer has not been heard, or not been known. */
static int64_t silent_us(const announce_t *announce,
			 const announce_peer_t *peer, int64_t now_us)
{
	const occupancy_peer_t *heard =
		g_hash_table_lookup(announce->occupancy->peers, peer->vm);
	int64_t received_us = heard ? heard->received_us : peer->known_us;

	return now_us - MAX(received_us, peer->known_us);
}

/* Tells whether a peer has been silent for so long that it is likely gone. */
static bool is_silent(const announce_t *announce, const announce_peer_t *peer,
		      int64_t now_us)
{
	return silent_us(announce, peer, now_us) >
	       MAX(SILENT_AFTER_US, 2 * announce->occupancy->peer_ttl_us);
}

static void on_flush(void *context)
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
	g_hash_table_iter_init(&iter, announce->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		announce_peer_t *peer = value;

		if (is_silent(announce, peer, now_us) &&
		    now_us - peer->told_us < SILENT_REPEAT_US)
			continue;
		peer->told_us = now_us;
		/* A lost announcement is followed by another one. */
		(void)g_socket_send_to(announce->socket, peer->address, buffer,
				       len, NULL, NULL);
		announce->sent++;
	}
}

/* Opens the socket. False when the address cannot be used. */
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
	alarm_init(&announce->next_send, clock, on_flush, announce);
	alarm_set(&announce->next_send, clock_now(&clock) + COALESCE_US);
	return true;
}

/* Closes the socket. */
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

/* Adds a peer, or changes its address. This VM itself is no peer. */
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
	peer->known_us = clock_now(&announce->clock);
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

/* The peer that has been silent for longest, if that is longer than a time, or
 * NULL. A VM that hears few of its peers is cut off itself and names none.
 */
const char *announce_longest_silent_peer(const announce_t *announce,
					 int64_t now_us, int64_t lapse_us)
{
	const char *lapsed = NULL;
	unsigned heard = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, announce->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const announce_peer_t *peer = value;
		int64_t silent = silent_us(announce, peer, now_us);

		heard += silent < SILENT_AFTER_US ? 1 : 0;
		if (silent > lapse_us) {
			lapse_us = silent;
			lapsed = peer->vm;
		}
	}
	return heard * HEARD_SHARE < g_hash_table_size(announce->peers)
		       ? NULL
		       : lapsed;
}

/* Announces a change soon, together with others that follow at once. */
void announce_schedule(announce_t *announce)
{
	int64_t at_us = clock_now(&announce->clock) + COALESCE_US;

	if (announce->next_send.at_us > at_us)
		alarm_set(&announce->next_send, at_us);
}
