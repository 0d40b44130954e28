/*
 * In-memory trial of the decode policies: eight routers made of the real
 * queue, route, ledger and share modules against a simple model of engines, in
 * steps of one millisecond. It serves to compare the policies; its figures are
 * no measurement of the product. docs/routing.md records them.
 *
 * tool_policies POLICY LOAD SECONDS FAULT SEED PREFILLERS IMPORTS
 *
 * LOAD is the offered part of the decode capacity, for example 1.1. FAULT is
 * none, owner (all ledger owners are unreachable for 3 s and then replaced) or
 * cut (half of the routers cannot reach the owners for 3 s). IMPORTS is how
 * often an import that an engine refused is tried again.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "process/clock.h"
#include "process/ledger.h"
#include "process/queue.h"
#include "process/route.h"
#include "process/share.h"

#define ROUTERS 8
#define DECODERS 12
#define PREFILLERS_MAX 16
#define PROMPT_MEAN 1000
#define OUTPUT_MAX 200
#define SLOTS 20 /* requests of mean size in a decode engine */
#define CAPACITY ((int64_t)SLOTS * (PROMPT_MEAN + OUTPUT_MAX))
#define PREFILL_US 100 /* a prompt token */
#define TOKEN_US 25000 /* an output token */
#define TARGET_US 580000 /* first token */
#define IMPORT_US 20000
#define KEPT_US 800000
#define REPORT_US 200000 /* interval and lag of load reports */
#define RPC_US 2000 /* reservation, both ways */
#define RPC_TIMEOUT_US 20000
#define FAULT_AT_US (10 * CLOCK_US_PER_S)
#define FAULT_US (3 * CLOCK_US_PER_S)
#define RECOVERY_US 500000
#define CREDIT_US 200000
#define RENEW_US 100000 /* interval; the reply tells the free memory */
#define LEASE_US (2 * CLOCK_US_PER_S)
#define STEP_US CLOCK_US_PER_MS
#define TRIES 3

typedef enum {
	QUEUED,
	RESERVING,
	PREFILLING,
	IMPORTING,
	DECODING,
	ENDED,
} phase_t;

typedef struct {
	phase_t phase;
	unsigned router;
	int64_t first_by_us;
	int64_t next_us; /* when the phase ends */
	int64_t kept_until_us;
	int64_t expected_us; /* of the prefill */
	int64_t started_us;
	int imports; /* after the first */
	int64_t prompt;
	int64_t tokens; /* prompt and maximum output */
	int64_t output_us;
	ledger_grant_t grant;
	bool reserved;
	bool returning;
	bool in_time;
	bool in_fault; /* arrived in it */
	unsigned tries;
	const route_engine_t *except[TRIES];
	route_engine_t *decoder; /* of the router's pool */
	route_engine_t *prefiller;
} request_t;

typedef struct {
	int64_t used;
	int64_t used_before; /* at the last report */
	int64_t requests;
	int64_t requests_before;
	ledger_t ledger;
} decoder_t;

typedef struct {
	int64_t free_us; /* when it has computed all it has */
	int64_t requests;
	int64_t requests_before;
} prefiller_t;

typedef struct {
	queue_t queue;
	route_t prefill;
	route_t decode;
	prefix_t prefix;
	share_t shares[DECODERS];
	int64_t waiting_until_us; /* after a refusal */
	bool fallback;
	ledger_vm_t vm;
} router_t;

typedef struct {
	GRand *rand;
	route_policy_t policy;
	str_t fault;
	router_t routers[ROUTERS];
	decoder_t decoders[DECODERS];
	prefiller_t prefillers[PREFILLERS_MAX];
	uint32_t n_prefillers;
	int max_imports; /* of one result, after the first */
	GPtrArray *requests;
	int64_t now;
	uint64_t owner;
	uint32_t next;
	int64_t offered, good, late, refused, expired, failed, full;
	int64_t prefilled, wasted, used_sum, steps, overcommit;
	int64_t good_in_fault, offered_in_fault, full_in_fault;
} trial_t;

