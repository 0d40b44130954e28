/* OpenAI-style completion requests and responses. */
#ifndef REQUEST_COMPLETION_H
#define REQUEST_COMPLETION_H

#include "process/str.h"
#include "request/verdict.h"

typedef struct {
	bool chat;
	bool stream;
	char *model; /* names a service of the state */
	char *prompt; /* chat messages are joined by newlines */
	size_t prompt_len;
	int64_t prompt_tokens;
	int64_t max_tokens; /* 0: the service's limit */
} completion_t;

bool completion_parse(completion_t *completion, str_t body, bool chat,
		      verdict_t *verdict);
void completion_finish(completion_t *completion);
void completion_append_chunk(GString *out, const completion_t *completion,
			     str_t id, str_t text, str_t finish);
void completion_append_body(GString *out, const completion_t *completion,
			    str_t id, str_t text, str_t finish,
			    int64_t output_tokens);
uint64_t completion_prefix_id(str_t prompt);
int64_t completion_count_tokens(str_t text);

#endif
