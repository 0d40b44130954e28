/* One request of the load driver, from its intended time to its outcome. */
#ifndef LOAD_REQUEST_H
#define LOAD_REQUEST_H

#include <libsoup/soup.h>

#include "load_check.h"
#include "load_plan.h"

typedef enum {
	LOAD_ANSWERED, /* whole, right, declared complete */
	LOAD_REFUSED, /* verdict not-run */
	LOAD_FAILED, /* error with another verdict, or no response */
	LOAD_CUT, /* ended without [DONE] and without an error event */
	LOAD_WRONG, /* declared complete, but not whole or not right */
	LOAD_LEFT, /* the caller left first */
	LOAD_OUTCOMES_N,
} load_outcome_t;

typedef struct load_request load_request_t;

/* Called once when the outcome is known; the request is freed afterwards. */
typedef void (*load_done_t)(load_request_t *request, void *context);

/* Called for each token but the first, with the time since the last one. */
typedef void (*load_gap_t)(double gap_ms, void *context);

typedef struct {
	SoupSession *session;
	GPtrArray *routers; /* IP:port */
	const GArray *workspaces; /* of load_workspace_t */
	const char *model;
	const char *book_path, *lookup_path;
	int64_t timeout_ms; /* X-Request-Timeout-Ms, 0: not sent */
	int64_t seed; /* part of Idempotency-Key */
	load_done_t done;
	load_gap_t gap;
	void *context;
} load_client_t;

struct load_request {
	const load_client_t *client;
	load_arrival_t arrival;
	load_check_t check;
	int64_t returns; /* how often it had been refused before */
	unsigned router; /* index */
	unsigned connects; /* routers tried */
	int64_t intended_us, sent_us;
	int64_t first_us, last_us; /* tokens; 0: none came */
	int64_t end_us;
	unsigned status; /* HTTP; 0: no response */
	int64_t retry_after_s; /* -1: none */
	char *key; /* Idempotency-Key, or NULL */
	char *id; /* X-Request-Id, may be NULL */
	char *verdict; /* Gooseberryspur-Verdict, may be NULL */
	load_outcome_t outcome;
	SoupMessage *message;
	GCancellable *cancellable;
	GDataInputStream *lines;
	GString *body; /* of a response that is no event stream */
	GSource *leave_timer;
	bool left;
	bool done_seen; /* data: [DONE] */
	bool error_seen; /* error event */
};

void load_request_start(const load_client_t *client, load_arrival_t *arrival,
			int64_t intended_us, unsigned router, int64_t returns);
const char *load_outcome_text(load_outcome_t outcome);

#endif
