#include "request/cancel.h"

#include "process/clock.h"
#include "request/retry.h"

/* The first retry follows soon, because the engine holds memory until it has
 * seen the cancel. The limit keeps calls to a dead engine to one a second.
 */
static const retry_backoff_t backoff = {
	.base_us = 50 * CLOCK_US_PER_MS,
	.limit_us = 1 * CLOCK_US_PER_S,
};

/* Hash of the engine and the request ID. */
static guint hash_key(gconstpointer key)
{
	const cancel_t *cancel = key;

	return g_str_hash(cancel->request) * 31 + g_str_hash(cancel->engine);
}

/* Returns whether two cancellations are of one request at one engine. */
static gboolean has_same_key(gconstpointer a, gconstpointer b)
{
	const cancel_t *first = a, *second = b;

	return g_str_equal(first->request, second->request) &&
	       g_str_equal(first->engine, second->engine);
}

/* Orders cancellations by the time of their next send. */
static gint compare_send_times(gconstpointer a, gconstpointer b, gpointer data)
{
	const cancel_t *first = a, *second = b;

	return (first->next_send_us > second->next_send_us) -
	       (first->next_send_us < second->next_send_us);
}

/* Frees a cancellation. */
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
		.by_key = g_hash_table_new_full(hash_key, has_same_key,
						free_cancel, NULL),
		.by_send_time = g_sequence_new(NULL),
		.seed = seed,
		.on_end = on_end,
		.context = context,
	};
}

/* Frees the queue and the cancellations that are still in it. */
void cancel_queue_finish(cancel_queue_t *queue)
{
	g_sequence_free(queue->by_send_time);
	g_hash_table_unref(queue->by_key);
	*queue = (cancel_queue_t){0};
}

/* Returns the cancellation of a request at an engine, or NULL. */
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

/* Reports how a cancellation ended, removes it from the queue and frees it. */
static void end(cancel_queue_t *queue, cancel_t *cancel, cancel_end_t how,
		int64_t now_us)
{
	g_sequence_remove(cancel->send_order_iter);
	if (queue->on_end)
		queue->on_end(cancel, how, now_us, queue->context);
	g_hash_table_remove(queue->by_key, cancel);
}

/*
 * Adds a cancellation of an attempt and of all earlier ones, due now. It is
 * abandoned at expires_us, when the engine has freed the memory by itself.
 *
 * A queue holds one cancellation for each request at an engine: adding a later
 * attempt extends it to that attempt, and adding an earlier one, which it
 * covers already, only makes it due again.
 */
void cancel_queue_add(cancel_queue_t *queue, str_t engine, str_t request,
		      uint32_t attempt, int64_t now_us, int64_t expires_us)
{
	cancel_t *cancel = find(queue, engine, request);

	if (cancel) {
		cancel->attempt = MAX(cancel->attempt, attempt);
		cancel->expires_us = MAX(cancel->expires_us, expires_us);
		cancel->next_send_us = now_us;
		cancel->sends = 0;
		g_sequence_sort_changed(cancel->send_order_iter,
					compare_send_times, NULL);
		return;
	}
	cancel = g_new(cancel_t, 1);
	*cancel = (cancel_t){
		.engine = str_dup(engine),
		.request = str_dup(request),
		.attempt = attempt,
		.added_us = now_us,
		.next_send_us = now_us,
		.expires_us = expires_us,
	};
	cancel->send_order_iter = g_sequence_insert_sorted(
		queue->by_send_time, cancel, compare_send_times, NULL);
	g_hash_table_add(queue->by_key, cancel);
}

/* Returns the cancellation that is due first, or NULL. */
static cancel_t *first(const cancel_queue_t *queue)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(queue->by_send_time);

	return g_sequence_iter_is_end(iter) ? NULL : g_sequence_get(iter);
}

/*
 * Returns a cancellation to send now, or NULL when none is due; to be called
 * until it returns NULL. The cancellation stays in the queue and becomes due
 * again after a growing wait until it is confirmed. Expired cancellations are
 * abandoned here. The result is valid until the next call that changes the
 * queue.
 */
const cancel_t *cancel_queue_next_due(cancel_queue_t *queue, int64_t now_us)
{
	cancel_t *cancel = first(queue);

	while (cancel && cancel->next_send_us <= now_us &&
	       cancel->expires_us <= now_us) {
		end(queue, cancel, CANCEL_ABANDONED, now_us);
		cancel = first(queue);
	}
	if (!cancel || cancel->next_send_us > now_us)
		return NULL;
	cancel->next_send_us =
		now_us +
		retry_backoff_us(&backoff, cancel->sends++, &queue->seed);
	/* Due at its expiry at the latest, to be abandoned then. */
	cancel->next_send_us = MIN(cancel->next_send_us, cancel->expires_us);
	g_sequence_sort_changed(cancel->send_order_iter, compare_send_times,
				NULL);
	return cancel;
}

/*
 * Ends the cancellation of this attempt, because the engine answered that it
 * holds nothing for the request. Returns false when that confirms nothing: a
 * later attempt has been added since, or the cancellation has ended already.
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

/* Returns the time of the next send, at which cancel_queue_next_due() is to be
 * called, or INT64_MAX when the queue is empty.
 */
int64_t cancel_queue_next_send_us(const cancel_queue_t *queue)
{
	const cancel_t *cancel = first(queue);

	return cancel ? cancel->next_send_us : INT64_MAX;
}

/* Returns the number of cancellations that are not confirmed yet. */
size_t cancel_queue_length(const cancel_queue_t *queue)
{
	return g_hash_table_size(queue->by_key);
}
