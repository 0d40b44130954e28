/* Splits a stream of server-sent events after complete events, so that only
 * these are passed on, and keeps the ID of the last one. When a stream breaks,
 * the next engine is asked to go on after that ID.
 */
#ifndef REQUEST_EVENT_SPLIT_H
#define REQUEST_EVENT_SPLIT_H

#include "process/str.h"

typedef struct {
	/* Complete events that are not consumed yet, then a partial one. */
	GString *buffer;
	GString *last_id; /* of the last complete event that had an ID */
	size_t complete_len; /* bytes of the complete events in the buffer */
	size_t searched_len; /* bytes of the buffer without further ends of lines */
	size_t line_start; /* offset of the line that is being read */
	int64_t events_with_id; /* complete ones, since the start */
} event_split_t;

void event_split_init(event_split_t *split);
void event_split_finish(event_split_t *split);
str_t event_split_add(event_split_t *split, str_t bytes);
void event_split_consume(event_split_t *split);
str_t event_split_partial(const event_split_t *split);
void event_split_drop_partial(event_split_t *split);
str_t event_split_last_id(const event_split_t *split);
size_t event_split_memory(const event_split_t *split);

#endif
