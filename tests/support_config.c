#include "support_config.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

/* Period and latency of the simulated messages between VMs, ms. The period is
 * that of the membership's probes.
 */
#define HEARTBEAT_MS 500
#define LATENCY_MS 1

static vm_t *find_vm(vms_sim_t *sim, const char *address)
{
	for (size_t i = 0; i < sim->n_vms; i++) {
		if (!strcmp(sim->vms[i].address, address))
			return &sim->vms[i];
	}
	return NULL;
}

/* One read of an object from a peer. */
typedef struct {
	vms_sim_t *sim;
	vm_t *peer;
	char hash[MANIFEST_HASH_DIGITS + 1];
	config_part_done_t done;
	void *context;
} part_call_t;

static gboolean on_part(gpointer data)
{
	part_call_t *call = data;
	GBytes *bytes = NULL;

	if (call->peer && call->peer->running && !call->peer->silent) {
		uint8_t hash[CONFIG_HASH_BYTES];

		for (size_t i = 0; i < CONFIG_HASH_BYTES; i++)
			hash[i] = (uint8_t)(g_ascii_xdigit_value(
						    call->hash[2 * i]) *
						    16 +
					    g_ascii_xdigit_value(
						    call->hash[2 * i + 1]));
		bytes = config_find_object(&call->peer->config, hash);
	}
	call->sim->part_reads++;
	call->sim->open_parts--;
	call->done(call->context, bytes);
	g_free(call);
	return G_SOURCE_REMOVE;
}

static void fetch_part(void *context, const char *address, const char *hash,
		       uint64_t size, int64_t deadline_us,
		       config_part_done_t done, void *done_context)
{
	vm_t *vm = context;
	part_call_t *call = g_new0(part_call_t, 1);
	int64_t wait_ms = LATENCY_MS;

	call->sim = vm->sim;
	call->peer = find_vm(vm->sim, address);
	g_strlcpy(call->hash, hash, sizeof(call->hash));
	call->done = done;
	call->context = done_context;
	vm->sim->open_parts++;
	/* A silent peer uses up the whole time. */
	if (!call->peer || !call->peer->running || call->peer->silent)
		wait_ms = (deadline_us - clock_now(&vm->sim->client.clock)) /
				  CLOCK_US_PER_MS +
			  1;
	g_timeout_add((guint)wait_ms, on_part, call);
}

static void on_changed(void *context, state_t *state)
{
	vm_t *vm = context;

	/* The promise that a version never reverts. */
	assert_true(state->version > vm->version);
	vm->version = state->version;
	vm->changed_us = clock_now(&vm->sim->client.clock);
}

static void tell(const vm_t *from, vm_t *to)
{
	uint8_t hash[CONFIG_HASH_BYTES];
	uint64_t version = config_version(&from->config, hash);

	config_heartbeat_received(&to->config, from->address, from->zone,
				  version, hash, config_age_ms(&from->config));
}

/* A probe of one other VM and its answer. */
static gboolean on_heartbeat(gpointer data)
{
	vm_t *vm = data;
	vms_sim_t *sim = vm->sim;
	vm_t *peer =
		&sim->vms[g_rand_int_range(sim->rand, 0, (gint32)sim->n_vms)];

	if (peer != vm && peer->running && !peer->silent && !vm->silent) {
		tell(vm, peer);
		tell(peer, vm);
	}
	return G_SOURCE_CONTINUE;
}

/* Sets up VMs that are not running yet. */
void vms_sim_init(vms_sim_t *sim, const char *platform_address, size_t n_vms,
		  size_t n_zones)
{
	memset(sim, 0, sizeof(*sim));
	client_init(&sim->client, clock_boottime());
	sim->platform_address = platform_address;
	sim->rand = g_rand_new_with_seed(11);
	sim->n_vms = n_vms;
	sim->n_zones = n_zones;
	for (size_t i = 0; i < n_vms; i++) {
		vm_t *vm = &sim->vms[i];

		vm->sim = sim;
		g_snprintf(vm->name, sizeof(vm->name), "vm-%zu", i);
		g_snprintf(vm->zone, sizeof(vm->zone), "z%zu", i % n_zones);
		g_snprintf(vm->address, sizeof(vm->address), "127.0.0.1:%zu",
			   i + 1);
	}
}

/* All VMs of a zone are taken as its members, whether running or not. */
static void set_zone(vm_t *vm)
{
	const char *names[VMS_SIM_MAX];
	size_t n = 0;

	for (size_t i = 0; i < vm->sim->n_vms; i++) {
		if (!strcmp(vm->sim->vms[i].zone, vm->zone))
			names[n++] = vm->sim->vms[i].name;
	}
	config_set_zone_members(&vm->config, names, n);
}

/* Starts one VM, which knows no version. */
void vms_sim_start(vms_sim_t *sim, size_t i)
{
	vm_t *vm = &sim->vms[i];
	config_callbacks_t callbacks = {fetch_part, on_changed, vm};

	vm->running = true;
	vm->silent = false;
	vm->version = 0;
	platform_init(&vm->platform, &sim->client, sim->platform_address,
		      &PLATFORM_SERVE_BUDGET, i + 1);
	config_init(&vm->config, "d", vm->name, vm->zone, &vm->platform,
		    sim->client.clock, i + 1, &callbacks);
	set_zone(vm);
	config_start(&vm->config);
	vm->heartbeat = g_timeout_add(HEARTBEAT_MS, on_heartbeat, vm);
}

/* Ends one VM after its reads from peers have ended. */
void vms_sim_stop(vms_sim_t *sim, size_t i)
{
	vm_t *vm = &sim->vms[i];

	if (!vm->running)
		return;
	while (sim->open_parts > 0)
		g_main_context_iteration(NULL, TRUE);
	g_source_remove(vm->heartbeat);
	config_finish(&vm->config);
	platform_finish(&vm->platform);
	vm->running = false;
}

/* Ends all VMs and frees the simulation. */
void vms_sim_finish(vms_sim_t *sim)
{
	for (size_t i = 0; i < sim->n_vms; i++)
		vms_sim_stop(sim, i);
	client_finish(&sim->client);
	g_rand_free(sim->rand);
}

/* Tells whether all running VMs have the version in effect. */
bool vms_sim_all_at(const vms_sim_t *sim, uint64_t version)
{
	for (size_t i = 0; i < sim->n_vms; i++) {
		if (sim->vms[i].running && sim->vms[i].version != version)
			return false;
	}
	return true;
}

static gboolean on_limit(gpointer data)
{
	*(bool *)data = true;
	return G_SOURCE_REMOVE;
}

/* Runs until all running VMs have the version; false after the limit. */
bool vms_sim_wait(vms_sim_t *sim, uint64_t version, int64_t limit_ms)
{
	bool late = false;
	guint timer = g_timeout_add((guint)limit_ms, on_limit, &late);

	while (!late && !vms_sim_all_at(sim, version))
		g_main_context_iteration(NULL, TRUE);
	if (!late)
		g_source_remove(timer);
	return !late;
}

/* Runs for a while. */
void vms_sim_run(int64_t ms)
{
	bool late = false;

	g_timeout_add((guint)ms, on_limit, &late);
	while (!late)
		g_main_context_iteration(NULL, TRUE);
}
