/* One streaming request to model engines: its state, what it uses of engines,
 * and the ways in which it ends. stream_call.c admits it, stream_prefill.c and
 * stream_decode.c run its stages.
 */
#ifndef REQUEST_STREAM_H
#define REQUEST_STREAM_H

#include "request/event_split.h"
#include "request/relay_send.h"
#include "request/run_end.h"

/* Retry-After of a stream that was admitted and that engines then refused. */
#define STREAM_REFUSED_RETRY_US (100 * CLOCK_US_PER_MS)

typedef enum {
	STREAM_WAITING, /* not admitted yet */
	STREAM_UNRESOLVED, /* the version that began it is not known yet */
	STREAM_PREFILLING, /* sent to a prefill engine */
	STREAM_DECODING, /* sent to a decode engine, no event yet */
	STREAM_STREAMING, /* events arrive */
	STREAM_ENDING_RUN, /* its decode engine may still work on it */
} stream_state_t;

/* A streaming request from its arrival to the end of its answer. */
typedef struct {
	relay_request_t request;
	stream_state_t state;
	relay_send_t send; /* to the prefill or the decode engine */
	alarm_t deadline;
	occupancy_urgency_t urgency; /* its rank among waiting streams */
	int64_t kv_tokens; /* decode memory that it is expected to need */
	int64_t give_up_us; /* end of its wait once it is late */
	/* Times at which it reached a step; 0: not yet. */
	int64_t started_us; /* admitted */
	int64_t prefill_due_us; /* the prefill is overdue after it */
	int64_t prefill_backlog_tokens; /* of prompts queued before it */
	int64_t prefill_expected_us; /* how long it is expected to take; 0:
					unknown */
	double prefill_slowness; /* of the engine, when that was expected */
	int64_t prefilled_us;
	int64_t decode_started_us; /* latest send to a decode engine */
	int64_t begun_us; /* first event of that send; 0: none yet */
	int64_t first_event_us;
	int64_t last_event_us;
	int64_t longest_gap_us; /* between two events */
	/* Engines whose occupancy counts this stream; own a reference. */
	server_t *prefill; /* NULL: none */
	server_t *decode; /* NULL: none */
	server_t *prefilled_by; /* made the KV cache; owns a reference */
	/* KV cache of the prompt, or of a run that has ended, which no decode engine
	 * has taken yet, or NULL:
	 */
	char *kv_source; /* where the decode engine finds it: the address and
			    kv_handle */
	char *kv_handle; /* its ID at the engine that made it */
	bool kv_copied; /* only the decode engine chosen for it can take it */
	run_end_t *run_end; /* of the run before, while it is ended, or NULL */
	event_split_t event_split;
	size_t kept_bytes; /* of events, as counted in the relay */
	bool prefill_retried; /* it was sent to a second prefill engine */
	bool resumed; /* the caller asks for the rest of a stream */
	bool may_have_run; /* at an earlier decode engine */
	bool begun_well; /* the latest send has made events for some time */
	bool head_sent; /* the caller has the head of the response */
	bool response_is_error; /* or no engine's, or no stream; kept in send */
	unsigned empty_ends; /* sends that ended without an event, and without a
				length or chunks that would show an end */
} stream_t;

void stream_use_prefill(stream_t *stream, server_t *server);
void stream_release_prefill(stream_t *stream);
void stream_use_decode(stream_t *stream, server_t *server);
void stream_release_decode(stream_t *stream);
void stream_set_handle(stream_t *stream, server_t *server, const char *handle);
void stream_clear_handle(stream_t *stream);
void stream_release_handle(stream_t *stream);
void stream_count_events(stream_t *stream);

void stream_refuse(stream_t *stream, int64_t retry_after_us,
		   const char *reason);
void stream_fail(stream_t *stream, unsigned status, const char *reason);
void stream_log_end(const stream_t *stream, unsigned status,
		    request_result_t result, const char *text);
bool stream_end_if_quarantined(stream_t *stream);
bool stream_pass_on_to_peer(stream_t *stream);
void stream_log_lost(const stream_t *stream, const server_t *server);
void stream_finish(stream_t *stream);

#endif
