/* Ends the run of a request at a model engine that may still work on it although the call has
 * ended, so that the request can go on at another engine. The engine keeps the KV cache of a run
 * that it has ended and copies it to the other engine.
 */
#ifndef REQUEST_RUN_END_H
#define REQUEST_RUN_END_H

#include "request/relay.h"

/* What is known of the run. */
typedef enum {
	RUN_END_DONE, /* the engine does not work on it */
	RUN_END_UNREACHED, /* the engine cannot be asked, or gives no answer */
	RUN_END_FAILED, /* the engine answers, but does not end it */
} run_end_verdict_t;

/* Where the KV cache of a run that has ended is. */
typedef struct {
	server_t *server; /* had the run; borrowed */
	const char *handle; /* of the KV cache; NULL: none is kept */
	bool copied; /* the other engine has it too */
} run_end_cache_t;

typedef void (*run_end_fn_t)(void *context, run_end_verdict_t verdict,
			     const run_end_cache_t *cache);

/* One end of a run, on memory of the owner, which must not move. */
typedef struct {
	relay_t *relay;
	server_t *server; /* owns a reference; NULL: none in progress */
	char *to_address; /* of the other engine */
	str_t request_id; /* borrowed */
	http_call_t *call; /* NULL: none in progress */
	unsigned status; /* of its answer; 0: none has come */
	GString *body;
	alarm_t retry; /* sends the call again */
	alarm_t deadline;
	int64_t begun_us;
	unsigned calls;
	unsigned cut_calls; /* that got no whole answer */
	unsigned unsent_calls; /* for which no connection was made */
	bool answered; /* one of the calls */
	bool had_begun; /* the engine, to answer the request */
	run_end_fn_t on_end;
	void *context;
} run_end_t;

void run_end_init(run_end_t *end, relay_t *relay, run_end_fn_t on_end,
		  void *context);
bool run_end_start(run_end_t *end, server_t *server, str_t request_id,
		   bool had_begun, const server_t *to);
void run_end_finish(run_end_t *end);

#endif
