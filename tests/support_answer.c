#include "support_answer.h"

static void on_head(void *context, const http_head_t *head)
{
	((answer_t *)context)->status = head->status;
}

static void on_body(void *context, const char *data, size_t len)
{
	g_string_append_len(((answer_t *)context)->body, data, (gssize)len);
}

static void on_end(void *context, call_end_t end)
{
	answer_t *answer = context;

	answer->ended = true;
	answer->end = end;
}

const call_handler_t answer_handler = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

/* Sets up an answer of which nothing has come. */
void answer_init(answer_t *answer)
{
	*answer = (answer_t){.body = g_string_new(NULL)};
}

/* Forgets what has come, before the next request. */
void answer_clear(answer_t *answer)
{
	GString *body = answer->body;

	g_string_truncate(body, 0);
	*answer = (answer_t){.body = body};
}

/* Frees the body. */
void answer_finish(answer_t *answer)
{
	g_string_free(answer->body, TRUE);
}

/* Returns whether an answer, the context, has ended. */
bool answer_has_ended(void *context)
{
	return ((const answer_t *)context)->ended;
}
