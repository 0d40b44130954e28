#include "process/limit_exchange.h"

#define TICK_MS 100
#define CALL_TIMEOUT_US (300 * CLOCK_US_PER_MS)

/* Demand in messages is in requests for each 1,000 s. */
#define DEMAND_SCALE 1000.0

static int compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Returns the router's index, or -1 if the settings do not name it. */
static int index_of(const limit_exchange_t *limits, const char *vm)
{
	for (guint i = 0; i < limits->names->len; i++)
		if (!strcmp(g_ptr_array_index(limits->names, i), vm))
			return (int)i;
	return -1;
}

/* Live members that the settings name take part in the rounds. */
static void set_members(limit_exchange_t *limits)
{
	uint64_t members = 0;

	for (guint i = 0; i < limits->names->len; i++) {
		const member_t *member =
			member_find(&limits->fleet->members,
				    g_ptr_array_index(limits->names, i));

		if (member && member_is_live(member))
			members |= UINT64_C(1) << i;
	}
	limit_set_members(limits->limit, members, limits->names->len);
}

/* A lost report is sent again with the next tick. */
static void on_reply(void *context, verdict_t verdict, str_t body,
		     const wire_sender_t *from)
{
}

static void send_piece(limit_exchange_t *limits, peer_limits *call)
{
	wire_buffer_t body;
	int64_t deadline_us = clock_now(&limits->clock) + CALL_TIMEOUT_US;

	if (!rpc_encode(peer_limits, call, &body))
		return;
	for (guint i = 0; i < limits->names->len; i++) {
		const char *address = fleet_address_of(
			limits->fleet, g_ptr_array_index(limits->names, i));

		if (i != limits->limit->self && address)
			rpc_send(limits->rpc, address, PEER_LIMITS,
				 rpc_body(&body), deadline_us, on_reply, NULL);
	}
}

static void add_use(const limit_usage_t *usage, void *context)
{
	GArray *uses = context;
	peer_use use = {
		.key = usage->id,
		.running = (u_int)MAX(usage->running, 0),
		.demand = (u_int)(usage->demand_s * DEMAND_SCALE + 0.5),
	};

	g_array_append_val(uses, use);
}

static void send_report(limit_exchange_t *limits, uint64_t round)
{
	GArray *uses = g_array_new(FALSE, FALSE, sizeof(peer_use));
	peer_limits call = {.round = round};

	limit_visit_usage(limits->limit, round, add_use, uses);
	call.pieces = MAX((uses->len + PEER_USES_MAX - 1) / PEER_USES_MAX, 1);
	call.pieces = MIN(call.pieces, REPORT_PIECES_MAX);
	for (call.piece = 0; call.piece < call.pieces; call.piece++) {
		guint start = call.piece * PEER_USES_MAX;

		call.uses.uses_val = (peer_use *)uses->data + start;
		call.uses.uses_len = MIN(uses->len - start, PEER_USES_MAX);
		send_piece(limits, &call);
	}
	g_array_unref(uses);
}

static gboolean on_tick(gpointer data)
{
	limit_exchange_t *limits = data;
	unsigned n;

	set_members(limits);
	n = limit_tick(limits->limit, clock_now(&limits->clock));
	if (n > 1 && limits->limit->round > 1)
		send_report(limits, limits->limit->round - 1);
	if (n > 0)
		send_report(limits, limits->limit->round);
	return G_SOURCE_CONTINUE;
}

static void take_piece(limit_exchange_t *limits, int router,
		       const peer_limits *call)
{
	partial_report_t *report = &limits->reports[router];
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
			.demand_s = use->demand / DEMAND_SCALE,
			.running = use->running,
		};

		g_array_append_val(report->usage, usage);
	}
	if (report->arrived == all)
		limit_receive_report(limits->limit, (unsigned)router,
				     report->round,
				     (const limit_usage_t *)report->usage->data,
				     report->usage->len,
				     clock_now(&limits->clock));
}

static void on_limits(void *context, const rpc_request_t *request)
{
	limit_exchange_t *limits = context;
	int router = index_of(limits, request->from->vm);
	peer_limits call;

	if (!rpc_decode(peer_limits, request->body, &call) || router < 0 ||
	    call.pieces < 1 || call.pieces > REPORT_PIECES_MAX ||
	    call.piece >= call.pieces) {
		rpc_reply_error(limits->rpc, request->call_id,
				WIRE_BAD_ARGUMENTS);
	} else {
		take_piece(limits, router, &call);
		rpc_reply(limits->rpc, request->call_id, (str_t){NULL, 0});
	}
	rpc_free(peer_limits, &call);
}

/* Starts the exchange; what it is given must outlive limit_exchange_finish(). */
void limit_exchange_init(limit_exchange_t *limits, limiter_t *limit, rpc_t *rpc,
			 fleet_t *fleet, const settings_t *settings,
			 clock_source_t clock)
{
	memset(limits, 0, sizeof(*limits));
	limits->limit = limit;
	limits->rpc = rpc;
	limits->fleet = fleet;
	limits->clock = clock;
	limits->names = g_ptr_array_new();
	g_ptr_array_add(limits->names, settings->vm);
	for (guint i = 0; i < settings->peers->len; i++)
		g_ptr_array_add(
			limits->names,
			g_array_index(settings->peers, settings_peer_t, i).vm);
	g_ptr_array_sort(limits->names, compare_names);
	g_ptr_array_set_size(limits->names,
			     (gint)MIN(limits->names->len, LIMIT_ROUTERS_MAX));
	for (size_t i = 0; i < LIMIT_ROUTERS_MAX; i++)
		limits->reports[i].usage =
			g_array_new(FALSE, FALSE, sizeof(limit_usage_t));
	limits->timer = g_timeout_add(TICK_MS, on_tick, limits);
	rpc_set_handler(rpc, PEER_LIMITS, on_limits, limits);
}

/* Stops the exchange. */
void limit_exchange_finish(limit_exchange_t *limits)
{
	rpc_set_handler(limits->rpc, PEER_LIMITS, NULL, NULL);
	g_source_remove(limits->timer);
	for (size_t i = 0; i < LIMIT_ROUTERS_MAX; i++)
		g_array_unref(limits->reports[i].usage);
	g_ptr_array_unref(limits->names);
}
