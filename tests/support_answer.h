/* The answer to a request that a test sends as a caller. */
#ifndef SUPPORT_ANSWER_H
#define SUPPORT_ANSWER_H

#include "connection/http_pool.h"

typedef struct {
	GString *body;
	unsigned status; /* 0: no head has come */
	bool ended;
	call_end_t end; /* valid once it has ended */
} answer_t;

/* Its context is an answer_t. */
extern const call_handler_t answer_handler;

void answer_init(answer_t *answer);
void answer_clear(answer_t *answer);
void answer_finish(answer_t *answer);
bool answer_has_ended(void *context);

#endif
