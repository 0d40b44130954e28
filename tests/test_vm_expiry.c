#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "names.h"
#include "process/entry/vm_expiry.h"
#include "support_address.h"
#include "support_tcp_stub.h"
#include "support_store.h"

#define PEERS 10

/* A VM that knows PEERS other VMs, whose rows are in a store that the test
 * controls.
 */
typedef struct {
	fake_store_t store;
	char *store_address;
	http_pool_t pool;
	occupancy_t occupancy;
	announce_t announce;
	vm_expiry_t expiry;
	int64_t start_us;
} vm_t;

static char *row_key(unsigned peer)
{
	return g_strdup_printf("vm/peer-%u", peer);
}

static void init(vm_t *vm)
{
	char *address = unused_address();

	memset(vm, 0, sizeof(*vm));
	vm->store_address = unused_address();
	fake_store_start(&vm->store, vm->store_address);
	http_pool_init(&vm->pool, clock_boottime(), 1000, 0);
	occupancy_init(&vm->occupancy);
	assert_true(announce_init(&vm->announce, address, clock_boottime(),
				  "vm-us", 1, &vm->occupancy));
	vm_expiry_init(&vm->expiry, clock_boottime(), &vm->pool, &vm->announce);
	for (unsigned i = 0; i < PEERS; i++) {
		char *key = row_key(i);
		int64_t version;

		fake_store_put(&vm->store, TABLE_ROUTER, key, address);
		version = fake_store_row_version(&vm->store, TABLE_ROUTER, key);
		announce_set_peer(&vm->announce, key + 3, address);
		vm_expiry_set_row(&vm->expiry, key + 3, version);
		g_free(key);
	}
	vm->start_us = vm->expiry.next_check_us - VM_EXPIRY_US;
	g_free(address);
}

static void finish(vm_t *vm)
{
	vm_expiry_finish(&vm->expiry);
	announce_finish(&vm->announce);
	occupancy_finish(&vm->occupancy);
	http_pool_finish(&vm->pool);
	fake_store_stop(&vm->store);
	g_free(vm->store_address);
}

/* The VM hears an announcement of a peer. */
static void hear(vm_t *vm, unsigned peer, int64_t now_us)
{
	char *key = row_key(peer);
	occupancy_announcement_t news;

	occupancy_announcement_init(&news);
	g_strlcpy(news.vm, key + 3, sizeof(news.vm));
	news.incarnation = 1;
	news.sequence = (uint32_t)(now_us / CLOCK_US_PER_MS);
	occupancy_apply_announcement(&vm->occupancy, &news, now_us);
	occupancy_announcement_finish(&news);
	g_free(key);
}

/* Tells whether a peer's row is in the store. */
static bool has_row(vm_t *vm, unsigned peer)
{
	char *key = row_key(peer);
	bool found = fake_store_row_version(&vm->store, TABLE_ROUTER, key) != 0;

	g_free(key);
	return found;
}

/* Checks for dead VMs, and lets a removal end. */
static void check(vm_t *vm, int64_t now_us)
{
	vm_expiry_check(&vm->expiry, vm->store_address, now_us);
	support_run_loop_ms(200);
}

/* 480 VMs are replaced each day. Guards against rows of dead VMs that stay for
 * ever: all VMs would send announcements to each of them.
 */
static void test_dead_vm_is_removed(void **state)
{
	vm_t vm;
	int64_t now_us;

	init(&vm);
	now_us = vm.start_us + VM_EXPIRY_US + CLOCK_US_PER_S;
	for (unsigned i = 1; i < PEERS; i++)
		hear(&vm, i, now_us);
	check(&vm, now_us);
	assert_false(has_row(&vm, 0));
	for (unsigned i = 1; i < PEERS; i++)
		assert_true(has_row(&vm, i));
	finish(&vm);
}

/* Guards against the removal of a row that its VM has written again since it
 * was read, as after a restart.
 */
static void test_vm_that_came_back_stays(void **state)
{
	vm_t vm;
	int64_t now_us;

	init(&vm);
	now_us = vm.start_us + VM_EXPIRY_US + CLOCK_US_PER_S;
	for (unsigned i = 1; i < PEERS; i++)
		hear(&vm, i, now_us);
	fake_store_put(&vm.store, TABLE_ROUTER, "vm/peer-0", "10.0.0.9:80");
	check(&vm, now_us);
	assert_true(has_row(&vm, 0));
	finish(&vm);
}

/* Guards against a VM that is cut off from its peers, but not from the store,
 * and removes the rows of all of them; and against a removal before
 * VM_EXPIRY_US.
 */
static void test_cut_off_vm_removes_none(void **state)
{
	vm_t vm;
	int64_t now_us;

	init(&vm);
	now_us = vm.start_us + VM_EXPIRY_US + CLOCK_US_PER_S;
	hear(&vm, 1, now_us);
	check(&vm, now_us);
	for (unsigned i = 0; i < PEERS; i++)
		assert_true(has_row(&vm, i));
	finish(&vm);
	init(&vm);
	now_us = vm.start_us + VM_EXPIRY_US - CLOCK_US_PER_S;
	for (unsigned i = 1; i < PEERS; i++)
		hear(&vm, i, now_us);
	check(&vm, now_us);
	assert_true(has_row(&vm, 0));
	finish(&vm);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_dead_vm_is_removed),
		cmocka_unit_test(test_vm_that_came_back_stays),
		cmocka_unit_test(test_cut_off_vm_removes_none),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
