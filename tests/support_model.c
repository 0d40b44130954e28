#include "support_model.h"

#include <math.h>

#include "connection/announce.h"
#include "process/decide/admission.h"
#include "process/decide/stage_balance.h"
#include "process/decide/stage_choice.h"
#include "process/decide/stage_round.h"
#include "request/retry.h"
#include "request/stream_call.h"
#include "request/stream_engines.h"

#define STEP_US INT64_C(1000)
#define START_US (1000 * CLOCK_US_PER_S)
#define ADMIT_US (10 * CLOCK_US_PER_MS)
#define ANNOUNCE_US (200 * CLOCK_US_PER_MS)
#define TARGET_US (900 * CLOCK_US_PER_MS)
#define GIVE_UP_US (3000 * CLOCK_US_PER_MS)
#define HAND_OVER_US (15 * CLOCK_US_PER_MS)
#define MAX_VMS 64
#define MAX_ENGINES 24
#define SERVICE "model"

typedef enum { WAITING, PREFILLING, HANDED_OVER, STREAMING } step_t;

/* A request in progress. */
typedef struct {
	unsigned vm;
	step_t step;
	occupancy_urgency_t urgency;
	int64_t arrived_us, prompt_tokens, output_tokens, kv_tokens;
	int64_t give_up_us;
	unsigned prefill, decode; /* engines */
	int64_t sent_us; /* to its current engine */
	int64_t expected_us, backlog_tokens;
	double slowness; /* of the prefill engine, when that was expected */
	int64_t next_us; /* when its step ends */
	int64_t last_event_us;
	int64_t tokens_sent;
	bool counted;
} request_t;

typedef struct {
	stage_t stage;
	char id[16];
	int64_t prefill_free_us; /* when all queued prompts are read */
	int64_t absent_until_us;
	int64_t kv_used;
	unsigned streams;
	bool changing;
} engine_t;

/* An announcement on its way to all other VMs. */
typedef struct {
	unsigned from; /* VM */
	int64_t due_us;
	size_t len;
	char data[8192];
} datagram_t;

typedef struct {
	char name[8];
	relay_t relay;
	server_set_t servers;
	occupancy_t occupancy;
	announce_t announce; /* only encodes */
	stage_round_state_t round;
	int64_t next_admit_us, next_announce_us;
	bool changed; /* its use, since the last announcement */
} vm_t;

typedef struct {
	const model_config_t *config;
	model_result_t result;
	int64_t now_us;
	table_service_t service;
	engine_t engines[MAX_ENGINES];
	vm_t vms[MAX_VMS];
	GPtrArray *requests; /* of request_t */
	GQueue datagrams; /* of datagram_t */
	int64_t no_round_before_us;
	uint64_t seed;
} model_t;

/* Eight engines with memory for about nine streams, and traffic of less
 * than half of what they can do at the best split of stages.
 */
const model_config_t model_base = {
	.vms = 4,
	.engines = 8,
	.prefills = 3,
	.rounds = true,
	.slots = 128,
	.kv_tokens = 33505,
	.prefill_us_per_token = 30,
	.prefill_fixed_us = 40000,
	.event_us = 38000,
	.event_us_per_stream = 1000,
	.tokens_per_event = 11,
	.stage_change_us = 6000000,
	.prompt_tokens = 3000,
	.output_tokens = 770,
	.rate_per_s = 7,
	.clump = 3,
	.count_from_us = 24000000,
	.until_us = 50000000,
	.seed = 1,
};

static int64_t model_now(void *context)
{
	return ((model_t *)context)->now_us;
}

static double random_unit(model_t *model)
{
	return (double)(retry_random(&model->seed) >> 11) * 0x1p-53;
}

/* Returns a size that varies by half about a mean. */
static int64_t random_size(model_t *model, int64_t mean)
{
	return (int64_t)((double)mean * (0.5 + random_unit(model)));
}

/* Puts an engine on a VM's list, in its current stage. */
static void list_engine(model_t *model, vm_t *vm, const engine_t *engine)
{
	server_entry_t entry = {
		.id = g_strdup(engine->id),
		.service = g_strdup(SERVICE),
		.address = g_strdup(engine->id),
		.zone = g_strdup("zone"),
		.stage = engine->stage,
		.slots = model->config->slots,
	};

	server_set_put(&vm->servers, &entry, model->now_us);
}

