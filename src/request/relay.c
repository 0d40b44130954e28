#include "request/relay.h"

#include "process/counters.h"
#include "process/log.h"
#include "request/request_keys.h"

/* Time that a caller is assumed to wait if its request states none. */
#define DEFAULT_TIME_LEFT_US (30 * CLOCK_US_PER_S)

/* Most bytes that are kept of one response, and the memory for all of them at a VM. The length
 * leaves room for the NUL in a buffer of 8 MB. The smallest VMs have 88 MB. Events have a part of
 * it, so that streams whose engines stop inside events leave room for responses; and so have
 * plain responses, so that those that wait for their callers leave room for all else.
 */
#define MAX_KEPT_BYTES (((size_t)8 << 20) - 1)
#define MAX_KEPT_MEMORY_BYTES ((size_t)32 << 20)
#define MAX_KEPT_EVENTS_BYTES ((size_t)16 << 20)
#define MAX_KEPT_ANSWERS_BYTES ((size_t)24 << 20)

/* Frees a retry budget. */
static void free_budget(gpointer data)
{
	g_free(data);
}

/* Finds the server of a process, for the quarantine. */
static server_t *find_server(void *context, uint64_t process)
{
	const relay_t *relay = context;
	GHashTableIter iter;
	gpointer server;

	g_hash_table_iter_init(&iter, relay->servers->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &server)) {
		if (request_process_number(&((server_t *)server)->entry) ==
		    process)
			return server;
	}
	return NULL;
}

/* Sets up the shared state; the pointers must outlive it. Retries are not
 * allowed until relay_set_retry_limits() is called.
 */
void relay_init(relay_t *relay, clock_source_t clock, http_pool_t *pool,
		server_set_t *servers, occupancy_t *occupancy, const char *zone)
{
	*relay = (relay_t){
		.clock = clock,
		.pool = pool,
		.servers = servers,
		.occupancy = occupancy,
		.zone = zone,
		.seed = (uint64_t)clock_now(&clock),
	};
	relay->retry_budgets = g_hash_table_new_full(g_str_hash, g_str_equal,
						     g_free, free_budget);
	relay->caller_timeouts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	relay->output_models =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	server_limits_init(&relay->limits, (uint32_t)relay->seed);
	quarantine_init(&relay->quarantine, find_server, relay);
	stream_origins_init(&relay->origins);
	software_history_init(&relay->software);
	memory_budget_init(&relay->kept, MAX_KEPT_MEMORY_BYTES);
	memory_budget_init(&relay->kept_events, MAX_KEPT_EVENTS_BYTES);
	relay->kept_events.whole = &relay->kept;
	memory_budget_init(&relay->kept_answers, MAX_KEPT_ANSWERS_BYTES);
	relay->kept_answers.whole = &relay->kept;
	answer_room_init(&relay->room, &relay->kept_answers);
	g_queue_init(&relay->streams);
	g_queue_init(&relay->waiting);
	g_queue_init(&relay->unresolved);
	g_queue_init(&relay->releases);
	g_queue_init(&relay->probes);
}

/* Frees the shared state; no request may be in progress. */
void relay_finish(relay_t *relay)
{
	answer_room_finish(&relay->room);
	g_hash_table_unref(relay->retry_budgets);
	g_hash_table_unref(relay->caller_timeouts);
	g_hash_table_unref(relay->output_models);
	server_limits_finish(&relay->limits);
	quarantine_finish(&relay->quarantine);
	stream_origins_finish(&relay->origins);
	software_history_finish(&relay->software);
}

/* Limits the retries of each service: every request adds `share` of a retry to
 * the service's budget, which holds `slack` retries at most.
 */
void relay_set_retry_limits(relay_t *relay, double share, double slack)
{
	GHashTableIter iter;
	gpointer value;

	relay->retry_share = share;
	relay->retry_slack = slack;
	g_hash_table_iter_init(&iter, relay->retry_budgets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		retry_budget_t *budget = value;

		budget->share = share;
		budget->capacity = slack;
		budget->retries_left = MIN(budget->retries_left, slack);
	}
}

