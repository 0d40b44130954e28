#include "process/queue.h"

#include <math.h>

#include "process/clock.h"

/* The drain rate is averaged over about ten slots of this busy time: starts are
 * few and of unequal size, so shorter averages follow single requests.
 */
#define SLOT_US (100 * CLOCK_US_PER_MS)
#define RATE_GAIN 0.1

/* With fewer slots measured nobody is refused on the estimated wait. */
#define SLOTS_NEEDED 5

/* A workspace that has been idle is served before others for what it would have
 * had in this time. Bursts of workspaces below their shares then wait less for
 * another workspace's surge.
 */
#define IDLE_CREDIT_S 0.5

/* Bounds of the time after which a refused caller may come back. */
#define RETRY_MIN_US (100 * CLOCK_US_PER_MS)
#define RETRY_MAX_US (30 * CLOCK_US_PER_S)

#define SWEEP_MIN 64

/* Entries of one workspace whose worth is within a factor of two. */
typedef struct {
	GSequence *entries; /* earliest start_by_us first; NULL: never used */
	int64_t cost_tokens;
} level_t;

/* One workspace in one priority class. */
typedef struct {
	char *workspace;
	queue_class_t *class;
	double weight;
	double tag; /* start tag of the next entry */
	uint64_t number; /* makes the order of equal flows definite */
	int64_t cost_tokens;
	size_t n_entries;
	level_t levels[QUEUE_WORTH_LEVELS]; /* most valuable first */
	GSequenceIter *in_tag; /* NULL while without entries */
	GSequenceIter *in_backlog;
} flow_t;

struct queue_entry {
	flow_t *flow;
	unsigned level;
	int64_t cost_tokens;
	int64_t start_by_us;
	uint64_t number;
	void *context;
	GSequenceIter *in_level;
	GSequenceIter *in_expiry;
};

static int compare_entries(const void *a, const void *b, void *context)
{
	const queue_entry_t *x = a;
	const queue_entry_t *y = b;

	if (x->start_by_us != y->start_by_us)
		return x->start_by_us < y->start_by_us ? -1 : 1;
	return x->number < y->number ? -1 : x->number > y->number;
}

static int compare_numbers(const flow_t *x, const flow_t *y)
{
	return x->number < y->number ? -1 : x->number > y->number;
}

static int compare_tags(const void *a, const void *b, void *context)
{
	const flow_t *x = a;
	const flow_t *y = b;

	if (x->tag != y->tag)
		return x->tag < y->tag ? -1 : 1;
	return compare_numbers(x, y);
}

static double backlog(const flow_t *flow)
{
	return (double)flow->cost_tokens / flow->weight;
}

static int compare_backlogs(const void *a, const void *b, void *context)
{
	const flow_t *x = a;
	const flow_t *y = b;

	if (backlog(x) != backlog(y))
		return backlog(x) > backlog(y) ? -1 : 1;
	return compare_numbers(x, y);
}

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
		class->sweep_at = SWEEP_MIN;
	}
}

/* Frees the queue and its entries; the entries' contexts stay the caller's. */
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
 * Measures the drain rate over the time in which the queue is not empty,
 * including the pop that empties it. Leaving those pops out would measure only
 * the periods in which the queue is stuck.
 */
static void advance_rate(queue_t *queue, int64_t now_us)
{
	double rate, slots, keep;

	if (queue->n_entries > 0)
		queue->busy_us += MAX(now_us - queue->counted_us, 0);
	queue->counted_us = now_us;
	if (queue->busy_us < SLOT_US)
		return;
	rate = (double)queue->slot_tokens * (double)CLOCK_US_PER_S /
	       (double)queue->busy_us;
	slots = (double)queue->busy_us / (double)SLOT_US;
	keep = fmin(pow(1 - RATE_GAIN, slots),
		    queue->slots / (queue->slots + slots));
	queue->rate = fmax(keep * queue->rate + (1 - keep) * rate, 0);
	queue->slots = MIN(queue->slots + (unsigned)slots, UINT16_MAX);
	queue->slot_tokens = 0;
	queue->busy_us = 0;
}

/* The earliest start tag of a workspace that becomes active. */
static double earliest_tag(const queue_t *queue, const queue_class_t *class)
{
	double weights = fmax(class->weights, 1);

	return class->virtual_time -
	       queue_drain_rate(queue) * IDLE_CREDIT_S / weights;
}

/* Idle flows matter only while their tag is later than a new one's. */
static gboolean flow_is_spent(void *key, void *value, void *context)
{
	const flow_t *flow = value;

	return flow->n_entries == 0 &&
	       flow->tag <= earliest_tag(context, flow->class);
}