static void init_vm(model_t *model, unsigned index, uint64_t incarnation)
{
	vm_t *vm = &model->vms[index];
	clock_source_t clock = {model_now, model};

	memset(vm, 0, sizeof(*vm));
	server_set_init(&vm->servers);
	occupancy_init(&vm->occupancy);
	occupancy_set_peers(&vm->occupancy, model->config->vms - 1);
	relay_init(&vm->relay, clock, NULL, &vm->servers, &vm->occupancy,
		   "zone");
	g_snprintf(vm->name, sizeof(vm->name), "v%u", index);
	vm->announce.vm = vm->name;
	vm->announce.incarnation = incarnation;
	vm->announce.occupancy = &vm->occupancy;
	for (unsigned i = 0; i < model->config->engines; i++)
		list_engine(model, vm, &model->engines[i]);
}

static void finish_vm(vm_t *vm)
{
	relay_finish(&vm->relay);
	occupancy_finish(&vm->occupancy);
	server_set_finish(&vm->servers);
}

static server_t *server_of(vm_t *vm, const engine_t *engine)
{
	return server_set_find(&vm->servers, engine->id);
}

/* Adds to a VM's use of an engine. */
static void add_use(model_t *model, const request_t *request, unsigned engine,
		    int64_t streams, int64_t kv_tokens, int64_t prefill_tokens)
{
	vm_t *vm = &model->vms[request->vm];
	occupancy_use_t use = {streams, kv_tokens, prefill_tokens};

	occupancy_add(&vm->occupancy, model->engines[engine].id, &use);
	vm->changed = true;
}

/* Sends a VM's announcement to all others. */
static void announce(model_t *model, unsigned index)
{
	vm_t *vm = &model->vms[index];
	datagram_t *datagram = g_new(datagram_t, 1);

	vm->changed = false;
	vm->next_announce_us = model->now_us + ANNOUNCE_US;
	vm->announce.sequence++;
	datagram->from = index;
	datagram->due_us = model->now_us + model->config->announce_delay_us;
	if (!announce_encode(&vm->announce, vm->occupancy.origins,
			     model->now_us, datagram->data,
			     sizeof(datagram->data), &datagram->len))
		abort();
	g_queue_push_tail(&model->datagrams, datagram);
}

/* Delivers the announcements that have arrived by now. */
static void deliver(model_t *model)
{
	datagram_t *datagram;

	while ((datagram = g_queue_peek_head(&model->datagrams)) &&
	       datagram->due_us <= model->now_us) {
		for (unsigned i = 0; i < model->config->vms; i++) {
			if (i != datagram->from)
				(void)announce_decode(&model->vms[i].occupancy,
						      datagram->data,
						      datagram->len,
						      model->now_us);
		}
		g_free(g_queue_pop_head(&model->datagrams));
	}
}

static void arrive(model_t *model)
{
	request_t *request = g_new0(request_t, 1);
	vm_t *vm;

	request->vm = (unsigned)(random_unit(model) * model->config->vms);
	vm = &model->vms[request->vm];
	request->arrived_us = model->now_us;
	request->prompt_tokens =
		random_size(model, model->config->prompt_tokens);
	request->output_tokens =
		random_size(model, model->config->output_tokens);
	request->kv_tokens = admission_expected_kv_tokens(
		request->prompt_tokens, request->output_tokens);
	request->urgency.due_us = model->now_us + TARGET_US;
	request->give_up_us = model->now_us + GIVE_UP_US;
	request->counted = model->now_us >=
			   START_US + model->config->count_from_us;
	model->result.arrived += request->counted ? 1 : 0;
	workload_observe_request(
		occupancy_own_workload(&vm->occupancy, SERVICE), model->now_us,
		request->prompt_tokens, request->output_tokens);
	arrival_rate_add(&vm->occupancy.arrivals, model->now_us);
	g_ptr_array_add(model->requests, request);
	vm->next_admit_us = model->now_us;
}

/* Drops a request that is refused at once or by an engine. */
static void refuse(model_t *model, request_t *request)
{
	if (!request->counted)
		return;
	model->result.refused++;
	model->result.longest_refusal_us =
		MAX(model->result.longest_refusal_us,
		    model->now_us - request->arrived_us);
}

/* Sends a prompt to its prefill engine. */
static void start_prefill(model_t *model, request_t *request)
{
	const model_config_t *config = model->config;
	engine_t *engine = &model->engines[request->prefill];
	double read_us =
		(double)request->prompt_tokens * config->prefill_us_per_token;

	engine->prefill_free_us =
		MAX(engine->prefill_free_us, model->now_us) + (int64_t)read_us;
	request->step = PREFILLING;
	request->sent_us = model->now_us;
	request->next_us = engine->prefill_free_us + config->prefill_fixed_us;
	add_use(model, request, request->prefill, 0, 0, request->prompt_tokens);
	add_use(model, request, request->decode, 1, request->kv_tokens, 0);
}

