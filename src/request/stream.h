/* One stream from a model engine: what it uses, and how it ends. */
#ifndef REQUEST_STREAM_H
#define REQUEST_STREAM_H

#include "request/event_split.h"
#include "request/relay.h"

/* Time to come back when an engine refused what had been admitted. */
#define STREAM_REJECTED_RETRY_US (100 * CLOCK_US_PER_MS)

typedef enum {
	STREAM_WAITING,
	STREAM_PREFILLING,
	STREAM_DECODING, /* sent to a decode engine, no event yet */
	STREAM_STREAMING,
} stream_state_t;

typedef struct {
	relay_request_t request;
	stream_state_t state;
	relay_send_t send; /* to the prefill or the decode engine */
	alarm_t deadline;
	occupancy_urgency_t urgency;
	int64_t kv_tokens; /* counted at the decode engine */
	int64_t give_up_us; /* waiting */
	int64_t started_us; /* 0: still waiting; likewise below */
	int64_t prefill_due_us; /* overdue after it */
	int64_t prefill_backlog; /* tokens before and with this one */
	int64_t prefilled_us;
	int64_t decode_started_us;
	int64_t first_event_us;
	int64_t last_event_us;
	int64_t longest_gap_us; /* between two events */
	server_t *prefill; /* NULL: none is counted for this stream */
	server_t *decode;
	server_t *prefilled_by; /* made the prefill result, or NULL */
	char *kv_source; /* prefill result that has not been fetched */
	char *handle;
	event_split_t split;
	bool prefill_retried;
	bool head_sent; /* the caller has the head of the response */
	bool passes_error; /* the response is an error that is kept whole */
} stream_t;

void stream_use_prefill(stream_t *stream, server_t *server);
void stream_release_prefill(stream_t *stream);
void stream_use_decode(stream_t *stream, server_t *server);
void stream_release_decode(stream_t *stream);
void stream_clear_handle(stream_t *stream);

void stream_refuse(stream_t *stream, int64_t retry_after_us,
		   const char *reason);
void stream_fail(stream_t *stream, unsigned status, const char *reason);
void stream_log_end(const stream_t *stream, unsigned status,
		    request_result_t result, const char *text);
void stream_finish(stream_t *stream);

#endif
