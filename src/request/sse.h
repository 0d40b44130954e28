/* Server-sent events (text/event-stream): incremental parser and writer. */
#ifndef REQUEST_SSE_H
#define REQUEST_SSE_H

#include "process/str.h"

/* One event. The strings are valid only during the callback. */
typedef struct {
	str_t name; /* "event" field, empty when absent */
	str_t data; /* "data" fields joined by LF */
} sse_event_t;

/* Called for each event; must not call into the parser that calls it. */
typedef void (*sse_event_fn_t)(const sse_event_t *event, void *context);

typedef struct {
	sse_event_fn_t on_event;
	void *context;
	size_t max_bytes; /* of one line and of the data of one event */
	GString *line; /* received part of the current line */
	GString *name; /* of the current event, and likewise below */
	GString *data;
	bool first_line; /* a byte order mark may precede its text */
	bool after_cr; /* the last byte was a CR; an LF now belongs to it */
	bool has_data; /* the event has a data field, which may be empty */
	bool failed; /* a line or an event was too long */
} sse_parser_t;

void sse_parser_init(sse_parser_t *parser, size_t max_bytes,
		     sse_event_fn_t on_event, void *context);
void sse_parser_finish(sse_parser_t *parser);
bool sse_parser_feed(sse_parser_t *parser, const char *bytes, size_t len);
bool sse_parser_is_between_events(const sse_parser_t *parser);
void sse_append(GString *out, str_t name, str_t data);

#endif
