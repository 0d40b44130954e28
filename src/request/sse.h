/* Server-sent events: incremental parser and writer. */
#ifndef REQUEST_SSE_H
#define REQUEST_SSE_H

#include "process/str.h"

/* One event. The strings are valid only during the callback. */
typedef struct {
	str_t name; /* "event" field, empty when absent */
	str_t data; /* "data" fields joined by LF */
} sse_event_t;

/* Must not call into the parser that it is called from. */
typedef void (*sse_event_fn_t)(const sse_event_t *event, void *context);

typedef struct {
	sse_event_fn_t on_event;
	void *context;
	size_t max_bytes; /* of one line and of the data of one event */
	GString *line;
	GString *name;
	GString *data;
	bool first_line; /* a byte order mark may still follow */
	bool after_cr; /* an LF here belongs to the CR before it */
	bool has_data;
	bool failed;
} sse_parser_t;

void sse_parser_init(sse_parser_t *parser, size_t max_bytes,
		     sse_event_fn_t on_event, void *context);
void sse_parser_finish(sse_parser_t *parser);
bool sse_parser_feed(sse_parser_t *parser, const char *bytes, size_t len);
bool sse_parser_is_between_events(const sse_parser_t *parser);
void sse_append(GString *out, str_t name, str_t data);

#endif
