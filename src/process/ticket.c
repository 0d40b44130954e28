#include "process/counters.h"
#include "process/ticket.h"

/* While requests are queued or wait for memory, they are tried again after this
 * time, because load reports may show freed memory.
 */
#define RETRY_INTERVAL_MS 5

/* Requests of one pool that may reserve decode memory at once. More would leave
 * the queue, and with it the queue's order, before they can be started.
 */
#define MAX_RESERVING 4

/* A request waits this long for memory of one engine, then tries another: about
 * the time in which a full engine ends one request.
 */
#define RESERVE_WAIT_US (100 * CLOCK_US_PER_MS)

/* Time between the end of prefill and the first output token, for the import
 * and the first decoding step.
 */
#define FIRST_TOKEN_ALLOWANCE_US (60 * CLOCK_US_PER_MS)

/* When a caller should retry after its request found no engine in time. */
#define NO_ENGINE_RETRY_US (1 * CLOCK_US_PER_S)

static int64_t now_of(const scheduler_t *scheduler)
{
	return clock_now(&scheduler->clock);
}

static gboolean report_refusal(gpointer data)
{
	scheduler_ticket_t *ticket = data;

	ticket->idle_source = 0;
	ticket->request.on_refused(ticket->request.context, &ticket->verdict);
	return G_SOURCE_REMOVE;
}

static gboolean report_admission(gpointer data)
{
	scheduler_ticket_t *ticket = data;

	ticket->idle_source = 0;
	ticket->request.on_admitted(ticket->request.context);
	return G_SOURCE_REMOVE;
}

/* Refuses a request; its callback follows from the main loop. */
static void refuse(scheduler_ticket_t *ticket, verdict_t verdict)
{
	ticket->queued = NULL;
	ticket->verdict = verdict;
	ticket->idle_source = g_idle_add_full(G_PRIORITY_DEFAULT,
					      report_refusal, ticket, NULL);
}

static verdict_t overloaded(const char *detail, int64_t retry_at_us)
{
	return verdict_with_retry_at(verdict_make(RUN_NOT_RUN,
						  VERDICT_OVERLOADED, detail),
				     retry_at_us);
}

/* Returns the tokens to reserve: prompt and output at most. */
static int64_t decode_tokens(const scheduler_ticket_t *ticket)
{
	return ticket->request.prompt_tokens + ticket->request.max_tokens;
}

/* Stops counting the request among those of its pool that reserve memory. */
static void end_reserving(scheduler_ticket_t *ticket)
{
	if (!ticket->counted_reserving)
		return;
	ticket->counted_reserving = false;
	ticket->decode_pool->reserving--;
}

/* Admits a request, which now may reserve memory; its callback follows from the
 * main loop.
 */
static void admit(scheduler_ticket_t *ticket)
{
	ticket->queued = NULL;
	ticket->counted_reserving = true;
	ticket->decode_pool->reserving++;
	ticket->idle_source = g_idle_add_full(G_PRIORITY_DEFAULT,
					      report_admission, ticket, NULL);
}

static queue_request_t queue_request_of(const scheduler_ticket_t *ticket)
{
	const scheduler_request_t *request = &ticket->request;

	return (queue_request_t){
		.workspace = request->workspace->name,
		.weight = request->workspace->weight,
		.priority = request->service->priority,
		.worth = request->service->worth,
		.cost_tokens = decode_tokens(ticket),
		.start_by_us = request->start_by_us,
		.context = (void *)ticket,
	};
}

/* Refuses a request that the queue has dropped because it cannot be in time. */
static void on_expired(void *entry_context, void *context)
{
	scheduler_ticket_t *ticket = entry_context;
	scheduler_pool_t *pool = context;
	queue_request_t request = queue_request_of(ticket);

	refuse(ticket, overloaded("first-token target cannot be met",
				  now_of(pool->scheduler) +
					  MAX(queue_expected_wait_us(
						      &pool->queue, &request),
					      CLOCK_US_PER_S)));
}

/* Returns whether the request may wait for memory at a ledger owner, which
 * answers when some is free. Under the other policies it is tried again.
 */
static bool can_wait_at_owner(const scheduler_ticket_t *ticket)
{
	return ticket->scheduler->config.policy >= ROUTE_LEDGER &&
	       now_of(ticket->scheduler) < ticket->request.start_by_us;
}

