#include "process/queue.h"

#include <math.h>

#include "process/clock.h"

/* The drain rate is an exponential average over about ten slots, each of this
 * much time with a non-empty queue. Starts are few and of unequal size, so a
 * shorter average would follow single requests.
 */
#define SLOT_US (100 * CLOCK_US_PER_MS)
#define SLOT_WEIGHT 0.1

/* Slots needed before requests are refused for their expected wait. */
#define MIN_SLOTS 5

/* A workspace that has been idle may first use the share that it would have
 * had during this time. A short burst of a workspace that stays below its
 * share then waits less behind a surge of another workspace.
 */
#define IDLE_CREDIT_S 0.5

/* Bounds of the time after which a refused caller may retry. */
#define RETRY_MIN_US (100 * CLOCK_US_PER_MS)
#define RETRY_MAX_US (30 * CLOCK_US_PER_S)

/* Idle flows are not freed while a class has fewer flows than this. */
#define MIN_SWEEP_FLOWS 64

/* Entries of one flow in one level of worth. */
typedef struct {
	GSequence *entries; /* earliest start_by_us first; NULL until used */
	int64_t cost_tokens;
} level_t;

/* One workspace in one priority class. */
typedef struct {
	char *workspace;
	queue_class_t *class;
	double weight;
	double tag; /* start tag of the next entry */
	uint64_t number; /* order of creation, breaks ties */
	int64_t cost_tokens;
	size_t n_entries;
	level_t levels[QUEUE_WORTH_LEVELS]; /* highest worth first */
	GSequenceIter *tag_iter; /* in by_tag; NULL while without entries */
	GSequenceIter *backlog_iter; /* in by_backlog; NULL likewise */
} flow_t;

/* A queued request. */
struct queue_entry {
	flow_t *flow;
	unsigned level; /* index into the flow's levels */
	int64_t cost_tokens;
	int64_t start_by_us;
	uint64_t number; /* order of arrival, breaks ties */
	void *context;
	GSequenceIter *level_iter;
	GSequenceIter *expiry_iter;
};

/* Orders entries by the latest start, then by arrival. */
static int compare_entries(const void *a, const void *b, void *context)
{
	const queue_entry_t *x = a;
	const queue_entry_t *y = b;

	if (x->start_by_us != y->start_by_us)
		return x->start_by_us < y->start_by_us ? -1 : 1;
	return x->number < y->number ? -1 : x->number > y->number;
}

/* Orders flows by creation. */
static int compare_numbers(const flow_t *x, const flow_t *y)
{
	return x->number < y->number ? -1 : x->number > y->number;
}

/* Orders flows by their start tags, the next to be served first. */
static int compare_tags(const void *a, const void *b, void *context)
{
	const flow_t *x = a;
	const flow_t *y = b;

	if (x->tag != y->tag)
		return x->tag < y->tag ? -1 : 1;
	return compare_numbers(x, y);
}

/* Returns the queued tokens of a flow per unit of weight. */
static double backlog(const flow_t *flow)
{
	return (double)flow->cost_tokens / flow->weight;
}

/* Orders flows by their backlogs, the largest first. */
static int compare_backlogs(const void *a, const void *b, void *context)
{
	const flow_t *x = a;
	const flow_t *y = b;

	if (backlog(x) != backlog(y))
		return backlog(x) > backlog(y) ? -1 : 1;
	return compare_numbers(x, y);
}

/* Frees a flow but not its entries. */
static void flow_free(void *data)
{
	flow_t *flow = data;

	for (unsigned i = 0; i < QUEUE_WORTH_LEVELS; i++) {
		if (flow->levels[i].entries)
			g_sequence_free(flow->levels[i].entries);
	}
	g_free(flow->workspace);
	g_free(flow);
}

/* Sets up an empty queue that holds at most max_entries requests. */
void queue_init(queue_t *queue, size_t max_entries)
{
	*queue = (queue_t){.max_entries = max_entries};
	queue->by_expiry = g_sequence_new(NULL);
	for (unsigned i = 0; i < QUEUE_PRIORITIES; i++) {
		queue_class_t *class = &queue->classes[i];

		class->flows = g_hash_table_new_full(g_str_hash, g_str_equal,
						     NULL, flow_free);
		class->by_tag = g_sequence_new(NULL);
		class->by_backlog = g_sequence_new(NULL);
		class->sweep_threshold = MIN_SWEEP_FLOWS;
	}
}

