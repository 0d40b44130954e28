/* Steps many membership state machines in memory, with delay, loss, cuts and
 * pauses. Shared by test_member.c and tool_member.c. No retransmission is
 * modelled.
 */
#ifndef TESTS_SUPPORT_MEMBERS_H
#define TESTS_SUPPORT_MEMBERS_H

#include <glib.h>

#include "process/heartbeat.h"
#include "process/member.h"

#define MEMSIM_MAX 256
#define MEMSIM_DELAY_MIN_US 300
/* IP and UDP headers, and RPC header with credential and MAC. */
#define MEMSIM_HEADER_BYTES (28 + 140)

typedef enum {
	MSG_TICK,
	MSG_PING,
	MSG_ACK,
	MSG_PING_REQ,
	MSG_INDIRECT_RESULT
} memsim_kind_t;

typedef struct {
	int64_t at_us;
	memsim_kind_t kind;
	int from;
	int to;
	uint64_t probe;
	int relay_for; /* node that asked for this ping; -1: none */
	char target[MEMBER_ADDRESS_SIZE]; /* MSG_PING_REQ */
	char target_vm[MEMBER_NAME_SIZE]; /* MSG_PING_REQ and relayed MSG_PING */
	bool reached; /* MSG_INDIRECT_RESULT */
	member_message_t message;
} memsim_event_t;

struct memsim;

typedef struct {
	struct memsim *sim;
	int index;
	members_t members;
	bool up;
	bool started;
	int64_t tick_at_us; /* the only valid tick event */
	int64_t paused_until_us;
	int64_t messages;
	int64_t bytes;
	int suspicions; /* times that it held another member for suspect */
	int removals; /* times that it held another member for dead */
	int64_t last_removal_us;
} memsim_node_t;

typedef struct memsim {
	int n;
	int64_t now_us;
	int64_t delay_max_us;
	double loss;
	GRand *rand;
	GSequence *events;
	GHashTable *by_address; /* char * to index + 1 */
	memsim_node_t nodes[MEMSIM_MAX];
	bool cut[MEMSIM_MAX][MEMSIM_MAX]; /* from, to */
} memsim_t;

static inline gint memsim_compare(gconstpointer a, gconstpointer b, gpointer d)
{
	const memsim_event_t *one = a;
	const memsim_event_t *other = b;

	return (one->at_us > other->at_us) - (one->at_us < other->at_us);
}

static inline uint32_t memsim_random(void *context)
{
	memsim_node_t *node = context;

	return g_rand_int(node->sim->rand);
}

static inline void memsim_count_change(void *context, const member_t *member,
				       member_state_t before)
{
	memsim_node_t *node = context;

	if (member->info.state == MEMBER_SUSPECT)
		node->suspicions++;
	if (member->info.state != MEMBER_DEAD || before >= MEMBER_DEAD)
		return;
	node->removals++;
	node->last_removal_us = node->sim->now_us;
}

