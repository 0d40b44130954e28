#include "process/decide/admission.h"

#include <math.h>

#include "process/decide/duration.h"

/* A late request is one that can no longer have the first event of its answer
 * by its target time.
 */

/* Streams assigned to a decode engine beyond its slots: they queue there for a
 * short time, so that a slot that becomes free while a prompt is read is not
 * left empty.
 */
#define OVERBOOKED_SLOTS 1

/* Share of its output that is counted in a stream's memory. The memory grows
 * with the output; the streams of one engine are at different points and on
 * average have generated half of it.
 */
#define OUTPUT_SHARE 0.5

/* Streams are at different points and their outputs differ from the estimates,
 * so an engine's memory in use varies about what is counted: for one stream by
 * nearly half of the mean output, for n streams by the square root of n times
 * that. Twice that is kept free. An engine that runs out refuses prompts that
 * were already read for it, or preempts running streams.
 */
#define KV_MARGIN_OUTPUTS 0.9

/* Least margin, as a share of a stream's memory: where an engine holds a few
 * streams only, one that does not fit is a large part of its memory.
 */
#define MIN_KV_MARGIN 0.75

/* Time that the calls to both engines add to the time to the first event.
 */
#define CALLS_US INT64_C(25000)

/* Share of all slots that late requests leave free for requests that can still
 * be on time: a late answer is worth only a fraction, but occupies its slot for
 * as long.
 */
#define LATE_HEADROOM 0.03

/* Least share of the slots becoming free that late requests are expected to
 * get: a surge of new requests may end at any moment.
 */
#define MIN_LATE_SHARE 0.1

/* Late requests do not add to a longer queue of prompts than this: they would
 * make requests late that can still be on time.
 */
#define LATE_PREFILL_WAIT_US INT64_C(80000)

/* Penalty of an engine in another zone: for decode as a share of its capacity,
 * for prefill in time.
 */
#define OTHER_ZONE_LOAD 1.0
#define OTHER_ZONE_PREFILL_US INT64_C(100000)

/* Returns the decode memory, in tokens, to count for a stream. */
int64_t admission_expected_kv_tokens(int64_t prompt_tokens,
				     int64_t output_tokens)
{
	return prompt_tokens + (int64_t)((double)output_tokens * OUTPUT_SHARE);
}

/* Returns the mean sizes of a service's streams. */
admission_stream_t admission_mean_stream(const workload_t *workload)
{
	admission_stream_t stream = {
		.prompt_tokens = workload_prompt_tokens(workload),
		.output_tokens = workload_output_tokens(workload),
	};

	stream.kv_tokens = (double)admission_expected_kv_tokens(
		(int64_t)stream.prompt_tokens, (int64_t)stream.output_tokens);
	return stream;
}

/* Returns how many more streams an engine may be given, regardless of memory;
 * negative when it is overbooked further than this VM would.
 */
static int64_t free_slots(const admission_decode_t *decode)
{
	return decode->slots + OVERBOOKED_SLOTS - decode->use.streams;
}

/* Returns the part of an engine's decode memory that may be filled with streams
 * of a mean size; the rest is the margin. Negative when the margin is larger than
 * the memory, down to the size of the memory.
 */
static int64_t kv_less_margin(int64_t kv_tokens,
			      const admission_stream_t *stream)
{
	double tokens = (double)kv_tokens;
	double streams = tokens / fmax(stream->kv_tokens, 1);

	double margin =
		KV_MARGIN_OUTPUTS * stream->output_tokens * sqrt(streams);

	tokens -= fmax(margin, MIN_KV_MARGIN * stream->kv_tokens);
	return tokens > -(double)kv_tokens ? (int64_t)tokens : -kv_tokens;
}

/* Returns the share of a decode engine that one stream of a mean size takes: of
 * its slots or of its usable memory, whichever is more.
 */
double admission_stream_share(int64_t slots, int64_t kv_tokens,
			      const admission_stream_t *stream)
{
	double usable = (double)kv_less_margin(kv_tokens, stream);

	return fmax(1.0 / (double)MAX(slots, 1),
		    fmin(stream->kv_tokens / fmax(usable, 1), 1));
}

