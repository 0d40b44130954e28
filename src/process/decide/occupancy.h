/* What all routers together occupy of each backend server, and who waits.
 *
 * Each router announces its own use and its own waiting requests to the others
 * at each change. From that every router computes the same order of waiting
 * requests, so that a place that becomes free is taken by one of them. Pure.
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
} occupancy_change_t;

/* A waiting request's claim. Requests that can be on time come first, then
 * those whose first event is due soonest.
 */
typedef struct {
	bool late;
	int64_t due_us; /* first event, for the target */
} occupancy_claim_t;

/* One router's announcement. */
typedef struct {
	char vm[OCCUPANCY_NAME_BYTES + 1];
	uint64_t incarnation; /* greater in each later process */
	uint32_t sequence;
	GHashTable *use; /* server ID to occupancy_use_t */
	GArray *waiters; /* of occupancy_claim_t */
	GPtrArray *suspects; /* server IDs */
	GArray *changing; /* of occupancy_change_t */
} occupancy_news_t;

typedef struct {
	char *vm;
	uint64_t incarnation;
	uint32_t sequence; /* of its latest announcement */
	int64_t heard_us;
	GHashTable *use; /* server ID to occupancy_use_t */
	GArray *waiters; /* of occupancy_claim_t */
} occupancy_peer_t;

typedef struct {
	GHashTable *own; /* server ID to occupancy_use_t */
	GHashTable *peers; /* VM name to occupancy_peer_t */
	GArray *waiters; /* own, of occupancy_claim_t; set by the owner */
	GPtrArray *suspects; /* own, server IDs; set by the owner */
	GArray *changing; /* own, of occupancy_change_t; set by the owner */
	/* A peer suspects a server. */
	void (*on_suspect)(void *context, const char *server);
	/* A peer knows of a server that takes no work for a while. */
	void (*on_changing)(void *context, const char *server,
			    int64_t until_us);
	void *context;
} occupancy_t;

void occupancy_init(occupancy_t *occupancy);
void occupancy_finish(occupancy_t *occupancy);
void occupancy_add(occupancy_t *occupancy, const char *server,
		   const occupancy_use_t *change);
occupancy_use_t occupancy_total(const occupancy_t *occupancy,
				const char *server, int64_t now_us);
unsigned occupancy_ahead(const occupancy_t *occupancy,
			 const occupancy_claim_t *claim, int64_t now_us);
unsigned occupancy_live_peers(const occupancy_t *occupancy, int64_t now_us);
bool occupancy_claim_precedes(const occupancy_claim_t *a,
			      const occupancy_claim_t *b);
void occupancy_news_init(occupancy_news_t *news);
void occupancy_news_finish(occupancy_news_t *news);
void occupancy_take_news(occupancy_t *occupancy, occupancy_news_t *news,
			 int64_t now_us);

#endif
