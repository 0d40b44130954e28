/* Collects the model engines of a service and what all VMs use of them, as
 * input of the admission decision.
 */
#ifndef REQUEST_STREAM_ENGINES_H
#define REQUEST_STREAM_ENGINES_H

#include "process/decide/admission.h"
#include "request/relay.h"

/* Engines of each stage that are considered; more are ignored. */
#define STREAM_ENGINES_MAX 512

/* The engines of one service. Each server array has the order of the array that
 * admission sees. The servers are borrowed from the set of servers.
 */
typedef struct {
	admission_view_t view; /* points to the arrays below */
	admission_decode_t decodes[STREAM_ENGINES_MAX];
	admission_prefill_t prefills[STREAM_ENGINES_MAX];
	server_t *decode_servers[STREAM_ENGINES_MAX];
	server_t *prefill_servers[STREAM_ENGINES_MAX];
} stream_engines_t;

bool engine_is_usable(const server_t *server, int64_t now_us);
bool engine_takes_request(relay_t *relay, const server_t *server,
			  int64_t now_us);
void stream_engines_collect(stream_engines_t *engines,
			    const relay_request_t *request, int64_t now_us);
server_t *stream_engines_pick_less_booked(const relay_request_t *request,
					  int64_t kv_tokens,
					  const server_t *decode);
server_t *stream_engines_pick_decode(const relay_request_t *request,
				     int64_t kv_tokens, const server_t *except);

#endif
