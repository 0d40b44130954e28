#include "process/decide/balance.h"

/* A load that a server reported says little about it after this time. */
#define LOAD_KEPT_US INT64_C(1000000)

/* Load, as a share of a server's places, that a call to another zone is worth:
 * its bytes are paid for, and the way takes a millisecond.
 */
#define FAR_LOAD 0.35

/* Load that a failing server counts as, for each failed share of its requests
 * beyond what is normal for the service.
 */
#define FAILURE_LOAD 4.0

/* A silent server is used only when no other is left. */
#define SUSPECT_LOAD 100.0
#define DOUBTFUL_LOAD 10.0

static bool is_excepted(const balance_request_t *request,
			const server_t *server)
{
	for (size_t i = 0; i < request->n_except; i++) {
		if (request->except[i] == server)
			return true;
	}
	return false;
}

/* The least share of failures among a service's servers: what is above it is a
 * server's own fault.
 */
static double normal_failures(const server_set_t *set, const char *service)
{
	double least = 1;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, set->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const server_t *server = value;

		if (g_str_equal(server->entry.service, service))
			least = MIN(least, server->failure_share);
	}
	return least;
}

static double load_of(const server_t *server, const balance_request_t *request,
		      double normal)
{
	double reported = 0;
	double load;

	if (request->now_us - server->reported_us < LOAD_KEPT_US)
		reported =
			(double)server->reported_load *
			(1 - (double)(request->now_us - server->reported_us) /
				     (double)LOAD_KEPT_US);
	load = MAX((double)server->in_flight, reported) /
	       (double)MAX(server->entry.slots, 1);
	if (!g_str_equal(server->entry.zone, request->zone))
		load += FAR_LOAD;
	load += FAILURE_LOAD * MAX(server->failure_share - normal, 0);
	if (server_is_suspect(server))
		load += SUSPECT_LOAD;
	if (server->expires_us)
		load += DOUBTFUL_LOAD;
	return load;
}

/*
 * Returns the least loaded server of a service, or NULL when none is left. Of
 * servers with the same load it is the one that this router has not used for
 * longest: most routers have nothing in progress, and would all take the first.
 */
server_t *balance_pick(const server_set_t *set,
		       const balance_request_t *request)
{
	double normal = normal_failures(set, request->service);
	server_t *best = NULL;
	double best_load = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, set->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		server_t *server = value;
		double load;

		if (!server_takes_work(server) ||
		    !g_str_equal(server->entry.service, request->service) ||
		    is_excepted(request, server))
			continue;
		load = load_of(server, request, normal);
		if (!best || load < best_load ||
		    (load == best_load &&
		     server->last_sent_us < best->last_sent_us)) {
			best = server;
			best_load = load;
		}
	}
	return best;
}