static uint32_t draw(void *context)
{
	return g_rand_int(context);
}

static bool reserves(const trial_t *t)
{
	return t->policy == ROUTE_LEDGER || t->policy == ROUTE_CREDITS;
}

static bool in_fault(const trial_t *t)
{
	return t->now >= FAULT_AT_US && t->now < FAULT_AT_US + FAULT_US;
}

static bool reachable(const trial_t *t, unsigned router)
{
	if (!in_fault(t) || str_equal(t->fault, STR("none")))
		return true;
	return str_equal(t->fault, STR("cut")) && router % 2;
}

/* A lapsed grant's router is alive, so its requests are not cancelled; what
 * they use shows in the engine's reports.
 */
static void let_lapse(const ledger_grant_t *grant, void *context)
{
	g_array_append_val((GArray *)context, grant->key);
}

static void expire(decoder_t *d, int64_t now)
{
	g_autoptr(GArray)
		lapsed = g_array_new(FALSE, FALSE, sizeof(ledger_key_t));

	ledger_expire(&d->ledger, now, let_lapse, lapsed);
	for (guint i = 0; i < lapsed->len; i++)
		ledger_confirm_cancelled(
			&d->ledger, &g_array_index(lapsed, ledger_key_t, i));
}

static void trial_init(trial_t *t)
{
	static const char *const names[ROUTERS] = {"a", "b", "c", "d",
						   "e", "f", "g", "h"};

	t->owner = 1;
	t->requests = g_ptr_array_new_with_free_func(g_free);
	for (int i = 0; i < DECODERS; i++)
		ledger_init(&t->decoders[i].ledger, CAPACITY, 0, t->owner, 0);
	for (int r = 0; r < ROUTERS; r++) {
		router_t *router = &t->routers[r];
		route_config_t config = {
			.policy = t->policy,
			.zone = STR("a"),
			.routers = ROUTERS,
			.random = draw,
			.random_context = t->rand,
		};

		router->vm = (ledger_vm_t){str_from(names[r]), 1};
		queue_init(&router->queue, 200);
		prefix_init(&router->prefix, 10);
		route_init(&router->prefill, ROUTE_PREFILL_POOL, &config,
			   &router->prefix);
		route_init(&router->decode, ROUTE_DECODE_POOL, &config, NULL);
		for (uint32_t i = 0; i < MAX(DECODERS, PREFILLERS_MAX); i++) {
			route_engine_config_t engine = {
				.id = i,
				.zone = STR("a"),
				.kv_tokens = CAPACITY,
			};

			if (i < t->n_prefillers)
				route_add(&router->prefill, &engine);
			if (i >= DECODERS)
				continue;
			route_add(&router->decode, &engine);
			share_init(&router->shares[i], CAPACITY, ROUTERS);
			share_owner_seen(&router->shares[i], t->owner);
		}
	}
}

static decoder_t *decoder_of(trial_t *t, const request_t *q)
{
	return &t->decoders[q->decoder->config.id];
}

static share_t *share_of(trial_t *t, const request_t *q)
{
	return &t->routers[q->router].shares[q->decoder->config.id];
}

/* Gives the reservation back, at the owner if it can be reached. */
static void release(trial_t *t, request_t *q)
{
	route_end(&t->routers[q->router].decode, q->decoder, q->tokens);
	if (!q->reserved)
		return;
	q->reserved = false;
	share_drop(share_of(t, q), &q->grant.key);
	if (reachable(t, q->router))
		ledger_release(&decoder_of(t, q)->ledger, &q->grant.key,
			       t->routers[q->router].vm);
}

static void end(trial_t *t, request_t *q)
{
	q->phase = ENDED;
}

