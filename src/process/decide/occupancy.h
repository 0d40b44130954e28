/* What all VMs together use of each backend server, and which requests wait.
 * Also the other state that VMs announce: suspect and unavailable servers, the
 * rate of new streams, and what each VM has observed of the services.
 *
 * Each VM announces its own use and its own waiting requests to the others at
 * each change. From these announcements every VM computes the same order of
 * waiting requests, so that only one of them takes a slot that becomes free.
 * Without a change a VM repeats its announcement, less often the more VMs there
 * are, as each of them receives those of all others. Pure: no clock, no I/O.
 */
#ifndef PROCESS_OCCUPANCY_H
#define PROCESS_OCCUPANCY_H

#include <stdint.h>

#include "process/decide/arrival_rate.h"
#include "process/decide/quarantine.h"
#include "process/decide/server_limits.h"
#include "process/decide/stream_origins.h"
#include "process/decide/workload.h"
#include "process/str.h"

/* Most waiting requests that one announcement contains; the others of its VM
 * are not announced.
 */
#define OCCUPANCY_MAX_WAITERS 24

/* Longest name of a VM or server, without the terminating NUL. */
#define OCCUPANCY_NAME_BYTES 200

/* Longest name of an availability zone that is announced. */
#define OCCUPANCY_ZONE_BYTES 64

/* Most suspect servers, and most unavailable ones, in one announcement. */
#define OCCUPANCY_MAX_SUSPECTS 32

/* What requests in progress use of one backend server. */
typedef struct {
	int64_t streams; /* each takes a slot of a decode engine */
	int64_t kv_tokens; /* decode memory */
	int64_t prefill_tokens; /* of prompts that are being read */
} occupancy_use_t;

/* A server that gets no work for a while, as it changes its stage or fails. */
typedef struct {
	char server[OCCUPANCY_NAME_BYTES + 1]; /* its ID */
	int64_t until_us;
} occupancy_unavailable_t;

/* Most limits of servers in one announcement. */
#define OCCUPANCY_MAX_LIMITS 64

/* The limit of one server, as a VM announces it. */
typedef struct {
	char server[OCCUPANCY_NAME_BYTES + 1]; /* its ID */
	server_limit_t limit;
} occupancy_limit_t;

/* What decides the order of waiting requests: first those that can be on time,
 * and of either kind first the one whose first event is due soonest.
 */
typedef struct {
	bool late; /* cannot have its first event in time any more */
	int64_t due_us; /* time by which its first event is due */
} occupancy_urgency_t;

/* Longest name of a service whose workload is announced. */
#define OCCUPANCY_SERVICE_BYTES 64

/* Most services whose workload one announcement contains. */
#define OCCUPANCY_MAX_WORKLOADS 8

/* This VM's observations of one service, and those of all VMs together. */
typedef struct {
	workload_t own;
	workload_t total;
	int64_t total_until_us; /* when the total is computed again */
} occupancy_workload_t;

/* One VM's announcement. */
typedef struct {
	char vm[OCCUPANCY_NAME_BYTES + 1];
	uint64_t incarnation; /* greater in each later process of the VM */
	uint32_t sequence; /* greater in each later announcement; may wrap */
	char zone[OCCUPANCY_ZONE_BYTES + 1]; /* in which the VM forwards
						announcements; empty: in none */
	GHashTable *use; /* server ID to occupancy_use_t */
	GArray *waiters; /* of occupancy_urgency_t */
	double arrivals_per_s; /* of new streams */
	GPtrArray *suspects; /* server IDs */
	GArray *unavailable; /* of occupancy_unavailable_t */
	bool has_workloads; /* else what was known of the VM's holds on */
	GHashTable *workloads; /* service name to workload_t */
	GArray *limits; /* of occupancy_limit_t */
	bool has_losses; /* else what was known of the VM's holds on */
	GArray *losses; /* of quarantine_loss_t */
	GArray *sound; /* of sound_key_t */
	GArray *origins; /* of stream_origin_t */
} occupancy_announcement_t;