/* Returns the index of the engine that a server stands for. */
static unsigned engine_index(const server_t *server)
{
	return (unsigned)g_ascii_strtoull(server->entry.id + 1, NULL, 10);
}

/* Decides on one waiting request as the product does. Returns true when it has
 * been refused.
 */
static bool decide(model_t *model, request_t *request, unsigned own_ahead)
{
	static stream_engines_t engines;
	vm_t *vm = &model->vms[request->vm];
	relay_request_t fields = {.relay = &vm->relay,
				  .service = &model->service};
	admission_request_t wanted = {
		.prompt_tokens = request->prompt_tokens,
		.kv_tokens = request->kv_tokens,
		.give_up_us = request->give_up_us,
	};
	admission_decision_t decision;

	stream_engines_collect(&engines, &fields, model->now_us);
	if (model->now_us + admission_first_event_us(&engines.view,
						     request->prompt_tokens) >
	    request->urgency.due_us)
		request->urgency.late = true;
	wanted.urgency = request->urgency;
	wanted.ahead = own_ahead + occupancy_count_ahead(&vm->occupancy,
							 &request->urgency,
							 model->now_us);
	decision = admission_decide(&engines.view, &wanted, model->now_us);
	if (decision.action == ADMISSION_REFUSE)
		refuse(model, request);
	if (decision.action != ADMISSION_START)
		return decision.action == ADMISSION_REFUSE;
	request->prefill =
		engine_index(engines.prefill_servers[decision.prefill.index]);
	request->decode = engine_index(engines.decode_servers[decision.decode]);
	request->expected_us = decision.prefill.duration_us;
	request->slowness = server_prefill_slowness(
		engines.prefill_servers[decision.prefill.index], model->now_us);
	request->backlog_tokens =
		engines.prefills[decision.prefill.index].backlog_tokens;
	start_prefill(model, request);
	return false;
}

static gint compare_requests(gconstpointer a, gconstpointer b)
{
	const request_t *left = *(request_t *const *)a;
	const request_t *right = *(request_t *const *)b;

	if (occupancy_is_more_urgent(&left->urgency, &right->urgency))
		return -1;
	return occupancy_is_more_urgent(&right->urgency, &left->urgency) ? 1
									 : 0;
}

/* Decides on all requests that wait at a VM. */
static void admit(model_t *model, unsigned index)
{
	vm_t *vm = &model->vms[index];
	unsigned ahead = 0;
	guint before = vm->occupancy.waiters->len;

	vm->next_admit_us = model->now_us + ADMIT_US;
	g_ptr_array_sort(model->requests, compare_requests);
	g_array_set_size(vm->occupancy.waiters, 0);
	for (guint i = 0; i < model->requests->len; i++) {
		request_t *request = g_ptr_array_index(model->requests, i);

		if (request->vm != index || request->step != WAITING)
			continue;
		if (decide(model, request, ahead)) {
			g_ptr_array_remove_index(model->requests, i--);
		} else if (request->step == WAITING) {
			ahead++;
			g_array_append_val(vm->occupancy.waiters,
					   request->urgency);
		}
	}
	vm->changed |= vm->occupancy.waiters->len != before;
}

/* Moves a request to another decode engine as the product does. */
static void leave_overbooked(model_t *model, request_t *request)
{
	vm_t *vm = &model->vms[request->vm];
	relay_request_t fields = {.relay = &vm->relay,
				  .service = &model->service};
	const server_t *next = stream_engines_pick_less_booked(
		&fields, request->kv_tokens,
		server_of(vm, &model->engines[request->decode]));

	if (!next)
		return;
	add_use(model, request, request->decode, -1, -request->kv_tokens, 0);
	request->decode = engine_index(next);
	add_use(model, request, request->decode, 1, request->kv_tokens, 0);
}

/* Ends a prefill and sends the request to its decode engine. */
static void end_prefill(model_t *model, request_t *request)
{
	vm_t *vm = &model->vms[request->vm];
	int64_t duration_us = model->now_us - request->sent_us;

	server_record_prefill(server_of(vm, &model->engines[request->prefill]),
			      request->sent_us, model->now_us,
			      request->expected_us, request->slowness);
	workload_observe_prefill(
		occupancy_own_workload(&vm->occupancy, SERVICE), model->now_us,
		request->prompt_tokens, request->backlog_tokens, duration_us);
	add_use(model, request, request->prefill, 0, 0,
		-request->prompt_tokens);
	leave_overbooked(model, request);
	request->step = HANDED_OVER;
	request->sent_us = model->now_us;
	request->next_us = model->now_us + HAND_OVER_US;
}