/* Returns the decode memory of an engine less its margin, in tokens. */
static int64_t usable_tokens(const admission_view_t *view,
			     const admission_decode_t *decode)
{
	return kv_less_margin(decode->kv_tokens, &view->stream);
}

/* Returns whether an engine has a slot and the memory for a stream. */
static bool has_room(const admission_view_t *view,
		     const admission_decode_t *decode, int64_t kv_tokens)
{
	return decode->usable && free_slots(decode) > 0 &&
	       decode->use.kv_tokens + kv_tokens <= usable_tokens(view, decode);
}

/* Returns whether an engine was given more than it has room for: VMs that decide
 * at the same time do not know of each other's streams yet.
 */
bool admission_is_overbooked(const admission_view_t *view, size_t index)
{
	const admission_decode_t *decode = &view->decodes[index];

	return free_slots(decode) < 0 ||
	       decode->use.kv_tokens > usable_tokens(view, decode);
}

/* Returns the load that a decode engine would have with the request, as a share
 * of its memory or slots and with the penalty for another zone.
 */
static double decode_load(const admission_decode_t *decode, int64_t kv_tokens)
{
	double memory = (double)(decode->use.kv_tokens + kv_tokens) /
			(double)MAX(decode->kv_tokens, 1);
	double slots = (double)(decode->use.streams + 1) /
		       (double)MAX(decode->slots, 1);

	return MAX(memory, slots) + (decode->same_zone ? 0 : OTHER_ZONE_LOAD);
}

/* Chooses the least loaded decode engine that has room for `kv_tokens` and sets
 * `index`. Returns false when none has.
 */
bool admission_pick_decode(const admission_view_t *view, int64_t kv_tokens,
			   size_t *index)
{
	double best = 0;
	bool found = false;

	for (size_t i = 0; i < view->n_decodes; i++) {
		double load = decode_load(&view->decodes[i], kv_tokens);

		if (has_room(view, &view->decodes[i], kv_tokens) &&
		    (!found || load < best)) {
			found = true;
			best = load;
			*index = i;
		}
	}
	return found;
}

/* Estimates the time until an engine begins to read a further prompt. The
 * backlog holds the prompts that are not answered: of the first of them half is
 * read on average, and those whose answer is on its way are read already.
 */
static int64_t prefill_wait_us(const admission_view_t *view,
			       const admission_prefill_t *prefill)
{
	double unread_us = ((double)prefill->backlog_tokens -
			    view->stream.prompt_tokens / 2) *
			   prefill->us_per_token;

	return duration_estimate_us(unread_us - prefill->fixed_us);
}

/* Estimates the time until an engine has answered a prompt of `tokens`. */
static int64_t prefill_us(const admission_view_t *view,
			  const admission_prefill_t *prefill, int64_t tokens)
{
	return prefill_wait_us(view, prefill) +
	       duration_estimate_us(prefill->fixed_us +
				    (double)tokens * prefill->us_per_token);
}

/* Chooses the prefill engine that would first have read a prompt of `tokens`,
 * with the penalty for another zone. Returns false when none is usable.
 */
bool admission_pick_prefill(const admission_view_t *view, int64_t tokens,
			    admission_prefill_choice_t *choice)
{
	int64_t best = INT64_MAX;

	for (size_t i = 0; i < view->n_prefills; i++) {
		const admission_prefill_t *prefill = &view->prefills[i];
		int64_t us = prefill_us(view, prefill, tokens);
		int64_t cost =
			us + (prefill->same_zone ? 0 : OTHER_ZONE_PREFILL_US);

		if (prefill->usable && cost < best) {
			best = cost;
			choice->index = i;
			choice->duration_us = us;
			choice->wait_us = prefill_wait_us(view, prefill);
		}
	}
	return best != INT64_MAX;
}

/* Slots of all usable decode engines, as far as their memory allows streams of
 * one size.
 */
typedef struct {
	int64_t total; /* without overbooked ones */
	int64_t used;
	int64_t free; /* with overbooked ones, for requests on time */
	int64_t free_for_late; /* without overbooked ones */
} slot_counts_t;

