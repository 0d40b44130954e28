/* A random walk over what VMs know of the versions that began streams: versions come
 * and go, VMs are lost one by one and all at once and return, announcements and
 * writes to the store are lost, and the store goes away and comes back, also from an
 * older copy. At every step callers ask for the rest of streams. The modules are the
 * real ones; this file plays the VMs around them and the store.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/clock.h"
#include "process/decide/software_record.h"
#include "process/decide/stream_origins.h"

#define MS CLOCK_US_PER_MS
#define STEP_US (50 * MS)
#define STEPS 2400 /* two minutes */
#define MAX_VMS 200
#define SERVICE "llm"

/* The time in which callers may ask for the rest of a stream, from its begin. */
#define MAY_ASK_US (14 * CLOCK_US_PER_S)

/* Mean length of a stream. */
#define STREAM_US (3500 * MS)

/* As in the entry process. */
#define KEPT_US (30 * CLOCK_US_PER_S)
#define WRITE_US (50 * MS)
#define ANNOUNCE_US (400 * MS)
#define ANNOUNCED_US (2 * CLOCK_US_PER_S)
#define TURN_US (150 * MS)
#define SETTLED_US (1 * CLOCK_US_PER_S)

#define ROW_SLACK_US (5 * CLOCK_US_PER_S)

/* A stream, with the truth of which version began it. */
typedef struct {
	uint64_t id;
	uint64_t software;
	int64_t begun_us;
} stream_t;

/* A row of the store's table of streams. */
typedef struct {
	uint64_t stream;
	uint64_t software;
	int64_t expires_us;
} row_t;

/* The store. */
typedef struct {
	char *record; /* NULL: none */
	int64_t record_version;
	int64_t era;
	GArray *rows; /* of row_t */
	bool down;
	int64_t down_until_us;
	int64_t troubled_us; /* the end of the last trouble */
} store_t;

typedef struct {
	char name[16];
	bool alive;
	int64_t started_us;
	software_history_t history;
	software_record_t record;
	int64_t record_version; /* of the one that was read */
	int64_t wrong_since_us;
	stream_origins_t origins;
	int64_t era;
	int64_t next_write_us, next_announcement_us;
} vm_t;

typedef struct {
	GRand *random;
	int64_t now_us;
	unsigned vm_count;
	vm_t vms[MAX_VMS];
	store_t store, copy; /* the copy from which the store is restored */
	uint64_t copied_version; /* the newest one that had engines then */
	GArray *listed; /* of uint64_t: versions that have engines */
	uint64_t last_version;
	uint64_t last_stream;
	GArray *streams; /* of stream_t */
	int64_t lost_us; /* all VMs at once; -1: none */
	bool lost_in_calm; /* while the store worked */
	unsigned asked, went_on; /* after such a loss */
} walk_t;

static bool chance(walk_t *walk, double share)
{
	return g_rand_double(walk->random) < share;
}

static guint draw(walk_t *walk, guint n)
{
	return (guint)g_rand_int_range(walk->random, 0, (gint32)n);
}

/* --- the store ------------------------------------------------------------- */

static void store_copy(store_t *to, const store_t *from)
{
	g_free(to->record);
	to->record = g_strdup(from->record);
	to->record_version = from->record_version;
	g_array_set_size(to->rows, 0);
	g_array_append_vals(to->rows, from->rows->data, from->rows->len);
}

static void store_restore(walk_t *walk)
{
	store_copy(&walk->store, &walk->copy);
	walk->store.era++;
	walk->store.record_version += 1000;
	walk->store.troubled_us = walk->now_us;
}

/* Removes the rows that have expired. */
static void store_expire(walk_t *walk)
{
	GArray *rows = walk->store.rows;

	while (rows->len > 0 &&
	       g_array_index(rows, row_t, 0).expires_us <= walk->now_us)
		g_array_remove_index(rows, 0);
}

/* --- VMs -------------------------------------------------------------------- */