/* Frees the queue and its entries, but not the contexts of the entries. */
void queue_finish(queue_t *queue)
{
	GSequenceIter *i = g_sequence_get_begin_iter(queue->by_expiry);

	for (; !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i))
		g_free(g_sequence_get(i));
	g_sequence_free(queue->by_expiry);
	for (unsigned p = 0; p < QUEUE_PRIORITIES; p++) {
		g_sequence_free(queue->classes[p].by_tag);
		g_sequence_free(queue->classes[p].by_backlog);
		g_hash_table_unref(queue->classes[p].flows);
	}
}

/*
 * Counts the time up to now and, after a whole slot, updates the drain rate.
 * The rate covers all time in which the queue is not empty, including the pop
 * that empties it. Without those pops it would cover only the periods in which
 * the queue does not move, and requests would be refused for too long a wait.
 */
static void update_drain_rate(queue_t *queue, int64_t now_us)
{
	double rate, slots, keep;

	if (queue->n_entries > 0)
		queue->slot_busy_us +=
			MAX(now_us - queue->busy_counted_until_us, 0);
	queue->busy_counted_until_us = now_us;
	if (queue->slot_busy_us < SLOT_US)
		return;
	rate = (double)queue->slot_tokens * (double)CLOCK_US_PER_S /
	       (double)queue->slot_busy_us;
	slots = (double)queue->slot_busy_us / (double)SLOT_US;
	keep = fmin(pow(1 - SLOT_WEIGHT, slots),
		    queue->n_slots / (queue->n_slots + slots));
	queue->drain_tokens_s =
		fmax(keep * queue->drain_tokens_s + (1 - keep) * rate, 0);
	queue->n_slots = MIN(queue->n_slots + (unsigned)slots, UINT16_MAX);
	queue->slot_tokens = 0;
	queue->slot_busy_us = 0;
}

/* Returns the earliest start tag of a workspace that becomes active. */
static double earliest_tag(const queue_t *queue, const queue_class_t *class)
{
	double weights = fmax(class->total_weight, 1);

	return class->virtual_time -
	       queue_drain_rate(queue) * IDLE_CREDIT_S / weights;
}

/* Returns whether a flow can be freed: it is idle, and its tag is no later than
 * that of a new flow, so nothing is lost when the workspace comes back.
 */
static gboolean flow_is_dispensable(void *key, void *value, void *context)
{
	const flow_t *flow = value;

	return flow->n_entries == 0 &&
	       flow->tag <= earliest_tag(context, flow->class);
}

/* Frees the dispensable flows of a class if there are many flows. The threshold
 * grows with the number of flows that remain, so the cost per flow is constant.
 */
static void free_idle_flows(queue_t *queue, queue_class_t *class)
{
	if (g_hash_table_size(class->flows) < class->sweep_threshold)
		return;
	g_hash_table_foreach_remove(class->flows, flow_is_dispensable, queue);
	class->sweep_threshold = MAX(
		MIN_SWEEP_FLOWS, 2 * (size_t)g_hash_table_size(class->flows));
}

/* Returns the class of a priority; priorities out of range are clamped. */
static queue_class_t *class_of(const queue_t *queue, int priority)
{
	int p = CLAMP(priority, 0, QUEUE_PRIORITIES - 1);

	return (queue_class_t *)&queue->classes[p];
}

/* Returns the level of a worth, 0 for the highest. The middle levels are around
 * a worth of 1; the last also takes a worth that is not positive.
 */
static unsigned level_of(double worth)
{
	int exponent;

	if (!(worth > 0))
		return QUEUE_WORTH_LEVELS - 1;
	exponent = CLAMP(ilogb(worth), -QUEUE_WORTH_LEVELS / 2,
			 QUEUE_WORTH_LEVELS / 2 - 1);
	return (unsigned)(QUEUE_WORTH_LEVELS / 2 - 1 - exponent);
}

/* Returns the flow of a workspace, or NULL. */
static flow_t *find_flow(const queue_class_t *class, str_t workspace)
{
	g_autofree char *name = str_dup(workspace);

	return g_hash_table_lookup(class->flows, name);
}