static inline void memsim_init(memsim_t *sim, uint32_t seed, double loss)
{
	memset(sim, 0, sizeof(*sim));
	sim->rand = g_rand_new_with_seed(seed);
	sim->now_us = CLOCK_US_PER_S;
	sim->delay_max_us = 4 * CLOCK_US_PER_MS;
	sim->loss = loss;
	sim->events = g_sequence_new(g_free);
	sim->by_address =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static inline void memsim_finish(memsim_t *sim)
{
	for (int i = 0; i < sim->n; i++)
		member_finish(&sim->nodes[i].members);
	g_sequence_free(sim->events);
	g_hash_table_unref(sim->by_address);
	g_rand_free(sim->rand);
}

static inline void memsim_insert_event(memsim_t *sim, memsim_event_t *event)
{
	g_sequence_insert_sorted(sim->events, event, memsim_compare, NULL);
}

static inline void memsim_schedule_tick(memsim_node_t *node, int64_t at_us)
{
	memsim_event_t *event = g_new0(memsim_event_t, 1);

	node->tick_at_us = at_us;
	event->at_us = at_us;
	event->kind = MSG_TICK;
	event->to = node->index;
	memsim_insert_event(node->sim, event);
}

/* Starts a node; the address's number may be that of a node that is down. */
static inline memsim_node_t *memsim_add(memsim_t *sim, const char *vm,
					const char *zone, int number,
					uint64_t incarnation)
{
	memsim_node_t *node = &sim->nodes[sim->n];
	member_info_t self = {.incarnation = incarnation};

	node->sim = sim;
	node->index = sim->n++;
	node->up = true;
	g_strlcpy(self.vm, vm, sizeof(self.vm));
	g_strlcpy(self.zone, zone, sizeof(self.zone));
	g_snprintf(self.address, sizeof(self.address), "10.0.0.%d:7000",
		   number);
	member_init(&node->members, &self, memsim_random, memsim_count_change,
		    node, sim->now_us);
	g_hash_table_replace(sim->by_address, g_strdup(self.address),
			     GINT_TO_POINTER(node->index + 1));
	memsim_schedule_tick(node, sim->now_us + g_rand_int_range(sim->rand, 0,
								  100000));
	return node;
}

/* Starts n nodes in zones za, zb, ... of four that know node 0. */
static inline void memsim_add_nodes(memsim_t *sim, int n)
{
	for (int i = 0; i < n; i++) {
		char vm[16];
		char zone[] = "za";
		memsim_node_t *node;

		g_snprintf(vm, sizeof(vm), "vm-%d", i);
		zone[1] = (char)('a' + i / 4 % 26);
		node = memsim_add(sim, vm, zone, i, 100);
		member_add_contact(&node->members, "10.0.0.0:7000");
	}
}

static inline void memsim_send(memsim_t *sim, memsim_event_t *event)
{
	memsim_node_t *from = &sim->nodes[event->from];
	wire_buffer_t body;

	heartbeat_encode(&event->message, &body);
	from->messages++;
	from->bytes += MEMSIM_HEADER_BYTES + (int64_t)body.len;
	if (sim->cut[event->from][event->to] ||
	    g_rand_double(sim->rand) < sim->loss) {
		g_free(event);
		return;
	}
	event->at_us =
		sim->now_us + g_rand_int_range(sim->rand, MEMSIM_DELAY_MIN_US,
					       (gint32)sim->delay_max_us);
	memsim_insert_event(sim, event);
}

static inline void memsim_ping(memsim_t *sim, int from, const char *address,
			       const char *vm, uint64_t probe, int relay_for)
{
	gpointer to = g_hash_table_lookup(sim->by_address, address);
	memsim_event_t *event;

	if (!to)
		return;
	event = g_new0(memsim_event_t, 1);
	event->kind = MSG_PING;
	event->from = from;
	event->to = GPOINTER_TO_INT(to) - 1;
	event->probe = probe;
	event->relay_for = relay_for;
	g_strlcpy(event->target_vm, vm, sizeof(event->target_vm));
	member_fill_message(&sim->nodes[from].members, vm, &event->message);
	memsim_send(sim, event);
}

static inline void memsim_run_action(memsim_t *sim, int from,
				     const member_action_t *action)
{
	gpointer to = g_hash_table_lookup(sim->by_address, action->address);
	memsim_event_t *event;

	if (action->kind == MEMBER_PING) {
		memsim_ping(sim, from, action->address, action->vm,
			    action->probe, -1);
		return;
	}
	if (!to)
		return;
	event = g_new0(memsim_event_t, 1);
	event->kind = MSG_PING_REQ;
	event->from = from;
	event->to = GPOINTER_TO_INT(to) - 1;
	event->probe = action->probe;
	g_strlcpy(event->target, action->target, sizeof(event->target));
	g_strlcpy(event->target_vm, action->vm, sizeof(event->target_vm));
	member_fill_message(&sim->nodes[from].members, "", &event->message);
	memsim_send(sim, event);
}

static inline void memsim_tick(memsim_t *sim, memsim_node_t *node)
{
	member_action_t actions[MEMBER_ACTIONS_MAX];
	size_t n = member_tick(&node->members, sim->now_us, actions);

	for (size_t i = 0; i < n; i++)
		memsim_run_action(sim, node->index, &actions[i]);
	memsim_schedule_tick(node, MAX(member_next_tick_us(&node->members),
				       sim->now_us + 1));
}

static inline void memsim_send_ack(memsim_t *sim, const memsim_event_t *ping)
{
	memsim_event_t *event = g_memdup2(ping, sizeof(*ping));

	event->kind = MSG_ACK;
	event->from = ping->to;
	event->to = ping->from;
	member_fill_message(&sim->nodes[ping->to].members,
			    ping->message.self.vm, &event->message);
	memsim_send(sim, event);
}

static inline void memsim_send_indirect_result(memsim_t *sim,
					       const memsim_event_t *ack)
{
	memsim_event_t *event = g_memdup2(ack, sizeof(*ack));

	event->kind = MSG_INDIRECT_RESULT;
	event->from = ack->to;
	event->to = ack->relay_for;
	event->reached = strcmp(ack->target_vm, ack->message.self.vm) == 0;
	memsim_send(sim, event);
}

static inline void memsim_deliver(memsim_t *sim, memsim_event_t *event)
{
	memsim_node_t *node = &sim->nodes[event->to];

	switch (event->kind) {
	case MSG_TICK:
		if (event->at_us >= node->tick_at_us)
			memsim_tick(sim, node);
		break;
	case MSG_PING:
		member_receive(&node->members, sim->now_us, &event->message);
		memsim_send_ack(sim, event);
		break;
	case MSG_ACK:
		member_receive_ack(&node->members, sim->now_us,
				   event->relay_for < 0 ? event->probe : 0,
				   &event->message);
		if (event->relay_for >= 0)
			memsim_send_indirect_result(sim, event);
		break;
	case MSG_PING_REQ:
		member_receive(&node->members, sim->now_us, &event->message);
		memsim_ping(sim, event->to, event->target, event->target_vm,
			    event->probe, event->from);
		break;
	case MSG_INDIRECT_RESULT:
		member_receive_indirect_result(&node->members, event->probe,
					       event->reached);
		break;
	}
}

/* Steps everything until the given time. Events of a paused node wait, as
 * datagrams wait in the socket of a stopped process.
 */
static inline void memsim_run(memsim_t *sim, int64_t until_us)
{
	GSequenceIter *first = g_sequence_get_begin_iter(sim->events);

	while (!g_sequence_iter_is_end(first)) {
		memsim_event_t *event = g_sequence_get(first);
		memsim_node_t *node = &sim->nodes[event->to];

		if (event->at_us > until_us)
			break;
		sim->now_us = event->at_us;
		if (node->up && node->paused_until_us > sim->now_us) {
			event->at_us = node->paused_until_us;
			if (event->kind == MSG_TICK)
				node->tick_at_us = event->at_us;
			g_sequence_sort_changed(first, memsim_compare, NULL);
		} else {
			if (node->up)
				memsim_deliver(sim, event);
			g_sequence_remove(first);
		}
		first = g_sequence_get_begin_iter(sim->events);
	}
	sim->now_us = until_us;
}

static inline void memsim_run_for(memsim_t *sim, int64_t seconds)
{
	memsim_run(sim, sim->now_us + seconds * CLOCK_US_PER_S);
}

/* Returns what one node holds another to be; MEMBER_LEFT when not known. */
static inline member_state_t memsim_known_state(const memsim_t *sim, int who,
						int whom)
{
	const member_t *member =
		member_find(&sim->nodes[who].members,
			    sim->nodes[whom].members.self.info.vm);

	return member ? member->info.state : MEMBER_LEFT;
}

#endif
