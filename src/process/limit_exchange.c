#include "process/limit_exchange.h"

/* Several ticks fit into LIMIT_ROUND_US, so a round ends soon after it may. */
#define TICK_INTERVAL_MS 100

#define CALL_TIMEOUT_US (300 * CLOCK_US_PER_MS)

/* Messages carry the demand as a whole number of requests per 1,000 s. */
#define DEMAND_SCALE 1000.0

/* Orders names of VMs. */
static int compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Returns the index of a VM's router, or -1 if the settings do not name it. */
static int index_of(const limit_exchange_t *exchange, const char *vm)
{
	for (guint i = 0; i < exchange->names->len; i++)
		if (!strcmp(g_ptr_array_index(exchange->names, i), vm))
			return (int)i;
	return -1;
}

/* Lets the live members that the settings name take part in the rounds. */
static void update_members(limit_exchange_t *exchange)
{
	uint64_t members = 0;

	for (guint i = 0; i < exchange->names->len; i++) {
		const member_t *member =
			member_find(&exchange->fleet->members,
				    g_ptr_array_index(exchange->names, i));

		if (member && member_is_live(member))
			members |= UINT64_C(1) << i;
	}
	limit_set_members(exchange->limiter, members, exchange->names->len);
}

/* Ignores the reply: reports are sent again until the round is complete. */
static void on_reply(void *context, verdict_t verdict, str_t body,
		     const wire_sender_t *from)
{
}

/* Sends one piece of a report to all other routers with a known address. */
static void send_piece(limit_exchange_t *exchange, peer_limits *call)
{
	wire_buffer_t body;
	int64_t deadline_us = clock_now(&exchange->clock) + CALL_TIMEOUT_US;

	if (!rpc_encode(peer_limits, call, &body))
		return;
	for (guint i = 0; i < exchange->names->len; i++) {
		const char *address = fleet_address_of(
			exchange->fleet, g_ptr_array_index(exchange->names, i));

		if (i != exchange->limiter->self && address)
			rpc_send(exchange->rpc, address, PEER_LIMITS,
				 rpc_body(&body), deadline_us, on_reply, NULL);
	}
}

/* Adds the usage of one limit to an array of peer_use. */
static void append_use(const limit_usage_t *usage, void *context)
{
	GArray *uses = context;
	peer_use use = {
		.key = usage->id,
		.running = (u_int)MAX(usage->running, 0),
		.demand = (u_int)(usage->demand_per_s * DEMAND_SCALE + 0.5),
	};

	g_array_append_val(uses, use);
}

/* Sends this router's report of a round to all others. What exceeds
 * REPORT_PIECES_MAX pieces is left out.
 */
static void send_report(limit_exchange_t *exchange, uint64_t round)
{
	GArray *uses = g_array_new(FALSE, FALSE, sizeof(peer_use));
	peer_limits call = {.round = round};

	limit_visit_usage(exchange->limiter, round, append_use, uses);
	call.pieces = MAX((uses->len + PEER_USES_MAX - 1) / PEER_USES_MAX, 1);
	call.pieces = MIN(call.pieces, REPORT_PIECES_MAX);
	for (call.piece = 0; call.piece < call.pieces; call.piece++) {
		guint start = call.piece * PEER_USES_MAX;

		call.uses.uses_val = (peer_use *)uses->data + start;
		call.uses.uses_len = MIN(uses->len - start, PEER_USES_MAX);
		send_piece(exchange, &call);
	}
	g_array_unref(uses);
}

/* Updates the members, advances the rounds and sends the reports due. */
static gboolean on_tick(gpointer data)
{
	limit_exchange_t *exchange = data;
	unsigned n;

	update_members(exchange);
	n = limit_tick(exchange->limiter, clock_now(&exchange->clock));
	if (n > 1 && exchange->limiter->round > 1)
		send_report(exchange, exchange->limiter->round - 1);
	if (n > 0)
		send_report(exchange, exchange->limiter->round);
	return G_SOURCE_CONTINUE;
}

