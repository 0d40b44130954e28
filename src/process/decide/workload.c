#include "process/decide/workload.h"

#include <math.h>

#include "process/clock.h"
#include "process/str.h"

/* Time in which the weight of an observation decays to 1/e. It is longer than
 * an engine takes to change its stage, so that a short surge of one kind of
 * request does not count as the new mix.
 */
#define DECAY_US (20.0 * CLOCK_US_PER_S)

/* The decay is applied in steps of this length. */
#define DECAY_STEP_US (100 * CLOCK_US_PER_MS)

/* Observations from which on the means are good enough to change the stage of
 * engines. Sizes of requests differ by about their mean, so the mean of this
 * many is off by a fifth.
 */
#define SUFFICIENT_REQUESTS 25
#define SUFFICIENT_PREFILLS 3
#define SUFFICIENT_GAPS 50

/* Prefills from which on a regression is made. */
#define REGRESSION_PREFILLS 5

/* Prompts of about one size say nothing about the part of the duration that
 * depends on the size: the variance of the sizes must be at least this share of
 * the squared mean.
 */
#define MIN_PROMPT_VARIANCE 0.01

/* Least part of the duration that depends on the size, whatever the regression
 * says.
 */
#define MIN_SLOPE_SHARE 0.3

/* Variance of the number of streams at an engine that is added to the observed
 * one.
 */
#define PRIOR_STREAM_VARIANCE 0.25

/* Upper bound for a sum that a peer announces, so that totals stay finite. */
#define MAX_SUM 1e15

/* Upper bound for the mean sizes that a peer announces, in tokens: no VM takes a larger
 * number from a caller.
 */
#define MAX_MEAN_TOKENS 2e7

/* Least number of observations that is remembered: that of hours ago. */
#define MIN_COUNT 1e-100

/* Longest duration that is observed, and upper bound for the mean durations that a peer
 * announces. Callers wait an hour at most, so a longer time is that of a process that was
 * suspended. The bound leaves room for rounding.
 */
#define MAX_DURATION_US (3600 * CLOCK_US_PER_S)
#define MAX_MEAN_US (1.01 * (double)MAX_DURATION_US)

/* Share by which a single request may raise a mean of the sizes that callers state, once
 * there are as many observations as this.
 */
#define MAX_MEAN_RISE 0.2
#define RISE_LIMITED_FROM 10.0

/* The largest mean of one kind that is accepted from a peer. */
typedef struct {
	workload_sum_t sum;
	workload_sum_t count;
	double max;
} mean_bound_t;

/* Forgets the kinds of observations whose number has become as small as a double can hardly
 * express: their sums would no longer decay alike.
 */
static void forget_oldest(workload_t *workload)
{
	static const workload_sum_t counts[] = {
		WORKLOAD_REQUESTS,   WORKLOAD_PREFILLS, WORKLOAD_QUEUED_TOKENS,
		WORKLOAD_HAND_OVERS, WORKLOAD_GAPS,	WORKLOAD_SUMS_N,
	};

	for (size_t i = 0; i + 1 < G_N_ELEMENTS(counts); i++) {
		if (workload->sums[counts[i]] >= MIN_COUNT)
			continue;
		for (size_t j = counts[i]; j < counts[i + 1]; j++)
			workload->sums[j] = 0;
	}
}

/* Lets the sums decay until now. */
void workload_decay(workload_t *workload, int64_t now_us)
{
	int64_t age_us = now_us - workload->updated_us;
	double share;

	if (age_us < DECAY_STEP_US)
		return;
	share = exp(-(double)age_us / DECAY_US);
	for (int i = 0; i < WORKLOAD_SUMS_N; i++)
		workload->sums[i] *= share;
	forget_oldest(workload);
	workload->updated_us = now_us;
}

/* Returns the largest value that raises the mean of a sum by no more than a single request
 * may.
 */
static double largest_usual(const workload_t *workload, workload_sum_t sum,
			    workload_sum_t count)
{
	double n = workload->sums[count];

	if (n < RISE_LIMITED_FROM)
		return INFINITY;
	return workload->sums[sum] / n * (1 + MAX_MEAN_RISE * (n + 1));
}

