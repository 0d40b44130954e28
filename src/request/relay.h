/* Passes requests on to backend servers: the state that all requests of one VM
 * share, and one caller's request. Shared by calls of plain services and streams
 * from model engines.
 */
#ifndef REQUEST_RELAY_H
#define REQUEST_RELAY_H

#include "connection/http_pool.h"
#include "connection/ingress.h"
#include "wire_fields.h"
#include "process/alarm.h"
#include "process/decide/occupancy.h"
#include "process/decide/output_model.h"
#include "process/decide/quarantine.h"
#include "process/decide/server_limits.h"
#include "process/decide/server_set.h"
#include "process/decide/software_history.h"
#include "process/decide/stream_origins.h"
#include "process/memory_budget.h"
#include "process/route_metrics.h"
#include "request/answer_room.h"
#include "request/caller_timeout.h"
#include "request/retry.h"
#include "version/route_table.h"

/* Of so many successful requests one is logged; failures always are. */
#define RELAY_SUCCESSES_PER_LOG 8

/* Retry-After of a request whose service no VM could be asked for. */
#define RELAY_UNREACHED_RETRY_US (150 * CLOCK_US_PER_MS)

/* State of one VM. The pointers are borrowed. */
typedef struct {
	clock_source_t clock;
	http_pool_t *pool; /* connections to backend servers */
	http_pool_t *peer_pool; /* connections to other VMs */
	server_set_t *servers;
	occupancy_t *occupancy;
	server_limits_t limits;
	quarantine_t quarantine;
	stream_origins_t origins;
	int64_t origins_read_us; /* begin of the last read of the streams that
				    the platform's store has; 0: none */
	software_history_t software;
	const char *zone; /* availability zone of this VM */
	/* Called when this VM's use of servers, or the streams that wait at it,
	 * may have changed.
	 */
	void (*on_occupancy_changed)(void *context);
	/* Called when a server was lost while it began a request. */
	void (*on_loss)(void *context);
	/* Called when this VM has added a stream to `origins`. */
	void (*on_origin)(void *context);
	/* A server has said in an answer that it leaves; may be NULL. */
	void (*on_departure)(void *context, const char *server);
	/* Called again and again while a request waits in `unresolved`. */
	void (*on_unresolved)(void *context);
	/* Returns where a VM takes requests from others, "IP:port", borrowed, or
	 * NULL if that is not known. NULL: requests are not passed on.
	 */
	const char *(*peer_address)(void *context, const char *vm);
	void *context; /* for the callbacks above */
	double retry_share; /* retries that each request adds to a budget */
	double retry_slack; /* retries that a budget holds at most */
	GHashTable *retry_budgets; /* service name to retry_budget_t */
	GHashTable *caller_timeouts; /* route to caller_timeout_t */
	GHashTable *output_models; /* service name to output_model_t */
	GQueue streams; /* of stream_t: all in progress */
	GQueue waiting; /* of stream_t: not started yet, most urgent first */
	GQueue unresolved; /* of stream_t: the version that began them is not
			      known yet */
	uint64_t seed; /* of retry_random() */
	unsigned active; /* requests in progress */
	memory_budget_t kept; /* of responses; may be part of a larger one */
	memory_budget_t kept_answers; /* of plain responses, a part of `kept` */
	answer_room_t room; /* in that part */
	memory_budget_t kept_events; /* of events, a part of `kept` */
	GQueue releases; /* of prefill results, in progress */
	GQueue probes; /* of silent servers, in progress */
} relay_t;

/* Retry-After of a request that a process refuses because it ends (another VM may take it
 * at once), and the text of its answer.
 */
#define RELAY_STOPPING_RETRY_US (50 * CLOCK_US_PER_MS)
#define RELAY_STOPPING_REASON "the process is stopping"

/* A caller's request, its route and its time limits. */
typedef struct {
	relay_t *relay;
	exchange_t *exchange;
	route_table_t *table; /* owns a reference, for route and service */
	const table_route_t *route;
	const table_service_t *service;
	request_fields_t fields;
	int64_t arrived_us;
	int64_t deadline_us; /* the earlier of the caller's and the route's */
	/* When the answer, or its first event, is due by the route's target. */
	int64_t answer_due_us;
	bool from_peer; /* another VM has passed it on */
	bool is_trial; /* sent although a rule holds requests like it */
	unsigned sends; /* each to another server; prefills not counted */
	unsigned taken; /* sends, and prefills, that a server may have got */
	/* Only decode engines with this version of their software may run it,
	 * as request_software_number() names it; 0: all.
	 */
	uint64_t required_software;
	void (*on_gone)(void *owner); /* the caller has disconnected */
	/* The process ends: the request is answered now, or its answer is cut. */
	void (*on_stop)(void *owner);
	/* The caller is no longer behind with its stream. NULL: never is. */
	void (*on_caught_up)(void *owner);
	void *owner; /* the call or stream that this is part of */
} relay_request_t;

void relay_init(relay_t *relay, clock_source_t clock, http_pool_t *pool,
		server_set_t *servers, occupancy_t *occupancy,
		const char *zone);
void relay_finish(relay_t *relay);
void relay_set_retry_limits(relay_t *relay, double share, double slack);

int64_t relay_deadline_us(const exchange_t *exchange,
			  const table_route_t *route);
bool relay_request_init(relay_request_t *request, relay_t *relay,
			exchange_t *exchange, route_table_t *table,
			const table_route_t *route);
void relay_request_finish(relay_request_t *request);
workload_t *relay_own_workload(const relay_request_t *request);
const workload_t *relay_workload(const relay_request_t *request);
output_model_t *relay_output_model(const relay_request_t *request);
bool relay_take_retry(const relay_request_t *request);
void relay_refuse(const relay_request_t *request, int64_t retry_after_us,
		  const char *reason);
void relay_reject(const relay_request_t *request, unsigned status,
		  const char *reason);
void relay_fail(const relay_request_t *request, unsigned status,
		const char *reason);
void relay_count_end(const relay_request_t *request, request_result_t result);
bool relay_is_sampled(const relay_request_t *request);
void relay_log_send(const relay_request_t *request, const server_t *server,
		    const char *stage);
void relay_log_end(const relay_request_t *request, const server_t *server,
		   unsigned status, request_result_t result);

void relay_claim_room(relay_t *relay, answer_wait_t *wait, http_call_t *call,
		      kept_buffer_t *body, int64_t bytes);
void relay_reply(const relay_request_t *request, unsigned status,
		 const http_headers_t *headers, kept_buffer_t *body);
bool relay_keep(kept_buffer_t *buffer, str_t bytes);
void relay_record_misdirected(relay_t *relay, server_t *server,
			      const char *call);

#endif
