/* The rows in which two VMs keep which version began each stream. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "names.h"
#include "process/entry/origin_rows.h"
#include "support_address.h"
#include "support_store.h"
#include "support_tcp_stub.h"

/* A stream is to be in the store so long after its begin, beside the time of a call:
 * what begins later than this before the loss of all VMs is lost with them.
 */
#define WRITTEN_MS 100

typedef struct {
	fake_store_t store;
	char *address;
	http_pool_t pool;
	stream_origins_t origins;
	origin_rows_t rows;
	int64_t skipped_us; /* by the VM's clock */
} vm_t;

static int64_t vm_now(void *context)
{
	return ((vm_t *)context)->skipped_us + g_get_monotonic_time();
}

static void init(vm_t *vm)
{
	clock_source_t clock = {vm_now, vm};

	memset(vm, 0, sizeof(*vm));
	vm->address = unused_address();
	fake_store_start(&vm->store, vm->address);
	http_pool_init(&vm->pool, clock_boottime(), 1000, 0);
	stream_origins_init(&vm->origins);
	origin_rows_init(&vm->rows, clock, &vm->pool, &vm->origins, "vm-us", 1);
}

static void finish(vm_t *vm)
{
	origin_rows_finish(&vm->rows);
	stream_origins_finish(&vm->origins);
	http_pool_finish(&vm->pool);
	fake_store_stop(&vm->store);
	g_free(vm->address);
}

/* A stream begins, and the VM looks what there is to write, as its tick does. */
static void begin_stream(vm_t *vm, uint64_t stream)
{
	stream_origin_t origin = {
		.stream = stream,
		.software = 9,
		.expires_us = vm_now(vm) + 30 * CLOCK_US_PER_S,
	};

	stream_origins_put(&vm->origins, &origin);
}

static void check(vm_t *vm)
{
	origin_rows_check(&vm->rows, vm->address, true, true, vm_now(vm));
	support_run_loop_ms(30);
}

static bool is_written(vm_t *vm, unsigned row)
{
	char *key = g_strdup_printf("vm-us/1/%u", row);
	bool found = fake_store_row_version(&vm->store, TABLE_STREAMS, key) !=
		     0;

	g_free(key);
	return found;
}

/* Guards against streams that are lost with all VMs, as they wait to be written together
 * with later ones.
 */
static void test_streams_are_written_soon(void **state)
{
	vm_t vm;

	init(&vm);
	begin_stream(&vm, 1);
	check(&vm);
	assert_true(is_written(&vm, 1));
	begin_stream(&vm, 2);
	vm.skipped_us += WRITTEN_MS * CLOCK_US_PER_MS;
	check(&vm);
	assert_true(is_written(&vm, 2));
	finish(&vm);
}

/* Guards against a write for each stream of many, which the store would not bear. */
static void test_streams_are_written_together(void **state)
{
	vm_t vm;

	init(&vm);
	begin_stream(&vm, 1);
	check(&vm);
	for (uint64_t i = 2; i <= 100; i++)
		begin_stream(&vm, i);
	vm.skipped_us += WRITTEN_MS * CLOCK_US_PER_MS;
	check(&vm);
	check(&vm);
	assert_true(is_written(&vm, 2));
	assert_false(is_written(&vm, 3));
	finish(&vm);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_streams_are_written_soon),
		cmocka_unit_test(test_streams_are_written_together),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
