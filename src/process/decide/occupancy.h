/* What all routers together occupy of each backend server, and who waits.
 *
 * Each router announces its own use and its own waiting requests to the others
 * at each change. From that every router computes the same order of waiting
 * requests, so that a place that becomes free is taken by one of them. Without
 * a change a router repeats its announcement, less often the more routers there
 * are, as each of them hears all others. Pure.
 */
#ifndef PROCESS_OCCUPANCY_H
#define PROCESS_OCCUPANCY_H

#include <stdint.h>

#include "process/str.h"

/* Waiting requests that one announcement describes; more are only counted. */
#define OCCUPANCY_MAX_WAITERS 24

/* Longest name of a VM or server. */
#define OCCUPANCY_NAME_BYTES 200

/* Suspect servers that one announcement names. */
#define OCCUPANCY_MAX_SUSPECTS 32

/* What requests in progress use of one backend server. */
typedef struct {
	int64_t streams; /* places in the batch of a decode engine */
	int64_t kv_tokens; /* decode memory */
	int64_t prefill_tokens; /* prompts that are being read */
} occupancy_use_t;

/* A server that takes no work for a while: it changes its stage, or fails. */
typedef struct {
	char server[OCCUPANCY_NAME_BYTES + 1];
	int64_t until_us;
} occupancy_unavailable_t;

/* A waiting request's urgency. Requests that can be on time come first, then
 * those whose first event is due soonest.
 */
typedef struct {
	bool late;
	int64_t due_us; /* first event, for the target */
} occupancy_urgency_t;

/* Rate of arrivals over the last seconds. */
typedef struct {
	double weight; /* arrivals, each fading with its age */
	int64_t at_us; /* to which the weight belongs */
} arrival_rate_t;

/* One router's announcement. */
typedef struct {
	char vm[OCCUPANCY_NAME_BYTES + 1];
	uint64_t incarnation; /* greater in each later process */
	uint32_t sequence;
	GHashTable *use; /* server ID to occupancy_use_t */
	GArray *waiters; /* of occupancy_urgency_t */
	double arrivals_per_s; /* of new streams */
	GPtrArray *suspects; /* server IDs */
	GArray *unavailable; /* of occupancy_unavailable_t */
} occupancy_announcement_t;

typedef struct {
	char *vm;
	uint64_t incarnation;
	uint32_t sequence; /* of its latest announcement */
	int64_t heard_us;
	GHashTable *use; /* server ID to occupancy_use_t */
	GArray *waiters; /* of occupancy_urgency_t */
	double arrivals_per_s;
	bool counted; /* its use is part of the totals */
} occupancy_peer_t;

typedef struct {
	GHashTable *own; /* server ID to occupancy_use_t */
	GHashTable *peers; /* VM name to occupancy_peer_t */
	GHashTable *totals; /* server ID to occupancy_use_t, of live peers */
	int64_t peer_ttl_us; /* a peer silent for longer is dead */
	int64_t next_expiry_us; /* no peer is dead before it */
	GArray *waiters; /* own, of occupancy_urgency_t; set by the owner */
	arrival_rate_t arrivals; /* own, of new streams */
	GPtrArray *suspects; /* own, server IDs; set by the owner */
	GArray *unavailable; /* own, of occupancy_unavailable_t; set by the owner */
	/* A peer suspects a server. */
	void (*on_suspect)(void *context, const char *server);
	/* A peer knows of a server that takes no work for a while. */
	void (*on_unavailable)(void *context, const char *server,
			       int64_t until_us);
	void *context;
} occupancy_t;

void occupancy_init(occupancy_t *occupancy);
void occupancy_finish(occupancy_t *occupancy);
void occupancy_add(occupancy_t *occupancy, const char *server,
		   const occupancy_use_t *change);
occupancy_use_t occupancy_total(occupancy_t *occupancy, const char *server,
				int64_t now_us);
void occupancy_set_peers(occupancy_t *occupancy, unsigned peers);
int64_t occupancy_repeat_us(unsigned peers);
unsigned occupancy_count_ahead(const occupancy_t *occupancy,
			       const occupancy_urgency_t *urgency,
			       int64_t now_us);
void arrival_rate_add(arrival_rate_t *rate, int64_t now_us);
double arrival_rate_per_s(const arrival_rate_t *rate, int64_t now_us);
double occupancy_arrivals_per_s(const occupancy_t *occupancy, int64_t now_us);
unsigned occupancy_live_peers(const occupancy_t *occupancy, int64_t now_us);
bool occupancy_is_more_urgent(const occupancy_urgency_t *a,
			      const occupancy_urgency_t *b);
void occupancy_announcement_init(occupancy_announcement_t *news);
void occupancy_announcement_finish(occupancy_announcement_t *news);
void occupancy_apply_announcement(occupancy_t *occupancy,
				  occupancy_announcement_t *news,
				  int64_t now_us);

#endif
