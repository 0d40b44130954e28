#include "process/fleet.h"

#include "process/counters.h"
#include "process/heartbeat.h"
#include "process/log.h"

/* Limit of the time that a relayed probe waits for its target, whichever
 * timeout the peer asks for.
 */
#define RELAY_TIMEOUT_MAX_MS 2000

/* Context of an RPC call in progress: a probe of the own state machine, or one
 * relayed for a peer that cannot reach the target itself.
 */
typedef struct {
	fleet_t *fleet;
	uint32_t rpc_call;
	uint64_t probe; /* ID of the own probe */
	uint64_t request_token; /* of the peer's request, when relayed */
	bool relayed;
	char target_vm[MEMBER_NAME_SIZE]; /* has to answer, when relayed */
} probe_call_t;

/* Returns a random number for the state machine. */
static uint32_t random_number(void *context)
{
	fleet_t *fleet = context;

	return g_rand_int(fleet->rand);
}

/* Returns a member state's name for the log. */
static const char *state_text(member_state_t state)
{
	static const char *const names[] = {"alive", "leaving", "suspect",
					    "dead", "left"};

	return state < G_N_ELEMENTS(names) ? names[state] : "unknown";
}

/* Counts, logs and reports that a member has appeared or changed its state. */
static void member_changed(void *context, const member_t *member,
			   member_state_t before)
{
	fleet_t *fleet = context;

	if (member->info.state == MEMBER_SUSPECT)
		counters_add(COUNTER_MEMBERS_SUSPECTED, 1);
	if (member->info.state == MEMBER_DEAD)
		counters_add(COUNTER_MEMBERS_REMOVED, 1);
	counters_set(GAUGE_MEMBERS_ALIVE,
		     (int64_t)member_count_live(&fleet->members));
	log_event(LOG_INFO, "member", LOG_CSTR("member", member->info.vm),
		  LOG_CSTR("address", member->info.address),
		  LOG_CSTR("state", state_text(member->info.state)),
		  LOG_CSTR("before", state_text(before)),
		  LOG_UINT("incarnation", member->info.incarnation));
	if (fleet->callbacks.changed)
		fleet->callbacks.changed(fleet->callbacks.context, member,
					 before);
}

/* Sets the incarnations of RPC messages and of heartbeats to the higher of the
 * two. Either may have been raised above that of a process which ran before a
 * restart.
 */
static void align_incarnation(fleet_t *fleet)
{
	member_info_t *self = &fleet->members.self.info;

	if (fleet->rpc->incarnation > self->incarnation)
		self->incarnation = fleet->rpc->incarnation;
	else
		rpc_set_incarnation(fleet->rpc, self->incarnation);
}

/* Reports that this process is superseded, or sets the alarm for the next step.
 * Must be called after each step of the state machine.
 */
static void after_step(fleet_t *fleet)
{
	if ((fleet->members.superseded || fleet->rpc->superseded) &&
	    !fleet->superseded) {
		fleet->superseded = true;
		log_event(LOG_ERROR, "superseded",
			  LOG_CSTR("member", fleet->members.self.info.vm));
		if (fleet->callbacks.superseded)
			fleet->callbacks.superseded(fleet->callbacks.context);
	}
	/* A superseded process stops probing: its heartbeats would contradict
	 * those of the newer process.
	 */
	if (fleet->superseded) {
		alarm_set(&fleet->alarm, -1);
		return;
	}
	align_incarnation(fleet);
	alarm_set(&fleet->alarm, member_next_tick_us(&fleet->members));
}

/* Reports a heartbeat whose sender is a live member other than this process. */
static void report_heartbeat(fleet_t *fleet, const member_message_t *message)
{
	const member_t *member = member_find(&fleet->members, message->self.vm);

	if (fleet->callbacks.heartbeat_received && member &&
	    member != &fleet->members.self && member_is_live(member))
		fleet->callbacks.heartbeat_received(fleet->callbacks.context,
						    member);
}

/* Adds the context of a new call; the fleet owns it. */
static probe_call_t *add_call(fleet_t *fleet)
{
	probe_call_t *call = g_new0(probe_call_t, 1);

	call->fleet = fleet;
	g_hash_table_add(fleet->calls, call);
	return call;
}

/* Answers a peer's request for a relayed probe. */
static void answer_ping_request(fleet_t *fleet, const probe_call_t *call,
				bool reached)
{
	peer_ping_req_result result = {.reached = reached};
	wire_buffer_t body;

	if (rpc_encode(peer_ping_req_result, &result, &body))
		rpc_reply(fleet->rpc, call->request_token, rpc_body(&body));
}

/* Handles the end of an own or relayed ping. A relayed ping has reached its
 * target only if the VM of the wanted name has answered.
 */