static void enqueue(trial_t *t, request_t *q)
{
	queue_request_t want = {
		.customer = STR("c"),
		.weight = 1,
		.worth = 1,
		.cost_tokens = q->tokens,
		.start_by_us = route_latest_start_us(
			&t->routers[q->router].prefill, q->prompt,
			q->first_by_us - IMPORT_US - TOKEN_US),
		.returning = q->returning,
		.context = q,
	};
	queue_outcome_t o =
		queue_push(&t->routers[q->router].queue, &want, t->now);

	q->phase = QUEUED;
	q->tries = 0;
	if (o.evicted) {
		t->refused++;
		end(t, o.evicted);
	}
	if (o.result != QUEUE_ACCEPTED) {
		t->refused++;
		end(t, q);
	}
}

static void start_prefill(trial_t *t, request_t *q)
{
	router_t *router = &t->routers[q->router];
	route_prefill_t want = {
		.prompt_tokens = q->prompt,
		.finish_by_us = q->first_by_us - IMPORT_US - TOKEN_US,
	};
	prefiller_t *p;

	q->prefiller = route_pick_prefill(&router->prefill, &want, t->now);
	if (!q->prefiller) {
		release(t, q);
		q->returning = true;
		router->waiting_until_us = t->now + 5 * STEP_US;
		enqueue(t, q);
		return;
	}
	p = &t->prefillers[q->prefiller->config.id];
	p->free_us = MAX(p->free_us, t->now) + q->prompt * PREFILL_US;
	p->requests++;
	q->started_us = t->now;
	q->expected_us = route_expected_us(&router->prefill, q->prefiller,
					   q->prompt, t->now);
	route_begin(&router->prefill, q->prefiller, q->prompt);
	t->prefilled += q->prompt;
	q->next_us = p->free_us;
	q->phase = PREFILLING;
}

static ledger_grant_t make_grant(trial_t *t, const request_t *q)
{
	return (ledger_grant_t){
		.key = {{0}, ++t->next},
		.tokens = q->tokens,
		.deadline_us = t->now + LEASE_US,
		.vm = t->routers[q->router].vm,
	};
}

/* Chooses a decode engine; a reservation at the owner takes until next_us. */
static bool choose_decoder(trial_t *t, request_t *q)
{
	router_t *router = &t->routers[q->router];
	route_decode_t want = {
		.tokens = q->tokens,
		.except = q->except,
		.n_except = q->tries,
	};

	q->decoder = route_pick_decode(&router->decode, &want, t->now);
	if (!q->decoder)
		return false;
	route_begin(&router->decode, q->decoder, q->tokens);
	q->grant = make_grant(t, q);
	q->next_us = t->now;
	q->phase = RESERVING;
	if (t->policy == ROUTE_CREDITS &&
	    share_take_credit(share_of(t, q), &q->grant, t->now)) {
		q->reserved = true;
		route_set_credit(&router->decode, q->decoder,
				 share_credit(share_of(t, q), t->now));
	} else if (reserves(t) && !reachable(t, q->router) &&
		   !router->fallback) {
		router->fallback = true;
		q->next_us += RPC_TIMEOUT_US;
	} else if (reserves(t) && reachable(t, q->router)) {
		q->next_us += RPC_US;
	}
	return true;
}

/* The reply of the owner, or the fixed share in its place. */
static bool reserve(trial_t *t, request_t *q)
{
	router_t *router = &t->routers[q->router];
	decoder_t *d = decoder_of(t, q);
	ledger_result_t result;

	if (q->reserved) {
		if (reachable(t, q->router))
			return ledger_use_credit(&d->ledger, &q->grant,
						 t->now) == LEDGER_OK;
		return true;
	}
	if (t->policy == ROUTE_SHARE ||
	    (reserves(t) && !reachable(t, q->router))) {
		q->reserved = share_take_fixed(share_of(t, q), &q->grant);
		return q->reserved;
	}
	if (!reserves(t))
		return true;
	router->fallback = false;
	result = ledger_reserve(&d->ledger, &q->grant, t->now);
	if (result == LEDGER_OK) {
		share_hold(share_of(t, q), &q->grant);
		q->reserved = true;
	}
	route_learn_free(&router->decode, q->decoder, ledger_free(&d->ledger),
			 t->now);
	return result == LEDGER_OK;
}

