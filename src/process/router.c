#include "process/router.h"

#include <inttypes.h>
#include <xxhash.h>

#include "process/counters.h"
#include "process/log.h"
#include "process/poll_interval.h"

/* Retries that may be made at once after a time without any: the requests that
 * the loss of one decode engine interrupts in one process, about 20.
 */
#define RETRY_BURST 20

/* Writes a new request ID, which is unique over all VMs and incarnations: 32
 * hexadecimal digits and a terminating NUL.
 */
void router_make_request_id(router_t *router, char id[33])
{
	g_snprintf(id, 33, "%016" PRIx64 "%016" PRIx64, router->id_prefix,
		   ++router->id_counter);
}

/* Passes a backend server's change to the scheduler, and a load report to the
 * ledger owner as well.
 */
static void on_backend_changed(void *context, backend_entry_t *entry,
			       bool reported)
{
	router_t *router = context;

	scheduler_backend_changed(&router->scheduler, entry, reported);
	if (reported && router->joined)
		owner_on_load_report(&router->owner, entry);
}

/* Updates the scheduler's index of cached prefixes. */
static void on_cache_event(void *context, backend_entry_t *entry,
			   const engine_cache_event_t *event)
{
	router_t *router = context;

	if (entry->engine)
		prefix_on_event(&router->scheduler.prefix,
				entry->engine->config.id, event->sequence,
				event->stored, event->prefix);
}

/* Returns whether this process needs the load of an engine at every poll. For a
 * decode engine this is its ledger owner, and each router with requests there,
 * which sees from the reports whether the engine is alive. The other routers
 * learn its free memory from the owner's answers.
 */
static bool needs_frequent_polls(void *context, const backend_entry_t *entry)
{
	router_t *router = context;

	return entry->prefill || !router->joined ||
	       router->reserve.policy < ROUTE_LEDGER ||
	       (entry->engine && entry->engine->own_requests > 0) ||
	       owner_is_self(&router->owner, entry);
}

/* Releases the decode memory of a request whose cancel an engine has
 * confirmed.
 */
static void on_cancel_confirmed(void *context, str_t engine, str_t request,
				uint32_t attempt)
{
	router_t *router = context;
	ledger_key_t key = ledger_key_make(request, attempt);

	reserve_cancel_confirmed(&router->reserve, engine, &key);
	if (router->joined)
		owner_cancel_confirmed(&router->owner, engine, &key);
}

/*
 * Sets up the parts that work without other serve processes. The settings must
 * outlive router_finish().
 */
void router_init(router_t *router, const settings_t *settings)
{
	route_policy_t policy;
	clock_source_t wall = clock_realtime();

	router->settings = settings;
	router->clock = clock_boottime();
	hlc_init(&router->hlc, wall);
	router->incarnation = (uint64_t)clock_now(&wall);
	router->id_prefix =
		XXH64(settings->vm, strlen(settings->vm), router->incarnation);
	g_queue_init(&router->requests);
	g_queue_init(&router->forwarded_calls);
	client_init(&router->client, router->clock);
	canceller_init(&router->canceller, &router->client, router->clock,
		       router->id_prefix);
	retry_budget_init(&router->retry_budget, 0, RETRY_BURST);
	once_records_init(&router->once_records, NULL, router->clock);
	backends_init(&router->backends, &router->client, router->clock);
	if (!route_policy_parse(str_from(settings->routing_policy), &policy))
		policy = ROUTE_LEDGER;
	reserve_init(&router->reserve, policy, settings->peers->len + 1,
		     router->clock);
	scheduler_init(&router->scheduler, &router->backends, &router->reserve,
		       router->clock, settings, router->id_prefix);
	router->backends.on_changed = on_backend_changed;
	router->backends.on_cache = on_cache_event;
	router->backends.needs_frequent_polls = needs_frequent_polls;
	router->backends.context = router;
	router->canceller.on_confirmed = on_cancel_confirmed;
	router->canceller.context = router;
	poll_interval_install(g_main_context_default());
	router->loop = g_main_loop_new(NULL, FALSE);
}

/* Adapts roles and grants to a member that has changed its state. */
static void on_member_changed(void *context, const member_t *member,
			      member_state_t before)
{
	router_t *router = context;

	if (!router->joined)
		return;
	owner_update(&router->owner);
	router_config_update_members(router);
	if (member->info.state == MEMBER_DEAD)
		owner_vm_dead(&router->owner, str_from(member->info.vm),
			      member->info.incarnation);
}

