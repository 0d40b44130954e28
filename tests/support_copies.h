/* Copies of earlier answers of one connection, as a faulty server writes them. */
#ifndef SUPPORT_COPIES_H
#define SUPPORT_COPIES_H

#include "connection/http_message.h"

/* The answers that a connection has carried, and the request that is under way. */
typedef struct {
	http_message_t message; /* the answer that is being read */
	GString *answer; /* its bytes */
	char *last; /* answer; NULL: none yet */
	GPtrArray *refusals; /* text */
	GString *request; /* under way */
	bool is_open; /* a request is under way */
	bool is_unknown; /* bytes came that are no answer */
} copies_t;

void copies_init(copies_t *copies);
void copies_finish(copies_t *copies);
bool copies_note_request(copies_t *copies, const char *data, size_t len);
bool copies_note_answer(copies_t *copies, const char *data, size_t len);
char *copies_draw(const copies_t *copies, GRand *rand);
bool copies_has_own_refusal(const copies_t *copies);
bool copies_has_open_id(const copies_t *copies, const char *answer);

#endif