static void vm_start(walk_t *walk, vm_t *vm, bool first)
{
	vm->alive = true;
	vm->started_us = walk->now_us;
	software_history_init(&vm->history);
	vm->history.kept_us = KEPT_US;
	vm->history.recorded = first;
	software_record_init(&vm->record);
	vm->record_version = -1;
	vm->wrong_since_us = 0;
	stream_origins_init(&vm->origins);
	vm->era = walk->store.era;
	vm->next_write_us = vm->next_announcement_us = 0;
}

static void vm_stop(vm_t *vm)
{
	vm->alive = false;
	software_history_finish(&vm->history);
	software_record_finish(&vm->record);
	stream_origins_finish(&vm->origins);
}

static bool is_live(void *context, const char *name)
{
	const walk_t *walk = context;

	for (unsigned i = 0; i < walk->vm_count; i++) {
		if (g_str_equal(walk->vms[i].name, name))
			return walk->vms[i].alive;
	}
	return false;
}

/* Reads the record of the store, if it has changed. */
static void vm_follow(walk_t *walk, vm_t *vm)
{
	store_t *store = &walk->store;

	if (vm->era != store->era) {
		vm->era = store->era;
		stream_origins_forget_record(&vm->origins);
	}
	if (vm->record_version != store->record_version) {
		vm->record_version = store->record_version;
		assert_true(software_record_parse(&vm->record,
						  str_from(store->record)));
		software_record_add_to(&vm->record, &vm->history, walk->now_us);
	}
	if (software_record_is_complete(&vm->record, vm->era))
		vm->history.recorded = true;
	software_history_begin(&vm->history, walk->now_us);
	for (guint i = 0; i < walk->listed->len; i++)
		software_history_add(&vm->history, SERVICE,
				     g_array_index(walk->listed, uint64_t, i),
				     walk->now_us);
}

/* Writes the record if it is this VM's turn. */
static void vm_write_record(walk_t *walk, vm_t *vm, unsigned index)
{
	software_knowledge_t knowledge = {
		.history = &vm->history,
		.era = vm->era,
		.vm = vm->name,
		.is_live = is_live,
		.context = walk,
	};
	GString *text;

	if (walk->now_us - vm->started_us < SETTLED_US)
		return;
	if (!software_record_update(&vm->record, &knowledge, walk->now_us)) {
		vm->wrong_since_us = 0;
		return;
	}
	vm->record_version = -1; /* read again in the next step */
	if (vm->wrong_since_us == 0)
		vm->wrong_since_us = walk->now_us;
	if (walk->now_us - vm->wrong_since_us < index * TURN_US ||
	    chance(walk, 0.05))
		return;
	text = g_string_new(NULL);
	software_record_format(&vm->record, text);
	g_free(walk->store.record);
	walk->store.record = g_string_free(text, FALSE);
	walk->store.record_version++;
}

/* Writes the streams that the store lacks. */
static void vm_write_streams(walk_t *walk, vm_t *vm)
{
	GArray *list;

	if (walk->now_us < vm->next_write_us ||
	    !software_record_has_recorder(&vm->record, vm->name) ||
	    (!software_history_is_mixed(&vm->history) &&
	     software_history_is_complete(&vm->history, walk->now_us)))
		return;
	list = g_array_new(FALSE, FALSE, sizeof(stream_origin_t));
	vm->next_write_us = walk->now_us + WRITE_US;
	if (stream_origins_list_unrecorded(&vm->origins, list, 1024,
					   walk->now_us) &&
	    chance(walk, 0.05)) {
		stream_origins_set_unrecorded(&vm->origins, list);
		vm->next_write_us = walk->now_us + CLOCK_US_PER_S;
		g_array_set_size(list, 0);
	}
	for (guint i = 0; i < list->len; i++) {
		const stream_origin_t *origin =
			&g_array_index(list, stream_origin_t, i);
		row_t row = {origin->stream, origin->software,
			     origin->expires_us + ROW_SLACK_US};

		g_array_append_val(walk->store.rows, row);
	}
	g_array_unref(list);
}