/* Passes on the configuration version in a heartbeat. */
static void on_heartbeat_received(void *context, const member_t *member)
{
	router_t *router = context;

	if (router->joined)
		router_config_heartbeat_received(router, member);
}

/* Reports that a newer process uses this VM's name. */
static void on_superseded(void *context)
{
	router_t *router = context;

	router->on_superseded(router->superseded_context);
}

/* Sets up the platform client and the parts that read and write there. */
static void start_platform(router_t *router)
{
	platform_budget_t budget = PLATFORM_SERVE_BUDGET;

	router->has_platform = true;
	platform_init(&router->platform, &router->client,
		      router->settings->platform_address, &budget,
		      router->id_prefix);
	router->once_records.platform = &router->platform;
	vms_init(&router->vms, &router->platform, &router->fleet,
		 &router->backends, router->clock, router->id_prefix);
}

/*
 * Joins the other serve processes. `superseded` is called if a newer process
 * uses this VM's name. Returns false and sets the error if the RPC socket
 * cannot be opened.
 */
bool router_join(router_t *router, router_superseded_fn_t superseded,
		 void *context, GError **error)
{
	const settings_t *settings = router->settings;
	fleet_callbacks_t callbacks = {
		.changed = on_member_changed,
		.heartbeat_received = on_heartbeat_received,
		.superseded = on_superseded,
		.context = router,
	};
	ledger_vm_t self = {.name = str_from(settings->vm)};

	router->on_superseded = superseded;
	router->superseded_context = context;
	if (!rpc_init(&router->rpc, settings, router->clock, &router->hlc,
		      error))
		return false;
	self.incarnation = router->rpc.incarnation;
	fleet_init(&router->fleet, settings, &router->rpc, router->clock,
		   &callbacks);
	owner_init(&router->owner, &router->rpc, &router->fleet,
		   &router->backends, &router->canceller, router->clock,
		   settings->peers->len + 1);
	owner_listen(&router->owner);
	limit_exchange_init(&router->limits, &router->scheduler.limit,
			    &router->rpc, &router->fleet, settings,
			    router->clock);
	if (settings->platform_address)
		start_platform(router);
	reserve_attach(&router->reserve, &router->rpc, &router->fleet,
		       &router->owner, self);
	router->joined = true;
	if (router->has_platform)
		router_config_start(router);
	return true;
}

/* Puts a version into effect for new requests. Takes over the reference. */
void router_set_state(router_t *router, state_t *state)
{
	if (router->state)
		state_unref(router->state);
	router->state = state;
	counters_set(GAUGE_STATE_VERSION, (int64_t)state->version);
	retry_budget_set_share(&router->retry_budget,
			       state->limits.retry_share);
	backends_apply(&router->backends, state);
	scheduler_apply(&router->scheduler, state);
	if (router->joined) {
		router->owner.max_transfers = state->limits.transfers_per_link;
		owner_update(&router->owner);
	}
	log_event(LOG_INFO, "state_in_effect",
		  LOG_UINT("version", state->version),
		  LOG_UINT("backends", state->n_backends));
	if (router->on_state)
		router->on_state(router->on_state_context);
}

/* Starts to drain: other VMs take over the roles of this one, while requests
 * are still served.
 */
void router_drain(router_t *router)
{
	router->draining = true;
	if (router->joined)
		fleet_leave(&router->fleet, MEMBER_LEAVING);
}

/* Announces that this process has left, and frees the memory. All requests must
 * have ended.
 */
void router_finish(router_t *router)
{
	if (router->joined)
		fleet_leave(&router->fleet, MEMBER_LEFT);
	once_records_finish(&router->once_records);
	if (router->has_platform) {
		router_config_finish(router);
		vms_finish(&router->vms);
		platform_finish(&router->platform);
	}
	if (router->joined)
		limit_exchange_finish(&router->limits);
	backends_finish(&router->backends);
	scheduler_finish(&router->scheduler);
	reserve_finish(&router->reserve);
	if (router->joined) {
		owner_unlisten(&router->owner);
		owner_finish(&router->owner);
		fleet_finish(&router->fleet);
		rpc_finish(&router->rpc);
	}
	canceller_finish(&router->canceller);
	client_finish(&router->client);
	if (router->state)
		state_unref(router->state);
	g_main_loop_unref(router->loop);
}