static void ping_answered(void *context, verdict_t verdict, str_t body,
			  const wire_sender_t *from)
{
	probe_call_t *call = context;
	fleet_t *fleet = call->fleet;
	member_message_t message;
	bool ok = verdict.code == VERDICT_OK &&
		  heartbeat_decode(body, &message) &&
		  strcmp(message.self.vm, from->vm) == 0;

	if (ok) {
		member_receive_ack(&fleet->members, clock_now(&fleet->clock),
				   call->relayed ? 0 : call->probe, &message);
		report_heartbeat(fleet, &message);
	}
	if (call->relayed)
		answer_ping_request(fleet, call,
				    ok && strcmp(from->vm, call->target_vm) ==
						    0);
	g_hash_table_remove(fleet->calls, call);
	after_step(fleet);
}

/* Handles a peer's answer to a request for a relayed probe. */
static void ping_request_answered(void *context, verdict_t verdict, str_t body,
				  const wire_sender_t *from)
{
	probe_call_t *call = context;
	fleet_t *fleet = call->fleet;
	peer_ping_req_result result;

	if (verdict.code == VERDICT_OK) {
		if (rpc_decode(peer_ping_req_result, body, &result))
			member_receive_indirect_result(
				&fleet->members, call->probe, result.reached);
		rpc_free(peer_ping_req_result, &result);
	}
	g_hash_table_remove(fleet->calls, call);
	after_step(fleet);
}

/* Sends a heartbeat as a ping. If it cannot be encoded, the body stays empty
 * and the receiver rejects the call.
 */
static void send_ping(fleet_t *fleet, probe_call_t *call, const char *address,
		      const char *vm, int64_t deadline_us)
{
	member_message_t message;
	wire_buffer_t body;

	member_fill_message(&fleet->members, vm, &message);
	if (!heartbeat_encode(&message, &body))
		body.len = 0;
	call->rpc_call = rpc_send(fleet->rpc, address, PEER_PING,
				  rpc_body(&body), deadline_us, ping_answered,
				  call);
}

/* Asks a peer to probe a member that did not answer this process. */
static void send_ping_request(fleet_t *fleet, probe_call_t *call,
			      const member_action_t *action)
{
	member_message_t message;
	wire_buffer_t body;

	member_fill_message(&fleet->members, "", &message);
	if (!heartbeat_encode_ping_req(action, clock_now(&fleet->clock),
				       &message, &body))
		body.len = 0;
	call->rpc_call = rpc_send(fleet->rpc, action->address, PEER_PING_REQ,
				  rpc_body(&body), action->deadline_us,
				  ping_request_answered, call);
}

/* Sends what the state machine has asked for. */
static void send_probe(fleet_t *fleet, const member_action_t *action)
{
	probe_call_t *call = add_call(fleet);

	call->probe = action->probe;
	if (action->kind == MEMBER_PING)
		send_ping(fleet, call, action->address, action->vm,
			  action->deadline_us);
	else
		send_ping_request(fleet, call, action);
}

/* Runs the steps of the state machine that are due. */
static void tick(void *context)
{
	fleet_t *fleet = context;
	member_action_t actions[MEMBER_ACTIONS_MAX];
	size_t n =
		member_tick(&fleet->members, clock_now(&fleet->clock), actions);

	for (size_t i = 0; i < n; i++)
		send_probe(fleet, &actions[i]);
	after_step(fleet);
}

/* Answers a ping with a heartbeat. */
static void handle_ping(void *context, const rpc_request_t *request)
{
	fleet_t *fleet = context;
	member_message_t message;
	member_message_t answer;
	wire_buffer_t body;

	if (!heartbeat_decode(request->body, &message) ||
	    strcmp(message.self.vm, request->from->vm) != 0) {
		rpc_reply_error(fleet->rpc, request->call_id,
				WIRE_BAD_ARGUMENTS);
		return;
	}
	member_receive(&fleet->members, clock_now(&fleet->clock), &message);
	after_step(fleet);
	member_fill_message(&fleet->members, message.self.vm, &answer);
	if (heartbeat_encode(&answer, &body))
		rpc_reply(fleet->rpc, request->call_id, rpc_body(&body));
	else
		rpc_reply_error(fleet->rpc, request->call_id, WIRE_INTERNAL);
	report_heartbeat(fleet, &message);
}

/* Pings a member on behalf of a peer, which is answered later. */
static void relay_ping(fleet_t *fleet, const rpc_request_t *request,
		       const peer_ping_req *wanted)
{
	probe_call_t *call = add_call(fleet);
	int64_t wait_ms = MIN(wanted->timeout_ms, RELAY_TIMEOUT_MAX_MS);

	call->relayed = true;
	call->request_token = request->call_id;
	g_strlcpy(call->target_vm, wanted->vm, sizeof(call->target_vm));
	send_ping(fleet, call, wanted->address, wanted->vm,
		  clock_now(&fleet->clock) + wait_ms * CLOCK_US_PER_MS);
}

