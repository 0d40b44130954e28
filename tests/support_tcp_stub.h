/* A raw TCP peer on the test's own main loop: it reads what comes and answers
 * with bytes that a test chose.
 */
#ifndef SUPPORT_TCP_STUB_H
#define SUPPORT_TCP_STUB_H

#include <gio/gio.h>
#include <stdbool.h>

typedef enum {
	TCP_STUB_KEEP_OPEN, /* the connection stays open after the answer */
	TCP_STUB_CLOSE,
	TCP_STUB_RESET,
} tcp_stub_then_t;

/* What the peer does with one request; requests end with an empty line. */
typedef struct {
	const char *bytes; /* NULL: no answer */
	tcp_stub_then_t then;
} tcp_stub_answer_t;

typedef struct {
	char *address;
	GSocket *listener;
	GSource *source;
	GPtrArray *connections; /* private */
	const tcp_stub_answer_t
		*answers; /* taken in turn, the last one repeats */
	size_t n_answers;
	size_t next;
	unsigned accepted;
	unsigned requests;
	GString *received; /* all bytes, of all connections */
	unsigned closed; /* connections that the other side ended */
} tcp_stub_t;

void tcp_stub_start(tcp_stub_t *peer, const tcp_stub_answer_t *answers,
		    size_t n_answers);
void tcp_stub_stop(tcp_stub_t *peer);
GSocket *support_connect(const char *address);
bool support_run_loop_until(bool (*done)(void *context), void *context,
			    unsigned limit_ms);
void support_run_loop_ms(unsigned ms);

#endif
