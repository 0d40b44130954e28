#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "support_state.h"
#include "version/fetch.h"

/* Three versions, each with one changed workspace, and their objects. */
typedef struct {
	GHashTable *objects; /* hash to GBytes */
	manifest_t manifests[3];
	head_t heads[3];
	const char *broken; /* hash of an object that is not delivered */
	bool corrupt; /* it is delivered with other bytes instead */
	unsigned gets;
	GQueue waiting; /* of wait_t, when answers are delayed */
	bool delayed;
} store_t;

typedef struct {
	GBytes *bytes;
	fetch_object_fn_t done;
	void *context;
} wait_t;

typedef struct {
	unsigned ends;
	bool ok;
	unsigned n_fetched;
	uint64_t n_bytes;
	uint64_t version;
	uint64_t rate;
} outcome_t;

static void put(store_t *store, GBytes *bytes, char *hash)
{
	gsize len;
	const char *data = g_bytes_get_data(bytes, &len);

	manifest_hash((str_t){data, len}, hash);
	g_hash_table_replace(store->objects, g_strdup(hash), bytes);
}

static void make_version(store_t *store, size_t i)
{
	GString *text = support_state_text(3, 200);
	GString *manifest_text = g_string_new(NULL);
	head_t *head = &store->heads[i];
	state_t *state;

	support_state_add_workspace(text, 1000, 10 + (double)i);
	state = support_state_parse(text->str);
	manifest_init(&store->manifests[i]);
	manifest_split(&store->manifests[i], state);
	manifest_print(&store->manifests[i], manifest_text);
	if (i > 0)
		*head = store->heads[i - 1];
	head->version = i + 1;
	head->manifest_size = manifest_text->len;
	put(store, g_string_free_to_bytes(manifest_text), head->manifest);
	for (guint j = 0; j < store->manifests[i].parts->len; j++) {
		manifest_part_t *part = &g_array_index(
			store->manifests[i].parts, manifest_part_t, j);
		char hash[MANIFEST_HASH_DIGITS + 1];

		put(store, g_bytes_ref(part->bytes), hash);
	}
	if (i > 0) {
		GString *delta_text = g_string_new(NULL);
		head_delta_t delta = {0};

		manifest_print_delta(&store->manifests[i - 1],
				     &store->manifests[i], delta_text);
		delta.size = delta_text->len;
		memcpy(delta.from, store->heads[i - 1].manifest,
		       sizeof(delta.from));
		memcpy(delta.to, head->manifest, sizeof(delta.to));
		put(store, g_string_free_to_bytes(delta_text), delta.hash);
		head_add_delta(head, &delta);
	}
	state_unref(state);
	g_string_free(text, TRUE);
}

static int setup(void **state)
{
	store_t *store = g_new0(store_t, 1);

	store->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       (GDestroyNotify)g_bytes_unref);
	for (size_t i = 0; i < 3; i++)
		make_version(store, i);
	*state = store;
	return 0;
}

static int teardown(void **state)
{
	store_t *store = *state;

	for (size_t i = 0; i < 3; i++)
		manifest_finish(&store->manifests[i]);
	g_hash_table_unref(store->objects);
	g_free(store);
	return 0;
}

static void get(void *context, const char *hash, uint64_t size,
		fetch_object_fn_t done, void *done_context)
{
	store_t *store = context;
	GBytes *bytes = g_hash_table_lookup(store->objects, hash);

	store->gets++;
	if (store->broken && !strcmp(store->broken, hash))
		bytes = store->corrupt
				? g_hash_table_lookup(store->objects,
						      store->heads[0].manifest)
				: NULL;
	if (store->delayed) {
		wait_t *wait = g_new0(wait_t, 1);

		*wait = (wait_t){bytes, done, done_context};
		g_queue_push_tail(&store->waiting, wait);
	} else {
		done(done_context, bytes);
	}
}

static void on_done(void *context, const fetch_result_t *result)
{
	outcome_t *outcome = context;
	char *hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256,
						   "customer-1000", -1);

	outcome->ends++;
	outcome->ok = result->state != NULL;
	assert_int_equal(outcome->ok, result->failure == NULL);
	outcome->n_fetched = result->n_fetched;
	outcome->n_bytes = result->n_bytes;
	if (result->state) {
		outcome->version = result->state->version;
		outcome->rate =
			(uint64_t)state_find_workspace(result->state, hash)
				->requests_s;
		state_unref(result->state);
	}
	g_free(hash);
}

