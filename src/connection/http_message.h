/* Incremental parser of HTTP/1.1 messages that stops at the end of each. */
#ifndef CONNECTION_HTTP_MESSAGE_H
#define CONNECTION_HTTP_MESSAGE_H

#include <http_parser.h>

#include "connection/http_head.h"

typedef struct {
	/* False refuses the message; parsing stops with HTTP_FEED_REFUSED. */
	bool (*on_head)(void *context, http_head_t *head);
	void (*on_body)(void *context, const char *data, size_t len);
} http_message_handler_t;

typedef enum {
	HTTP_FEED_MORE, /* the message goes on */
	HTTP_FEED_DONE, /* the message is whole; further bytes were not used */
	HTTP_FEED_MALFORMED, /* not HTTP */
	HTTP_FEED_HEAD_TOO_LARGE,
	HTTP_FEED_REFUSED, /* by on_head */
} http_feed_t;

typedef struct {
	http_parser parser;
	http_head_t head;
	GString *name; /* of the field that is being read */
	GString *value;
	const http_message_handler_t *handler;
	void *context;
	size_t max_head_bytes;
	size_t head_bytes;
	bool is_request;
	bool in_value;
	bool started; /* a byte of the message has been read */
	bool head_done;
	bool done;
	bool refused;
	bool too_large;
	bool no_body; /* the response answers a HEAD request */
	bool until_eof; /* the body ends with the connection */
} http_message_t;

void http_message_init(http_message_t *message, bool is_request,
		       const http_message_handler_t *handler, void *context);
void http_message_finish(http_message_t *message);
void http_message_restart(http_message_t *message);
http_feed_t http_message_feed(http_message_t *message, const char *data,
			      size_t len, size_t *used);
bool http_message_eof(http_message_t *message);

#endif