/* Adds a size that a caller stated to a sum, before its observation is counted. */
static void add_stated(workload_t *workload, workload_sum_t sum, int64_t tokens)
{
	workload->sums[sum] +=
		fmin((double)tokens,
		     largest_usual(workload, sum, WORKLOAD_REQUESTS));
}

/* Adds a request that has arrived. */
void workload_observe_request(workload_t *workload, int64_t now_us,
			      int64_t prompt_tokens, int64_t output_tokens)
{
	workload_decay(workload, now_us);
	add_stated(workload, WORKLOAD_PROMPT_TOKENS, prompt_tokens);
	add_stated(workload, WORKLOAD_OUTPUT_TOKENS, output_tokens);
	workload->sums[WORKLOAD_REQUESTS] += 1;
}

/* Returns the quotient of two sums, or 0 if nothing was observed. */
static double mean(const workload_t *workload, workload_sum_t sum,
		   workload_sum_t count)
{
	return workload->sums[count] > 0
		       ? workload->sums[sum] / workload->sums[count]
		       : 0;
}

/* Returns the mean prompt of a request; 0: unknown. */
double workload_prompt_tokens(const workload_t *workload)
{
	return mean(workload, WORKLOAD_PROMPT_TOKENS, WORKLOAD_REQUESTS);
}

/* Returns a duration that was observed, within bounds. */
static double limited_us(int64_t duration_us)
{
	return (double)CLAMP(duration_us, 0, MAX_DURATION_US);
}

/* Adds the prefill of a prompt that had to queue. Of the backlog, half a prompt
 * is read already on average; a shorter one says little.
 */
static void observe_queued(workload_t *workload, int64_t tokens,
			   int64_t backlog_tokens, int64_t duration_us)
{
	double prompt = workload_prompt_tokens(workload);

	if ((double)backlog_tokens < prompt)
		return;
	workload->sums[WORKLOAD_QUEUED_TOKENS] +=
		(double)(tokens + backlog_tokens) - prompt / 2;
	workload->sums[WORKLOAD_QUEUED_US] += limited_us(duration_us);
}

/* Adds the prefill of a prompt that was sent when the engine had
 * `backlog_tokens` of other prompts. The size is the caller's word; one that is far larger
 * than others says nothing of the engine's speed.
 */
void workload_observe_prefill(workload_t *workload, int64_t now_us,
			      int64_t tokens, int64_t backlog_tokens,
			      int64_t duration_us)
{
	workload_decay(workload, now_us);
	if ((double)tokens >
	    largest_usual(workload, WORKLOAD_PREFILL_TOKENS, WORKLOAD_PREFILLS))
		return;
	if (backlog_tokens > 0) {
		observe_queued(workload, tokens, backlog_tokens, duration_us);
		return;
	}
	workload->sums[WORKLOAD_PREFILLS] += 1;
	workload->sums[WORKLOAD_PREFILL_TOKENS] += (double)tokens;
	workload->sums[WORKLOAD_PREFILL_US] += limited_us(duration_us);
	workload->sums[WORKLOAD_PREFILL_TOKENS_SQUARED] +=
		(double)tokens * (double)tokens;
	workload->sums[WORKLOAD_PREFILL_TOKENS_US] +=
		(double)tokens * limited_us(duration_us);
}

/* Adds the time from the send to a decode engine to its first event. */
void workload_observe_hand_over(workload_t *workload, int64_t now_us,
				int64_t duration_us)
{
	workload_decay(workload, now_us);
	workload->sums[WORKLOAD_HAND_OVERS] += 1;
	workload->sums[WORKLOAD_HAND_OVER_US] += limited_us(duration_us);
}

/* Adds the time between two events of a stream, while its engine had `streams`
 * streams.
 */
