/* Encodes and decodes announcements, as one-way calls of ONC RPC. */
#include "connection/announce.h"

#include <math.h>
#include <rpc/rpc.h>

/* ONC RPC numbers of the one-way call. The program number is from the range
 * that RFC 5531 leaves to users.
 */
#define ANNOUNCE_PROGRAM 0x20a00b02
#define ANNOUNCE_VERSION 2
#define ANNOUNCE_PROCEDURE 1
/* The same, and the receiver forwards the announcement in its zone. */
#define FORWARD_PROCEDURE 2

/* Position of the procedure in a call: it follows the transaction ID, the direction
 * and the versions of RPC and of the program, and the program itself.
 */
#define PROCEDURE_OFFSET (5 * sizeof(uint32_t))

/* Flavor of the credentials by which a VM names its availability zone. */
#define ZONE_FLAVOR 0x20a00b02

#define MAX_SERVERS 256 /* in one announcement */

/* Encoded size of a stream and the version that began it. */
#define ORIGIN_BYTES 20

/* Upper bound for each count of one server's use. No router gets near it, and
 * sums over all routers stay far from overflow.
 */
#define MAX_USE (INT64_C(1) << 40)

/* Encodes or decodes the header of the RPC call, with the credentials to encode or
 * none. Like all functions xdr_...(), it works in the direction of the stream and
 * returns false if that fails.
 */
static bool xdr_call_header(XDR *xdrs, struct rpc_msg *call, uint32_t xid,
			    const char *zone)
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
	if (zone) {
		call->rm_call.cb_cred.oa_flavor = ZONE_FLAVOR;
		call->rm_call.cb_cred.oa_base = (char *)zone;
		call->rm_call.cb_cred.oa_length = (u_int)strlen(zone);
	}
	return xdr_callmsg(xdrs, call);
}

/* Returns whether a procedure number is one of an announcement. */
static bool is_procedure(uint32_t procedure)
{
	return procedure == ANNOUNCE_PROCEDURE ||
	       procedure == FORWARD_PROCEDURE;
}

/* Returns whether an encoded announcement asks its receiver to forward it. */
bool announce_asks_to_forward(const char *data, size_t len)
{
	uint32_t procedure;

	if (len < PROCEDURE_OFFSET + sizeof(procedure))
		return false;
	memcpy(&procedure, data + PROCEDURE_OFFSET, sizeof(procedure));
	return g_ntohl(procedure) == FORWARD_PROCEDURE;
}

/* Makes an encoded announcement ask its receiver to forward it, or not to. */
void announce_ask_to_forward(char *data, bool ask)
{
	uint32_t procedure =
		g_htonl(ask ? FORWARD_PROCEDURE : ANNOUNCE_PROCEDURE);

	memcpy(data + PROCEDURE_OFFSET, &procedure, sizeof(procedure));
}

/* Encodes or decodes a name. To decode, `name` must have room for
 * OCCUPANCY_NAME_BYTES and a null byte.
 */
static bool xdr_name(XDR *xdrs, char *name)
{
	return xdr_string(xdrs, &name, OCCUPANCY_NAME_BYTES);
}

/* Encodes or decodes the use of one server. */
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