/* Returns the flow of a workspace; adds one if there is none. */
static flow_t *get_flow(queue_t *queue, queue_class_t *class, str_t workspace)
{
	flow_t *flow = find_flow(class, workspace);

	if (flow)
		return flow;
	free_idle_flows(queue, class);
	flow = g_new0(flow_t, 1);
	flow->workspace = str_dup(workspace);
	flow->class = class;
	flow->number = queue->next_number++;
	flow->tag = earliest_tag(queue, class);
	g_hash_table_insert(class->flows, flow->workspace, flow);
	return flow;
}

/* Adds a flow that got its first entry to the orders of its class. */
static void flow_activate(flow_t *flow)
{
	queue_class_t *class = flow->class;

	flow->tag_iter = g_sequence_insert_sorted(class->by_tag, flow,
						  compare_tags, NULL);
	flow->backlog_iter = g_sequence_insert_sorted(class->by_backlog, flow,
						      compare_backlogs, NULL);
	class->total_weight += flow->weight;
}

/* Takes a flow that has lost its last entry out of the orders of its class.
 * When all flows of the class are idle, no request waits that could be treated
 * unfairly, so virtual time moves past all tags.
 */
static void flow_deactivate(queue_t *queue, flow_t *flow)
{
	queue_class_t *class = flow->class;

	g_sequence_remove(flow->tag_iter);
	g_sequence_remove(flow->backlog_iter);
	flow->tag_iter = NULL;
	flow->backlog_iter = NULL;
	class->total_weight -= flow->weight;
	if (!g_sequence_is_empty(class->by_tag))
		return;
	class->total_weight = 0;
	class->virtual_time = class->last_tag;
	free_idle_flows(queue, class);
}

/* Restores the orders of the class after a change of a flow. */
static void flow_reorder(flow_t *flow)
{
	g_sequence_sort_changed(flow->tag_iter, compare_tags, NULL);
	g_sequence_sort_changed(flow->backlog_iter, compare_backlogs, NULL);
}

/* Sets the weight of a flow; 1 if the given one is not positive. */
static void set_weight(flow_t *flow, double weight)
{
	double old = flow->weight;

	flow->weight = weight > 0 ? weight : 1;
	if (flow->tag_iter)
		flow->class->total_weight += flow->weight - old;
}

/* Adds tokens, also negative ones, to all sums of queued cost. */
static void add_cost(flow_t *flow, unsigned level, int64_t tokens)
{
	flow->levels[level].cost_tokens += tokens;
	flow->cost_tokens += tokens;
	flow->class->cost_tokens += tokens;
}

/* Takes an entry out of all orders and frees it. Returns its context. */
static void *remove_entry(queue_t *queue, queue_entry_t *entry)
{
	flow_t *flow = entry->flow;
	void *context = entry->context;

	g_sequence_remove(entry->level_iter);
	g_sequence_remove(entry->expiry_iter);
	add_cost(flow, entry->level, -entry->cost_tokens);
	flow->n_entries--;
	queue->n_entries--;
	g_free(entry);
	if (flow->n_entries == 0)
		flow_deactivate(queue, flow);
	else
		flow_reorder(flow);
	return context;
}

/* Returns the entry of a flow that is served next, or NULL. */
static queue_entry_t *first_entry(const flow_t *flow)
{
	for (unsigned i = 0; i < QUEUE_WORTH_LEVELS; i++) {
		const level_t *level = &flow->levels[i];

		if (level->entries && !g_sequence_is_empty(level->entries))
			return g_sequence_get(
				g_sequence_get_begin_iter(level->entries));
	}
	return NULL;
}

/* Returns the entry of a flow that is served last, or NULL. */
static queue_entry_t *last_entry(const flow_t *flow)
{
	for (unsigned i = QUEUE_WORTH_LEVELS; i-- > 0;) {
		const level_t *level = &flow->levels[i];

		if (level->entries && !g_sequence_is_empty(level->entries))
			return g_sequence_get(g_sequence_iter_prev(
				g_sequence_get_end_iter(level->entries)));
	}
	return NULL;
}

/* Returns the tokens that are served before a request that would be queued now.
 * These are all tokens of higher priorities and, in its own class, what fair
 * sharing serves until the workspace's earlier entries and the request itself
 * are served, at most all that is queued there.
 */
