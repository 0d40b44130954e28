/* Admission control for streams: decides which one starts, waits or is refused.
 * Pure: no clock, no I/O.
 */
#ifndef PROCESS_ADMISSION_H
#define PROCESS_ADMISSION_H

#include <stdint.h>

#include "process/decide/occupancy.h"

/* A decode engine. */
typedef struct {
	int64_t slots; /* streams that it runs at the same time */
	int64_t kv_tokens; /* capacity of its KV cache, the decode memory */
	occupancy_use_t use; /* by all VMs */
	bool usable; /* gets work now */
	bool same_zone; /* in this VM's availability zone */
} admission_decode_t;

/* A prefill engine. */
typedef struct {
	int64_t backlog_tokens; /* prompts of all VMs that it reads or that wait
				   for it */
	double us_per_token;
	double fixed_us; /* latency of an answer beside the reading; the engine
			    reads the next prompt meanwhile */
	bool usable; /* gets work now */
	bool same_zone;
} admission_prefill_t;

/* The mean sizes of a stream; 0: unknown. */
typedef struct {
	double prompt_tokens;
	double output_tokens;
	double kv_tokens; /* decode memory counted for it */
} admission_stream_t;

/* The state of a service's engines and traffic. The arrays are the caller's. */
typedef struct {
	const admission_decode_t *decodes;
	size_t n_decodes;
	const admission_prefill_t *prefills;
	size_t n_prefills;
	double stream_us; /* mean duration of a stream; 0: unknown */
	double hand_over_us; /* mean time from the send to a decode engine to
				the first event; 0: unknown */
	double arrivals_per_s; /* new streams, at all VMs */
	admission_stream_t stream;
} admission_view_t;

/* A stream to decide on. */
typedef struct {
	int64_t prompt_tokens;
	int64_t kv_tokens; /* decode memory that it is expected to need */
	occupancy_urgency_t urgency;
	unsigned ahead; /* waiting requests of all VMs that come first */
	int64_t give_up_us; /* it may wait until then */
	bool resumed; /* the rest of a stream whose caller has its begin */
} admission_request_t;

/* What happens to a stream now. */
typedef enum {
	ADMISSION_START,
	ADMISSION_WAIT,
	ADMISSION_REFUSE,
} admission_action_t;

/* Why a request is refused. */
typedef enum {
	ADMISSION_OK, /* it is not */
	ADMISSION_NO_ENGINE, /* a stage has no usable engine */
	ADMISSION_FULL, /* more requests wait than can be started in time */
	ADMISSION_LATE, /* it has waited for as long as it may */
	ADMISSION_TOO_LARGE, /* for the decode memory of any engine */
} admission_reason_t;

/* The best prefill engine for a prompt. */
typedef struct {
	size_t index;
	int64_t duration_us; /* estimated, until the prompt is read */
	int64_t wait_us; /* part of it, while earlier prompts are read */
} admission_prefill_choice_t;

/* What to do with a stream, and the engines and wait that this rests on. */
typedef struct {
	admission_action_t action;
	admission_reason_t reason;
	size_t decode; /* index of the decode engine, when started */
	admission_prefill_choice_t prefill;
	int64_t wait_us; /* estimated time until a slot is free */
} admission_decision_t;

int64_t admission_expected_kv_tokens(int64_t prompt_tokens,
				     int64_t output_tokens);
admission_stream_t admission_mean_stream(const workload_t *workload);
double admission_stream_share(int64_t slots, int64_t kv_tokens,
			      const admission_stream_t *stream);
admission_decision_t admission_decide(const admission_view_t *view,
				      const admission_request_t *request,
				      int64_t now_us);
bool admission_is_overbooked(const admission_view_t *view, size_t index);
bool admission_pick_decode(const admission_view_t *view, int64_t kv_tokens,
			   size_t *index);
bool admission_pick_prefill(const admission_view_t *view, int64_t tokens,
			    admission_prefill_choice_t *choice);
int64_t admission_first_event_us(const admission_view_t *view,
				 int64_t prompt_tokens);
const char *admission_reason_text(admission_reason_t reason);

#endif
