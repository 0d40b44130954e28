/* Prefill stage of a stream: sends the prompt to a prefill engine, to a second
 * one if the first fails, and starts the decode stage with the result.
 */
#ifndef REQUEST_STREAM_PREFILL_H
#define REQUEST_STREAM_PREFILL_H

#include "process/decide/admission.h"
#include "request/stream.h"

/* The engines that admission chose for a stream. */
typedef struct {
	server_t *prefill;
	server_t *decode;
	int64_t backlog_tokens; /* prompts before it at the prefill engine */
	int64_t estimate_us; /* duration of the prefill, waiting included */
} stream_assignment_t;

void stream_prefill_start(stream_t *stream,
			  const stream_assignment_t *assignment);
void stream_prefill_check_overdue(stream_t *stream, int64_t now_us);
void stream_mark_engine_silent(server_t *server, int64_t since_us,
			       int64_t now_us);

#endif