static double tokens_ahead(const queue_t *queue, const queue_request_t *request)
{
	const queue_class_t *class = class_of(queue, request->priority);
	const flow_t *flow = find_flow(class, request->workspace);
	double weight = request->weight > 0 ? request->weight : 1;
	double weights = class->total_weight;
	double own = (double)request->cost_tokens;
	double tag = earliest_tag(queue, class);
	double higher_tokens = 0;
	double lead;

	for (const queue_class_t *c = queue->classes; c < class; c++)
		higher_tokens += (double)c->cost_tokens;
	for (unsigned i = 0; flow && i <= level_of(request->worth); i++)
		own += (double)flow->levels[i].cost_tokens;
	if (flow)
		tag = fmax(tag, flow->tag);
	if (!flow || flow->n_entries == 0)
		weights += weight;
	lead = fmax(tag - class->virtual_time + own / weight, 0);
	return higher_tokens + fmin((double)class->cost_tokens, lead * weights);
}

/* Returns the expected time in microseconds until the request would be popped
 * if it were queued now; 0 while the drain rate is not known.
 */
int64_t queue_expected_wait_us(const queue_t *queue,
			       const queue_request_t *request)
{
	double wait;

	if (queue->n_slots < MIN_SLOTS || queue->n_entries == 0)
		return 0;
	wait = tokens_ahead(queue, request) / fmax(queue->drain_tokens_s, 1);
	return (int64_t)(fmin(wait, 3600) * (double)CLOCK_US_PER_S);
}

/* Returns the drain rate in tokens per second; 0 while not known. */
double queue_drain_rate(const queue_t *queue)
{
	return queue->n_slots < MIN_SLOTS ? 0 : queue->drain_tokens_s;
}

/* Returns when a refused caller may retry: when the expected wait has shrunk to
 * the time that the request can wait.
 */
static int64_t retry_at(const queue_t *queue, const queue_request_t *request,
			int64_t now_us)
{
	int64_t slack = MAX(request->start_by_us - now_us, 0);
	int64_t wait = queue_expected_wait_us(queue, request) - slack;

	return now_us + CLAMP(wait, RETRY_MIN_US, RETRY_MAX_US);
}

/* Finds the entry to evict for a request when the queue is full: in the lowest
 * priority in use, the last one of the workspace with the largest backlog. A
 * request of higher priority always evicts it. One of the same priority evicts
 * it if its own workspace has a smaller backlog, otherwise an entry of its own
 * workspace that has less worth. Returns NULL if the request is to be refused
 * instead.
 */
static queue_entry_t *find_entry_to_evict(const queue_t *queue,
					  const queue_request_t *request)
{
	int p = QUEUE_PRIORITIES - 1;
	const queue_class_t *own = class_of(queue, request->priority);
	const flow_t *own_flow = find_flow(own, request->workspace);
	double weight = request->weight > 0 ? request->weight : 1;
	double own_backlog = (double)request->cost_tokens / weight;
	flow_t *flow;
	queue_entry_t *last;

	while (p >= 0 && g_sequence_is_empty(queue->classes[p].by_backlog))
		p--;
	if (p < 0 || &queue->classes[p] < own)
		return NULL;
	flow = g_sequence_get(
		g_sequence_get_begin_iter(queue->classes[p].by_backlog));
	last = last_entry(flow);
	if (&queue->classes[p] > own)
		return last;
	if (own_flow)
		own_backlog += (double)own_flow->cost_tokens / weight;
	if (own_backlog < backlog(flow))
		return last;
	last = own_flow ? last_entry(own_flow) : NULL;
	if (last && last->level > level_of(request->worth))
		return last;
	return NULL;
}

/* Adds an entry for a request. A requeued one gets back what its workspace was
 * charged when it was popped.
 */
static queue_entry_t *insert_entry(queue_t *queue,
				   const queue_request_t *request)
{
	queue_class_t *class = class_of(queue, request->priority);
	flow_t *flow = get_flow(queue, class, request->workspace);
	queue_entry_t *entry = g_new0(queue_entry_t, 1);
	level_t *level;

	set_weight(flow, request->weight);
	entry->flow = flow;
	entry->level = level_of(request->worth);
	entry->cost_tokens = MAX(request->cost_tokens, 1);
	entry->start_by_us = request->start_by_us;
	entry->number = queue->next_number++;
	entry->context = request->context;
	level = &flow->levels[entry->level];
	if (!level->entries)
		level->entries = g_sequence_new(NULL);
	entry->level_iter = g_sequence_insert_sorted(level->entries, entry,
						     compare_entries, NULL);
	entry->expiry_iter = g_sequence_insert_sorted(queue->by_expiry, entry,
						      compare_entries, NULL);
	add_cost(flow, entry->level, entry->cost_tokens);
	flow->n_entries++;
	queue->n_entries++;
	if (request->requeued) {
		flow->tag -= (double)entry->cost_tokens / flow->weight;
		queue->slot_tokens -= entry->cost_tokens;
	} else if (flow->n_entries == 1) {
		flow->tag = fmax(flow->tag, earliest_tag(queue, class));
	}
	if (flow->n_entries == 1)
		flow_activate(flow);
	else
		flow_reorder(flow);
	return entry;
}