static void sweep(queue_t *queue, queue_class_t *class)
{
	if (g_hash_table_size(class->flows) < class->sweep_at)
		return;
	g_hash_table_foreach_remove(class->flows, flow_is_spent, queue);
	class->sweep_at =
		MAX(SWEEP_MIN, 2 * (size_t)g_hash_table_size(class->flows));
}

static queue_class_t *class_of(const queue_t *queue, int priority)
{
	int p = CLAMP(priority, 0, QUEUE_PRIORITIES - 1);

	return (queue_class_t *)&queue->classes[p];
}

static unsigned level_of(double worth)
{
	int exponent;

	if (!(worth > 0))
		return QUEUE_WORTH_LEVELS - 1;
	exponent = CLAMP(ilogb(worth), -QUEUE_WORTH_LEVELS / 2,
			 QUEUE_WORTH_LEVELS / 2 - 1);
	return (unsigned)(QUEUE_WORTH_LEVELS / 2 - 1 - exponent);
}

static flow_t *find_flow(const queue_class_t *class, str_t workspace)
{
	g_autofree char *name = str_dup(workspace);

	return g_hash_table_lookup(class->flows, name);
}

static flow_t *get_flow(queue_t *queue, queue_class_t *class, str_t workspace)
{
	flow_t *flow = find_flow(class, workspace);

	if (flow)
		return flow;
	sweep(queue, class);
	flow = g_new0(flow_t, 1);
	flow->workspace = str_dup(workspace);
	flow->class = class;
	flow->number = queue->next_number++;
	flow->tag = earliest_tag(queue, class);
	g_hash_table_insert(class->flows, flow->workspace, flow);
	return flow;
}

static void flow_activate(flow_t *flow)
{
	queue_class_t *class = flow->class;

	flow->in_tag = g_sequence_insert_sorted(class->by_tag, flow,
						compare_tags, NULL);
	flow->in_backlog = g_sequence_insert_sorted(class->by_backlog, flow,
						    compare_backlogs, NULL);
	class->weights += flow->weight;
}

/* When the last flow of a class has gone idle, nobody waits who could be
 * treated unfairly, and all tags may be forgotten.
 */
static void flow_deactivate(queue_t *queue, flow_t *flow)
{
	queue_class_t *class = flow->class;

	g_sequence_remove(flow->in_tag);
	g_sequence_remove(flow->in_backlog);
	flow->in_tag = NULL;
	flow->in_backlog = NULL;
	class->weights -= flow->weight;
	if (!g_sequence_is_empty(class->by_tag))
		return;
	class->weights = 0;
	class->virtual_time = class->last_tag;
	sweep(queue, class);
}

static void flow_reorder(flow_t *flow)
{
	g_sequence_sort_changed(flow->in_tag, compare_tags, NULL);
	g_sequence_sort_changed(flow->in_backlog, compare_backlogs, NULL);
}

static void set_weight(flow_t *flow, double weight)
{
	double old = flow->weight;

	flow->weight = weight > 0 ? weight : 1;
	if (flow->in_tag)
		flow->class->weights += flow->weight - old;
}

static void add_cost(flow_t *flow, unsigned level, int64_t tokens)
{
	flow->levels[level].cost_tokens += tokens;
	flow->cost_tokens += tokens;
	flow->class->cost_tokens += tokens;
}