static void after_reserve(trial_t *t, request_t *q)
{
	if (reserve(t, q)) {
		start_prefill(t, q);
		return;
	}
	release(t, q);
	/* Its own view of free memory was wrong; release() undid that. */
	q->decoder->free_tokens -= q->tokens;
	q->except[q->tries++] = q->decoder;
	if (q->tries < TRIES && choose_decoder(t, q))
		return;
	q->returning = true;
	t->routers[q->router].waiting_until_us = t->now + 5 * STEP_US;
	enqueue(t, q);
}

static void after_prefill(trial_t *t, request_t *q)
{
	prefiller_t *p = &t->prefillers[q->prefiller->config.id];

	p->requests--;
	route_end(&t->routers[q->router].prefill, q->prefiller, q->prompt);
	route_prefilled(&t->routers[q->router].prefill, q->prefiller, q->prompt,
			q->expected_us, t->now - q->started_us, t->now);
	q->kept_until_us = t->now + KEPT_US;
	q->tries = 0;
	q->phase = IMPORTING;
	q->next_us = t->now;
}

/* Chooses another decode engine for a result that is still retained. Policies
 * with reservation import only with one.
 */
static void move(trial_t *t, request_t *q)
{
	q->next_us = t->now + 10 * STEP_US;
	if (q->imports++ >= t->max_imports || t->now >= q->kept_until_us ||
	    t->now >= q->first_by_us) {
		t->wasted += q->prompt;
		t->failed++;
		end(t, q);
		return;
	}
	q->phase = IMPORTING;
	if (!choose_decoder(t, q))
		return;
	q->phase = IMPORTING;
	if (!reserve(t, q)) {
		release(t, q);
		q->decoder = NULL;
		q->next_us = t->now + 10 * STEP_US;
	}
}

/* An engine that is full refuses the import. */
static void import(trial_t *t, request_t *q)
{
	decoder_t *d;

	if (!q->decoder) {
		move(t, q);
		return;
	}
	d = decoder_of(t, q);
	if (d->used + q->tokens <= CAPACITY) {
		d->used += q->tokens;
		d->requests++;
		q->in_time = t->now + IMPORT_US + TOKEN_US <= q->first_by_us;
		q->next_us = t->now + IMPORT_US + q->output_us;
		q->phase = DECODING;
		return;
	}
	t->full++;
	t->full_in_fault += in_fault(t);
	release(t, q);
	q->decoder = NULL;
	move(t, q);
}

static void finish(trial_t *t, request_t *q)
{
	decoder_t *d = decoder_of(t, q);

	d->used -= q->tokens;
	d->requests--;
	release(t, q);
	t->good += q->in_time;
	t->late += !q->in_time;
	t->good_in_fault += q->in_time && q->in_fault;
	end(t, q);
}

static void advance(trial_t *t, request_t *q)
{
	if (q->phase == QUEUED || q->phase == ENDED || t->now < q->next_us)
		return;
	if (q->phase == RESERVING)
		after_reserve(t, q);
	else if (q->phase == PREFILLING)
		after_prefill(t, q);
	else if (q->phase == IMPORTING)
		import(t, q);
	else
		finish(t, q);
}

static void arrive(trial_t *t)
{
	request_t *q = g_new0(request_t, 1);
	double size = 0.5 + g_rand_double(t->rand);

	q->router = g_rand_int_range(t->rand, 0, ROUTERS);
	q->prompt = (int64_t)(PROMPT_MEAN * size);
	q->tokens = q->prompt + OUTPUT_MAX;
	q->output_us =
		(int64_t)TOKEN_US * g_rand_int_range(t->rand, 20, OUTPUT_MAX);
	q->first_by_us = t->now + TARGET_US;
	g_ptr_array_add(t->requests, q);
	t->offered++;
	q->in_fault = in_fault(t);
	t->offered_in_fault += q->in_fault;
	enqueue(t, q);
}

