#include "process/decide/balance.h"

/* Loads in this file are shares of a server's slots: 1 stands for a full
 * server.
 */

/* A reported load counts for less as it ages, and not at all after this time,
 * when it says little about the server.
 */
#define REPORT_VALID_US INT64_C(1000000)

/* Load added to a server in another zone: traffic between zones is paid for,
 * and takes a millisecond longer.
 */
#define OTHER_ZONE_LOAD 0.35

/* Load added to a failing server, times its share of failures above the least
 * share in the service.
 */
#define FAILURE_LOAD 4.0

/* Large enough that a server which is silent, to be avoided, or missing from the
 * platform's list is used only when no other is left.
 */
#define SUSPECT_LOAD 100.0
#define UNLISTED_LOAD 10.0

/* Returns whether the request was already sent to a server. */
static bool was_tried(const balance_request_t *request, const server_t *server)
{
	for (size_t i = 0; i < request->n_except; i++) {
		if (request->except[i] == server)
			return true;
	}
	return false;
}

/* Returns the least share of failures among a service's servers. Failures up to
 * this share are common to all servers; only those above it count against a
 * server.
 */
static double least_failure_share(const server_set_t *set, const char *service)
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

/* Returns the load by which a server is compared with others. */
static double load_of(const server_t *server, const balance_request_t *request,
		      double least_failures)
{
	double reported = 0;
	double load;

	if (request->now_us - server->reported_us < REPORT_VALID_US)
		reported =
			(double)server->reported_load *
			(1 - (double)(request->now_us - server->reported_us) /
				     (double)REPORT_VALID_US);
	load = MAX((double)server->in_flight, reported) /
	       (double)MAX(server->entry.slots, 1);
	if (!g_str_equal(server->entry.zone, request->zone))
		load += OTHER_ZONE_LOAD;
	load += FAILURE_LOAD * MAX(server->failure_share - least_failures, 0);
	if (server_is_suspect(server) ||
	    server->avoided_until_us > request->now_us)
		load += SUSPECT_LOAD;
	if (server->expires_us)
		load += UNLISTED_LOAD;
	return load;
}

/*
 * Returns the least loaded server of a service that was not tried yet and whose
 * limit allows a request, without a new reference, or NULL when none is left.
 * Among servers with the same load it is the one that this VM used least
 * recently: most VMs have nothing in progress, and all of them would take the
 * first server.
 */
server_t *balance_pick(const server_set_t *set,
		       const balance_request_t *request)
{
	double least_failures = least_failure_share(set, request->service);
	server_t *best = NULL;
	double best_load = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, set->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		server_t *server = value;
		double load;

		if (!server_takes_work(server) ||
		    server_is_paused(server, request->now_us) ||
		    !g_str_equal(server->entry.service, request->service) ||
		    was_tried(request, server) ||
		    (request->limits &&
		     !server_limits_allow(request->limits, server->entry.id,
					  request->now_us)))
			continue;
		load = load_of(server, request, least_failures);
		if (!best || load < best_load ||
		    (load == best_load &&
		     server->last_sent_us < best->last_sent_us)) {
			best = server;
			best_load = load;
		}
	}
	return best;
}