/* Tells the other VMs of streams; one of fifty announcements to a VM is lost. */
static void vm_announce(walk_t *walk, const vm_t *vm, const GArray *list)
{
	for (unsigned i = 0; i < walk->vm_count; i++) {
		vm_t *peer = &walk->vms[i];

		if (!peer->alive || peer == vm || chance(walk, 0.02))
			continue;
		for (guint j = 0; j < list->len; j++) {
			stream_origin_t origin =
				g_array_index(list, stream_origin_t, j);

			origin.announced_until_us = 0;
			origin.recorded = false;
			stream_origins_put(&peer->origins, &origin);
		}
	}
}

static void vm_step(walk_t *walk, vm_t *vm, unsigned index)
{
	GArray *list;

	if (walk->now_us % CLOCK_US_PER_S == 0)
		stream_origins_expire(&vm->origins, walk->now_us);
	if (!walk->store.down) {
		vm_follow(walk, vm);
		vm_write_record(walk, vm, index);
		vm_write_streams(walk, vm);
	}
	if (walk->now_us < vm->next_announcement_us)
		return;
	vm->next_announcement_us = walk->now_us + ANNOUNCE_US;
	list = g_array_new(FALSE, FALSE, sizeof(stream_origin_t));
	stream_origins_list_new(&vm->origins, list, walk->now_us);
	vm_announce(walk, vm, list);
	g_array_unref(list);
}

/* --- callers ----------------------------------------------------------------- */

static vm_t *draw_vm(walk_t *walk)
{
	guint first = draw(walk, walk->vm_count);

	for (unsigned i = 0; i < walk->vm_count; i++) {
		vm_t *vm = &walk->vms[(first + i) % walk->vm_count];

		if (vm->alive)
			return vm;
	}
	return NULL;
}

/* Begins a stream at a VM, at a version that the VM has read of. */
static void begin_stream(walk_t *walk)
{
	vm_t *vm = draw_vm(walk);
	stream_t stream = {
		.id = ++walk->last_stream,
		.software = g_array_index(walk->listed, uint64_t,
					  draw(walk, walk->listed->len)),
		.begun_us = walk->now_us,
	};
	stream_origin_t origin = {
		.stream = stream.id,
		.software = stream.software,
		.expires_us = walk->now_us + KEPT_US,
		.announced_until_us = walk->now_us + ANNOUNCED_US,
	};

	if (!vm ||
	    !software_history_has(&vm->history, SERVICE, stream.software))
		return;
	g_array_append_val(walk->streams, stream);
	stream_origins_put(&vm->origins, &origin);
	vm->next_announcement_us = 0;
}

/* Adds the streams that the store has, as an answer to a VM's read. */
static void vm_read_rows(const walk_t *walk, vm_t *vm)
{
	for (guint i = 0; i < walk->store.rows->len; i++) {
		const row_t *row = &g_array_index(walk->store.rows, row_t, i);
		stream_origin_t origin = {
			.stream = row->stream,
			.software = row->software,
			.expires_us = walk->now_us + KEPT_US,
			.recorded = true,
		};

		stream_origins_put(&vm->origins, &origin);
	}
}

/* Returns the version to which a VM sends the rest of a stream; 0: refused. */
static uint64_t find_version(const walk_t *walk, vm_t *vm, uint64_t stream)
{
	uint64_t found =
		stream_origins_find(&vm->origins, stream, walk->now_us);

	if (!found && software_history_is_complete(&vm->history, walk->now_us))
		found = software_history_only(&vm->history, SERVICE);
	if (!found && !walk->store.down) {
		vm_read_rows(walk, vm);
		found = stream_origins_find(&vm->origins, stream, walk->now_us);
	}
	return found;
}