/* Fetches version `to`, holding version `from` (from 1; 0: nothing). */
static outcome_t fetch(store_t *store, size_t from, size_t to)
{
	fetch_source_t source = {get, store};
	manifest_t none;
	outcome_t outcome = {0};
	fetch_t *f;

	manifest_init(&none);
	f = fetch_new(&source, &store->heads[to - 1],
		      from ? &store->manifests[from - 1] : &none, on_done,
		      &outcome);
	fetch_run(f);
	fetch_free(f);
	manifest_finish(&none);
	return outcome;
}

/* Guards against parts that are fetched again although they are held. */
static void test_fetches_only_what_changed(void **state)
{
	store_t *store = *state;
	unsigned parts = store->manifests[0].parts->len;
	outcome_t o = fetch(store, 0, 1);

	assert_true(o.ok);
	assert_int_equal(o.n_fetched, parts + 1);
	assert_int_equal(o.rate, 10);
	o = fetch(store, 1, 2);
	assert_true(o.ok);
	assert_int_equal(o.n_fetched, 2); /* delta and part */
	assert_int_equal(o.rate, 11);
	/* A version that was missed: two deltas and one part. */
	o = fetch(store, 1, 3);
	assert_true(o.ok);
	assert_int_equal(o.n_fetched, 3);
	assert_int_equal(o.version, 3);
	assert_int_equal(o.rate, 12);
	o = fetch(store, 3, 3);
	assert_true(o.ok);
	assert_int_equal(o.n_fetched, 0);
}

/* Guards against a state that is put together from wrong or missing objects.
 */
static void test_checks_objects(void **state)
{
	store_t *store = *state;
	char delta[MANIFEST_HASH_DIGITS + 1];
	char part[MANIFEST_HASH_DIGITS + 1];
	outcome_t o;

	memcpy(delta, store->heads[1].deltas[0].hash, sizeof(delta));
	memcpy(part, manifest_find(&store->manifests[1], "zones")->hash,
	       sizeof(part));
	for (int corrupt = 0; corrupt <= 1; corrupt++) {
		store->corrupt = corrupt;
		/* Without a delta the whole manifest is read. */
		store->broken = delta;
		o = fetch(store, 1, 2);
		assert_true(o.ok);
		assert_int_equal(o.n_fetched, 2);
		store->broken = part;
		o = fetch(store, 0, 2);
		assert_false(o.ok);
		assert_int_equal(o.ends, 1);
		store->broken = store->heads[1].manifest;
		o = fetch(store, 0, 2);
		assert_false(o.ok);
	}
	/* Deltas that form a circle end with the whole manifest. */
	store->broken = NULL;
	memcpy(store->heads[1].deltas[0].to, store->heads[0].manifest,
	       sizeof(delta));
	o = fetch(store, 1, 2);
	assert_true(o.ok);
}

/* Guards against callbacks into freed memory after a fetch was ended. */
static void test_objects_after_the_end(void **state)
{
	store_t *store = *state;
	fetch_source_t source = {get, store};
	outcome_t outcome = {0};
	manifest_t none;
	fetch_t *f;
	wait_t *wait;

	manifest_init(&none);
	store->delayed = true;
	f = fetch_new(&source, &store->heads[0], &none, on_done, &outcome);
	fetch_run(f);
	for (int i = 0; i < 3; i++) {
		wait = g_queue_pop_head(&store->waiting);
		wait->done(wait->context, wait->bytes);
		g_free(wait);
	}
	fetch_free(f);
	while ((wait = g_queue_pop_head(&store->waiting))) {
		wait->done(wait->context, wait->bytes);
		g_free(wait);
	}
	assert_int_equal(outcome.ends, 0);
	manifest_finish(&none);
}

int main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)
	const struct CMUnitTest tests[] = {
		TEST(test_fetches_only_what_changed),
		TEST(test_checks_objects),
		TEST(test_objects_after_the_end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