/* Adds a piece to a router's report and hands the report on once it is whole. A
 * piece of another round starts a new report; repeated pieces are ignored.
 */
static void add_piece(limit_exchange_t *exchange, int router,
		      const peer_limits *call)
{
	partial_report_t *report = &exchange->reports[router];
	uint32_t all = call->pieces == 32 ? UINT32_MAX
					  : (UINT32_C(1) << call->pieces) - 1;

	if (report->round != call->round) {
		report->round = call->round;
		report->arrived = 0;
		g_array_set_size(report->usage, 0);
	}
	if (report->arrived & (UINT32_C(1) << call->piece))
		return;
	report->arrived |= UINT32_C(1) << call->piece;
	for (u_int i = 0; i < call->uses.uses_len; i++) {
		const peer_use *use = &call->uses.uses_val[i];
		limit_usage_t usage = {
			.id = use->key,
			.demand_per_s = use->demand / DEMAND_SCALE,
			.running = use->running,
		};

		g_array_append_val(report->usage, usage);
	}
	if (report->arrived == all)
		limit_receive_report(exchange->limiter, (unsigned)router,
				     report->round,
				     (const limit_usage_t *)report->usage->data,
				     report->usage->len,
				     clock_now(&exchange->clock));
}

/* Handles a piece of a report; rejects pieces that are malformed or come from a
 * VM that the settings do not name.
 */
static void on_limits(void *context, const rpc_request_t *request)
{
	limit_exchange_t *exchange = context;
	int router = index_of(exchange, request->from->vm);
	peer_limits call;

	if (!rpc_decode(peer_limits, request->body, &call) || router < 0 ||
	    call.pieces < 1 || call.pieces > REPORT_PIECES_MAX ||
	    call.piece >= call.pieces) {
		rpc_reply_error(exchange->rpc, request->call_id,
				WIRE_BAD_ARGUMENTS);
	} else {
		add_piece(exchange, router, &call);
		rpc_reply(exchange->rpc, request->call_id, (str_t){NULL, 0});
	}
	rpc_free(peer_limits, &call);
}

/* Starts the exchange. The limiter, RPC, fleet and settings are borrowed until
 * limit_exchange_finish().
 */
void limit_exchange_init(limit_exchange_t *exchange, limiter_t *limiter,
			 rpc_t *rpc, fleet_t *fleet, const settings_t *settings,
			 clock_source_t clock)
{
	memset(exchange, 0, sizeof(*exchange));
	exchange->limiter = limiter;
	exchange->rpc = rpc;
	exchange->fleet = fleet;
	exchange->clock = clock;
	exchange->names = g_ptr_array_new();
	g_ptr_array_add(exchange->names, settings->vm);
	for (guint i = 0; i < settings->peers->len; i++)
		g_ptr_array_add(
			exchange->names,
			g_array_index(settings->peers, settings_peer_t, i).vm);
	g_ptr_array_sort(exchange->names, compare_names);
	g_ptr_array_set_size(exchange->names, (gint)MIN(exchange->names->len,
							LIMIT_ROUTERS_MAX));
	for (size_t i = 0; i < LIMIT_ROUTERS_MAX; i++)
		exchange->reports[i].usage =
			g_array_new(FALSE, FALSE, sizeof(limit_usage_t));
	exchange->timer = g_timeout_add(TICK_INTERVAL_MS, on_tick, exchange);
	rpc_set_handler(rpc, PEER_LIMITS, on_limits, exchange);
}

/* Stops the exchange and frees the reports that have arrived in part. */
void limit_exchange_finish(limit_exchange_t *exchange)
{
	rpc_set_handler(exchange->rpc, PEER_LIMITS, NULL, NULL);
	g_source_remove(exchange->timer);
	for (size_t i = 0; i < LIMIT_ROUTERS_MAX; i++)
		g_array_unref(exchange->reports[i].usage);
	g_ptr_array_unref(exchange->names);
}