/* Handles a peer's request for a relayed probe, which holds a heartbeat too. */
static void handle_ping_request(void *context, const rpc_request_t *request)
{
	fleet_t *fleet = context;
	member_message_t message;
	peer_ping_req wanted;

	if (!rpc_decode(peer_ping_req, request->body, &wanted) ||
	    strcmp(wanted.ping.self.vm, request->from->vm) != 0) {
		rpc_reply_error(fleet->rpc, request->call_id,
				WIRE_BAD_ARGUMENTS);
		goto out;
	}
	heartbeat_from_ping(&wanted.ping, &message);
	member_receive(&fleet->members, clock_now(&fleet->clock), &message);
	relay_ping(fleet, request, &wanted);
	report_heartbeat(fleet, &message);
	after_step(fleet);
out:
	rpc_free(peer_ping_req, &wanted);
}

/*
 * Starts probing over an RPC socket in the thread-default main context, at
 * first the peers of the settings. The settings, the socket and the callbacks'
 * context are borrowed.
 */
void fleet_init(fleet_t *fleet, const settings_t *settings, rpc_t *rpc,
		clock_source_t clock, const fleet_callbacks_t *callbacks)
{
	member_info_t self = {.incarnation = rpc->incarnation};
	int64_t now_us = clock_now(&clock);

	memset(fleet, 0, sizeof(*fleet));
	fleet->rpc = rpc;
	fleet->clock = clock;
	fleet->callbacks = *callbacks;
	fleet->rand = g_rand_new();
	fleet->calls = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	g_strlcpy(self.vm, settings->vm, sizeof(self.vm));
	g_strlcpy(self.zone, settings->zone, sizeof(self.zone));
	g_strlcpy(self.address, rpc->address, sizeof(self.address));
	member_init(&fleet->members, &self, random_number, member_changed,
		    fleet, now_us);
	for (guint i = 0; i < settings->peers->len; i++)
		member_add_contact(&fleet->members,
				   g_array_index(settings->peers,
						 settings_peer_t, i)
					   .address);
	counters_set(GAUGE_MEMBERS_ALIVE, 1);
	rpc_set_handler(rpc, PEER_PING, handle_ping, fleet);
	rpc_set_handler(rpc, PEER_PING_REQ, handle_ping_request, fleet);
	alarm_init(&fleet->alarm, clock, tick, fleet);
	alarm_set(&fleet->alarm, now_us);
}

/* Stops probing and answering, and frees the memory. Must be called before
 * rpc_finish().
 */
void fleet_finish(fleet_t *fleet)
{
	GHashTableIter iter;
	gpointer key;

	alarm_finish(&fleet->alarm);
	rpc_set_handler(fleet->rpc, PEER_PING, NULL, NULL);
	rpc_set_handler(fleet->rpc, PEER_PING_REQ, NULL, NULL);
	g_hash_table_iter_init(&iter, fleet->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const probe_call_t *call = key;

		rpc_cancel(fleet->rpc, call->rpc_call);
	}
	g_hash_table_unref(fleet->calls);
	member_finish(&fleet->members);
	g_rand_free(fleet->rand);
}

/* Sets the configuration version and manifest hash that heartbeats carry. */
void fleet_set_config(fleet_t *fleet, uint64_t config_version,
		      const uint8_t manifest[MEMBER_HASH_BYTES])
{
	member_set_config(&fleet->members, config_version, manifest);
}

/* Updates the members from the platform's VM list. The addresses are those of
 * RPC sockets.
 */
void fleet_set_vm_list(fleet_t *fleet, const member_info_t *vms, size_t n)
{
	member_set_vm_list(&fleet->members, vms, n);
	after_step(fleet);
}

/*
 * Announces MEMBER_LEAVING at the start of a shutdown, so that other processes
 * take over the roles of this one, or MEMBER_LEFT at its end. The heartbeats
 * are sent at once, and their answers aren't waited for.
 */
void fleet_leave(fleet_t *fleet, member_state_t state)
{
	member_action_t actions[MEMBER_ACTIONS_MAX];
	size_t n;

	member_set_own_state(&fleet->members, state);
	n = member_announce(&fleet->members, clock_now(&fleet->clock), actions);
	for (size_t i = 0; i < n; i++)
		send_probe(fleet, &actions[i]);
}

/* Returns the live member of a zone that owns a key, or NULL if the zone has
 * no live member.
 */
const member_t *fleet_owner(const fleet_t *fleet, const char *zone, str_t key)
{
	return member_owner(&fleet->members, zone, member_key(key));
}

/* Returns the member that would own a key if its owner were gone, or NULL. */
const member_t *fleet_successor(const fleet_t *fleet, const char *zone,
				str_t key)
{
	return member_successor(&fleet->members, zone, member_key(key));
}

/* Returns whether a member is the own process. */
bool fleet_is_self(const fleet_t *fleet, const member_t *member)
{
	return member == &fleet->members.self;
}

/* Returns the RPC address of a live VM, or NULL if it is unknown or dead. */
const char *fleet_address_of(const fleet_t *fleet, const char *vm)
{
	const member_t *member = member_find(&fleet->members, vm);

	return member && member_is_live(member) ? member->info.address : NULL;
}
