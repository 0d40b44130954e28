/* Has the prompt of a stream read, and hands the result to decode. */
#ifndef REQUEST_STREAM_PREFILL_H
#define REQUEST_STREAM_PREFILL_H

#include "process/decide/admission.h"
#include "request/stream.h"

/* The engines that admission found for a stream. */
typedef struct {
	server_t *prefill;
	server_t *decode;
	int64_t backlog_tokens; /* prompts before this one */
	int64_t estimate_us;
} stream_assignment_t;

void stream_prefill_start(stream_t *stream, const stream_assignment_t *places);
void stream_prefill_check(stream_t *stream, int64_t now_us);
void stream_mark_engine_silent(server_t *server, int64_t since_us,
			       int64_t now_us);

#endif
