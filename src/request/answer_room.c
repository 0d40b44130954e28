#include "request/answer_room.h"

#include "connection/tcp.h"

/* Weight of the latest answer in the moving average of its route. */
#define LATEST_WEIGHT 0.125

/* Sets up a room in which no answer waits. */
void answer_room_init(answer_room_t *room, const memory_budget_t *budget)
{
	room->budget = budget;
	g_queue_init(&room->waiting);
	room->mean_bytes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees a room; no answer may wait. */
void answer_room_finish(answer_room_t *room)
{
	g_hash_table_unref(room->mean_bytes);
}

/* Records the length of a complete answer to a request of a route. */
void answer_room_record(answer_room_t *room, const char *route, size_t bytes)
{
	double *mean = g_hash_table_lookup(room->mean_bytes, route);

	if (!mean) {
		mean = g_new(double, 1);
		*mean = (double)bytes;
		g_hash_table_insert(room->mean_bytes, g_strdup(route), mean);
	}
	*mean += LATEST_WEIGHT * ((double)bytes - *mean);
}

/* Returns whether there is no room for an answer of the mean length of a route. There is always
 * room for small ones.
 */
bool answer_room_expects_none(const answer_room_t *room, const char *route)
{
	const double *mean = g_hash_table_lookup(room->mean_bytes, route);

	return mean && *mean > MEMORY_SMALL_BYTES &&
	       !memory_budget_has_room(room->budget, (size_t)*mean);
}

/* Reserves memory for the body of an answer whose head has come, of `bytes` (-1: not known
 * before its end, for which nothing is reserved). Without room the call is not read any more
 * until answer_room_grant() finds some; what was read together with the head is kept also
 * beyond the bound. Returns false if the answer waits.
 */
bool answer_room_claim(answer_room_t *room, answer_wait_t *wait,
		       http_call_t *call, kept_buffer_t *body, int64_t bytes)
{
	if (bytes <= MEMORY_SMALL_BYTES ||
	    kept_buffer_reserve(body, (size_t)bytes))
		return true;
	kept_buffer_reserve_beyond(body, MIN((size_t)bytes, TCP_READ_BYTES));
	*wait = (answer_wait_t){
		.room = room,
		.call = call,
		.body = body,
		.bytes = (size_t)bytes,
	};
	g_queue_push_tail(&room->waiting, wait);
	http_call_set_reading(call, false);
	return false;
}

/* Goes on with the answers that find room now. A smaller one does not wait for a larger one
 * before it.
 */
void answer_room_grant(answer_room_t *room, int64_t now_us)
{
	GList *link = room->waiting.head;

	while (link) {
		answer_wait_t *wait = link->data;
		http_call_t *call = wait->call;

		link = link->next;
		if (!kept_buffer_reserve(wait->body, wait->bytes))
			continue;
		answer_wait_end(wait);
		wait->granted_us = now_us;
		http_call_set_reading(call, true);
	}
}

/* Returns whether an answer waits for room. */
bool answer_wait_is_waiting(const answer_wait_t *wait)
{
	return wait->room != NULL;
}

/* Ends a wait, if there is one: the call has ended, or is to be cancelled. */
void answer_wait_end(answer_wait_t *wait)
{
	if (wait->room)
		g_queue_remove(&wait->room->waiting, wait);
	*wait = (answer_wait_t){0};
}