static void expire_one(void *entry, void *context)
{
	trial_t *t = context;

	t->expired++;
	end(t, entry);
}

static void serve(trial_t *t, unsigned r)
{
	router_t *router = &t->routers[r];

	queue_expire(&router->queue, t->now, expire_one, t);
	while (t->now >= router->waiting_until_us) {
		request_t *q = queue_pop(&router->queue, t->now);

		if (!q)
			return;
		q->except[0] = NULL;
		if (choose_decoder(t, q))
			continue;
		q->returning = true;
		router->waiting_until_us = t->now + 5 * STEP_US;
		enqueue(t, q);
	}
}

static void report_to(trial_t *t, router_t *router)
{
	for (uint32_t i = 0; i < DECODERS; i++) {
		const decoder_t *d = &t->decoders[i];
		route_load_t load = {.kv_used = d->used_before,
				     .running = d->requests_before};

		route_report(&router->decode, route_find(&router->decode, i),
			     &load, t->now);
	}
	for (uint32_t i = 0; i < t->n_prefillers; i++) {
		route_load_t load = {
			.running = t->prefillers[i].requests_before,
			.age_us = REPORT_US,
		};

		route_report(&router->prefill, route_find(&router->prefill, i),
			     &load, t->now);
	}
}

/* The reports of one interval carry the state at the end of the one before. */
static void report(trial_t *t)
{
	for (int r = 0; r < ROUTERS; r++)
		report_to(t, &t->routers[r]);
	for (int i = 0; i < DECODERS; i++) {
		t->decoders[i].used_before = t->decoders[i].used;
		t->decoders[i].requests_before = t->decoders[i].requests;
		ledger_observe(&t->decoders[i].ledger,
			       t->decoders[i].used_before);
		expire(&t->decoders[i], t->now);
	}
	for (uint32_t i = 0; i < t->n_prefillers; i++)
		t->prefillers[i].requests_before = t->prefillers[i].requests;
}

static void lend(trial_t *t)
{
	for (unsigned r = 0; r < ROUTERS; r++) {
		router_t *router = &t->routers[r];

		for (uint32_t i = 0; i < DECODERS && reachable(t, r); i++) {
			int64_t lent =
				ledger_lend(&t->decoders[i].ledger, router->vm,
					    PROMPT_MEAN + OUTPUT_MAX, ROUTERS,
					    t->now + CREDIT_US, t->now);

			if (lent > 0)
				share_lent(&router->shares[i], lent,
					   t->now + CREDIT_US - RPC_US);
			route_set_credit(
				&router->decode, route_find(&router->decode, i),
				share_credit(&router->shares[i], t->now));
		}
	}
}

typedef struct {
	trial_t *trial;
	ledger_t *ledger;
} renewal_t;

/* A grant that the owner does not know, or has let lapse, is restored. */
static void renew_one(const ledger_grant_t *held, void *context)
{
	const renewal_t *renewal = context;
	ledger_grant_t grant = *held;

	grant.deadline_us = renewal->trial->now + LEASE_US;
	if (ledger_renew(renewal->ledger, &held->key, held->vm, held->phase,
			 grant.deadline_us) == LEDGER_OK)
		return;
	grant.phase = LEDGER_DECODING;
	ledger_restore(renewal->ledger, &grant, renewal->trial->now);
}

/* Renewals go to the owners of all engines on which a router holds grants. */
static void renew(trial_t *t)
{
	for (unsigned r = 0; r < ROUTERS; r++) {
		router_t *router = &t->routers[r];

		for (uint32_t i = 0; i < DECODERS && reachable(t, r); i++) {
			ledger_t *ledger = &t->decoders[i].ledger;
			renewal_t renewal = {t, ledger};

			if (router->shares[i].held == 0)
				continue;
			share_each(&router->shares[i], renew_one, &renewal);
			route_learn_free(&router->decode,
					 route_find(&router->decode, i),
					 ledger_free(ledger), t->now);
		}
	}
	for (int i = 0; i < DECODERS; i++)
		t->overcommit =
			MAX(t->overcommit,
			    ledger_overcommitted(&t->decoders[i].ledger));
}

