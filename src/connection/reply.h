/* The response to one request of a caller, complete or as an event stream.
 * Reports a caller that closes its connection before the end.
 */
#ifndef CONNECTION_REPLY_H
#define CONNECTION_REPLY_H

#include <libsoup/soup.h>

#include "process/clock.h"
#include "request/verdict.h"

/* Called once if the caller closes its connection before the response ends. */
typedef void (*reply_gone_fn_t)(void *context);

/* A response that is awaited or being sent. */
typedef struct {
	SoupServerMessage *message; /* NULL: the reply was freed */
	clock_source_t clock;
	reply_gone_fn_t on_gone;
	void *context;
	GSource *socket_watch; /* for the caller's close; NULL: not watched */
	GString *pending; /* bytes for the next chunk */
	guint flush_source; /* sends what is pending; 0: not scheduled */
	int64_t unwritten_bytes; /* given to libsoup, not yet written */
	char request_id[33]; /* 32 hex digits */
	bool streaming; /* the head of an event stream was sent */
	bool done; /* nothing more is to be sent */
	bool message_finished; /* libsoup has released the message */
} reply_t;

void reply_init(reply_t *reply, SoupServerMessage *message, str_t id,
		clock_source_t clock, reply_gone_fn_t on_gone, void *context);
void reply_finish(reply_t *reply);
void reply_send(reply_t *reply, unsigned status, run_status_t run,
		const char *content_type, str_t body);
void reply_verdict(reply_t *reply, const verdict_t *verdict);
void reply_stream_start(reply_t *reply);
GString *reply_stream_buffer(reply_t *reply);
void reply_stream_end(reply_t *reply);

#endif