/* Returns the latest end of prefill with which the first token is in time,
 * without the margin that route_pick_prefill() keeps from it.
 */
int64_t ticket_prefill_due(const scheduler_ticket_t *ticket)
{
	return ticket->first_token_due_us - FIRST_TOKEN_ALLOWANCE_US;
}

/* Returns whether the request could be placed on engines now. */
static bool can_place(const scheduler_ticket_t *ticket)
{
	route_decode_t decode = {.tokens = decode_tokens(ticket)};
	route_prefill_t prefill = {
		.prompt_tokens = ticket->request.prompt_tokens,
		.finish_by_us = ticket_prefill_due(ticket),
	};
	int64_t now_us = now_of(ticket->scheduler);

	if (!can_wait_at_owner(ticket) &&
	    !route_pick_decode(&ticket->decode_pool->route, &decode, now_us))
		return false;
	return route_pick_prefill(&ticket->prefill_pool->route, &prefill,
				  now_us);
}

static void start_reserve(scheduler_ticket_t *ticket);
static void admit_queued(scheduler_pool_t *pool);

/* Tries again to reserve for the requests that wait for memory. */
static void retry_waiting(scheduler_pool_t *pool)
{
	guint n = g_queue_get_length(&pool->waiting);

	while (n--) {
		scheduler_ticket_t *ticket = g_queue_pop_head(&pool->waiting);

		ticket->waiting = false;
		start_reserve(ticket);
	}
}

static gboolean on_retry_timer(gpointer data)
{
	scheduler_pool_t *pool = data;

	pool->timer = 0;
	retry_waiting(pool);
	admit_queued(pool);
	return G_SOURCE_REMOVE;
}

/* Starts the retry timer if a request is queued or waits for memory. */
static void start_retry_timer(scheduler_pool_t *pool)
{
	bool idle = pool->queue.n_entries == 0 &&
		    g_queue_is_empty(&pool->waiting);

	if (!idle && !pool->timer)
		pool->timer =
			g_timeout_add(RETRY_INTERVAL_MS, on_retry_timer, pool);
}

/* Refuses the queued requests that are late, then admits from the head of the
 * queue while the request there can be placed.
 */
static void admit_queued(scheduler_pool_t *pool)
{
	int64_t now_us = now_of(pool->scheduler);
	scheduler_ticket_t *ticket;

	queue_expire(&pool->queue, now_us, on_expired, pool);
	while (pool->reserving < MAX_RESERVING &&
	       (ticket = queue_peek(&pool->queue)) && can_place(ticket)) {
		queue_pop(&pool->queue, now_us);
		admit(ticket);
	}
	counters_set(GAUGE_QUEUE_LENGTH,
		     (int64_t)scheduler_queued(pool->scheduler));
	start_retry_timer(pool);
}

/* Returns when prefill has to start at the latest for the first token to be in
 * time.
 */
static int64_t latest_start(const scheduler_ticket_t *ticket)
{
	route_prefill_t want = {
		.prompt_tokens = ticket->request.prompt_tokens,
		.finish_by_us = INT64_MAX,
	};
	int64_t now_us = now_of(ticket->scheduler);
	route_pool_t *route = &ticket->prefill_pool->route;
	route_engine_t *engine = route_pick_prefill(route, &want, now_us);
	int64_t prefill_us =
		engine ? route_compute_us(route, engine,
					  ticket->request.prompt_tokens, now_us)
		       : 0;

	return ticket_prefill_due(ticket) -
	       route_counted_us(route, prefill_us) -
	       route_prefill_margin_us(route);
}

/* Puts a request into the queue of its decode pool. From then on its
 * start_by_us is the latest start of prefill; first_token_due_us keeps the
 * target.
 */
static void enqueue(scheduler_ticket_t *ticket)
{
	queue_t *queue = &ticket->decode_pool->queue;
	queue_request_t request;
	queue_outcome_t outcome;

	ticket->first_token_due_us = ticket->request.start_by_us;
	ticket->request.start_by_us = latest_start(ticket);
	request = queue_request_of(ticket);
	outcome = queue_push(queue, &request, now_of(ticket->scheduler));
	if (outcome.evicted)
		refuse(outcome.evicted,
		       overloaded("queue full", outcome.retry_at_us));
	switch (outcome.result) {
	case QUEUE_ACCEPTED:
		ticket->queued = outcome.entry;
		admit_queued(ticket->decode_pool);
		break;
	case QUEUE_LATE:
		refuse(ticket, overloaded("first-token target cannot be met",
					  outcome.retry_at_us));
		break;
	case QUEUE_FULL:
		refuse(ticket, overloaded("queue full", outcome.retry_at_us));
		break;
	}
}

