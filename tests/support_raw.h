/* A raw peer that reads HTTP requests and closes at a chosen point. */
#ifndef SUPPORT_RAW_H
#define SUPPORT_RAW_H

#include <gio/gio.h>
#include <stdbool.h>

typedef enum {
	RAW_ANSWER, /* a whole response; the connection stays open */
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
	RAW_MODES_N,
	RAW_CLOSE_BEFORE_LAST_CHUNK, /* tested in test_cut_chunks.c */
} raw_mode_t;

typedef struct {
	char *address;
	gint mode; /* raw_mode_t, atomic */
	gint calls; /* request lines that were read, but for engine calls other
		       than prefill, which are always answered */
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
