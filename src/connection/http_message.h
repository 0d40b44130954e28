/* Incremental parser of HTTP/1.1 messages that stops at the end of each
 * message, so that the bytes after it can be kept for the next one.
 */
#ifndef CONNECTION_HTTP_MESSAGE_H
#define CONNECTION_HTTP_MESSAGE_H

#include <http_parser.h>

#include "connection/http_head.h"
#include "process/memory_budget.h"

/* What a parser calls while it reads a message. */
typedef struct {
	/* The head is complete. If this returns false, parsing stops with
	 * HTTP_FEED_REFUSED.
	 */
	bool (*on_head)(void *context, http_head_t *head);
	/* A piece of the body; the data is valid during the callback only. */
	void (*on_body)(void *context, const char *data, size_t len);
} http_message_handler_t;

/* State of a message after some bytes of it were parsed. */
typedef enum {
	HTTP_FEED_MORE, /* incomplete: more bytes are needed */
	HTTP_FEED_DONE, /* complete; bytes after its end were not used */
	HTTP_FEED_MALFORMED, /* not valid HTTP */
	HTTP_FEED_HEAD_TOO_LARGE, /* the head exceeds max_head_bytes, or the budget */
	HTTP_FEED_REFUSED, /* on_head returned false */
} http_feed_t;

/* A parser and the message that it is reading. */
typedef struct {
	http_parser parser;
	http_head_t head;
	GString *field_name; /* of the header field that is being read */
	GString *field_value;
	const http_message_handler_t *handler;
	void *context;
	size_t max_head_bytes; /* of target, fields and their memory */
	size_t head_bytes; /* read so far */
	/* What the head takes beyond a small one counts there until the message is restarted;
	 * borrowed, set by the owner; NULL: it counts nowhere.
	 */
	memory_budget_t *budget;
	size_t counted_bytes; /* in the budget */
	bool is_request;
	bool in_value; /* the name of the current field is complete */
	bool version_done; /* of a response; its status follows */
	bool status_done;
	unsigned status_digits; /* read so far */
	bool started; /* a byte of the message has been read */
	bool head_done;
	bool done; /* the message is complete */
	bool refused; /* by on_head */
	bool too_large; /* the head is, or the budget has no room for it */
	bool no_body; /* set by the owner: the response is to a HEAD request */
} http_message_t;

void http_message_init(http_message_t *message, bool is_request,
		       const http_message_handler_t *handler, void *context);
void http_message_finish(http_message_t *message);
void http_message_restart(http_message_t *message);
http_feed_t http_message_feed(http_message_t *message, const char *data,
			      size_t len, size_t *used);
bool http_message_eof(http_message_t *message);

#endif
