/* Room for answers that are kept until they are complete. A request whose answer would find none,
 * by the answers of its route before, is not to be sent. An answer whose length is known and
 * that finds none is not read from its server until there is some, as its request has run.
 */
#ifndef REQUEST_ANSWER_ROOM_H
#define REQUEST_ANSWER_ROOM_H

#include "connection/http_pool.h"
#include "process/memory_budget.h"

/* The answers of one VM that wait for room. */
typedef struct {
	const memory_budget_t *budget; /* of the answers; borrowed */
	GQueue waiting; /* of answer_wait_t; the oldest first */
	GHashTable *
		mean_bytes; /* route to the mean length of its answers, a double */
} answer_room_t;

/* The wait of one answer; all zero before and after it. */
typedef struct {
	answer_room_t *room; /* NULL: it does not wait */
	http_call_t *call; /* not read meanwhile; borrowed */
	kept_buffer_t *body; /* borrowed */
	size_t bytes;
	int64_t granted_us; /* when it was read again; 0: it did not wait */
} answer_wait_t;

void answer_room_init(answer_room_t *room, const memory_budget_t *budget);
void answer_room_finish(answer_room_t *room);
void answer_room_record(answer_room_t *room, const char *route, size_t bytes);
bool answer_room_expects_none(const answer_room_t *room, const char *route);
bool answer_room_claim(answer_room_t *room, answer_wait_t *wait,
		       http_call_t *call, kept_buffer_t *body, int64_t bytes);
void answer_room_grant(answer_room_t *room, int64_t now_us);
bool answer_wait_is_waiting(const answer_wait_t *wait);
void answer_wait_end(answer_wait_t *wait);

#endif