/* Another VM, as it announced itself last. */
typedef struct {
	char *vm;
	uint64_t incarnation;
	uint32_t sequence; /* of its latest announcement */
	char zone[OCCUPANCY_ZONE_BYTES + 1]; /* see occupancy_announcement_t */
	int64_t received_us; /* when that arrived */
	GHashTable *use; /* server ID to occupancy_use_t */
	GArray *waiters; /* of occupancy_urgency_t */
	double arrivals_per_s;
	GPtrArray *suspects; /* IDs of servers that are silent for it */
	unsigned passed_on; /* requests of this VM that it has now */
	int64_t passed_on_us; /* when it was passed the last one */
	GHashTable *workloads; /* service name to workload_t */
	bool in_totals; /* its use is part of the totals */
} occupancy_peer_t;

/* This VM's own part and what its peers announced. */
typedef struct {
	GHashTable *own; /* server ID to occupancy_use_t */
	GHashTable *peers; /* VM name to occupancy_peer_t */
	GHashTable *totals; /* server ID to occupancy_use_t, of live peers */
	int64_t peer_ttl_us; /* a peer that is silent for longer is dead */
	int64_t next_expiry_us; /* no peer becomes dead before this time */
	GArray *waiters; /* own, of occupancy_urgency_t; set by the owner */
	arrival_rate_t arrivals; /* own, of new streams */
	GHashTable *workloads; /* service name to occupancy_workload_t */
	GPtrArray *suspects; /* own, server IDs; set by the owner */
	/* Own, of occupancy_unavailable_t; set by the owner. */
	GArray *unavailable;
	GArray *limits; /* own, of occupancy_limit_t; set by the owner */
	GArray *losses; /* own, of quarantine_loss_t; set by the owner */
	GArray *sound; /* own, of sound_key_t; set by the owner */
	/* Of stream_origin_t, to announce to all peers, and to those that have
	 * just started; set by the owner.
	 */
	GArray *origins;
	GArray *all_origins;
	/* Empty arrays are announced as well until then; set by the owner. */
	int64_t losses_until_us;
	/* Called when a peer suspects a server, given by its ID; may be NULL.
	 */
	void (*on_suspect)(void *context, const occupancy_peer_t *peer,
			   const char *server);
	/* Called when a peer announces that a server gets no work until a time;
	 * may be NULL.
	 */
	void (*on_unavailable)(void *context, const char *server,
			       int64_t until_us);
	/* Called when a VM announces the limit of a server; may be NULL. */
	void (*on_limit)(void *context, const char *vm, const char *server,
			 const server_limit_t *limit);
	/* Called with the evidence on requests that crash servers which a VM
	 * announces; may be NULL.
	 */
	void (*on_losses)(void *context,
			  const occupancy_announcement_t *announcement);
	/* Called with each stream that a VM announces; may be NULL. */
	void (*on_origin)(void *context, const stream_origin_t *origin);
	/* Called when a VM announces itself for the first time since its start;
	 * may be NULL.
	 */
	void (*on_new_process)(void *context, const char *vm);
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
double occupancy_arrivals_per_s(const occupancy_t *occupancy, int64_t now_us);
workload_t *occupancy_own_workload(occupancy_t *occupancy, const char *service);
const workload_t *occupancy_workload(occupancy_t *occupancy,
				     const char *service, int64_t now_us);
unsigned occupancy_rank(const occupancy_t *occupancy, const char *vm,
			int64_t now_us);
unsigned occupancy_live_peers(const occupancy_t *occupancy, int64_t now_us);
bool occupancy_is_more_urgent(const occupancy_urgency_t *a,
			      const occupancy_urgency_t *b);
void occupancy_announcement_init(occupancy_announcement_t *announcement);
void occupancy_announcement_finish(occupancy_announcement_t *announcement);
void occupancy_apply_announcement(occupancy_t *occupancy,
				  occupancy_announcement_t *announcement,
				  int64_t now_us);

#endif
