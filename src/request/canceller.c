#include "request/canceller.h"

#include "process/counters.h"
#include "process/log.h"
#include "process/route_metrics.h"

/* Time limit of one call to an engine. */
#define SEND_TIMEOUT_US (1 * CLOCK_US_PER_S)

/* Engines free unused memory by themselves after a time that their interface
 * does not state. It is assumed to be shorter than this.
 */
#define ENGINE_MAX_HOLD_US (30 * CLOCK_US_PER_S)

/* One call to an engine in progress. */
typedef struct {
	canceller_t *canceller;
	char *engine;
	char *request;
	uint32_t attempt;
	engine_call_t *call;
} send_t;

/* Removes a send from those in progress and frees it. */
static void send_free(send_t *send)
{
	g_queue_remove(&send->canceller->sends, send);
	g_free(send->engine);
	g_free(send->request);
	g_free(send);
}

/* Counts how a cancellation ended and reports a confirmation to the owner. */
static void on_end(const cancel_t *cancel, cancel_end_t end, int64_t now_us,
		   void *context)
{
	canceller_t *canceller = context;
	int64_t duration_us = now_us - cancel->added_us;

	if (end == CANCEL_CONFIRMED) {
		if (canceller->on_confirmed)
			canceller->on_confirmed(canceller->context,
						str_from(cancel->engine),
						str_from(cancel->request),
						cancel->attempt);
		counters_add(COUNTER_CANCELS_CONFIRMED, 1);
		route_metrics_observe(HISTOGRAM_CANCEL, "", duration_us);
		return;
	}
	counters_add(COUNTER_CANCELS_ABANDONED, 1);
	log_event(LOG_WARN, "cancel_abandoned",
		  LOG_CSTR("request", cancel->request),
		  LOG_CSTR("engine", cancel->engine),
		  LOG_UINT("sends", cancel->sends));
}

/* Sets up an empty canceller; the client must outlive it. */
void canceller_init(canceller_t *canceller, client_t *client,
		    clock_source_t clock, uint64_t seed)
{
	memset(canceller, 0, sizeof(*canceller));
	canceller->client = client;
	canceller->clock = clock;
	g_queue_init(&canceller->sends);
	cancel_queue_init(&canceller->queue, seed, on_end, canceller);
}

/* Aborts calls in progress and drops cancellations that are not confirmed;
 * engines free the memory of those by themselves later.
 */
void canceller_finish(canceller_t *canceller)
{
	send_t *send;

	if (canceller->timer)
		g_source_remove(canceller->timer);
	while ((send = g_queue_peek_head(&canceller->sends))) {
		engine_abort(send->call);
		send_free(send);
	}
	cancel_queue_finish(&canceller->queue);
}

/* Confirms a cancellation whose engine answers that it holds no memory. After
 * any other answer the queue makes it due again.
 */
static void on_answer(void *context, engine_status_t status,
		      int64_t held_tokens)
{
	send_t *send = context;
	canceller_t *canceller = send->canceller;

	if (status == ENGINE_OK && held_tokens == 0)
		cancel_queue_confirm(&canceller->queue, str_from(send->engine),
				     str_from(send->request), send->attempt,
				     clock_now(&canceller->clock));
	send_free(send);
}

/* Sends one cancellation to its engine. */
static void send_one(canceller_t *canceller, const cancel_t *cancel,
		     int64_t now_us)
{
	send_t *send = g_new0(send_t, 1);
	engine_attempt_t id = {str_from(cancel->request), (int)cancel->attempt};

	send->canceller = canceller;
	send->engine = g_strdup(cancel->engine);
	send->request = g_strdup(cancel->request);
	send->attempt = cancel->attempt;
	g_queue_push_tail(&canceller->sends, send);
	counters_add(COUNTER_CANCELS_SENT, 1);
	send->call = engine_cancel(canceller->client, str_from(send->engine),
				   &id, now_us + SEND_TIMEOUT_US, on_answer,
				   send);
	if (!send->call)
		send_free(send);
}

static gboolean on_timer(gpointer data);

/* Sets the timer to the next send, or to fire at once if that is due. */
static void set_timer(canceller_t *canceller)
{
	int64_t at_us = cancel_queue_next_send_us(&canceller->queue);
	int64_t wait_us;

	if (canceller->timer && canceller->timer_due_us <= at_us)
		return;
	if (canceller->timer)
		g_source_remove(canceller->timer);
	canceller->timer = 0;
	if (at_us == INT64_MAX)
		return;
	wait_us = MAX(at_us - clock_now(&canceller->clock), 0);
	canceller->timer_due_us = at_us;
	canceller->timer = g_timeout_add_full(
		G_PRIORITY_DEFAULT,
		(guint)((wait_us + CLOCK_US_PER_MS - 1) / CLOCK_US_PER_MS),
		on_timer, canceller, NULL);
}

/* Sends every cancellation that is due. */
static gboolean on_timer(gpointer data)
{
	canceller_t *canceller = data;
	int64_t now_us = clock_now(&canceller->clock);
	const cancel_t *cancel;

	canceller->timer = 0;
	while ((cancel = cancel_queue_next_due(&canceller->queue, now_us)))
		send_one(canceller, cancel, now_us);
	set_timer(canceller);
	return G_SOURCE_REMOVE;
}

/*
 * Cancels an attempt and all earlier ones of a request at an engine. The first
 * send follows in the next iteration of the main loop, so that cancellations
 * of several attempts at one engine go out as one call.
 */
void canceller_add(canceller_t *canceller, str_t engine, str_t request,
		   uint32_t attempt)
{
	int64_t now_us = clock_now(&canceller->clock);

	cancel_queue_add(&canceller->queue, engine, request, attempt, now_us,
			 now_us + ENGINE_MAX_HOLD_US);
	set_timer(canceller);
}

/* Returns whether every cancellation is confirmed or abandoned. */
bool canceller_is_idle(const canceller_t *canceller)
{
	return cancel_queue_length(&canceller->queue) == 0;
}
