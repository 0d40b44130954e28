/* Calls of the engine interface for tests, section 6.2 of docs/design.md. */
#ifndef SUPPORT_ENGINE_H
#define SUPPORT_ENGINE_H

#include "support_http.h"
#include "support_process.h"

#define ENGINE_WAIT_MS 10000
#define ENGINE_PROMPT_WORDS 100

/* A prefill and a decode engine. */
typedef struct {
	process_t prefill, decode;
	char *prefill_address, *decode_address;
	char *kv; /* at the decode engine */
	int request;
} engines_t;

void engines_start(engines_t *e, const char *const *prefill_extra,
		   const char *const *decode_extra, bool faulty);
void engines_stop(engines_t *e);
void engines_bring(engines_t *e);
int64_t engine_cancel(const char *address, int request, int attempt);
int64_t engine_kv_used(const char *address);
void engine_wait_load(const char *address, const char *key, int64_t want);
char *engine_read_offsets(http_stream_t *stream);
http_answer_t engines_prefill(engines_t *e, int attempt, const char *word);
http_answer_t engines_import(engines_t *e, int attempt, const char *source,
			     const char *kv, int reserve);
http_stream_t engines_decode(engines_t *e, int attempt, const char *kv,
			     int offset, int max_tokens);
char *engines_import_body(const engines_t *e, int attempt, const char *source,
			  const char *kv, int reserve);
char *engines_prefill_body(int request, int attempt, int priority,
			   const char *word, int n_words);

#endif
