/* A server for tests that reads HTTP requests and closes the connection at a
 * chosen point, which no HTTP library would do.
 */
#ifndef SUPPORT_RAW_H
#define SUPPORT_RAW_H

#include <gio/gio.h>
#include <stdbool.h>

/* What the server does with a request or a connection. */
typedef enum {
	RAW_ANSWER, /* a complete response; the connection stays open */
	RAW_ANSWER_AND_CLOSE_IDLE, /* closes some time after the response */
	RAW_CLOSE_AT_ACCEPT,
	RAW_CLOSE_AFTER_LINE, /* after the request line */
	RAW_CLOSE_AFTER_HEAD,
	RAW_CLOSE_AFTER_BODY,
	RAW_RESET_AFTER_BODY,
	RAW_CLOSE_IN_STATUS_LINE, /* after part of it was sent */
	RAW_CLOSE_AFTER_STATUS_LINE,
	RAW_CLOSE_IN_BODY, /* of the response */
	RAW_CLOSE_IN_CHUNK,
	RAW_MODES_N, /* number of the modes above, tested one by one */
	RAW_CLOSE_BEFORE_LAST_CHUNK, /* tested in test_cut_chunks.c */
} raw_mode_t;

/* A server on a thread of its own. */
typedef struct {
	char *address; /* IP:port */
	gint mode; /* raw_mode_t, atomic */
	gint calls; /* request lines that were read; engine calls other than
		       prefill are always answered and don't count */
	gint connections; /* accepted */
	gint idle_closed; /* connections closed after a response */
	GSocketService *service;
	GMainContext *context;
	GMainLoop *loop;
	GThread *thread;
} raw_peer_t;

void raw_peer_start(raw_peer_t *peer);
void raw_peer_stop(raw_peer_t *peer);

#endif