/* Asks for the rest of a stream and checks the version that it gets. */
static bool ask(walk_t *walk, const stream_t *stream)
{
	vm_t *vm = draw_vm(walk);
	uint64_t found = vm ? find_version(walk, vm, stream->id) : 0;

	if (found && found != stream->software)
		fail_msg("at %" G_GINT64_FORMAT
			 " ms a stream begun at %" G_GINT64_FORMAT
			 " ms went on at another version; all VMs "
			 "lost at %" G_GINT64_FORMAT
			 " ms, store troubled at %" G_GINT64_FORMAT " ms",
			 walk->now_us / MS, stream->begun_us / MS,
			 walk->lost_us / MS, walk->store.troubled_us / MS);
	return found != 0;
}

/* Asks for the rest of the streams that the loss of all VMs has broken. */
static void ask_after_loss(walk_t *walk)
{
	for (guint i = 0; i < walk->streams->len; i++) {
		const stream_t *stream =
			&g_array_index(walk->streams, stream_t, i);
		bool went_on;

		if (stream->begun_us < walk->lost_us - STREAM_US ||
		    stream->begun_us > walk->lost_us)
			continue;
		went_on = ask(walk, stream);
		if (walk->lost_in_calm) {
			walk->asked++;
			walk->went_on += went_on ? 1 : 0;
		}
	}
	walk->lost_us = -1;
}

static void forget_streams(walk_t *walk)
{
	while (walk->streams->len > 0 &&
	       g_array_index(walk->streams, stream_t, 0).begun_us <
		       walk->now_us - MAY_ASK_US)
		g_array_remove_index(walk->streams, 0);
}

/* --- the walk ----------------------------------------------------------------- */

static void change_versions(walk_t *walk)
{
	if (walk->listed->len < 3 && chance(walk, 0.004)) {
		walk->last_version++;
		g_array_append_val(walk->listed, walk->last_version);
	}
	if (walk->listed->len > 1 && chance(walk, 0.006))
		g_array_remove_index(walk->listed, 0);
}

static uint64_t newest_listed(const walk_t *walk)
{
	return g_array_index(walk->listed, uint64_t, walk->listed->len - 1);
}

/* Lets one version serve alone. */
static void list_only(walk_t *walk, uint64_t version)
{
	g_array_set_size(walk->listed, 0);
	g_array_append_val(walk->listed, version);
}

/* What else happens while no VM runs: nothing, the old versions leave, or the store
 * and the engines go back to what they were some time ago.
 */
static void change_meanwhile(walk_t *walk)
{
	switch (draw(walk, 4)) {
	case 0:
		list_only(walk, newest_listed(walk));
		break;
	case 1:
		if (walk->copied_version == 0)
			break;
		store_restore(walk);
		list_only(walk, walk->copied_version);
		walk->lost_in_calm = false;
		break;
	default:
		break;
	}
}

static void change_vms(walk_t *walk)
{
	for (unsigned i = 0; i < walk->vm_count; i++) {
		vm_t *vm = &walk->vms[i];

		if (vm->alive && chance(walk, 0.0005))
			vm_stop(vm);
		else if (!vm->alive && walk->lost_us < 0 && chance(walk, 0.05))
			vm_start(walk, vm, false);
	}
	if (walk->lost_us < 0 && chance(walk, 0.002)) {
		walk->lost_us = walk->now_us;
		walk->lost_in_calm = !walk->store.down &&
				     walk->now_us - walk->store.troubled_us >
					     5 * CLOCK_US_PER_S;
		for (unsigned i = 0; i < walk->vm_count; i++) {
			if (walk->vms[i].alive)
				vm_stop(&walk->vms[i]);
		}
		change_meanwhile(walk);
	}
}

/* Lets all VMs return some time after their loss, and callers ask. */
static void return_vms(walk_t *walk)
{
	int64_t lost_for_us = walk->now_us - walk->lost_us;

	if (walk->lost_us < 0)
		return;
	if (lost_for_us == 20 * STEP_US) {
		for (unsigned i = 0; i < walk->vm_count; i++)
			vm_start(walk, &walk->vms[i], false);
	} else if (lost_for_us >= 24 * STEP_US && !walk->store.down) {
		ask_after_loss(walk);
	}
}