/* Returns the retry budget of a service; creates a full one if it has none. */
static retry_budget_t *budget_of(relay_t *relay, const char *service)
{
	retry_budget_t *budget =
		g_hash_table_lookup(relay->retry_budgets, service);

	if (!budget) {
		budget = g_new(retry_budget_t, 1);
		retry_budget_init(budget, relay->retry_share,
				  relay->retry_slack);
		g_hash_table_insert(relay->retry_budgets, g_strdup(service),
				    budget);
	}
	return budget;
}

/* Returns how long a caller has waited already in earlier attempts. */
static int64_t caller_elapsed_us(relay_t *relay, const table_route_t *route,
				 int64_t time_left_us)
{
	char *key = g_strconcat(route->host, route->path_prefix, NULL);
	caller_timeout_t *timeout =
		g_hash_table_lookup(relay->caller_timeouts, key);

	if (!timeout) {
		timeout = g_new0(caller_timeout_t, 1);
		g_hash_table_insert(relay->caller_timeouts, key, timeout);
	} else {
		g_free(key);
	}
	return caller_timeout_elapsed_us(timeout, time_left_us);
}

/* Returns the time that the caller of a request has left when it comes. */
static int64_t caller_time_left_us(const request_fields_t *fields)
{
	return fields->time_left_us > 0 ? fields->time_left_us
					: DEFAULT_TIME_LEFT_US;
}

/* Returns the deadline of a request with these fields: the earlier of the caller's and the
 * route's.
 */
static int64_t deadline_us(const exchange_t *exchange,
			   const request_fields_t *fields,
			   const table_route_t *route)
{
	return exchange_arrived_us(exchange) +
	       MIN(caller_time_left_us(fields), route->timeout_us);
}

/* Returns the deadline that a request would have. */
int64_t relay_deadline_us(const exchange_t *exchange,
			  const table_route_t *route)
{
	request_fields_t fields;

	request_fields_read(exchange_head(exchange), &fields);
	return deadline_us(exchange, &fields, route);
}

/*
 * Begins a request: chooses its service, reads its fields and sets its time
 * limits. False when its route leads to no service; the request must then not
 * be used.
 */
bool relay_request_init(relay_request_t *request, relay_t *relay,
			exchange_t *exchange, route_table_t *table,
			const table_route_t *route)
{
	const char *service =
		table_route_pick(route, retry_random(&relay->seed));

	memset(request, 0, sizeof(*request));
	if (!service)
		return false;
	request->service = route_table_service(table, service);
	if (!request->service)
		return false;
	request->relay = relay;
	request->exchange = exchange;
	request->table = route_table_ref(table);
	exchange_set_context(exchange, request);
	request->route = route;
	request->from_peer = exchange_is_from_peer(exchange);
	request->arrived_us = exchange_arrived_us(exchange);
	request_fields_read(exchange_head(exchange), &request->fields);
	request->deadline_us = deadline_us(exchange, &request->fields, route);
	request->answer_due_us =
		request->arrived_us + route->target_us -
		caller_elapsed_us(relay, route,
				  caller_time_left_us(&request->fields));
	retry_budget_add_first_send(budget_of(relay, service));
	server_limits_add_request(&relay->limits, service, request->arrived_us);
	relay->active++;
	return true;
}

/* Releases what a request owns after its exchange has ended. */
void relay_request_finish(relay_request_t *request)
{
	route_table_unref(request->table);
	request->relay->active--;
}

/* Returns this VM's own observations of a request's service, to add to. */
workload_t *relay_own_workload(const relay_request_t *request)
{
	return occupancy_own_workload(request->relay->occupancy,
				      request->service->name);
}

/* Returns what all VMs have observed of a request's service; borrowed. */
const workload_t *relay_workload(const relay_request_t *request)
{
	return occupancy_workload(request->relay->occupancy,
				  request->service->name,
				  clock_now(&request->relay->clock));
}

