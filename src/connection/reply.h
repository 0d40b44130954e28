/* The response to one caller: head, streamed tokens, end, abort, and notice of
 * a caller that has gone.
 */
#ifndef CONNECTION_REPLY_H
#define CONNECTION_REPLY_H

#include <libsoup/soup.h>

#include "process/clock.h"
#include "request/verdict.h"

typedef void (*reply_gone_fn_t)(void *context);

typedef struct {
	SoupServerMessage *message;
	clock_source_t clock;
	reply_gone_fn_t on_gone;
	void *context;
	GSource *watch;
	GString *pending; /* bytes for the next chunk */
	guint flush_source;
	int64_t unwritten; /* bytes handed to the library, not yet written */
	char id[33]; /* request ID, 32 hex digits */
	bool streaming;
	bool done;
	bool finished; /* the library has finished with the message */
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