/* Returns the time between two events of an engine's streams. */
static int64_t gap_us(const model_t *model, const engine_t *engine)
{
	return model->config->event_us +
	       (int64_t)engine->streams * model->config->event_us_per_stream;
}

/* Begins a stream at its decode engine. False when that has no memory. */
static bool start_stream(model_t *model, request_t *request)
{
	engine_t *engine = &model->engines[request->decode];
	vm_t *vm = &model->vms[request->vm];

	if (engine->kv_used + request->prompt_tokens >
		    model->config->kv_tokens ||
	    (int64_t)engine->streams > model->config->slots) {
		model->result.engine_refusals++;
		add_use(model, request, request->decode, -1,
			-request->kv_tokens, 0);
		refuse(model, request);
		return false;
	}
	engine->streams++;
	engine->kv_used += request->prompt_tokens;
	request->step = STREAMING;
	request->last_event_us = model->now_us;
	request->next_us = model->now_us + gap_us(model, engine);
	workload_observe_hand_over(
		occupancy_own_workload(&vm->occupancy, SERVICE), model->now_us,
		model->now_us - request->sent_us);
	if (request->counted && model->now_us <= request->urgency.due_us)
		model->result.on_time++;
	else if (request->counted)
		model->result.late++;
	return true;
}

/* Sends one event of a stream. False when it was the last one. */
static bool send_event(model_t *model, request_t *request)
{
	engine_t *engine = &model->engines[request->decode];
	vm_t *vm = &model->vms[request->vm];

	workload_observe_gap(occupancy_own_workload(&vm->occupancy, SERVICE),
			     model->now_us,
			     model->now_us - request->last_event_us,
			     engine->streams);
	request->last_event_us = model->now_us;
	request->tokens_sent += model->config->tokens_per_event;
	engine->kv_used += model->config->tokens_per_event;
	request->next_us = model->now_us + gap_us(model, engine);
	if (request->tokens_sent < request->output_tokens)
		return true;
	engine->streams--;
	engine->kv_used -= request->prompt_tokens + request->tokens_sent;
	add_use(model, request, request->decode, -1, -request->kv_tokens, 0);
	vm->next_admit_us = model->now_us;
	return false;
}

/* Takes the next step of a request if it is due. False when it has ended. */
static bool advance(model_t *model, request_t *request)
{
	if (request->step == WAITING || model->now_us < request->next_us)
		return true;
	if (request->step == PREFILLING) {
		end_prefill(model, request);
		return true;
	}
	return request->step == HANDED_OVER ? start_stream(model, request)
					    : send_event(model, request);
}

/* Starts the change of the chosen engines, which all VMs learn of at once. */
static void order(model_t *model, stage_t from, int changes)
{
	stage_candidate_t candidates[MAX_ENGINES] = {{0}};
	unsigned engines[MAX_ENGINES];
	size_t n = 0;

	for (unsigned i = 0; i < model->config->engines; i++) {
		if (model->engines[i].stage != from ||
		    model->engines[i].changing)
			continue;
		candidates[n] = (stage_candidate_t){
			.streams = model->engines[i].streams, .usable = true};
		engines[n++] = i;
	}
	stage_choose(candidates, n, 1, (unsigned)changes);
	for (size_t i = 0; i < n; i++) {
		engine_t *engine = &model->engines[engines[i]];

		if (!candidates[i].chosen)
			continue;
		engine->changing = true;
		for (unsigned v = 0; v < model->config->vms; v++)
			server_of(&model->vms[v], engine)->changing_until_us =
				INT64_MAX;
	}
}

/* Begins a round at one VM if it is due. */
static void check_stages(model_t *model, vm_t *vm)
{
	stage_balance_t balance =
		stream_calls_mean_cost(&vm->relay, &model->service);
	bool first = model->no_round_before_us == 0;
	stage_round_view_t view = {
		.first = first,
		.last_added_us = START_US - 10 * CLOCK_US_PER_S,
		.no_round_before_us = model->no_round_before_us,
	};

	for (unsigned i = 0; i < model->config->engines; i++) {
		if (model->engines[i].stage == STAGE_PREFILL)
			balance.prefills++;
		else
			balance.decodes++;
	}
	balance.loaded = !first;
	view.stage_changes = stage_balance_changes(&balance);
	if (!stage_round_is_due(&vm->round, &view, model->now_us))
		return;
	model->no_round_before_us = model->now_us + 20 * CLOCK_US_PER_S;
	order(model, view.stage_changes > 0 ? STAGE_PREFILL : STAGE_DECODE,
	      first ? abs(view.stage_changes) : 1);
}

