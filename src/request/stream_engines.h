/* The model engines of a service as admission sees them. */
#ifndef REQUEST_STREAM_ENGINES_H
#define REQUEST_STREAM_ENGINES_H

#include "process/decide/admission.h"
#include "request/relay.h"

/* Engines of each stage that are looked at. */
#define STREAM_ENGINES_MAX 512

/* Prefill speed until one was seen, microseconds a token. */
#define INITIAL_PREFILL_US_PER_TOKEN 22.0

typedef struct {
	admission_view_t view;
	admission_decode_t decodes[STREAM_ENGINES_MAX];
	admission_prefill_t prefills[STREAM_ENGINES_MAX];
	server_t *decode_servers[STREAM_ENGINES_MAX];
	server_t *prefill_servers[STREAM_ENGINES_MAX];
} engines_t;

bool engine_is_usable(const server_t *server, int64_t now_us);
void stream_engines_collect(engines_t *engines, const relay_request_t *request,
			    int64_t now_us);
server_t *stream_engines_pick_decode(const relay_request_t *request,
				     int64_t kv_tokens, const server_t *except);

#endif
