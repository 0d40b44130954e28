#include "support_entry.h"

#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "names.h"
#include "support_address.h"
#include "support_file.h"

/* Writes the settings of a VM with addresses of its own, in the zone "z". */
static void write_settings(const support_entry_t *vm, const char *name,
			   const char *store_address, bool first_start)
{
	char *addresses[4];
	char *text;

	for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++)
		addresses[i] = unused_address();
	text = g_strdup_printf("vm = \"%s\"\nzone = \"z\"\n"
			       "callers_address = \"%s\"\n"
			       "ready_address = \"%s\"\n"
			       "metrics_address = \"%s\"\n"
			       "peer_address = \"%s\"\n"
			       "store_address = \"%s\"\n"
			       "bootstrap = %s\n",
			       name, addresses[0], addresses[1], addresses[2],
			       addresses[3], store_address,
			       first_start ? "true" : "false");
	assert_true(support_file_write(vm->path, text));
	for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++)
		g_free(addresses[i]);
	g_free(text);
}

static void start(support_entry_t *vm, const char *name,
		  const char *store_address, bool first_start)
{
	entry_settings_t settings;
	diag_t diag;

	vm->folder = g_dir_make_tmp("entry-XXXXXX", NULL);
	vm->path = g_strdup_printf("%s/%s.toml", vm->folder, name);
	write_settings(vm, name, store_address, first_start);
	diag_init(&diag);
	assert_true(entry_settings_load(vm->path, &settings, &diag));
	assert_true(
		entry_init(&vm->entry, vm->path, &settings, clock_boottime()));
	diag_finish(&diag);
}

/* Starts the process of a VM with the whole deployment. */
void support_entry_start(support_entry_t *vm, const char *name,
			 const char *store_address)
{
	start(vm, name, store_address, true);
}

/* Starts it later, while the deployment runs or has run. */
void support_entry_restart(support_entry_t *vm, const char *name,
			   const char *store_address)
{
	start(vm, name, store_address, false);
}

/* Ends it and removes its settings. */
void support_entry_stop(support_entry_t *vm)
{
	entry_finish(&vm->entry);
	/* Whatever way its calls have ended, what they kept is given back. */
	assert_int_equal(vm->entry.relay.kept.used_bytes, 0);
	(void)g_remove(vm->path);
	(void)g_rmdir(vm->folder);
	g_free(vm->path);
	g_free(vm->folder);
}

/* Returns where callers reach the VM; borrowed. */
const char *support_entry_address(const support_entry_t *vm)
{
	return vm->entry.settings.callers_address;
}

/* Starts a backend server in the zone "z" and lists it in the store. `fields`
 * are the members of its entry that name its service and stage. Returns its
 * address, freed with g_free().
 */
char *support_server_start(ingress_t *ingress, fake_store_t *store,
			   const char *id, const char *fields,
			   const ingress_handler_t *handler, void *context)
{
	static const ingress_limits_t limits = {
		.max_head_bytes = 65536,
		.max_body_bytes = 1 << 20,
		.head_timeout_us = 10 * CLOCK_US_PER_S,
		.idle_timeout_us = 60 * CLOCK_US_PER_S,
	};
	char *address = unused_address();
	char *entry = g_strdup_printf(
		"{%s,\"address\":\"%s\",\"zone\":\"z\",\"slots\":6,"
		"\"state\":\"ready\",\"sequence\":1,\"born\":1000}",
		fields, address);

	assert_true(ingress_init(ingress, address, clock_boottime(), &limits,
				 handler, context));
	fake_store_put(store, TABLE_SERVERS, id, entry);
	g_free(entry);
	return address;
}