/*
 * Queues a request and returns its ticket, which scheduler_leave() frees.
 * Exactly one of on_admitted and on_refused follows, unless scheduler_leave()
 * is called first.
 */
scheduler_ticket_t *scheduler_submit(scheduler_t *scheduler,
				     const scheduler_request_t *request)
{
	scheduler_ticket_t *ticket = g_new0(scheduler_ticket_t, 1);
	verdict_t verdict;

	ticket->scheduler = scheduler;
	ticket->request = *request;
	ticket->held_grants = g_array_new(FALSE, FALSE, sizeof(held_grant_t));
	ticket->decode_pool =
		scheduler_find_pool(scheduler, request->service->decode->name);
	ticket->prefill_pool =
		scheduler_find_pool(scheduler, request->service->prefill->name);
	if (!scheduler_limit_begin(scheduler, request->workspace, &verdict)) {
		refuse(ticket, verdict);
		return ticket;
	}
	ticket->counted_in_limits = true;
	enqueue(ticket);
	return ticket;
}

static ledger_key_t key_of(const scheduler_ticket_t *ticket, uint32_t attempt)
{
	return ledger_key_make(str_from(ticket->request.id), attempt);
}

/* Releases the held grant at an index of the array. */
static void release_grant(scheduler_ticket_t *ticket, guint index,
			  bool after_cancel)
{
	held_grant_t held =
		g_array_index(ticket->held_grants, held_grant_t, index);
	ledger_key_t key = key_of(ticket, held.attempt);

	g_array_remove_index_fast(ticket->held_grants, index);
	reserve_release(ticket->scheduler->reserve,
			str_from(held.entry->address), &key, after_cancel);
	route_request_end(held.entry->route, held.entry->engine,
			  decode_tokens(ticket));
}

/* Ends a ticket in any state, releases what it holds and frees it. Its
 * callbacks are not called again. Accepts NULL.
 */
void scheduler_leave(scheduler_ticket_t *ticket)
{
	scheduler_pool_t *pool;

	if (!ticket)
		return;
	pool = ticket->decode_pool;
	if (ticket->queued)
		queue_remove(&pool->queue, ticket->queued);
	if (ticket->idle_source)
		g_source_remove(ticket->idle_source);
	if (ticket->reservation_id)
		reserve_cancel(ticket->scheduler->reserve,
			       ticket->reservation_id);
	if (ticket->waiting)
		g_queue_remove(&pool->waiting, ticket);
	if (ticket->prefill)
		route_request_end(ticket->prefill->route,
				  ticket->prefill->engine,
				  ticket->request.prompt_tokens);
	if (ticket->import)
		route_transfer_end(ticket->import->route,
				   ticket->import->engine);
	while (ticket->held_grants->len)
		release_grant(ticket, 0, true);
	end_reserving(ticket);
	if (ticket->counted_in_limits)
		scheduler_limit_end(ticket->scheduler,
				    ticket->request.workspace);
	g_array_unref(ticket->held_grants);
	g_free(ticket);
	admit_queued(pool);
}

/* Ends a reservation and reports it: with an engine, or with NULL and the time
 * of a retry.
 */
static void report_reserved(scheduler_ticket_t *ticket, backend_entry_t *entry,
			    int64_t retry_at_us)
{
	uint32_t attempt = ticket->attempt;

	ticket->attempt = 0;
	end_reserving(ticket);
	admit_queued(ticket->decode_pool);
	ticket->request.on_reserved(ticket->request.context, attempt, entry,
				    retry_at_us);
}

/* Lets the request try all engines again later, or gives up if it would be
 * late.
 */
static void wait_for_memory(scheduler_ticket_t *ticket)
{
	int64_t now_us = now_of(ticket->scheduler);

	if (now_us >= ticket->request.start_by_us) {
		report_reserved(ticket, NULL, now_us + NO_ENGINE_RETRY_US);
		return;
	}
	ticket->n_except = 0;
	ticket->waiting = true;
	g_queue_push_tail(&ticket->decode_pool->waiting, ticket);
	start_retry_timer(ticket->decode_pool);
}