/* Carries out stage changes: a changing engine without work is absent, then
 * back in the other stage.
 */
static void change_engines(model_t *model)
{
	for (unsigned i = 0; i < model->config->engines; i++) {
		engine_t *engine = &model->engines[i];

		if (!engine->changing || engine->streams ||
		    engine->prefill_free_us > model->now_us)
			continue;
		if (engine->absent_until_us == 0)
			engine->absent_until_us =
				model->now_us + model->config->stage_change_us;
		if (model->now_us < engine->absent_until_us)
			continue;
		engine->changing = false;
		engine->absent_until_us = 0;
		engine->stage = engine->stage == STAGE_PREFILL ? STAGE_DECODE
							       : STAGE_PREFILL;
		for (unsigned v = 0; v < model->config->vms; v++)
			list_engine(model, &model->vms[v], engine);
	}
}

/* Lets the requests of this step arrive. */
static void arrive_all(model_t *model)
{
	const model_config_t *config = model->config;
	int64_t at_us = model->now_us - START_US;
	double rate = config->rate_per_s;

	if (at_us >= config->surge_from_us && at_us < config->surge_until_us)
		rate *= config->surge_factor;
	if (at_us >= config->until_us ||
	    random_unit(model) * config->clump >
		    rate * (double)STEP_US / CLOCK_US_PER_S)
		return;
	for (unsigned i = 0; i < config->clump; i++)
		arrive(model);
}

/* Replaces VM 0 by a new process that knows nothing. Its requests end. */
static void restart_vm(model_t *model)
{
	for (guint i = 0; i < model->requests->len; i++) {
		request_t *request = g_ptr_array_index(model->requests, i);
		engine_t *engine = &model->engines[request->decode];

		if (request->vm != 0)
			continue;
		if (request->step == STREAMING) {
			engine->streams--;
			engine->kv_used -=
				request->prompt_tokens + request->tokens_sent;
		}
		g_ptr_array_remove_index(model->requests, i--);
	}
	finish_vm(&model->vms[0]);
	init_vm(model, 0, 2);
}

static void step(model_t *model)
{
	arrive_all(model);
	if (model->config->restart_at_us &&
	    model->now_us == START_US + model->config->restart_at_us)
		restart_vm(model);
	for (guint i = 0; i < model->requests->len; i++) {
		if (!advance(model, g_ptr_array_index(model->requests, i)))
			g_ptr_array_remove_index(model->requests, i--);
	}
	for (unsigned i = 0; i < model->config->vms; i++) {
		vm_t *vm = &model->vms[i];

		if (model->now_us >= vm->next_admit_us)
			admit(model, i);
		if (vm->changed || model->now_us >= vm->next_announce_us)
			announce(model, i);
		deliver(model);
		if (model->config->rounds &&
		    model->now_us % (200 * CLOCK_US_PER_MS) == 0)
			check_stages(model, vm);
	}
	change_engines(model);
}

/* Plays a deployment until all requests have ended. */
model_result_t model_run(const model_config_t *config)
{
	model_t *model = g_new0(model_t, 1);
	model_result_t result;

	model->config = config;
	model->seed = config->seed;
	model->now_us = START_US;
	model->requests = g_ptr_array_new_with_free_func(g_free);
	model->service = (table_service_t){
		.name = (char *)SERVICE,
		.is_engine = true,
		.engine = {.slots = config->slots,
			   .kv_tokens = config->kv_tokens,
			   .tokens_per_event = config->tokens_per_event,
			   .stage_change_us = config->stage_change_us},
	};
	for (unsigned i = 0; i < config->engines; i++) {
		g_snprintf(model->engines[i].id, sizeof(model->engines[i].id),
			   "e%u", i);
		model->engines[i].stage = i < config->prefills ? STAGE_PREFILL
							       : STAGE_DECODE;
	}
	for (unsigned i = 0; i < config->vms; i++)
		init_vm(model, i, 1);
	while (model->now_us < START_US + config->until_us ||
	       model->requests->len > 0) {
		step(model);
		model->now_us += STEP_US;
	}
	for (unsigned i = 0; i < config->engines; i++)
		model->result.prefills +=
			model->engines[i].stage == STAGE_PREFILL ? 1 : 0;
	for (unsigned i = 0; i < config->vms; i++)
		finish_vm(&model->vms[i]);
	g_ptr_array_unref(model->requests);
	g_queue_clear_full(&model->datagrams, g_free);
	result = model->result;
	g_free(model);
	return result;
}
