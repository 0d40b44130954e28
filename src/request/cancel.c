#include "request/cancel.h"

#include "process/clock.h"
#include "request/retry.h"

/* The first repeat comes soon, because memory is held meanwhile; a dead engine
 * sees at most one call a second.
 */
static const retry_backoff_t backoff = {
	.base_us = 50 * CLOCK_US_PER_MS,
	.limit_us = 1 * CLOCK_US_PER_S,
};

static guint hash_cancel(gconstpointer key)
{
	const cancel_t *cancel = key;

	return g_str_hash(cancel->request) * 31 + g_str_hash(cancel->engine);
}

static gboolean is_same_call(gconstpointer a, gconstpointer b)
{
	const cancel_t *first = a, *second = b;

	return g_str_equal(first->request, second->request) &&
	       g_str_equal(first->engine, second->engine);
}

static gint by_deadline(gconstpointer a, gconstpointer b, gpointer data)
{
	const cancel_t *first = a, *second = b;

	return (first->next_send_us > second->next_send_us) -
	       (first->next_send_us < second->next_send_us);
}

static void free_cancel(gpointer data)
{
	cancel_t *cancel = data;

	g_free(cancel->engine);
	g_free(cancel->request);
	g_free(cancel);
}

/*
 * Prepares an empty queue. on_end is called for each cancellation that is
 * confirmed or abandoned, but not from cancel_queue_finish().
 */
void cancel_queue_init(cancel_queue_t *queue, uint64_t seed,
		       cancel_end_fn_t on_end, void *context)
{
	*queue = (cancel_queue_t){
		.by_key = g_hash_table_new_full(hash_cancel, is_same_call,
						free_cancel, NULL),
		.by_deadline = g_sequence_new(NULL),
		.seed = seed,
		.on_end = on_end,
		.context = context,
	};
}

/* Frees the queue and what is still in it. */
void cancel_queue_finish(cancel_queue_t *queue)
{
	g_sequence_free(queue->by_deadline);
	g_hash_table_unref(queue->by_key);
	*queue = (cancel_queue_t){0};
}

static cancel_t *find(const cancel_queue_t *queue, str_t engine, str_t request)
{
	cancel_t key = {
		.engine = str_dup(engine),
		.request = str_dup(request),
	};
	cancel_t *found = g_hash_table_lookup(queue->by_key, &key);

	g_free(key.engine);
	g_free(key.request);
	return found;
}

static void end(cancel_queue_t *queue, cancel_t *cancel, cancel_end_t how,
		int64_t now_us)
{
	g_sequence_remove(cancel->place);
	if (queue->on_end)
		queue->on_end(cancel, how, now_us, queue->context);
	g_hash_table_remove(queue->by_key, cancel);
}

/*
 * Adds a cancellation of an attempt and of all earlier ones, due now. The
 * engine has freed the memory by itself at bound_us. A later attempt at the
 * same engine replaces the earlier one, which it covers; an earlier attempt
 * only makes the cancellation due again.
 */
void cancel_queue_add(cancel_queue_t *queue, str_t engine, str_t request,
		      uint32_t attempt, int64_t now_us, int64_t bound_us)
{
	cancel_t *cancel = find(queue, engine, request);

	if (cancel) {
		cancel->attempt = MAX(cancel->attempt, attempt);
		cancel->bound_us = MAX(cancel->bound_us, bound_us);
		cancel->next_send_us = now_us;
		cancel->sends = 0;
		g_sequence_sort_changed(cancel->place, by_deadline, NULL);
		return;
	}
	cancel = g_new(cancel_t, 1);
	*cancel = (cancel_t){
		.engine = str_dup(engine),
		.request = str_dup(request),
		.attempt = attempt,
		.added_us = now_us,
		.next_send_us = now_us,
		.bound_us = bound_us,
	};
	cancel->place = g_sequence_insert_sorted(queue->by_deadline, cancel,
						 by_deadline, NULL);
	g_hash_table_add(queue->by_key, cancel);
}

static cancel_t *first(const cancel_queue_t *queue)
{
	GSequenceIter *place = g_sequence_get_begin_iter(queue->by_deadline);

	return g_sequence_iter_is_end(place) ? NULL : g_sequence_get(place);
}

/*
 * Returns a cancellation to send now, or NULL when none is due; called until
 * it returns NULL. It stays in the queue and becomes due again later unless it
 * is confirmed. Cancellations past their bound are abandoned here. The result
 * is valid until the next call that changes the queue.
 */
const cancel_t *cancel_queue_next_due(cancel_queue_t *queue, int64_t now_us)
{
	cancel_t *cancel = first(queue);

	while (cancel && cancel->next_send_us <= now_us &&
	       cancel->bound_us <= now_us) {
		end(queue, cancel, CANCEL_ABANDONED, now_us);
		cancel = first(queue);
	}
	if (!cancel || cancel->next_send_us > now_us)
		return NULL;
	cancel->next_send_us =
		now_us +
		retry_backoff_us(&backoff, cancel->sends++, &queue->seed);
	/* Woken at the bound, to be abandoned then. */
	cancel->next_send_us = MIN(cancel->next_send_us, cancel->bound_us);
	g_sequence_sort_changed(cancel->place, by_deadline, NULL);
	return cancel;
}

/*
 * The engine answered a cancel of this attempt that it holds nothing. Returns
 * false when that confirms nothing: a later attempt has been added since, or
 * it was confirmed before.
 */
bool cancel_queue_confirm(cancel_queue_t *queue, str_t engine, str_t request,
			  uint32_t attempt, int64_t now_us)
{
	cancel_t *cancel = find(queue, engine, request);

	if (!cancel || attempt < cancel->attempt)
		return false;
	end(queue, cancel, CANCEL_CONFIRMED, now_us);
	return true;
}

/* When cancel_queue_next_due() is to be called, or INT64_MAX. */
int64_t cancel_queue_next_send_us(const cancel_queue_t *queue)
{
	const cancel_t *cancel = first(queue);

	return cancel ? cancel->next_send_us : INT64_MAX;
}

/* Number of unconfirmed cancellations. */
size_t cancel_queue_length(const cancel_queue_t *queue)
{
	return g_hash_table_size(queue->by_key);
}