/*
 * Queues a request, possibly in place of an evicted one, or refuses it at once:
 * with QUEUE_LATE if it would be popped after start_by_us, with QUEUE_FULL if
 * the queue is full and no entry may be evicted for it. A request that was
 * popped and could not be started is pushed again with `requeued` set: then the
 * workspace is not charged twice, the drain rate doesn't count the earlier pop,
 * and the request isn't refused for its expected wait.
 */
queue_outcome_t queue_push(queue_t *queue, const queue_request_t *request,
			   int64_t now_us)
{
	queue_outcome_t outcome = {QUEUE_LATE, NULL, 0, NULL};
	int64_t wait;

	update_drain_rate(queue, now_us);
	wait = request->requeued ? 0 : queue_expected_wait_us(queue, request);
	if (now_us + wait > request->start_by_us) {
		outcome.retry_at_us = retry_at(queue, request, now_us);
		return outcome;
	}
	if (queue->n_entries >= queue->max_entries) {
		queue_entry_t *to_evict = find_entry_to_evict(queue, request);

		outcome.retry_at_us = retry_at(queue, request, now_us);
		outcome.result = QUEUE_FULL;
		if (!to_evict)
			return outcome;
		outcome.evicted = remove_entry(queue, to_evict);
	}
	outcome.result = QUEUE_ACCEPTED;
	outcome.entry = insert_entry(queue, request);
	return outcome;
}

/* Returns the flow that is served next, or NULL. */
static flow_t *next_flow(const queue_t *queue)
{
	for (unsigned p = 0; p < QUEUE_PRIORITIES; p++) {
		GSequence *flows = queue->classes[p].by_tag;

		if (!g_sequence_is_empty(flows))
			return g_sequence_get(g_sequence_get_begin_iter(flows));
	}
	return NULL;
}

/* Returns the context of the request that queue_pop() would take out, NULL if
 * the queue is empty.
 */
void *queue_peek(const queue_t *queue)
{
	const flow_t *flow = next_flow(queue);

	return flow ? first_entry(flow)->context : NULL;
}

/* Takes out the next request and charges its workspace. Returns its context,
 * NULL if the queue is empty. Expired requests are returned too, so callers
 * call queue_expire() first.
 */
void *queue_pop(queue_t *queue, int64_t now_us)
{
	flow_t *flow = next_flow(queue);
	queue_entry_t *entry;

	if (!flow)
		return NULL;
	update_drain_rate(queue, now_us);
	entry = first_entry(flow);
	queue->slot_tokens += entry->cost_tokens;
	flow->class->virtual_time = fmax(flow->class->virtual_time, flow->tag);
	flow->tag += (double)entry->cost_tokens / flow->weight;
	flow->class->last_tag = fmax(flow->class->last_tag, flow->tag);
	return remove_entry(queue, entry);
}

/* Takes out a request whose caller has left. Its workspace is not charged. */
void queue_remove(queue_t *queue, queue_entry_t *entry)
{
	remove_entry(queue, entry);
}

/* Takes out the requests that can no longer be started in time and calls
 * expired() for each. Returns their number.
 */
size_t queue_expire(queue_t *queue, int64_t now_us, queue_expired_fn_t expired,
		    void *context)
{
	size_t n = 0;

	update_drain_rate(queue, now_us);
	while (queue_next_expiry(queue) < now_us) {
		queue_entry_t *entry = g_sequence_get(
			g_sequence_get_begin_iter(queue->by_expiry));

		expired(remove_entry(queue, entry), context);
		n++;
	}
	return n;
}

/* Returns the time after which a request expires, INT64_MAX if none waits. */
int64_t queue_next_expiry(const queue_t *queue)
{
	const queue_entry_t *entry;

	if (g_sequence_is_empty(queue->by_expiry))
		return INT64_MAX;
	entry = g_sequence_get(g_sequence_get_begin_iter(queue->by_expiry));
	return entry->start_by_us;
}