void workload_observe_gap(workload_t *workload, int64_t now_us, int64_t gap_us,
			  int64_t streams)
{
	double n = (double)streams;

	workload_decay(workload, now_us);
	workload->sums[WORKLOAD_GAPS] += 1;
	workload->sums[WORKLOAD_GAP_US] += limited_us(gap_us);
	workload->sums[WORKLOAD_GAP_STREAMS] += n;
	workload->sums[WORKLOAD_GAP_STREAMS_SQUARED] += n * n;
	workload->sums[WORKLOAD_GAP_STREAMS_US] += n * limited_us(gap_us);
}

/* Adds the sums of one VM to a total. */
void workload_add(workload_t *total, const workload_t *part)
{
	for (int i = 0; i < WORKLOAD_SUMS_N; i++)
		total->sums[i] += part->sums[i];
}

/* Returns whether the mean of a sum is one that observations can bring. The mean of
 * durations that are weighted, by tokens or streams, has the bound of a duration.
 */
static bool is_valid_mean(const workload_t *workload, const mean_bound_t *bound)
{
	return workload->sums[bound->sum] <=
	       bound->max * workload->sums[bound->count];
}

/* Returns whether all sums that a peer has announced are within bounds. */
bool workload_is_valid(const workload_t *workload)
{
	static const mean_bound_t bounds[] = {
		{WORKLOAD_PROMPT_TOKENS, WORKLOAD_REQUESTS, MAX_MEAN_TOKENS},
		{WORKLOAD_OUTPUT_TOKENS, WORKLOAD_REQUESTS, MAX_MEAN_TOKENS},
		{WORKLOAD_PREFILL_TOKENS, WORKLOAD_PREFILLS, MAX_MEAN_TOKENS},
		{WORKLOAD_PREFILL_US, WORKLOAD_PREFILLS, MAX_MEAN_US},
		{WORKLOAD_PREFILL_TOKENS_US, WORKLOAD_PREFILL_TOKENS,
		 MAX_MEAN_US},
		{WORKLOAD_QUEUED_US, WORKLOAD_QUEUED_TOKENS, MAX_MEAN_US},
		{WORKLOAD_HAND_OVER_US, WORKLOAD_HAND_OVERS, MAX_MEAN_US},
		{WORKLOAD_GAP_US, WORKLOAD_GAPS, MAX_MEAN_US},
		{WORKLOAD_GAP_STREAMS_US, WORKLOAD_GAP_STREAMS, MAX_MEAN_US},
	};

	for (int i = 0; i < WORKLOAD_SUMS_N; i++) {
		if (!(workload->sums[i] >= 0 && workload->sums[i] <= MAX_SUM))
			return false;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(bounds); i++) {
		if (!is_valid_mean(workload, &bounds[i]))
			return false;
	}
	return true;
}

/* Returns whether there are enough observations of each kind to decide on the
 * stages of engines.
 */
bool workload_is_sufficient(const workload_t *workload)
{
	return workload->sums[WORKLOAD_REQUESTS] >= SUFFICIENT_REQUESTS &&
	       workload->sums[WORKLOAD_PREFILLS] >= SUFFICIENT_PREFILLS &&
	       workload->sums[WORKLOAD_GAPS] >= SUFFICIENT_GAPS;
}

/* Returns the mean expected output of a request; 0: unknown. */
double workload_output_tokens(const workload_t *workload)
{
	return mean(workload, WORKLOAD_OUTPUT_TOKENS, WORKLOAD_REQUESTS);
}

/* Returns the slope of the regression of the duration of prefills on the tokens
 * of their prompts; 0 if there are too few or they are of about one size.
 */
static double regression_us_per_token(const workload_t *workload)
{
	double tokens =
		mean(workload, WORKLOAD_PREFILL_TOKENS, WORKLOAD_PREFILLS);
	double duration_us =
		mean(workload, WORKLOAD_PREFILL_US, WORKLOAD_PREFILLS);
	double variance = mean(workload, WORKLOAD_PREFILL_TOKENS_SQUARED,
			       WORKLOAD_PREFILLS) -
			  tokens * tokens;
	double covariance =
		mean(workload, WORKLOAD_PREFILL_TOKENS_US, WORKLOAD_PREFILLS) -
		tokens * duration_us;

	if (workload->sums[WORKLOAD_PREFILLS] < REGRESSION_PREFILLS ||
	    variance < MIN_PROMPT_VARIANCE * tokens * tokens)
		return 0;
	return covariance / variance;
}

