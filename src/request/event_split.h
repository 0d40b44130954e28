/* Splits a stream of server-sent events so that only whole events are passed
 * on, and remembers the ID of the last one.
 */
#ifndef REQUEST_EVENT_SPLIT_H
#define REQUEST_EVENT_SPLIT_H

#include "process/str.h"

typedef struct {
	GString *bytes; /* whole events not taken yet, then a part of one */
	GString *last_id; /* of the last whole event that had one */
	size_t whole; /* length of the whole events */
	int64_t events; /* whole ones that had an ID, so far */
} event_split_t;

void event_split_init(event_split_t *split);
void event_split_finish(event_split_t *split);
str_t event_split_add(event_split_t *split, str_t bytes);
void event_split_consume(event_split_t *split);
str_t event_split_partial(const event_split_t *split);
void event_split_drop_partial(event_split_t *split);
str_t event_split_last_id(const event_split_t *split);

#endif
