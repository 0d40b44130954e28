#include "support_store_reader.h"

#include "names.h"
#include "support_address.h"

static void on_config(void *context, route_table_t *table)
{
	store_reader_t *reader = context;

	reader->config_version = table->version;
}

static void on_servers(void *context)
{
	store_reader_t *reader = context;

	reader->changes++;
}

static void on_vm(void *context, const char *vm, str_t address,
		  int64_t row_version)
{
	store_reader_t *reader = context;

	store_rows_set_vm_count(&reader->rows, ++reader->vm_rows);
}

static void on_round(void *context, const char *service, str_t value)
{
}

static void on_crash_row(void *context, const char *key, str_t value,
			 int64_t row_version)
{
}

static void on_software_row(void *context, str_t value, int64_t row_version)
{
}

static void on_departure(void *context, const char *server)
{
}

static void on_own_sync(void *context)
{
}

static const store_rows_handler_t handler = {
	.on_config = on_config,
	.on_servers = on_servers,
	.on_vm = on_vm,
	.on_round = on_round,
	.on_crash_row = on_crash_row,
	.on_losses_row = on_crash_row,
	.on_departure = on_departure,
	.on_return = on_departure,
	.on_software_row = on_software_row,
	.on_own_sync = on_own_sync,
};

/* Starts an empty store and a VM, vm-us, that reads it. */
void store_reader_init(store_reader_t *reader)
{
	memset(reader, 0, sizeof(*reader));
	reader->address = unused_address();
	fake_store_start(&reader->store, reader->address);
	http_pool_init(&reader->pool, clock_boottime(), 1000, 0);
	server_set_init(&reader->servers);
	store_rows_init(&reader->rows, &reader->pool, clock_boottime(),
			reader->address, "vm-us", "10.0.0.9:80",
			&reader->servers, &handler, reader);
	store_rows_set_vm_count(&reader->rows, 1);
}

/* Stops the VM and the store. */
void store_reader_finish(store_reader_t *reader)
{
	store_rows_finish(&reader->rows);
	server_set_finish(&reader->servers);
	http_pool_finish(&reader->pool);
	fake_store_stop(&reader->store);
	g_free(reader->address);
}

/* Returns whether the VM knows the server i-1. */
bool store_reader_has_server(void *context)
{
	const store_reader_t *reader = context;

	return server_set_find(&reader->servers, "i-1") != NULL;
}

/* Returns whether the VM does not know the server i-1. */
bool store_reader_has_no_server(void *context)
{
	return !store_reader_has_server(context);
}

/* Returns whether the VM knows that the server i-1 is leaving. */
bool store_reader_is_leaving(void *context)
{
	const store_reader_t *reader = context;
	const server_t *server = server_set_find(&reader->servers, "i-1");

	return server && server->entry.leaving;
}

/* Returns whether the VM's row was written since `removed_version`. */
bool store_reader_is_registered(void *context)
{
	store_reader_t *reader = context;

	return fake_store_row_version(&reader->store, TABLE_ROUTER,
				      "vm/vm-us") > reader->removed_version;
}

/* Returns whether the VM has the expected version of the configuration. */
bool store_reader_has_config(void *context)
{
	const store_reader_t *reader = context;

	return reader->config_version == reader->expected_version;
}