/* Counts the slots for streams that need `kv_tokens` each. */
static slot_counts_t count_slots(const admission_view_t *view,
				 int64_t kv_tokens)
{
	slot_counts_t counts = {0};

	for (size_t i = 0; i < view->n_decodes; i++) {
		const admission_decode_t *decode = &view->decodes[i];
		int64_t slots = free_slots(decode);
		int64_t by_memory;

		if (!decode->usable)
			continue;
		by_memory =
			(usable_tokens(view, decode) - decode->use.kv_tokens) /
			MAX(kv_tokens, 1);
		counts.total += MIN(decode->slots, usable_tokens(view, decode) /
							   MAX(kv_tokens, 1));
		counts.used += decode->use.streams;
		counts.free += MAX(MIN(slots, by_memory), 0);
		counts.free_for_late +=
			MAX(MIN(slots - OVERBOOKED_SLOTS, by_memory), 0);
	}
	return counts;
}

/* Estimates the time until `missing` of the used slots have become free. */
static int64_t wait_us(const admission_view_t *view, int64_t used,
		       int64_t missing)
{
	if (missing <= 0)
		return 0;
	if (used <= 0)
		return DURATION_MAX_ESTIMATE_US;
	return duration_estimate_us((double)missing * view->stream_us /
				    (double)used);
}

/* Estimates the time until `missing` slots have become free for late requests.
 * New requests, which can be on time, take slots before them.
 */
static int64_t late_wait_us(const admission_view_t *view, int64_t used,
			    int64_t missing)
{
	double free_per_us, left_per_us;

	if (missing <= 0 || view->stream_us <= 0)
		return 0;
	free_per_us = (double)used / view->stream_us;
	left_per_us = free_per_us - view->arrivals_per_s / 1e6;
	left_per_us = fmax(left_per_us, free_per_us * MIN_LATE_SHARE);
	if (left_per_us <= 0)
		return DURATION_MAX_ESTIMATE_US;
	return duration_estimate_us((double)missing / left_per_us);
}

/* Estimates the time until the backlog of the least loaded prefill engine, which
 * takes `backlog_us` to read, is short enough for late requests. The prompts of
 * new requests, which can be on time, are read before.
 */
static int64_t late_prefill_wait_us(const admission_view_t *view,
				    int64_t backlog_us)
{
	double tokens_per_us = 0;
	double left_share;

	if (backlog_us <= LATE_PREFILL_WAIT_US)
		return 0;
	for (size_t i = 0; i < view->n_prefills; i++) {
		if (view->prefills[i].usable)
			tokens_per_us += 1 / view->prefills[i].us_per_token;
	}
	left_share = 1 - view->arrivals_per_s / 1e6 *
				 view->stream.prompt_tokens / tokens_per_us;
	return duration_estimate_us(
		(double)(backlog_us - LATE_PREFILL_WAIT_US) /
		fmax(left_share, MIN_LATE_SHARE));
}

/* Returns whether any decode engine is usable. */
static bool has_usable_decode(const admission_view_t *view)
{
	for (size_t i = 0; i < view->n_decodes; i++) {
		if (view->decodes[i].usable)
			return true;
	}
	return false;
}

/* Returns a decision changed to a refusal. */
static admission_decision_t refuse(admission_decision_t decision,
				   admission_reason_t reason)
{
	decision.action = ADMISSION_REFUSE;
	decision.reason = reason;
	return decision;
}

/* Decides on a late request. It starts only when enough slots are free beyond
 * the headroom, and waits as long as it can expect one of them before its
 * caller cancels it.
 */