/* Takes an entry out of all orders and frees it. */
static void *unlink_entry(queue_t *queue, queue_entry_t *entry)
{
	flow_t *flow = entry->flow;
	void *context = entry->context;

	g_sequence_remove(entry->in_level);
	g_sequence_remove(entry->in_expiry);
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

/* Tokens that are served before a request of this workspace and worth: at most
 * all that is queued in its class, and at most what fair sharing gives the
 * others while the workspace's own earlier entries are served.
 */
static double tokens_ahead(const queue_t *queue, const queue_request_t *request)
{
	const queue_class_t *class = class_of(queue, request->priority);
	const flow_t *flow = find_flow(class, request->workspace);
	double weight = request->weight > 0 ? request->weight : 1;
	double weights = class->weights;
	double own = (double)request->cost_tokens;
	double tag = earliest_tag(queue, class);
	double above = 0;
	double lead;

	for (const queue_class_t *c = queue->classes; c < class; c++)
		above += (double)c->cost_tokens;
	for (unsigned i = 0; flow && i <= level_of(request->worth); i++)
		own += (double)flow->levels[i].cost_tokens;
	if (flow)
		tag = fmax(tag, flow->tag);
	if (!flow || flow->n_entries == 0)
		weights += weight;
	lead = fmax(tag - class->virtual_time + own / weight, 0);
	return above + fmin((double)class->cost_tokens, lead * weights);
}

/* Returns the expected time in microseconds until the request would be popped
 * if it were queued now; 0 while the drain rate is not known.
 */
int64_t queue_expected_wait_us(const queue_t *queue,
			       const queue_request_t *request)
{
	double wait;

	if (queue->slots < SLOTS_NEEDED || queue->n_entries == 0)
		return 0;
	wait = tokens_ahead(queue, request) / fmax(queue->rate, 1);
	return (int64_t)(fmin(wait, 3600) * (double)CLOCK_US_PER_S);
}

/* Returns the drain rate in tokens per second; 0 while not known. */
double queue_drain_rate(const queue_t *queue)
{
	return queue->slots < SLOTS_NEEDED ? 0 : queue->rate;
}

/* A caller may come back when the wait has shrunk to what it can bear. */
static int64_t retry_at(const queue_t *queue, const queue_request_t *request,
			int64_t now_us)
{
	int64_t slack = MAX(request->start_by_us - now_us, 0);
	int64_t wait = queue_expected_wait_us(queue, request) - slack;

	return now_us + CLAMP(wait, RETRY_MIN_US, RETRY_MAX_US);
}

/* Finds the entry that gives way to a request when the queue is full: of the
 * last priority in use, of the workspace with the largest backlog, the one of
 * least worth. Returns NULL if that is the request itself.
 */
static queue_entry_t *find_victim(const queue_t *queue,
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
	entry->in_level = g_sequence_insert_sorted(level->entries, entry,
						   compare_entries, NULL);
	entry->in_expiry = g_sequence_insert_sorted(queue->by_expiry, entry,
						    compare_entries, NULL);
	add_cost(flow, entry->level, entry->cost_tokens);
	flow->n_entries++;
	queue->n_entries++;
	if (request->returning) {
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
 * Queues a request, or refuses it at once: QUEUE_LATE if it would be popped
 * after start_by_us, QUEUE_FULL if the queue is full of requests with an equal
 * or stronger claim. A request that was popped and could not be started is
 * pushed again as returning: the workspace is not charged twice, the drain rate
 * does not count it, and the estimated wait is not held against it.
 */
queue_outcome_t queue_push(queue_t *queue, const queue_request_t *request,
			   int64_t now_us)
{
	queue_outcome_t outcome = {QUEUE_LATE, NULL, 0, NULL};
	int64_t wait;

	advance_rate(queue, now_us);
	wait = request->returning ? 0 : queue_expected_wait_us(queue, request);
	if (now_us + wait > request->start_by_us) {
		outcome.retry_at_us = retry_at(queue, request, now_us);
		return outcome;
	}
	if (queue->n_entries >= queue->max_entries) {
		queue_entry_t *victim = find_victim(queue, request);

		outcome.retry_at_us = retry_at(queue, request, now_us);
		outcome.result = QUEUE_FULL;
		if (!victim)
			return outcome;
		outcome.evicted = unlink_entry(queue, victim);
	}
	outcome.result = QUEUE_ACCEPTED;
	outcome.entry = insert_entry(queue, request);
	return outcome;
}

static flow_t *next_flow(const queue_t *queue)
{
	for (unsigned p = 0; p < QUEUE_PRIORITIES; p++) {
		GSequence *flows = queue->classes[p].by_tag;

		if (!g_sequence_is_empty(flows))
			return g_sequence_get(g_sequence_get_begin_iter(flows));
	}
	return NULL;
}

/* Returns the context of the request that queue_pop() would return. */
void *queue_peek(const queue_t *queue)
{
	const flow_t *flow = next_flow(queue);

	return flow ? first_entry(flow)->context : NULL;
}

/* Takes out the next request and charges its workspace. Returns its context,
 * NULL if the queue is empty. queue_expire() is to be called before.
 */
void *queue_pop(queue_t *queue, int64_t now_us)
{
	flow_t *flow = next_flow(queue);
	queue_entry_t *entry;

	if (!flow)
		return NULL;
	advance_rate(queue, now_us);
	entry = first_entry(flow);
	queue->slot_tokens += entry->cost_tokens;
	flow->class->virtual_time = fmax(flow->class->virtual_time, flow->tag);
	flow->tag += (double)entry->cost_tokens / flow->weight;
	flow->class->last_tag = fmax(flow->class->last_tag, flow->tag);
	return unlink_entry(queue, entry);
}

/* Takes out a request whose caller has left. Its workspace is not charged. */
void queue_remove(queue_t *queue, queue_entry_t *entry)
{
	unlink_entry(queue, entry);
}

/* Takes out the requests that can no longer be started in time and calls
 * expired() for each. Returns their number.
 */
size_t queue_expire(queue_t *queue, int64_t now_us, queue_expired_fn_t expired,
		    void *context)
{
	size_t n = 0;

	advance_rate(queue, now_us);
	while (queue_next_expiry(queue) < now_us) {
		queue_entry_t *entry = g_sequence_get(
			g_sequence_get_begin_iter(queue->by_expiry));

		expired(unlink_entry(queue, entry), context);
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