/* Returns the output model of a request's service; borrowed. */
output_model_t *relay_output_model(const relay_request_t *request)
{
	GHashTable *outputs = request->relay->output_models;
	const char *service = request->service->name;
	output_model_t *model = g_hash_table_lookup(outputs, service);

	if (!model) {
		model = g_new(output_model_t, 1);
		output_model_init(model);
		g_hash_table_insert(outputs, g_strdup(service), model);
	}
	return model;
}

/* Takes a retry out of the budget of a request's service. False when none is
 * left.
 */
bool relay_take_retry(const relay_request_t *request)
{
	bool taken = retry_budget_take(
		budget_of(request->relay, request->service->name));

	counters_add(taken ? COUNTER_RETRIES : COUNTER_RETRIES_DENIED, 1);
	return taken;
}

/* Answers with 503 that the request has not run and will not run. The caller
 * may retry it after retry_after_us. Another VM also learns whether a server may have got it.
 */
void relay_refuse(const relay_request_t *request, int64_t retry_after_us,
		  const char *reason)
{
	counters_add(COUNTER_REQUESTS_REFUSED, 1);
	route_metrics_count(request->route->name, RESULT_REFUSED);
	log_event(LOG_INFO, "request_refused",
		  LOG_STR("request", request->fields.id),
		  LOG_CSTR("route", request->route->name),
		  LOG_CSTR("reason", reason),
		  LOG_INT("after_ms", (clock_now(&request->relay->clock) -
				       request->arrived_us) /
					      CLOCK_US_PER_MS),
		  LOG_INT("retry_after_ms", retry_after_us / CLOCK_US_PER_MS));
	exchange_reply_lines(
		request->exchange, 503, retry_after_us,
		request->from_peer ? peer_refusal_line(request->taken > 0) : "",
		reason);
}

/* Answers with an error of the caller's, for which the request is not sent to a server. */
void relay_reject(const relay_request_t *request, unsigned status,
		  const char *reason)
{
	counters_add(COUNTER_REQUESTS_REFUSED, 1);
	route_metrics_count(request->route->name, RESULT_REFUSED);
	log_event(LOG_INFO, "request_rejected",
		  LOG_STR("request", request->fields.id),
		  LOG_CSTR("route", request->route->name),
		  LOG_UINT("status", status), LOG_CSTR("reason", reason),
		  LOG_INT("prompt_tokens", request->fields.prompt_tokens));
	exchange_reply_text(request->exchange, status, 0, reason);
}

/* Answers with an error that the request may have run. */
void relay_fail(const relay_request_t *request, unsigned status,
		const char *reason)
{
	counters_add(COUNTER_REQUESTS_FAILED, 1);
	route_metrics_count(request->route->name, RESULT_FAILED);
	log_event(LOG_WARN, "request_failed",
		  LOG_STR("request", request->fields.id),
		  LOG_CSTR("route", request->route->name),
		  LOG_UINT("status", status), LOG_CSTR("reason", reason),
		  LOG_INT("after_ms", (clock_now(&request->relay->clock) -
				       request->arrived_us) /
					      CLOCK_US_PER_MS));
	exchange_reply_text(request->exchange, status, 0, reason);
}

/* Counts the end of a request that a server has answered, that broke off or
 * whose caller has disconnected.
 */
void relay_count_end(const relay_request_t *request, request_result_t result)
{
	const char *route = request->route->name;

	route_metrics_count(route, result);
	if (result == RESULT_OK || result == RESULT_SERVER_ERROR)
		route_metrics_observe(HISTOGRAM_REQUEST, route,
				      clock_now(&request->relay->clock) -
					      request->arrived_us);
}

/* Returns whether a request is in the sample of which successes are logged. All
 * VMs choose the same requests, by their ID.
 */
