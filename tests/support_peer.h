/* A raw TCP peer on the test's own main loop: it reads what comes and answers
 * with bytes that a test chose.
 */
#ifndef SUPPORT_PEER_H
#define SUPPORT_PEER_H

#include <gio/gio.h>
#include <stdbool.h>

typedef enum {
	PEER_KEEP, /* the connection stays open after the answer */
	PEER_CLOSE,
	PEER_RESET,
} peer_then_t;

/* What the peer does with one request; requests end with an empty line. */
typedef struct {
	const char *bytes; /* NULL: no answer */
	peer_then_t then;
} peer_answer_t;

typedef struct {
	char *address;
	GSocket *listener;
	GSource *source;
	GPtrArray *connections; /* private */
	const peer_answer_t *answers; /* taken in turn, the last one repeats */
	size_t n_answers;
	size_t next;
	unsigned accepted;
	unsigned requests;
	GString *received; /* all bytes, of all connections */
	unsigned closed; /* connections that the other side ended */
} peer_t;

void peer_start(peer_t *peer, const peer_answer_t *answers, size_t n_answers);
void peer_stop(peer_t *peer);
GSocket *peer_connect(const char *address);
bool peer_wait(bool (*done)(void *context), void *context, unsigned limit_ms);
void peer_run(unsigned ms);

#endif
