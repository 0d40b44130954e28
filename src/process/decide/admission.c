#include "process/decide/admission.h"

#include <math.h>

/* Engines keep a short queue, so that a place that becomes free while a prompt
 * is read is not left empty.
 */
#define OVERBOOKED_SLOTS 1

/* A stream's memory grows with its output. At a random moment a stream has
 * made half of it, and streams of one engine are at different points.
 */
#define OUTPUT_SHARE 0.5

/* Streams are at different points and their outputs differ from the estimates,
 * so that an engine's memory in use varies about what is counted. With memory
 * for n streams the spread is this many streams times the root of n. An engine
 * that runs out refuses prompts that were read for it, or preempts runs.
 */
#define KV_SPREAD 0.5

/* Fixed parts of a first event: both calls, transfer, first step. */
#define FIRST_EVENT_US INT64_C(45000)

/* Share of all places that late requests leave free for requests that can
 * still be on time: a late answer is worth a fraction, and occupies its place
 * for as long.
 */
#define LATE_HEADROOM 0.03

/* Places that become free and go to late requests at least, as a share: a surge
 * of new ones may end at any moment.
 */
#define LEAST_LATE_SHARE 0.1

/* Late requests do not add to a queue of prompts that is longer than this: it
 * would make those late that can still be on time.
 */
#define LATE_PREFILL_WAIT_US INT64_C(80000)

/* Cost of an engine in another zone, as a share of its memory or, for prefill,
 * in time.
 */
#define FAR_LOAD 0.2
#define FAR_PREFILL_US INT64_C(10000)

/* Decode memory, in tokens, to count on for a stream. */
int64_t admission_expected_kv_tokens(int64_t prompt_tokens,
				     int64_t output_tokens)
{
	return prompt_tokens + (int64_t)((double)output_tokens * OUTPUT_SHARE);
}

static int64_t free_slots(const admission_decode_t *decode)
{
	return decode->slots + OVERBOOKED_SLOTS - decode->use.streams;
}

/* Memory of a decode engine that streams of a mean size may be counted on. */
static int64_t mean_usable_tokens(int64_t kv_tokens, double stream_kv_tokens)
{
	double tokens = (double)kv_tokens;

	return (int64_t)(tokens - KV_SPREAD * sqrt(tokens * stream_kv_tokens));
}

/* The part of a decode engine that one stream of a mean size takes: of its
 * batch, or of the memory that streams are admitted to.
 */
double admission_stream_share(int64_t slots, int64_t kv_tokens,
			      double stream_kv_tokens)
{
	double usable = (double)mean_usable_tokens(kv_tokens, stream_kv_tokens);

	return fmax(1.0 / (double)MAX(slots, 1),
		    fmin(stream_kv_tokens / fmax(usable, 1), 1));
}

static int64_t usable_tokens(const admission_view_t *view,
			     const admission_decode_t *decode)
{
	return mean_usable_tokens(decode->kv_tokens, view->stream_kv_tokens);
}

static bool has_room(const admission_view_t *view,
		     const admission_decode_t *decode, int64_t kv_tokens)
{
	return decode->usable && free_slots(decode) > 0 &&
	       decode->use.kv_tokens + kv_tokens <= usable_tokens(view, decode);
}

/* Load of a decode engine if it took the request, lower is better. */
static double decode_load(const admission_decode_t *decode, int64_t kv_tokens)
{
	double memory = (double)(decode->use.kv_tokens + kv_tokens) /
			(double)MAX(decode->kv_tokens, 1);
	double places = (double)(decode->use.streams + 1) /
			(double)MAX(decode->slots, 1);

	return MAX(memory, places) + (decode->same_zone ? 0 : FAR_LOAD);
}

/* Chooses the least loaded decode engine that has room; false: none has. */
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

static int64_t prefill_us(const admission_prefill_t *prefill, int64_t tokens)
{
	return (int64_t)((double)(prefill->backlog_tokens + tokens) *
			 prefill->us_per_token);
}

/* Chooses the prefill engine that would be done first; false: none is usable.
 */
bool admission_pick_prefill(const admission_view_t *view, int64_t tokens,
			    admission_prefill_choice_t *choice)
{
	int64_t best = INT64_MAX;

	for (size_t i = 0; i < view->n_prefills; i++) {
		const admission_prefill_t *prefill = &view->prefills[i];
		int64_t us = prefill_us(prefill, tokens);
		int64_t cost = us + (prefill->same_zone ? 0 : FAR_PREFILL_US);

		if (prefill->usable && cost < best) {
			best = cost;
			choice->index = i;
			choice->duration_us = us;
			choice->wait_us = prefill_us(prefill, 0);
		}
	}
	return best != INT64_MAX;
}

/* Places for requests of one size. */
typedef struct {
	int64_t all; /* as many as batches and memory take */
	int64_t taken;
	int64_t open; /* for a request on time, overbooked ones included */
	int64_t spare; /* for a late request */
} places_t;

