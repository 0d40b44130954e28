/* What the streams of one service ask of its engines, and how long the engines
 * take for it, as observed at the entry VMs. Nothing is known before the first
 * observations; they count for less as they age. Pure: no clock, no I/O.
 */
#ifndef PROCESS_WORKLOAD_H
#define PROCESS_WORKLOAD_H

#include <stdbool.h>
#include <stdint.h>

/* The sums that are kept: numbers of observations, each followed by the sums of
 * what they brought.
 */
typedef enum {
	WORKLOAD_REQUESTS, /* new streams */
	WORKLOAD_PROMPT_TOKENS,
	WORKLOAD_OUTPUT_TOKENS, /* as expected on arrival */
	WORKLOAD_PREFILLS, /* answered by an engine that had no other prompt */
	WORKLOAD_PREFILL_TOKENS,
	WORKLOAD_PREFILL_US,
	WORKLOAD_PREFILL_TOKENS_SQUARED,
	WORKLOAD_PREFILL_TOKENS_US, /* products of tokens and duration */
	WORKLOAD_QUEUED_TOKENS, /* read for a prompt that had to queue, with
				   those that were read before it */
	WORKLOAD_QUEUED_US, /* duration of such prefills */
	WORKLOAD_HAND_OVERS, /* decodes with a first event */
	WORKLOAD_HAND_OVER_US, /* from the send to that event */
	WORKLOAD_GAPS, /* between two events of a stream */
	WORKLOAD_GAP_US,
	WORKLOAD_GAP_STREAMS, /* at the engine during the gap */
	WORKLOAD_GAP_STREAMS_SQUARED,
	WORKLOAD_GAP_STREAMS_US, /* products of streams and gap */
	WORKLOAD_SUMS_N,
} workload_sum_t;

/* Decaying sums over observations. Those of several VMs can be added. */
typedef struct {
	double sums[WORKLOAD_SUMS_N];
	int64_t updated_us; /* the time for which the sums are right */
} workload_t;

/* How long an engine takes for a prompt: the fixed part is latency, in which it
 * reads other prompts already.
 */
typedef struct {
	double fixed_us;
	double us_per_token; /* 0: unknown */
} workload_prefill_t;

void workload_decay(workload_t *workload, int64_t now_us);
void workload_observe_request(workload_t *workload, int64_t now_us,
			      int64_t prompt_tokens, int64_t output_tokens);
void workload_observe_prefill(workload_t *workload, int64_t now_us,
			      int64_t tokens, int64_t backlog_tokens,
			      int64_t duration_us);
void workload_observe_hand_over(workload_t *workload, int64_t now_us,
				int64_t duration_us);
void workload_observe_gap(workload_t *workload, int64_t now_us, int64_t gap_us,
			  int64_t streams);
void workload_add(workload_t *total, const workload_t *part);
bool workload_is_valid(const workload_t *workload);

bool workload_is_sufficient(const workload_t *workload);
double workload_prompt_tokens(const workload_t *workload);
double workload_output_tokens(const workload_t *workload);
workload_prefill_t workload_prefill(const workload_t *workload);
double workload_hand_over_us(const workload_t *workload);
double workload_stream_us(const workload_t *workload, int64_t tokens_per_event);
double workload_full_stream_us(const workload_t *workload,
			       int64_t tokens_per_event, double streams);

#endif