static void change_store(walk_t *walk)
{
	store_t *store = &walk->store;

	if (!store->down && chance(walk, 0.002)) {
		store->down = true;
		store->down_until_us = walk->now_us + 3 * CLOCK_US_PER_S;
	} else if (store->down && walk->now_us >= store->down_until_us) {
		store->down = false;
		store->troubled_us = walk->now_us;
	}
	if (chance(walk, 0.003)) {
		store_copy(&walk->copy, store);
		walk->copied_version = newest_listed(walk);
	}
	if (chance(walk, 0.0007))
		store_restore(walk);
}

static void walk_start(walk_t *walk, unsigned vms, guint32 seed)
{
	uint64_t version = 1;

	*walk = (walk_t){
		.random = g_rand_new_with_seed(seed),
		.now_us = 100 * CLOCK_US_PER_S,
		.vm_count = vms,
		.last_version = 1,
		.lost_us = -1,
	};
	walk->store.rows = g_array_new(FALSE, FALSE, sizeof(row_t));
	walk->copy.rows = g_array_new(FALSE, FALSE, sizeof(row_t));
	walk->listed = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_array_append_val(walk->listed, version);
	walk->streams = g_array_new(FALSE, FALSE, sizeof(stream_t));
	for (unsigned i = 0; i < vms; i++) {
		g_snprintf(walk->vms[i].name, sizeof(walk->vms[i].name),
			   "vm-%u", i);
		vm_start(walk, &walk->vms[i], true);
	}
}

static void walk_finish(walk_t *walk)
{
	for (unsigned i = 0; i < walk->vm_count; i++) {
		if (walk->vms[i].alive)
			vm_stop(&walk->vms[i]);
	}
	g_free(walk->store.record);
	g_free(walk->copy.record);
	g_array_unref(walk->store.rows);
	g_array_unref(walk->copy.rows);
	g_array_unref(walk->listed);
	g_array_unref(walk->streams);
	g_rand_free(walk->random);
}

static void walk_step(walk_t *walk)
{
	walk->now_us += STEP_US;
	change_versions(walk);
	change_store(walk);
	change_vms(walk);
	return_vms(walk);
	for (unsigned i = 0; i < walk->vm_count; i++) {
		if (walk->vms[i].alive)
			vm_step(walk, &walk->vms[i], i);
	}
	begin_stream(walk);
	forget_streams(walk);
	store_expire(walk);
	if (walk->lost_us < 0 && walk->streams->len > 0)
		(void)ask(walk, &g_array_index(walk->streams, stream_t,
					       draw(walk, walk->streams->len)));
}

/* How many times as many seeds are walked; an argument of the program. */
static unsigned effort = 1;

/* Walks with some seeds, and checks that of the streams that a loss of all VMs broke
 * three quarters go on.
 */
static void walk_all(unsigned vms, unsigned seeds, unsigned steps)
{
	static walk_t walk;
	unsigned asked = 0, went_on = 0;

	for (guint32 seed = 1; seed <= seeds * effort; seed++) {
		walk_start(&walk, vms, seed);
		for (unsigned i = 0; i < steps; i++)
			walk_step(&walk);
		asked += walk.asked;
		went_on += walk.went_on;
		walk_finish(&walk);
	}
	print_message("%u VMs: %u of %u streams went on\n", vms, went_on,
		      asked);
	assert_true(asked > 0);
	assert_true(4 * went_on >= 3 * asked);
}

/* Guards against streams that are joined from two versions, and against refusals of
 * more than those that have just begun, whatever is lost.
 */
static void test_few_vms(void **state)
{
	walk_all(3, 20, STEPS);
}

/* Guards against the same where VMs wait longer for their turn to write. */
static void test_some_vms(void **state)
{
	walk_all(20, 8, STEPS);
}

/* The same at the size of large fleets. */
static void test_many_vms(void **state)
{
	walk_all(MAX_VMS, 1, STEPS / 4);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_few_vms),
		cmocka_unit_test(test_some_vms),
		cmocka_unit_test(test_many_vms),
	};

	if (argc > 1)
		effort = (unsigned)g_ascii_strtoull(argv[1], NULL, 10);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