static places_t count_places(const admission_view_t *view, int64_t kv_tokens)
{
	places_t places = {0};

	for (size_t i = 0; i < view->n_decodes; i++) {
		const admission_decode_t *decode = &view->decodes[i];
		int64_t slots = free_slots(decode);
		int64_t by_memory;

		if (!decode->usable)
			continue;
		by_memory =
			(usable_tokens(view, decode) - decode->use.kv_tokens) /
			MAX(kv_tokens, 1);
		places.all += MIN(decode->slots, usable_tokens(view, decode) /
							 MAX(kv_tokens, 1));
		places.taken += decode->use.streams;
		places.open += MAX(MIN(slots, by_memory), 0);
		places.spare +=
			MAX(MIN(slots - OVERBOOKED_SLOTS, by_memory), 0);
	}
	return places;
}

/* Time until as many places have become free as requests are ahead. */
static int64_t wait_us(const admission_view_t *view, int64_t taken,
		       int64_t missing)
{
	if (missing <= 0)
		return 0;
	if (taken <= 0)
		return INT64_MAX / 4;
	return (int64_t)((double)missing * view->stream_us / (double)taken);
}

/* Time until a late request gets one of the places that become free. New
 * requests, which can be on time, take theirs first.
 */
static int64_t late_wait_us(const admission_view_t *view, int64_t taken,
			    int64_t missing)
{
	double free_per_us = (double)taken / view->stream_us;
	double left_per_us = free_per_us - view->arrivals_per_s / 1e6;

	if (missing <= 0)
		return 0;
	left_per_us = fmax(left_per_us, free_per_us * LEAST_LATE_SHARE);
	if (left_per_us <= 0)
		return INT64_MAX / 4;
	return (int64_t)((double)missing / left_per_us);
}

static bool is_any_usable(const admission_view_t *view)
{
	for (size_t i = 0; i < view->n_decodes; i++) {
		if (view->decodes[i].usable)
			return true;
	}
	return false;
}

static admission_decision_t refuse(admission_decision_t decision,
				   admission_reason_t reason)
{
	decision.action = ADMISSION_REFUSE;
	decision.reason = reason;
	return decision;
}

/* Decides on a request that can no longer be on time. It takes a place only
 * when enough are open, and waits for that while it can expect one before its
 * caller leaves.
 */
static admission_decision_t decide_late(const admission_view_t *view,
					const admission_request_t *request,
					admission_decision_t decision,
					const places_t *places, bool room,
					int64_t now_us)
{
	int64_t kept = 1 + (int64_t)((double)places->all * LATE_HEADROOM);

	if (room && places->spare > (int64_t)request->ahead + kept &&
	    decision.prefill.wait_us <= LATE_PREFILL_WAIT_US) {
		decision.action = ADMISSION_START;
		return decision;
	}
	if (now_us >= request->give_up_us)
		return refuse(decision, ADMISSION_LATE);
	decision.wait_us = late_wait_us(
		view, places->taken, request->ahead + 1 + kept - places->spare);
	if (now_us + decision.wait_us > request->give_up_us)
		return refuse(decision, ADMISSION_FULL);
	decision.action = ADMISSION_WAIT;
	return decision;
}

/* Decides on a request that can be on time. */
static admission_decision_t decide_on_time(const admission_request_t *request,
					   admission_decision_t decision,
					   int64_t open, bool room,
					   int64_t now_us)
{
	int64_t first_event_us = now_us + decision.wait_us +
				 decision.prefill.duration_us + FIRST_EVENT_US;

	if (room && open > (int64_t)request->ahead) {
		decision.action = ADMISSION_START;
		return decision;
	}
	if (first_event_us > request->urgency.due_us)
		return refuse(decision, ADMISSION_FULL);
	decision.action = ADMISSION_WAIT;
	return decision;
}

/*
 * Decides on one request. An open place goes to those that are ahead first, so
 * a request starts only when more places are open than requests are ahead. One
 * that could not start in time for its target is refused at once, before any
 * prompt is read for it.
 */
admission_decision_t admission_decide(const admission_view_t *view,
				      const admission_request_t *request,
				      int64_t now_us)
{
	admission_decision_t decision = {.reason = ADMISSION_OK};
	places_t places;
	bool room;

	if (!admission_pick_prefill(view, request->prompt_tokens,
				    &decision.prefill) ||
	    !is_any_usable(view))
		return refuse(decision, ADMISSION_NO_ENGINE);
	places = count_places(view, request->kv_tokens);
	if (places.all == 0)
		return refuse(decision, ADMISSION_TOO_LARGE);
	room = admission_pick_decode(view, request->kv_tokens,
				     &decision.decode);
	decision.wait_us = wait_us(view, places.taken,
				   (int64_t)request->ahead + 1 - places.open);
	if (request->urgency.late)
		return decide_late(view, request, decision, &places, room,
				   now_us);
	return decide_on_time(request, decision, places.open, room, now_us);
}

/* Estimated time from a start to the first event. */
int64_t admission_first_event_us(const admission_view_t *view,
				 int64_t prompt_tokens)
{
	admission_prefill_choice_t choice = {0};

	(void)admission_pick_prefill(view, prompt_tokens, &choice);
	return choice.duration_us + FIRST_EVENT_US;
}

/* Name of a reason, for the log. */
const char *admission_reason_text(admission_reason_t reason)
{
	static const char *const texts[] = {"ok", "no_engine", "full", "late",
					    "too_large"};

	return texts[reason];
}
