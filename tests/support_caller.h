/* Callers of streamed completions for tests, each in its own thread. */
#ifndef SUPPORT_CALLER_H
#define SUPPORT_CALLER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define CALLER_STAYS (-1)

typedef struct {
	/* Set before caller_start(). */
	const char *address;
	const char *token;
	int64_t leave_after_us; /* from the send; CALLER_STAYS: not by time */
	gint *all_tokens; /* counts the tokens of all callers; may be NULL */
	int leave_after_tokens; /* CALLER_STAYS: reads to the end */
	int number; /* makes the prompt and the trace unique */
	int prompt_words;
	int max_tokens;

	/* Set once caller_join() has returned; tokens can be read before. */
	char *verdict; /* of the head, or of the error that ended the stream */
	char *code; /* of the error, or NULL */
	char *message; /* of the error, or NULL */
	char *fault; /* what was wrong with the response, or NULL */
	char *hash; /* of the prompt, as it appears in the tokens */
	GThread *thread;
	int64_t left_us; /* CLOCK_BOOTTIME; 0: it stayed */
	char trace[56];
	unsigned status; /* 0: no response */
	gint tokens;
	bool reset; /* set before: leaves with a reset instead of a close */
	bool retry_after; /* the error names a time to come back */
	bool stopped; /* saw the event that ends the answer */
	bool done; /* saw [DONE] */
	bool ended; /* saw the last chunk */
	bool complete; /* all tokens, and all of these ends */
} caller_t;

void caller_start(caller_t *caller);
void caller_join(caller_t *caller);
void caller_finish(caller_t *caller);

#endif