/*
 * Returns how long an engine takes for a prompt. The time for a token comes
 * from the regression, or else from prompts that had to queue, where the fixed
 * part does not count; without either, the duration counts as proportional to
 * the tokens.
 */
workload_prefill_t workload_prefill(const workload_t *workload)
{
	double tokens =
		mean(workload, WORKLOAD_PREFILL_TOKENS, WORKLOAD_PREFILLS);
	double duration_us =
		mean(workload, WORKLOAD_PREFILL_US, WORKLOAD_PREFILLS);
	double proportional, us_per_token;

	if (tokens <= 0)
		return (workload_prefill_t){.us_per_token = 0};
	proportional = duration_us / tokens;
	us_per_token = regression_us_per_token(workload);
	if (us_per_token <= 0)
		us_per_token = mean(workload, WORKLOAD_QUEUED_US,
				    WORKLOAD_QUEUED_TOKENS);
	if (us_per_token <= 0)
		us_per_token = proportional;
	us_per_token = fmin(fmax(us_per_token, MIN_SLOPE_SHARE * proportional),
			    proportional);
	return (workload_prefill_t){
		.fixed_us = duration_us - us_per_token * tokens,
		.us_per_token = us_per_token,
	};
}

/* Returns the mean time from the send to a decode engine to the first event; 0:
 * unknown.
 */
double workload_hand_over_us(const workload_t *workload)
{
	return mean(workload, WORKLOAD_HAND_OVER_US, WORKLOAD_HAND_OVERS);
}

/* Returns how much longer a gap is for each further stream at the engine. The
 * added variance makes it 0 while all gaps were observed at about one number of
 * streams, which says nothing about others.
 */
static double gap_us_per_stream(const workload_t *workload)
{
	double streams = mean(workload, WORKLOAD_GAP_STREAMS, WORKLOAD_GAPS);
	double gap_us = mean(workload, WORKLOAD_GAP_US, WORKLOAD_GAPS);
	double covariance =
		mean(workload, WORKLOAD_GAP_STREAMS_US, WORKLOAD_GAPS) -
		streams * gap_us;
	double variance =
		mean(workload, WORKLOAD_GAP_STREAMS_SQUARED, WORKLOAD_GAPS) -
		streams * streams;

	return fmax(covariance / (fmax(variance, 0) + PRIOR_STREAM_VARIANCE),
		    0);
}

/* Returns the mean time that a stream with gaps of `gap_us` between its events
 * takes at a decode engine.
 */
static double stream_us(const workload_t *workload, int64_t tokens_per_event,
			double gap_us)
{
	double events = workload_output_tokens(workload) /
			(double)(tokens_per_event > 0 ? tokens_per_event : 1);

	return workload_hand_over_us(workload) + events * gap_us;
}

/* Returns the mean time that a stream takes at a decode engine under the
 * observed load, with events of `tokens_per_event` tokens; 0: unknown.
 */
double workload_stream_us(const workload_t *workload, int64_t tokens_per_event)
{
	double gap_us = mean(workload, WORKLOAD_GAP_US, WORKLOAD_GAPS);

	return gap_us > 0 ? stream_us(workload, tokens_per_event, gap_us) : 0;
}

/* Returns the same at an engine that has `streams` streams; 0: unknown. */
double workload_full_stream_us(const workload_t *workload,
			       int64_t tokens_per_event, double streams)
{
	double gap_us = mean(workload, WORKLOAD_GAP_US, WORKLOAD_GAPS);
	double observed = mean(workload, WORKLOAD_GAP_STREAMS, WORKLOAD_GAPS);

	if (gap_us <= 0)
		return 0;
	gap_us += fmax(streams - observed, 0) * gap_us_per_stream(workload);
	return stream_us(workload, tokens_per_event, gap_us);
}
