/* What the requests of one router share while they are passed on. */
#ifndef REQUEST_RELAY_H
#define REQUEST_RELAY_H

#include "connection/http_pool.h"
#include "connection/ingress.h"
#include "wire_fields.h"
#include "process/alarm.h"
#include "process/decide/occupancy.h"
#include "process/decide/output_model.h"
#include "process/decide/server_set.h"
#include "process/route_metrics.h"
#include "request/outcome.h"
#include "request/caller_timeout.h"
#include "request/retry.h"
#include "version/route_table.h"

/* One of so many successes is logged; failures always are. */
#define RELAY_SUCCESSES_PER_LOG 8

typedef struct {
	clock_source_t clock;
	http_pool_t *pool;
	server_set_t *servers;
	occupancy_t *occupancy;
	const char *zone; /* of this router */
	void (*on_occupancy_changed)(
		void *context); /* own use or waiters changed */
	void *context;
	double retry_share; /* second sends for each request */
	double retry_slack; /* second sends of this router in a window */
	GHashTable *budgets; /* service to retry_budget_t */
	GHashTable *patience; /* route to caller_timeout_t */
	GHashTable *outputs; /* service to output_model_t */
	GQueue streams; /* of stream_t, in progress */
	GQueue waiting; /* of stream_t, in the order of their claims */
	double stream_us; /* mean duration of a decode */
	double prompt_tokens; /* mean, and of the expected output */
	double output_tokens;
	uint64_t seed;
	unsigned active;
} relay_t;

/* One send to a backend server and what came back. */
typedef struct {
	relay_t *relay;
	server_t *server; /* NULL: none in progress */
	http_call_t *call;
	int64_t sent_us;
	unsigned status;
	response_fields_t fields;
	http_headers_t headers;
	GString *body;
} relay_send_t;

/* A caller's request with what the router knows of it. */
typedef struct {
	relay_t *relay;
	exchange_t *exchange;
	route_table_t *table;
	const table_route_t *route;
	const table_service_t *service;
	request_fields_t fields;
	int64_t arrived_us;
	int64_t deadline_us; /* of the caller and of the route */
	int64_t target_us; /* when the answer, or first event, is due */
	unsigned sends; /* to different servers */
	void (*on_gone)(void *owner); /* the caller has left */
	void *owner;
} relay_request_t;

void relay_init(relay_t *relay, clock_source_t clock, http_pool_t *pool,
		server_set_t *servers, occupancy_t *occupancy,
		const char *zone);
void relay_finish(relay_t *relay);
void relay_set_retry_limits(relay_t *relay, double share, double slack);

bool relay_request_init(relay_request_t *request, relay_t *relay,
			exchange_t *exchange, route_table_t *table,
			const table_route_t *route);
void relay_request_finish(relay_request_t *request);
output_model_t *relay_output_model(const relay_request_t *request);
bool relay_take_retry(const relay_request_t *request);
void relay_refuse(const relay_request_t *request, int64_t retry_after_us,
		  const char *reason);
void relay_fail(const relay_request_t *request, unsigned status,
		const char *reason);
void relay_count_end(const relay_request_t *request, request_result_t result);
bool relay_is_sampled(const relay_request_t *request);
void relay_log_send(const relay_request_t *request, const server_t *server,
		    const char *stage);
void relay_log_end(const relay_request_t *request, const server_t *server,
		   unsigned status, request_result_t result);

void relay_send_init(relay_send_t *send, relay_t *relay);
void relay_send_finish(relay_send_t *send);
bool relay_send_start(relay_send_t *send, const relay_request_t *request,
		      server_t *server, const forward_fields_t *fields,
		      const call_handler_t *handler, void *context);
void relay_send_read_head(relay_send_t *send, const http_head_t *head);
void relay_send_ended(relay_send_t *send);
void relay_send_cancel(relay_send_t *send);
outcome_t relay_send_record_outcome(relay_send_t *send, call_end_t end,
				    bool timed_out, bool repeatable);

#endif