bool relay_is_sampled(const relay_request_t *request)
{
	guint hash = 0;

	for (size_t i = 0; i < request->fields.id.len; i++)
		hash = hash * 31 + (guchar)request->fields.id.data[i];
	return hash % RELAY_SUCCESSES_PER_LOG == 0;
}

/* Logs the send of a request to a server: all after the first one, and of first
 * sends a sample.
 */
void relay_log_send(const relay_request_t *request, const server_t *server,
		    const char *stage)
{
	if (request->sends <= 1 && !relay_is_sampled(request))
		return;
	log_event(LOG_INFO, "request_sent",
		  LOG_STR("request", request->fields.id),
		  LOG_CSTR("stage", stage),
		  LOG_CSTR("server", server->entry.id),
		  LOG_UINT("sends", request->sends),
		  LOG_UINT("server_in_flight", server->in_flight),
		  LOG_INT("left_ms", (request->deadline_us -
				      clock_now(&request->relay->clock)) /
					     CLOCK_US_PER_MS));
}

/* Counts the end of a request and logs it; of successes, only a sample. */
void relay_log_end(const relay_request_t *request, const server_t *server,
		   unsigned status, request_result_t result)
{
	bool ok = result == RESULT_OK;

	relay_count_end(request, result);
	if (ok && !relay_is_sampled(request))
		return;
	log_event(LOG_INFO, "request_ended",
		  LOG_STR("request", request->fields.id),
		  LOG_CSTR("route", request->route->name),
		  LOG_CSTR("server", server ? server->entry.id : ""),
		  LOG_UINT("status", status),
		  LOG_CSTR("result", request_result_name(result)),
		  LOG_INT("after_ms", (clock_now(&request->relay->clock) -
				       request->arrived_us) /
					      CLOCK_US_PER_MS),
		  LOG_INT("sample", ok ? RELAY_SUCCESSES_PER_LOG : 1));
}

/* Reserves memory for a response that is kept until it is complete, once its head has come;
 * without room it is not read until there is some. One that is too large in any case is left to
 * relay_keep().
 */
void relay_claim_room(relay_t *relay, answer_wait_t *wait, http_call_t *call,
		      kept_buffer_t *body, int64_t bytes)
{
	if (bytes > (int64_t)MAX_KEPT_BYTES ||
	    answer_room_claim(&relay->room, wait, call, body, bytes))
		return;
	log_event(LOG_INFO, "response_waits", LOG_INT("bytes", bytes),
		  LOG_UINT("waiting", relay->room.waiting.length),
		  LOG_UINT("answers_bytes", relay->kept_answers.used_bytes),
		  LOG_UINT("all_bytes", relay->kept.used_bytes));
}

/* Keeps a piece of a response until it is complete. Returns false if this one, or all that
 * are kept at the time, would take too much memory.
 */
bool relay_keep(kept_buffer_t *buffer, str_t bytes)
{
	return kept_buffer_append(buffer, bytes, MAX_KEPT_BYTES);
}

/* Answers with a response that was kept, whose body counts in the memory budget until its caller
 * has taken it. Ends the exchange.
 */
void relay_reply(const relay_request_t *request, unsigned status,
		 const http_headers_t *headers, kept_buffer_t *body)
{
	GBytes *bytes = kept_buffer_take(body);

	answer_room_record(&request->relay->room, request->route->name,
			   g_bytes_get_size(bytes));
	exchange_reply_shared(request->exchange, status, headers, bytes);
	g_bytes_unref(bytes);
}

/* Records that the address of a server has answered that another process has it. `call`
 * names the kind of call in the log.
 */
void relay_record_misdirected(relay_t *relay, server_t *server,
			      const char *call)
{
	if (!server_set_mark_misdirected(relay->servers, server,
					 clock_now(&relay->clock)))
		return;
	log_event(LOG_WARN, "server_misdirected",
		  LOG_CSTR("server", server->entry.id), LOG_CSTR("call", call),
		  LOG_CSTR("address", server->entry.address));
}
