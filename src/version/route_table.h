/* Routes, services and limits of one configuration version of the platform.
 * Immutable once built; requests keep the version they began with.
 */
#ifndef VERSION_ROUTE_TABLE_H
#define VERSION_ROUTE_TABLE_H

#include <stdint.h>

#include "process/str.h"

/* How often a request may run. */
typedef enum {
	CALL_REPEATABLE, /* any number of times */
	CALL_ONCE, /* at most once */
	CALL_STREAM, /* at most once, unless the route is resumable */
} call_kind_t;

/* A share of a route's requests. */
typedef struct {
	char *service;
	int64_t weight;
} table_split_t;

typedef struct {
	char *name;
	char *host;
	char *path_prefix; /* begins and ends with a slash */
	call_kind_t kind;
	bool resumable; /* a stream may go on at another backend server */
	int64_t timeout_us; /* longest time to the end of the response */
	int64_t target_us; /* to the response, or a stream's first event */
	int64_t event_gap_us; /* longest pause between events on time */
	int64_t priority; /* 0 is the most urgent */
	int64_t max_servers; /* that one request may be sent to */
	GArray *split; /* of table_split_t */
} table_route_t;

/* What the configuration says of a service's model engines. */
typedef struct {
	int64_t slots; /* requests at once */
	int64_t kv_tokens; /* memory for running requests and cached parts */
	int64_t tokens_per_event;
	int64_t stage_change_us; /* from prefill to decode or back */
	int64_t handle_ttl_us; /* how long a prefill result is kept */
} table_engine_t;

typedef struct {
	char *name;
	char *health_path;
	int64_t max_connections; /* to one backend server, from all VMs */
	bool is_engine;
	table_engine_t engine;
} table_service_t;

/* What callers may send. */
typedef struct {
	int64_t max_head_bytes;
	int64_t max_body_bytes;
	int64_t head_timeout_us;
	int64_t idle_timeout_us;
} table_limits_t;

typedef struct {
	int refs;
	int64_t version;
	GPtrArray *routes; /* of table_route_t */
	GHashTable *by_host; /* host to GPtrArray, longest prefix first */
	GHashTable *services; /* name to table_service_t */
	table_limits_t limits;
} route_table_t;

route_table_t *route_table_new(int64_t version);
route_table_t *route_table_ref(route_table_t *table);
void route_table_unref(route_table_t *table);
table_route_t *route_table_add_route(route_table_t *table, const char *host);
table_service_t *route_table_add_service(route_table_t *table,
					 const char *name);
void route_table_seal(route_table_t *table);
const table_route_t *route_table_match(const route_table_t *table, str_t host,
				       str_t path);
const table_service_t *route_table_service(const route_table_t *table,
					   const char *name);
const char *table_route_pick(const table_route_t *route, uint64_t random);
bool table_route_is_repeatable(const table_route_t *route);

#endif
