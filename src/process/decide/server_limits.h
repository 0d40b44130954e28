/* Limits that backend servers name on the requests per second that they take
 * from all VMs together, and this VM's part of each.
 *
 * The VMs announce to each other which limits they know and how many requests
 * they have for the server's service. Each VM computes its share of a limit
 * from these demands, so that the shares of all VMs add up to the limit. VMs
 * whose demand is unknown count with the mean of the others.
 *
 * A share is often a small part of a request per second. Each second, a VM
 * draws how many requests it may send: the whole part of its share, and by
 * chance one more for the fraction. What it does not use is not kept, so that
 * VMs with saved-up requests cannot send them at the same time. Pure: no clock,
 * no I/O.
 */
#ifndef PROCESS_SERVER_LIMITS_H
#define PROCESS_SERVER_LIMITS_H

#include <stdbool.h>
#include <stdint.h>

#include "process/str.h"

/* What one VM knows of a server's limit, as it is announced. */
typedef struct {
	bool limited; /* else the server has withdrawn its limit */
	double per_s; /* requests from all VMs; 0 if not limited */
	int64_t seen_us; /* when an answer of the server said so */
	double demand_per_s; /* requests at the VM for the server's service */
} server_limit_t;

/* All limits that this VM knows. */
typedef struct {
	GHashTable *by_server; /* server ID to the limit's private entry */
	GHashTable *demands; /* service name to arrival_rate_t */
	unsigned vm_count; /* all VMs, this one included */
	int64_t demand_ttl_us; /* a VM that has not announced its demand for
				  this long counts as unknown */
	GRand *random; /* for the draws */
} server_limits_t;

/* Receives the limit of one server, which is valid during the call. */
typedef void (*server_limit_fn_t)(void *context, const char *server,
				  const server_limit_t *limit);

void server_limits_init(server_limits_t *limits, uint32_t seed);
void server_limits_finish(server_limits_t *limits);
void server_limits_set_vms(server_limits_t *limits, unsigned vm_count,
			   int64_t demand_ttl_us);
void server_limits_add_request(server_limits_t *limits, const char *service,
			       int64_t now_us);
bool server_limits_observe(server_limits_t *limits, const char *server,
			   const char *service, bool limited, double per_s,
			   int64_t now_us);
void server_limits_apply_peer(server_limits_t *limits, const char *server,
			      const char *service, const char *vm,
			      const server_limit_t *limit, int64_t now_us);
bool server_limits_allow(server_limits_t *limits, const char *server,
			 int64_t now_us);
void server_limits_record_send(server_limits_t *limits, const char *server,
			       int64_t now_us);
void server_limits_visit(server_limits_t *limits, int64_t now_us,
			 server_limit_fn_t visit, void *context);
void server_limits_expire(server_limits_t *limits, int64_t now_us);

#endif