static void add_except(scheduler_ticket_t *ticket, const route_engine_t *engine)
{
	if (engine && ticket->n_except < TICKET_EXCEPT_MAX)
		ticket->except[ticket->n_except++] = engine;
}

static void on_reserve_done(void *context, const reserve_result_t *result)
{
	scheduler_ticket_t *ticket = context;
	backend_entry_t *entry = ticket->asked_backend;
	held_grant_t held = {ticket->attempt, entry};

	ticket->reservation_id = 0;
	ticket->asked_backend = NULL;
	if (result->free_tokens >= 0)
		route_set_free_tokens(entry->route, entry->engine,
				      result->free_tokens,
				      now_of(ticket->scheduler));
	if (result->code == RESERVE_GRANTED) {
		counters_add(COUNTER_LEDGER_GRANTS, 1);
		route_request_begin(entry->route, entry->engine,
				    decode_tokens(ticket));
		g_array_append_val(ticket->held_grants, held);
		report_reserved(ticket, entry, 0);
		return;
	}
	counters_add(COUNTER_LEDGER_REFUSALS, 1);
	add_except(ticket, entry->engine);
	start_reserve(ticket);
}

/* Reserves memory at the best engine that has not refused yet. If all are full,
 * the request waits at a ledger owner or in the pool's list.
 */
static void start_reserve(scheduler_ticket_t *ticket)
{
	route_decode_t want = {
		.tokens = decode_tokens(ticket),
		.except = ticket->except,
		.n_except = ticket->n_except,
	};
	int64_t now_us = now_of(ticket->scheduler);
	route_engine_t *engine =
		route_pick_decode(&ticket->decode_pool->route, &want, now_us);
	reserve_request_t reserve = {
		.tokens = want.tokens,
		.priority = ticket->request.service->priority,
		.wait_until_us = now_us,
		.deadline_us = ticket->request.deadline_us,
	};

	if (!engine && can_wait_at_owner(ticket)) {
		engine = route_pick_for_waiting(&ticket->decode_pool->route,
						&want);
		reserve.wait_until_us =
			MIN(now_us + RESERVE_WAIT_US,
			    MAX(ticket->request.start_by_us, now_us));
	}
	if (!engine || ticket->n_except == TICKET_EXCEPT_MAX) {
		wait_for_memory(ticket);
		return;
	}
	ticket->asked_backend = engine->config.context;
	reserve.engine = str_from(ticket->asked_backend->address);
	reserve.zone = str_from(ticket->asked_backend->zone);
	reserve.capacity_tokens = ticket->asked_backend->kv_total;
	reserve.key = key_of(ticket, ticket->attempt);
	ticket->reservation_id = reserve_start(
		ticket->scheduler->reserve, &reserve, on_reserve_done, ticket);
}

static gboolean on_reserve_begin(gpointer data)
{
	scheduler_ticket_t *ticket = data;

	ticket->idle_source = 0;
	start_reserve(ticket);
	return G_SOURCE_REMOVE;
}

/*
 * Reserves decode memory for an attempt, first at engines other than `avoid`,
 * which may be NULL. on_reserved follows once: with an engine, or with NULL
 * when the first-token target can no longer be met.
 */
void scheduler_reserve(scheduler_ticket_t *ticket, uint32_t attempt,
		       const backend_entry_t *avoid)
{
	ticket->attempt = attempt;
	ticket->n_except = 0;
	if (avoid)
		add_except(ticket, avoid->engine);
	ticket->idle_source = g_idle_add_full(G_PRIORITY_DEFAULT,
					      on_reserve_begin, ticket, NULL);
}

/*
 * Releases the memory of an attempt at an engine. after_cancel says that the
 * engine may use it until it has confirmed the cancellation.
 */
void scheduler_release(scheduler_ticket_t *ticket, uint32_t attempt,
		       backend_entry_t *engine, bool after_cancel)
{
	for (guint i = 0; i < ticket->held_grants->len; i++) {
		held_grant_t *held =
			&g_array_index(ticket->held_grants, held_grant_t, i);

		if (held->attempt == attempt && held->entry == engine) {
			release_grant(ticket, i, after_cancel);
			admit_queued(ticket->decode_pool);
			return;
		}
	}
}
