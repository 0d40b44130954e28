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

/* A VM that has PEERS peers in the store, and the store. */
typedef struct {
	fake_store_t store;
	char *store_address;
	http_pool_t pool;
	occupancy_t occupancy;
	announce_t announce;
	vm_expiry_t lapse;
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
	vm_expiry_init(&vm->lapse, clock_boottime(), &vm->pool, &vm->announce);
	for (unsigned i = 0; i < PEERS; i++) {
		char *key = row_key(i);
		int64_t version;

		fake_store_put(&vm->store, TABLE_ROUTER, key, address);
		version = fake_store_row_version(&vm->store, TABLE_ROUTER, key);
		announce_set_peer(&vm->announce, key + 3, address);
		vm_expiry_set_row(&vm->lapse, key + 3, version);
		g_free(key);
	}
	vm->start_us = vm->lapse.next_us - VM_EXPIRY_US;
	g_free(address);
}

static void finish(vm_t *vm)
{
	vm_expiry_finish(&vm->lapse);
	announce_finish(&vm->announce);
	occupancy_finish(&vm->occupancy);
	http_pool_finish(&vm->pool);
	fake_store_stop(&vm->store);
	g_free(vm->store_address);
}

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

static bool is_entered(vm_t *vm, unsigned peer)
{
	char *key = row_key(peer);
	bool entered = fake_store_row_version(&vm->store, TABLE_ROUTER, key) !=
		       0;

	g_free(key);
	return entered;
}

static void check(vm_t *vm, int64_t now_us)
{
	vm_expiry_check(&vm->lapse, vm->store_address, now_us);
	support_run_loop_ms(200);
}

/* Pattern: 480 VMs a day are replaced. Guards against rows of dead VMs that
 * stay for ever, each of which is told of everything by all VMs.
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
	assert_false(is_entered(&vm, 0));
	for (unsigned i = 1; i < PEERS; i++)
		assert_true(is_entered(&vm, i));
	finish(&vm);
}

/* Guards against a VM that started again since its row was read and loses it. */
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
	assert_true(is_entered(&vm, 0));
	finish(&vm);
}

/* Guards against a VM that is cut off from its peers, but not from the store,
 * and removes all of them; and against a removal before the time.
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
		assert_true(is_entered(&vm, i));
	finish(&vm);
	init(&vm);
	now_us = vm.start_us + VM_EXPIRY_US - CLOCK_US_PER_S;
	for (unsigned i = 1; i < PEERS; i++)
		hear(&vm, i, now_us);
	check(&vm, now_us);
	assert_true(is_entered(&vm, 0));
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
