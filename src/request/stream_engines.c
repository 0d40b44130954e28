#include "request/stream_engines.h"

#include "request/request_keys.h"

/* Prefill time of a token while nothing is known of any engine's speed. It is
 * shorter than any engine takes, so that no request is held to be late, and
 * orders the engines by their backlog.
 */
#define UNKNOWN_PREFILL_US_PER_TOKEN 1.0

/* Returns whether an engine may be given work now, apart from its limit. */
bool engine_is_usable(const server_t *server, int64_t now_us)
{
	return server_state(server, now_us) == SERVER_USABLE;
}

/* Returns whether an engine may be sent a request now. */
bool engine_takes_request(relay_t *relay, const server_t *server,
			  int64_t now_us)
{
	return engine_is_usable(server, now_us) &&
	       server_limits_allow(&relay->limits, server->entry.id, now_us);
}

/* Returns whether the version of an engine's software may run a request. */
static bool has_required_software(const server_t *server,
				  const relay_request_t *request)
{
	return request->required_software == 0 ||
	       request->required_software ==
		       request_software_number(&server->entry);
}

/* Appends a decode engine. */
static void add_decode(stream_engines_t *engines,
		       const relay_request_t *request, server_t *server,
		       const occupancy_use_t *use, int64_t now_us)
{
	size_t i = engines->view.n_decodes++;

	engines->decode_servers[i] = server;
	engines->decodes[i] = (admission_decode_t){
		.slots = request->service->engine.slots,
		.kv_tokens = request->service->engine.kv_tokens,
		.use = *use,
		.usable =
			engine_takes_request(request->relay, server, now_us) &&
			has_required_software(server, request),
		.same_zone =
			g_str_equal(server->entry.zone, request->relay->zone),
	};
}

/* Appends a prefill engine. */
static void add_prefill(stream_engines_t *engines,
			const relay_request_t *request, server_t *server,
			const occupancy_use_t *use, int64_t now_us)
{
	size_t i = engines->view.n_prefills++;
	workload_prefill_t prefill = workload_prefill(relay_workload(request));
	double slowness = server_prefill_slowness(server, now_us);

	if (prefill.us_per_token <= 0)
		prefill.us_per_token = UNKNOWN_PREFILL_US_PER_TOKEN;
	engines->prefill_servers[i] = server;
	engines->prefills[i] = (admission_prefill_t){
		.backlog_tokens = use->prefill_tokens,
		.us_per_token = prefill.us_per_token * slowness,
		.fixed_us = prefill.fixed_us * slowness,
		.usable = engine_takes_request(request->relay, server, now_us),
		.same_zone =
			g_str_equal(server->entry.zone, request->relay->zone),
	};
}

/* Fills in the engines of a request's service and what all VMs use of them. */
void stream_engines_collect(stream_engines_t *engines,
			    const relay_request_t *request, int64_t now_us)
{
	relay_t *relay = request->relay;
	const workload_t *workload = relay_workload(request);
	GHashTableIter iter;
	gpointer value;

	engines->view = (admission_view_t){
		.decodes = engines->decodes,
		.prefills = engines->prefills,
		.stream_us = workload_stream_us(
			workload, request->service->engine.tokens_per_event),
		.hand_over_us = workload_hand_over_us(workload),
		.stream = admission_mean_stream(workload),
		.arrivals_per_s =
			occupancy_arrivals_per_s(relay->occupancy, now_us),
	};
	g_hash_table_iter_init(&iter, relay->servers->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		server_t *server = value;
		occupancy_use_t use;

		if (!g_str_equal(server->entry.service, request->service->name))
			continue;
		use = occupancy_total(relay->occupancy, server->entry.id,
				      now_us);
		if (server->entry.stage == STAGE_PREFILL &&
		    engines->view.n_prefills < STREAM_ENGINES_MAX)
			add_prefill(engines, request, server, &use, now_us);
		else if (server->entry.stage == STAGE_DECODE &&
			 engines->view.n_decodes < STREAM_ENGINES_MAX)
			add_decode(engines, request, server, &use, now_us);
	}
}

/* Chooses a decode engine with a free slot and memory, other than `except`.
 * Returns NULL when there is none; the server is borrowed.
 */
server_t *stream_engines_pick_decode(const relay_request_t *request,
				     int64_t kv_tokens, const server_t *except)
{
	static stream_engines_t engines;
	size_t index;

	stream_engines_collect(&engines, request,
			       clock_now(&request->relay->clock));
	for (size_t i = 0; i < engines.view.n_decodes; i++) {
		if (engines.decode_servers[i] == except)
			engines.decodes[i].usable = false;
	}
	if (!admission_pick_decode(&engines.view, kv_tokens, &index))
		return NULL;
	return engines.decode_servers[index];
}

/* Chooses another decode engine with a free slot and memory when `decode` was
 * given more than it has room for. Returns NULL when it was not, or when there
 * is none; the server is borrowed.
 */
server_t *stream_engines_pick_less_booked(const relay_request_t *request,
					  int64_t kv_tokens,
					  const server_t *decode)
{
	static stream_engines_t engines;

	stream_engines_collect(&engines, request,
			       clock_now(&request->relay->clock));
	for (size_t i = 0; i < engines.view.n_decodes; i++) {
		if (engines.decode_servers[i] == decode &&
		    admission_is_overbooked(&engines.view, i))
			return stream_engines_pick_decode(request, kv_tokens,
							  decode);
	}
	return NULL;
}