/* Encodes or decodes the urgency of one waiting request. */
static bool xdr_waiter(XDR *xdrs, occupancy_urgency_t *waiter, int64_t now_us)
{
	bool_t late = waiter->late;

	if (!xdr_bool(xdrs, &late) ||
	    !xdr_time_left(xdrs, &waiter->due_us, now_us))
		return false;
	waiter->late = late;
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
static bool encode_waiters(XDR *xdrs, const GArray *waiters, int64_t now_us)
{
	uint32_t n = MIN(waiters->len, OCCUPANCY_MAX_WAITERS);

	if (!xdr_uint32_t(xdrs, &n))
		return false;
	for (uint32_t i = 0; i < n; i++) {
		occupancy_urgency_t waiter =
			g_array_index(waiters, occupancy_urgency_t, i);

		if (!xdr_waiter(xdrs, &waiter, now_us))
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

/* Encodes the servers that are unavailable, and for how long. */
static bool encode_unavailable(XDR *xdrs, const GArray *unavailable,
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

/* Encodes or decodes the limit of one server. */
static bool xdr_limit(XDR *xdrs, occupancy_limit_t *item, int64_t now_us)
{
	bool_t limited = item->limit.limited;

	if (!xdr_name(xdrs, item->server) || !xdr_bool(xdrs, &limited) ||
	    !xdr_double(xdrs, &item->limit.per_s) ||
	    !xdr_time_left(xdrs, &item->limit.seen_us, now_us) ||
	    !xdr_rate(xdrs, &item->limit.demand_per_s))
		return false;
	item->limit.limited = limited;
	return true;
}

/* Returns whether there is evidence on requests that crash servers to announce. */
static bool has_evidence(const occupancy_t *occupancy, int64_t now_us)
{
	return occupancy->losses->len > 0 || occupancy->sound->len > 0 ||
	       now_us < occupancy->losses_until_us;
}

/* Encodes the limits of servers, if there are any or something follows them. */
static bool encode_limits(XDR *xdrs, const occupancy_t *occupancy,
			  bool is_followed, int64_t now_us)
{
	const GArray *limits = occupancy->limits;
	uint32_t n = MIN(limits->len, OCCUPANCY_MAX_LIMITS);

	if (n == 0 && !is_followed)
		return true;
	if (!xdr_uint32_t(xdrs, &n))
		return false;
	for (uint32_t i = 0; i < n; i++) {
		occupancy_limit_t item =
			g_array_index(limits, occupancy_limit_t, i);

		if (!xdr_limit(xdrs, &item, now_us))
			return false;
	}
	return true;
}

/* Encodes or decodes a server that was lost while it began a request. */
static bool xdr_loss(XDR *xdrs, quarantine_loss_t *loss, int64_t now_us)
{
	if (!xdr_uint64_t(xdrs, &loss->server) ||
	    !xdr_time_left(xdrs, &loss->lost_us, now_us) ||
	    !xdr_u_int(xdrs, &loss->n_keys) ||
	    loss->n_keys > QUARANTINE_KEYS_MAX)
		return false;
	for (unsigned i = 0; i < loss->n_keys; i++) {
		if (!xdr_uint64_t(xdrs, &loss->keys[i]))
			return false;
	}
	return true;
}

/* Encodes or decodes a key with which a request has begun well. */
static bool xdr_sound(XDR *xdrs, sound_key_t *sound, int64_t now_us)
{
	return xdr_uint64_t(xdrs, &sound->key) &&
	       xdr_time_left(xdrs, &sound->seen_us, now_us);
}

/* Encodes the servers that were lost while they began requests, and the keys
 * that are known to be sound.
 */
static bool encode_losses(XDR *xdrs, const occupancy_t *occupancy,
			  int64_t now_us)
{
	const GArray *losses = occupancy->losses;
	const GArray *sound = occupancy->sound;
	uint32_t n = MIN(losses->len, QUARANTINE_LOSSES_ANNOUNCED);

	if (!xdr_uint32_t(xdrs, &n))
		return false;
	for (uint32_t i = 0; i < n; i++) {
		quarantine_loss_t loss =
			g_array_index(losses, quarantine_loss_t, i);

		if (!xdr_loss(xdrs, &loss, now_us))
			return false;
	}
	n = MIN(sound->len, QUARANTINE_SOUND_ANNOUNCED);
	if (!xdr_uint32_t(xdrs, &n))
		return false;
	for (uint32_t i = 0; i < n; i++) {
		sound_key_t item = g_array_index(sound, sound_key_t, i);

		if (!xdr_sound(xdrs, &item, now_us))
			return false;
	}
	return true;
}

/* Encodes or decodes a stream and the version that began it. */
static bool xdr_origin(XDR *xdrs, stream_origin_t *origin, int64_t now_us)
{
	return xdr_uint64_t(xdrs, &origin->stream) &&
	       xdr_uint64_t(xdrs, &origin->software) &&
	       xdr_time_left(xdrs, &origin->expires_us, now_us);
}

/* Encodes as many streams as fit into the rest of `size` bytes, if there are
 * any.
 */
static bool encode_origins(XDR *xdrs, size_t size, const GArray *origins,
			   int64_t now_us)
{
	size_t used = xdr_getpos(xdrs) + sizeof(uint32_t);
	uint32_t n = origins->len;

	if (n == 0 || used >= size)
		return true;
	n = MIN(n, (uint32_t)((size - used) / ORIGIN_BYTES));
	if (!xdr_uint32_t(xdrs, &n))
		return false;
	for (uint32_t i = 0; i < n; i++) {
		stream_origin_t origin =
			g_array_index(origins, stream_origin_t, i);

		if (!xdr_origin(xdrs, &origin, now_us))
			return false;
	}
	return true;
}

/* Returns whether an announcement can hold what this VM has observed of a service: peers
 * drop one whose sums are beyond the bounds, with all else that it says.
 */
static bool is_announced(const char *service,
			 const occupancy_workload_t *workload)
{
	return strlen(service) <= OCCUPANCY_SERVICE_BYTES &&
	       workload_is_valid(&workload->own);
}

/* Returns how many services are announced, at most OCCUPANCY_MAX_WORKLOADS. Lets what this
 * VM has observed decay until now.
 */
static uint32_t count_announced_services(GHashTable *workloads, int64_t now_us)
{
	uint32_t n = 0;
	GHashTableIter iter;
	gpointer service, value;

	g_hash_table_iter_init(&iter, workloads);
	while (g_hash_table_iter_next(&iter, &service, &value)) {
		occupancy_workload_t *workload = value;

		workload_decay(&workload->own, now_us);
		n += is_announced(service, workload) ? 1 : 0;
	}
	return MIN(n, OCCUPANCY_MAX_WORKLOADS);
}

/* Encodes what this VM has observed of services, without those that peers would not
 * accept.
 */
static bool encode_workloads(XDR *xdrs, GHashTable *workloads, int64_t now_us)
{
	uint32_t left = count_announced_services(workloads, now_us);
	GHashTableIter iter;
	gpointer service, value;

	if (!xdr_uint32_t(xdrs, &left))
		return false;
	g_hash_table_iter_init(&iter, workloads);
	while (left > 0 && g_hash_table_iter_next(&iter, &service, &value)) {
		occupancy_workload_t *workload = value;

		if (!is_announced(service, workload))
			continue;
		if (!xdr_workload(xdrs, service, &workload->own))
			return false;
		left--;
	}
	return true;
}

/* Encodes what changes slowly: what this VM has observed of the services, and the
 * limits of servers, the evidence on requests that crash servers and the versions
 * that began streams as far as there are any. Parts before one that is there are
 * not left out.
 */
static bool encode_slow_parts(XDR *xdrs, const occupancy_t *occupancy,
			      const GArray *origins, size_t size,
			      int64_t now_us)
{
	bool with_losses = has_evidence(occupancy, now_us) || origins->len > 0;

	return encode_workloads(xdrs, occupancy->workloads, now_us) &&
	       encode_limits(xdrs, occupancy, with_losses, now_us) &&
	       (!with_losses || encode_losses(xdrs, occupancy, now_us)) &&
	       encode_origins(xdrs, size, origins, now_us);
}

/* Encodes this router's announcement: its use of servers, its waiting requests
 * and their rate of arrival, the servers that it suspects to have failed, those
 * that are unavailable and, from workloads_at_us on, what changes slowly, with
 * these versions of streams. Returns false if it does not fit into `size` bytes.
 */
bool announce_encode(const announce_t *announce, const GArray *origins,
		     int64_t now_us, char *out, size_t size, size_t *len)
{
	const occupancy_t *occupancy = announce->occupancy;
	uint64_t incarnation = announce->incarnation;
	uint32_t sequence = announce->sequence;
	double arrivals = arrival_rate_per_s(&occupancy->arrivals, now_us);
	struct rpc_msg call;
	bool ok;
	XDR xdrs;

	xdrmem_create(&xdrs, out, (u_int)size, XDR_ENCODE);
	ok = xdr_call_header(&xdrs, &call, sequence,
			     announce->forwards ? announce->zone : NULL) &&
	     xdr_name(&xdrs, (char *)announce->vm) &&
	     xdr_uint64_t(&xdrs, &incarnation) &&
	     xdr_uint32_t(&xdrs, &sequence) &&
	     encode_uses(&xdrs, occupancy->own) &&
	     encode_waiters(&xdrs, occupancy->waiters, now_us) &&
	     xdr_rate(&xdrs, &arrivals) &&
	     encode_suspects(&xdrs, occupancy->suspects) &&
	     encode_unavailable(&xdrs, occupancy->unavailable, now_us) &&
	     (now_us < announce->workloads_at_us ||
	      encode_slow_parts(&xdrs, occupancy, origins, size, now_us));
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
	       is_procedure(call->rm_call.cb_proc);
}

/* Reads the zone in which a VM forwards announcements, from its credentials. An
 * announcement without one, as each one of an earlier release, leaves it empty.
 */
static void read_zone(const struct opaque_auth *credentials, char *zone)
{
	if (credentials->oa_flavor != ZONE_FLAVOR ||
	    credentials->oa_length > OCCUPANCY_ZONE_BYTES)
		return;
	memcpy(zone, credentials->oa_base, credentials->oa_length);
	zone[credentials->oa_length] = '\0';
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

static bool decode_waiters(XDR *xdrs, GArray *waiters, int64_t now_us)
{
	uint32_t n;

	if (!xdr_uint32_t(xdrs, &n) || n > OCCUPANCY_MAX_WAITERS)
		return false;
	while (n-- > 0) {
		occupancy_urgency_t waiter = {.due_us = now_us};

		if (!xdr_waiter(xdrs, &waiter, now_us))
			return false;
		g_array_append_val(waiters, waiter);
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

static bool decode_unavailable(XDR *xdrs, GArray *unavailable, int64_t now_us)
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
			     occupancy_announcement_t *announcement)
{
	uint32_t n;

	if (xdr_getpos(xdrs) == len)
		return true;
	announcement->has_workloads = true;
	if (!xdr_uint32_t(xdrs, &n) || n > OCCUPANCY_MAX_WORKLOADS)
		return false;
	while (n-- > 0) {
		char service[OCCUPANCY_SERVICE_BYTES + 1] = "";
		workload_t workload = {.updated_us = 0};

		if (!xdr_workload(xdrs, service, &workload) ||
		    !workload_is_valid(&workload))
			return false;
		g_hash_table_replace(announcement->workloads, g_strdup(service),
				     g_memdup2(&workload, sizeof(workload)));
	}
	return true;
}

/* Returns whether a limit is finite and not negative. */
static bool is_valid_limit(const server_limit_t *limit)
{
	return isfinite(limit->per_s) && limit->per_s >= 0;
}

/* Decodes the limits of servers. An announcement without them, as each one of
 * an earlier release, ends before them, at `len` bytes.
 */
static bool decode_limits(XDR *xdrs, size_t len, GArray *limits, int64_t now_us)
{
	uint32_t n;

	if (xdr_getpos(xdrs) == len)
		return true;
	if (!xdr_uint32_t(xdrs, &n) || n > OCCUPANCY_MAX_LIMITS)
		return false;
	while (n-- > 0) {
		occupancy_limit_t item = {.limit = {.seen_us = now_us}};

		if (!xdr_limit(xdrs, &item, now_us) ||
		    !is_valid_limit(&item.limit))
			return false;
		item.limit.seen_us = MIN(item.limit.seen_us, now_us);
		g_array_append_val(limits, item);
	}
	return true;
}

/* Decodes the evidence on requests that crash servers. An announcement without
 * it, as each one of an earlier release, ends before it, at `len` bytes. Times in
 * the future count as now.
 */
static bool decode_losses(XDR *xdrs, size_t len,
			  occupancy_announcement_t *announcement,
			  int64_t now_us)
{
	uint32_t n;

	if (xdr_getpos(xdrs) == len)
		return true;
	announcement->has_losses = true;
	if (!xdr_uint32_t(xdrs, &n) || n > QUARANTINE_LOSSES_ANNOUNCED)
		return false;
	while (n-- > 0) {
		quarantine_loss_t loss = {.lost_us = now_us};

		if (!xdr_loss(xdrs, &loss, now_us))
			return false;
		loss.lost_us = MIN(loss.lost_us, now_us);
		g_array_append_val(announcement->losses, loss);
	}
	if (!xdr_uint32_t(xdrs, &n) || n > QUARANTINE_SOUND_ANNOUNCED)
		return false;
	while (n-- > 0) {
		sound_key_t item = {.seen_us = now_us};

		if (!xdr_sound(xdrs, &item, now_us))
			return false;
		item.seen_us = MIN(item.seen_us, now_us);
		g_array_append_val(announcement->sound, item);
	}
	return true;
}

/* Decodes streams and the versions that began them. An announcement without
 * them, as each one of an earlier release, ends before them, at `len` bytes.
 */
static bool decode_origins(XDR *xdrs, size_t len, GArray *origins,
			   int64_t now_us)
{
	uint32_t n;

	if (xdr_getpos(xdrs) == len)
		return true;
	if (!xdr_uint32_t(xdrs, &n) || n > STREAM_ORIGINS_ANNOUNCED)
		return false;
	while (n-- > 0) {
		stream_origin_t origin = {.expires_us = now_us};

		if (!xdr_origin(xdrs, &origin, now_us) || origin.software == 0)
			return false;
		g_array_append_val(origins, origin);
	}
	return true;
}

static bool decode_announcement(XDR *xdrs, size_t len,
				occupancy_announcement_t *announcement,
				int64_t now_us)
{
	struct rpc_msg call;

	if (!xdr_call_header(xdrs, &call, 0, NULL) || !is_announcement(&call))
		return false;
	read_zone(&call.rm_call.cb_cred, announcement->zone);
	return xdr_name(xdrs, announcement->vm) &&
	       xdr_uint64_t(xdrs, &announcement->incarnation) &&
	       xdr_uint32_t(xdrs, &announcement->sequence) &&
	       decode_uses(xdrs, announcement->use) &&
	       decode_waiters(xdrs, announcement->waiters, now_us) &&
	       xdr_rate(xdrs, &announcement->arrivals_per_s) &&
	       decode_suspects(xdrs, announcement->suspects) &&
	       decode_unavailable(xdrs, announcement->unavailable, now_us) &&
	       decode_workloads(xdrs, len, announcement) &&
	       decode_limits(xdrs, len, announcement->limits, now_us) &&
	       decode_losses(xdrs, len, announcement, now_us) &&
	       decode_origins(xdrs, len, announcement->origins, now_us);
}

/* Updates `occupancy` from a peer's announcement. Returns false and changes
 * nothing if the announcement is malformed.
 */
bool announce_decode(occupancy_t *occupancy, const char *data, size_t len,
		     int64_t now_us)
{
	occupancy_announcement_t announcement;
	bool ok;
	XDR xdrs;

	occupancy_announcement_init(&announcement);
	xdrmem_create(&xdrs, (char *)data, (u_int)len, XDR_DECODE);
	ok = decode_announcement(&xdrs, len, &announcement, now_us);
	xdr_destroy(&xdrs);
	if (ok)
		occupancy_apply_announcement(occupancy, &announcement, now_us);
	occupancy_announcement_finish(&announcement);
	return ok;
}