/* After the fault a new owner starts with an empty ledger. */
static void recover(trial_t *t)
{
	for (int i = 0; i < DECODERS; i++) {
		ledger_t *ledger = &t->decoders[i].ledger;

		ledger_finish(ledger);
		ledger_init(ledger, CAPACITY, 0, 2, t->now + RECOVERY_US);
		for (int r = 0; r < ROUTERS; r++)
			share_owner_seen(&t->routers[r].shares[i], 2);
	}
}

static void step(trial_t *t, double per_step)
{
	t->now += STEP_US;
	/* The offered rates are below one request in a step. */
	if (g_rand_double(t->rand) < per_step)
		arrive(t);
	if (t->now % REPORT_US == 0)
		report(t);
	if (t->policy == ROUTE_CREDITS && t->now % (20 * STEP_US) == 0)
		lend(t);
	if (t->now == FAULT_AT_US + FAULT_US &&
	    str_equal(t->fault, STR("owner")))
		recover(t);
	if (reserves(t) && t->now % RENEW_US == 0)
		renew(t);
	for (guint i = t->requests->len; i-- > 0;) {
		request_t *q = t->requests->pdata[i];

		advance(t, q);
		if (q->phase == ENDED)
			g_ptr_array_remove_index_fast(t->requests, i);
	}
	for (unsigned r = 0; r < ROUTERS; r++)
		serve(t, r);
	if (per_step == 0)
		return;
	for (int i = 0; i < DECODERS; i++)
		t->used_sum += t->decoders[i].used;
	t->steps++;
}

static void print(const trial_t *t)
{
	double n = (double)t->offered;

	printf("%s goodput=%.3f late=%.3f refused=%.3f expired=%.3f "
	       "failed=%.3f engine_full=%.3f wasted_prefill=%.4f used=%.3f "
	       "fault_goodput=%.3f fault_engine_full=%.3f "
	       "overcommit=%.3f\n",
	       route_policy_name(t->policy), (double)t->good / n,
	       (double)t->late / n, (double)t->refused / n,
	       (double)t->expired / n, (double)t->failed / n,
	       (double)t->full / n, (double)t->wasted / (double)t->prefilled,
	       (double)t->used_sum / (double)t->steps / DECODERS / CAPACITY,
	       (double)t->good_in_fault / MAX((double)t->offered_in_fault, 1),
	       (double)t->full_in_fault / MAX((double)t->offered_in_fault, 1),
	       (double)t->overcommit / CAPACITY);
}

int main(int argc, char **argv)
{
	trial_t t = {0};
	double mean_us = IMPORT_US + (20.0 + OUTPUT_MAX) / 2 * (double)TOKEN_US;
	double rate;

	if (argc != 8 || !route_policy_parse(str_from(argv[1]), &t.policy)) {
		fputs("usage: tool_policies POLICY LOAD SECONDS FAULT SEED "
		      "PREFILLERS IMPORTS\n",
		      stderr);
		return 2;
	}
	t.fault = str_from(argv[4]);
	t.rand = g_rand_new_with_seed((guint32)atoi(argv[5]));
	t.n_prefillers = (uint32_t)CLAMP(atoi(argv[6]), 1, PREFILLERS_MAX);
	rate = atof(argv[2]) * DECODERS * SLOTS / mean_us * STEP_US;
	t.max_imports = atoi(argv[7]);
	trial_init(&t);
	while (t.now < atoi(argv[3]) * CLOCK_US_PER_S)
		step(&t, rate);
	while (t.requests->len > 0)
		step(&t, 0);
	print(&t);
	return 0;
}
