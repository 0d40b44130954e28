/* Checks of responses: whole, of the right request, each token once. */
#ifndef LOAD_CHECK_H
#define LOAD_CHECK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum {
	LOAD_FAULT_NONE,
	LOAD_FAULT_MIXED, /* a token of another request */
	LOAD_FAULT_DOUBLED, /* a token again */
	LOAD_FAULT_MISSING, /* a gap between tokens */
	LOAD_FAULT_SHORT, /* declared complete, but tokens are missing */
	LOAD_FAULT_GARBLED, /* text that is no token */
} load_fault_t;

/* Token N of a prompt with hash H is the text "H:N ". */
typedef struct {
	char *hash;
	int64_t expected; /* tokens of the whole response */
	int64_t tokens; /* received in order */
	GString *tail; /* start of a token that is not complete yet */
	load_fault_t fault; /* the first one seen */
} load_check_t;

void load_check_init(load_check_t *check, const char *prompt, int64_t expected);
void load_check_finish(load_check_t *check);
int64_t load_check_add(load_check_t *check, const char *text);
bool load_check_complete(load_check_t *check);
const char *load_fault_text(load_fault_t fault);

#endif