static admission_decision_t decide_late(const admission_view_t *view,
					const admission_request_t *request,
					admission_decision_t decision,
					const slot_counts_t *slots, bool room,
					int64_t now_us)
{
	int64_t headroom = 1 + (int64_t)((double)slots->total * LATE_HEADROOM);

	if (room && slots->free_for_late > (int64_t)request->ahead + headroom &&
	    decision.prefill.wait_us <= LATE_PREFILL_WAIT_US) {
		decision.action = ADMISSION_START;
		return decision;
	}
	if (now_us >= request->give_up_us)
		return refuse(decision, ADMISSION_LATE);
	decision.wait_us = late_wait_us(view, slots->used,
					request->ahead + 1 + headroom -
						slots->free_for_late);
	decision.wait_us =
		MAX(decision.wait_us,
		    late_prefill_wait_us(view, decision.prefill.wait_us));
	if (now_us + decision.wait_us > request->give_up_us)
		return refuse(decision, ADMISSION_FULL);
	decision.action = ADMISSION_WAIT;
	return decision;
}

/* Returns the time from the end of the prefill to the first event. */
static int64_t after_prefill_us(const admission_view_t *view)
{
	return CALLS_US + duration_estimate_us(view->hand_over_us);
}

/* Decides on a request that can be on time. It waits only if its first event is
 * still expected by its target time.
 */
static admission_decision_t decide_on_time(const admission_view_t *view,
					   const admission_request_t *request,
					   admission_decision_t decision,
					   int64_t slots_free, bool room,
					   int64_t now_us)
{
	int64_t first_event_us = now_us + decision.wait_us +
				 decision.prefill.duration_us +
				 after_prefill_us(view);

	if (room && slots_free > (int64_t)request->ahead) {
		decision.action = ADMISSION_START;
		return decision;
	}
	if (first_event_us > request->urgency.due_us)
		return refuse(decision, ADMISSION_FULL);
	decision.action = ADMISSION_WAIT;
	return decision;
}

/* Decides on the rest of a stream. Its place may still be counted for the VM
 * that served it and has ended, so it waits for room as long as its caller does.
 */
static admission_decision_t decide_resumed(const admission_request_t *request,
					   admission_decision_t decision,
					   int64_t slots_free, bool room,
					   int64_t now_us)
{
	if (room && slots_free > (int64_t)request->ahead) {
		decision.action = ADMISSION_START;
		return decision;
	}
	if (now_us >= request->give_up_us)
		return refuse(decision, ADMISSION_LATE);
	decision.action = ADMISSION_WAIT;
	return decision;
}

/*
 * Decides on one request. Free slots go first to the requests that are ahead of
 * it, so it starts only when more slots are free than requests are ahead. A
 * request that could not start in time for its target is refused at once,
 * before its prompt is read.
 */
admission_decision_t admission_decide(const admission_view_t *view,
				      const admission_request_t *request,
				      int64_t now_us)
{
	admission_decision_t decision = {.reason = ADMISSION_OK};
	slot_counts_t slots;
	bool room;

	if (!admission_pick_prefill(view, request->prompt_tokens,
				    &decision.prefill) ||
	    !has_usable_decode(view))
		return refuse(decision, ADMISSION_NO_ENGINE);
	slots = count_slots(view, request->kv_tokens);
	if (slots.total == 0)
		return refuse(decision, ADMISSION_TOO_LARGE);
	room = admission_pick_decode(view, request->kv_tokens,
				     &decision.decode);
	decision.wait_us = wait_us(view, slots.used,
				   (int64_t)request->ahead + 1 - slots.free);
	if (request->resumed)
		return decide_resumed(request, decision, slots.free, room,
				      now_us);
	if (request->urgency.late)
		return decide_late(view, request, decision, &slots, room,
				   now_us);
	return decide_on_time(view, request, decision, slots.free, room,
			      now_us);
}

/* Estimates the time from the start of a request to its first event. Without a
 * usable prefill engine this is the fixed part alone.
 */
int64_t admission_first_event_us(const admission_view_t *view,
				 int64_t prompt_tokens)
{
	admission_prefill_choice_t choice = {0};

	(void)admission_pick_prefill(view, prompt_tokens, &choice);
	return choice.duration_us + after_prefill_us(view);
}

/* Returns the name of a reason for the log. */
const char *admission_reason_text(admission_reason_t reason)
{
	static const char *const texts[] = {"ok", "no_engine", "full", "late",
					    "too_large"};

	return texts[reason];
}
