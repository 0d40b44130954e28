/*
 * In-memory trial of fairness among workspaces: one server with a bounded
 * queue, one workspace whose requests surge, and others that send bursts below
 * their shares. Compares the admission queue with fixed shares that idle
 * workspaces lend to busy ones. docs/routing.md records the figures.
 *
 * tool_fairness queue|shares SECONDS SEED
 */
#include <stdio.h>
#include <stdlib.h>

#include "process/clock.h"
#include "process/queue.h"

#define WORKSPACES 10
#define RATE 100000 /* tokens a second */
#define COST 1000 /* tokens of a request */
#define TARGET_US (500 * CLOCK_US_PER_MS)
#define MAX_QUEUE 200
#define STEP_US CLOCK_US_PER_MS
#define SURGE 2.0 /* of the capacity */
#define BURST 10 /* requests at once of the other workspaces */
#define BURST_LOAD 0.06 /* of the capacity, each */
#define SAVED_US CLOCK_US_PER_S /* a workspace's unused share is kept */

typedef struct {
	int workspace;
	int64_t arrived_us;
} request_t;

typedef struct {
	bool shares;
	GRand *rand;
	int64_t now;
	int64_t busy_until;
	queue_t queue;
	GQueue waiting[WORKSPACES]; /* fixed shares: one queue each */
	size_t n_waiting;
	double saved[WORKSPACES]; /* tokens */
	char names[WORKSPACES][4];
	int64_t offered[WORKSPACES];
	int64_t served[WORKSPACES];
	int64_t wait_us[WORKSPACES];
} trial_t;

static void push_queue(trial_t *t, request_t *r)
{
	queue_request_t want = {
		.workspace = str_from(t->names[r->workspace]),
		.weight = 1,
		.worth = 1,
		.cost_tokens = COST,
		.start_by_us = t->now + TARGET_US,
		.context = r,
	};
	queue_outcome_t o = queue_push(&t->queue, &want, t->now);

	g_free(o.evicted);
	if (!o.entry)
		g_free(r);
}

/* Each workspace has an even part of the places in the queue. */
static void push_shares(trial_t *t, request_t *r)
{
	GQueue *own = &t->waiting[r->workspace];

	if (own->length >= MAX_QUEUE / WORKSPACES) {
		g_free(r);
		return;
	}
	g_queue_push_tail(own, r);
}

/* Workspaces that have saved a part of their share come first; what they leave
 * is lent to those that have waited longest.
 */
static request_t *pop_shares(trial_t *t)
{
	int best = -1;
	bool best_owns = false;

	for (int i = 0; i < WORKSPACES; i++) {
		const request_t *head = g_queue_peek_head(&t->waiting[i]);
		const request_t *other;
		bool owns = t->saved[i] >= COST;

		if (!head)
			continue;
		other = best < 0 ? NULL : g_queue_peek_head(&t->waiting[best]);
		if (!other || owns > best_owns ||
		    (owns == best_owns &&
		     head->arrived_us < other->arrived_us)) {
			best = i;
			best_owns = owns;
		}
	}
	if (best < 0)
		return NULL;
	t->saved[best] = MAX(t->saved[best] - COST, 0);
	return g_queue_pop_head(&t->waiting[best]);
}

static void expire_shares(trial_t *t)
{
	for (int i = 0; i < WORKSPACES; i++) {
		const request_t *head;

		while ((head = g_queue_peek_head(&t->waiting[i])) &&
		       head->arrived_us + TARGET_US < t->now)
			g_free(g_queue_pop_head(&t->waiting[i]));
	}
}

static void fill_shares(trial_t *t)
{
	double share = (double)RATE / WORKSPACES / (double)CLOCK_US_PER_S;

	for (int i = 0; i < WORKSPACES; i++)
		t->saved[i] = MIN(t->saved[i] + share * (double)STEP_US,
				  share * (double)SAVED_US);
}

static void arrive(trial_t *t, int workspace)
{
	request_t *r = g_new0(request_t, 1);

	r->workspace = workspace;
	r->arrived_us = t->now;
	t->offered[workspace]++;
	if (t->shares)
		push_shares(t, r);
	else
		push_queue(t, r);
}

static void free_expired(void *entry, void *context)
{
	g_free(entry);
}

static void step(trial_t *t)
{
	double starts =
		(double)RATE / COST * (double)STEP_US / (double)CLOCK_US_PER_S;

	t->now += STEP_US;
	if (g_rand_double(t->rand) < starts * SURGE)
		arrive(t, 0);
	for (int i = 1; i < WORKSPACES; i++) {
		if (g_rand_double(t->rand) >= starts * BURST_LOAD / BURST)
			continue;
		for (int n = 0; n < BURST; n++)
			arrive(t, i);
	}
	fill_shares(t);
	expire_shares(t);
	queue_expire(&t->queue, t->now, free_expired, NULL);
	while (t->busy_until <= t->now) {
		request_t *r = t->shares ? pop_shares(t)
					 : queue_pop(&t->queue, t->now);

		if (!r)
			break;
		t->busy_until = MAX(t->busy_until, t->now - STEP_US) +
				COST * CLOCK_US_PER_S / RATE;
		t->served[r->workspace]++;
		t->wait_us[r->workspace] += t->now - r->arrived_us;
		g_free(r);
	}
}

static void print(const trial_t *t, double seconds)
{
	int64_t offered = 0, served = 0, wait = 0;

	for (int i = 1; i < WORKSPACES; i++) {
		offered += t->offered[i];
		served += t->served[i];
		wait += t->wait_us[i];
	}
	printf("%s others_in_time=%.3f others_wait_ms=%.1f "
	       "surge_in_time=%.3f surge_wait_ms=%.1f used=%.3f\n",
	       t->shares ? "shares" : "queue", (double)served / (double)offered,
	       (double)wait / (double)served / 1000,
	       (double)t->served[0] / (double)t->offered[0],
	       (double)t->wait_us[0] / (double)t->served[0] / 1000,
	       (double)(served + t->served[0]) * COST / RATE / seconds);
}

int main(int argc, char **argv)
{
	trial_t t = {0};

	if (argc != 4) {
		fputs("usage: tool_fairness queue|shares SECONDS SEED\n",
		      stderr);
		return 2;
	}
	t.shares = str_equal(str_from(argv[1]), STR("shares"));
	t.rand = g_rand_new_with_seed((guint32)atoi(argv[3]));
	queue_init(&t.queue, MAX_QUEUE);
	for (int i = 0; i < WORKSPACES; i++) {
		g_queue_init(&t.waiting[i]);
		g_snprintf(t.names[i], sizeof(t.names[i]), "c%d", i);
	}
	while (t.now < atoi(argv[2]) * CLOCK_US_PER_S)
		step(&t);
	print(&t, atof(argv[2]));
	return 0;
}
