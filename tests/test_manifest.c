#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "support_state.h"
#include "version/diff.h"
#include "version/head.h"
#include "version/manifest.h"
#include "version/write.h"

static char *replace_first(const char *text, const char *from, const char *to)
{
	const char *at = strstr(text, from);

	assert_non_null(at);
	return g_strdup_printf("%.*s%s%s", (int)(at - text), text, to,
			       at + strlen(from));
}

static manifest_t split_text(const char *text)
{
	state_t *state = support_state_parse(text);
	manifest_t manifest;

	manifest_init(&manifest);
	manifest_split(&manifest, state);
	state_unref(state);
	return manifest;
}

static manifest_t parse_printed(const manifest_t *manifest)
{
	GString *text = g_string_new(NULL);
	manifest_t parsed;

	manifest_print(manifest, text);
	manifest_init(&parsed);
	assert_true(manifest_parse(&parsed, str_from_gstring(text)));
	g_string_free(text, TRUE);
	return parsed;
}

/* Guards against a VM that gets another state than the operator applied. */
static void test_reassembles_the_same_state(void **unused)
{
	GString *text = support_state_text(40, 60);
	state_t *before = support_state_parse(text->str);
	manifest_t sent = split_text(text->str);
	manifest_t received = parse_printed(&sent);
	GString *a = g_string_new(NULL);
	GString *b = g_string_new(NULL);
	state_t *after;
	diag_t diag;

	diag_init(&diag);
	assert_false(manifest_assemble(&received, &after, &diag));
	assert_int_equal(manifest_take_bytes(&received, &sent), 0);
	assert_true(manifest_assemble(&received, &after, &diag));
	write_state(before, a);
	write_state(after, b);
	assert_string_equal(a->str, b->str);
	assert_int_equal(diff_states(before, after, a), 0);
	state_unref(before);
	state_unref(after);
	manifest_finish(&sent);
	manifest_finish(&received);
	diag_finish(&diag);
	g_string_free(a, TRUE);
	g_string_free(b, TRUE);
	g_string_free(text, TRUE);
}

/* Guards against a reordered file that looks like a change. */
static void test_order_does_not_matter(void **unused)
{
	GString *a = support_state_text(0, 0);
	GString *b = support_state_text(0, 0);
	GString *a_manifest = g_string_new(NULL);
	GString *b_manifest = g_string_new(NULL);
	manifest_t first, second;

	for (size_t i = 0; i < 300; i++) {
		support_state_add_workspace(a, i, 2);
		support_state_add_workspace(b, 299 - i, 2);
	}
	first = split_text(a->str);
	second = split_text(b->str);
	manifest_print(&first, a_manifest);
	manifest_print(&second, b_manifest);
	assert_string_equal(a_manifest->str, b_manifest->str);
	manifest_finish(&first);
	manifest_finish(&second);
	g_string_free(a, TRUE);
	g_string_free(b, TRUE);
	g_string_free(a_manifest, TRUE);
	g_string_free(b_manifest, TRUE);
}

/* Guards against parts whose bytes are not those of the manifest. */
static void test_refuses_wrong_bytes(void **unused)
{
	GString *text = support_state_text(1, 1);
	manifest_t sent = split_text(text->str);
	manifest_t received = parse_printed(&sent);
	manifest_part_t *part = manifest_find(&received, "zones");
	GBytes *right = g_bytes_ref(manifest_find(&sent, "zones")->bytes);
	GBytes *cut = g_bytes_new_from_bytes(right, 0, part->size - 1);
	GBytes *other = g_bytes_new_static("[[zones]]\nname = \"y\"\n", 21);

	assert_false(manifest_set_bytes(part, cut));
	assert_false(manifest_set_bytes(part, other));
	assert_null(part->bytes);
	assert_true(manifest_set_bytes(part, right));
	g_bytes_unref(right);
	g_bytes_unref(cut);
	g_bytes_unref(other);
	manifest_finish(&sent);
	manifest_finish(&received);
	g_string_free(text, TRUE);
}

#define H "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

/* Guards against texts that are cut off, duplicated or out of range. */
static void test_refuses_bad_manifests(void **unused)
{
	static const char *const texts[] = {
		"a " H " 1",
		"a " H "\n",
		"a " H " 1 2\n",
		"a " H " 1 \n",
		"a " H " 01\n",
		"a  " H " 1\n",
		"a " H " -1\n",
		"a " H " 99999999999999999999\n",
		"a " H " 4194305\n",
		"a " H "a 1\n",
		"A " H " 1\n",
		"a/b/c/d/e/f/g/h/i/j/k/l/m " H " 1\n",
		"a " H " 1\na " H " 1\n",
		"b " H " 1\na " H " 1\n",
		"a " H " 4194304\nb " H " 1\n",
		"\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		manifest_t manifest;

		manifest_init(&manifest);
		if (manifest_parse(&manifest, str_from(texts[i])))
			fail_msg("case %zu was accepted", i);
		manifest_finish(&manifest);
	}
}

/* Guards against a delta that leads to another manifest. */
static void test_delta_leads_to_the_new_manifest(void **unused)
{
	GString *old_text = support_state_text(9, 200);
	char *new_text = replace_first(old_text->str, "requests_s = 1.5",
				       "requests_s = 9");
	manifest_t from = split_text(old_text->str);
	manifest_t to = split_text(new_text);
	GString *delta = g_string_new(NULL);
	GString *want = g_string_new(NULL);
	GString *got = g_string_new(NULL);

	manifest_print_delta(&from, &to, delta);
	assert_true(manifest_apply_delta(&from, str_from_gstring(delta)));
	manifest_print(&from, got);
	manifest_print(&to, want);
	assert_string_equal(got->str, want->str);
	assert_false(manifest_apply_delta(&from, STR("drop none\n")));
	assert_false(manifest_apply_delta(&from, STR("drop zones")));
	assert_false(manifest_apply_delta(&from, STR("put zones\n")));
	assert_true(manifest_apply_delta(&from, STR("drop zones\n")));
	assert_null(manifest_find(&from, "zones"));
	manifest_finish(&from);
	manifest_finish(&to);
	g_string_free(old_text, TRUE);
	g_free(new_text);
	g_string_free(delta, TRUE);
	g_string_free(want, TRUE);
	g_string_free(got, TRUE);
}

static head_t make_head(size_t n_deltas)
{
	head_t head = {.deployment = "d",
		       .version = 7,
		       .author = "ann@desk",
		       .attempt = "0123456789abcdef0123456789abcdef",
		       .time_s = 1764790000,
		       .manifest = H,
		       .manifest_size = 300};

	for (size_t i = 0; i < n_deltas; i++) {
		head_delta_t delta = {.from = H, .to = H, .hash = H};
		head_past_t past = {.version = 2 + i,
				    .attempt = "0123456789abcdef"
					       "0123456789abcdef",
				    .author = "bob@desk"};

		delta.from[0] = (char)('a' + i);
		delta.size = i;
		head_add_delta(&head, &delta);
		head_add_past(&head, &past);
	}
	return head;
}

/* Guards against heads that do not read back, and against a long chain. */
static void test_head_reads_back(void **unused)
{
	for (size_t n = 0; n <= HEAD_DELTAS + 1; n++) {
		head_t head = make_head(n);
		GString *text = g_string_new(NULL);
		GString *again = g_string_new(NULL);
		head_t parsed;

		head_print(&head, text);
		assert_true(text->len <= HEAD_MAX_BYTES);
		assert_true(head_parse(&parsed, str_from_gstring(text)));
		head_print(&parsed, again);
		assert_string_equal(again->str, text->str);
		assert_int_equal(parsed.version, head.version);
		assert_int_equal(parsed.manifest_size, head.manifest_size);
		assert_int_equal(parsed.n_deltas, MIN(n, HEAD_DELTAS));
		assert_int_equal(parsed.n_past, MIN(n, HEAD_PAST));
		assert_int_equal(head_find_past(&parsed, n + 1) != NULL, n > 0);
		for (size_t cut = 0; cut < text->len; cut++) {
			str_t part = {text->str, cut};

			/* Whole lines of deltas may be missing. */
			if (cut > 0 && text->str[cut - 1] == '\n')
				continue;
			assert_false(head_parse(&parsed, part));
		}
		g_string_free(text, TRUE);
		g_string_free(again, TRUE);
	}
}

/* Guards against a chain that starts with an outdated delta. */
static void test_newest_delta_is_found(void **unused)
{
	head_t head = make_head(3);
	head_delta_t again = head.deltas[0];

	again.size = 99;
	head_add_delta(&head, &again);
	assert_int_equal(head_find_delta(&head, again.from)->size, 99);
	assert_null(head_find_delta(&head, "b"));
}

/* Guards against differences that are not shown, or shown with a secret. */
static void test_diff_lines(void **unused)
{
	static const struct {
		const char *from;
		const char *to;
		const char *want;
	} cases[] = {
		{"requests_s = 1.5", "requests_s = 4",
		 "~ customers customer-0: requests_s: 1.5 -> 4\n"},
		{"customer-0", "customer-x",
		 "+ customers customer-x\n- customers customer-0\n"},
		{"deployment = \"d\"",
		 "deployment = \"d\"\nlimits = { max_queue = 3 }",
		 "~ limits: max_queue: 500 -> 3\n"},
		{"repeatable = false", "repeatable = true",
		 "~ services app: routes: [{method = \"*\", path = \"/\", "
		 "repeatable = false}] -> [{method = \"*\", path = \"/\", "
		 "repeatable = true}]\n"},
		{"services = [\"text\", \"app\"]", "services = [\"app\"]",
		 "~ customers customer-0: services: [\"app\", \"text\"] -> "
		 "[\"app\"]\n"},
		{"zone = \"z\"", "zone = \"z\"\nleaving = true",
		 "~ backends engine-0: leaving: none -> true\n"},
		{"token_sha256 = \"", "token_sha256 = \"" H "\" # ",
		 "~ customers customer-0: token_sha256: changed\n"},
	};
	GString *base = support_state_text(2, 2);
	state_t *from = support_state_parse(base->str);

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *text =
			replace_first(base->str, cases[i].from, cases[i].to);
		state_t *to = support_state_parse(text);
		GString *out = g_string_new(NULL);

		assert_true(diff_states(from, to, out) > 0);
		assert_string_equal(out->str, cases[i].want);
		g_string_free(out, TRUE);
		state_unref(to);
		g_free(text);
	}
	state_unref(from);
	g_string_free(base, TRUE);
}

/* Bytes of all traffic that one of 32,000 changes a day may cause at a VM that
 * has 10 KB/s for control traffic.
 */
#define TARGET_BYTES_A_CHANGE (10 * 1024 * 86400 / 32000)

static size_t print_size(const manifest_t *manifest)
{
	GString *text = g_string_new(NULL);
	size_t size;

	manifest_print(manifest, text);
	size = text->len;
	g_string_free(text, TRUE);
	return size;
}

/* Bytes that a VM reads for one changed workspace. */
static size_t measure_change(size_t n_backends, size_t n_workspaces)
{
	GString *old_text = support_state_text(n_backends, n_workspaces);
	char *new_text = replace_first(old_text->str, "requests_s = 1.5",
				       "requests_s = 9");
	manifest_t from = split_text(old_text->str);
	manifest_t to = split_text(new_text);
	head_t head = make_head(HEAD_DELTAS);
	GString *head_text = g_string_new(NULL);
	GString *delta = g_string_new(NULL);
	size_t part_bytes = 0;
	size_t bytes;

	manifest_print_delta(&from, &to, delta);
	head_print(&head, head_text);
	for (guint i = 0; i < to.parts->len; i++) {
		const manifest_part_t *part =
			&g_array_index(to.parts, manifest_part_t, i);

		if (strcmp(part->hash,
			   manifest_find(&from, part->name)->hash) != 0)
			part_bytes += part->size;
	}
	bytes = head_text->len + delta->len + part_bytes;
	print_message("backends=%zu customers=%zu state_bytes=%zu parts=%u "
		      "manifest_bytes=%zu head_bytes=%zu delta_bytes=%zu "
		      "part_bytes=%zu change_bytes=%zu\n",
		      n_backends, n_workspaces, old_text->len, to.parts->len,
		      print_size(&to), head_text->len, delta->len, part_bytes,
		      bytes);
	manifest_finish(&from);
	manifest_finish(&to);
	g_string_free(old_text, TRUE);
	g_string_free(head_text, TRUE);
	g_string_free(delta, TRUE);
	g_free(new_text);
	return bytes;
}

/* Guards against a small change that moves a large part of the state. A VM
 * receives a change once and passes it on once on average, and half of the
 * control traffic is left for other messages.
 */
static void test_change_moves_few_bytes(void **unused)
{
	assert_true(measure_change(14, 100) < TARGET_BYTES_A_CHANGE / 4);
	assert_true(measure_change(14, 1000) < TARGET_BYTES_A_CHANGE / 4);
	assert_true(measure_change(8000, 5200) < TARGET_BYTES_A_CHANGE / 4);
}

/* Guards against a crash on damaged texts. Seeded and bounded. */
static void test_survives_damage(void **unused)
{
	GRand *rand = g_rand_new_with_seed(4711);
	GString *text = support_state_text(3, 3);
	manifest_t manifest = split_text(text->str);
	head_t head = make_head(2);
	GString *good = g_string_new(NULL);

	head_print(&head, good);
	manifest_print(&manifest, good);
	for (int round = 0; round < 5000; round++) {
		char *bad = g_memdup2(good->str, good->len);
		gint32 start = g_rand_int_range(rand, 0, (gint32)good->len);
		manifest_t parsed;

		for (int i = 0; i < 3; i++)
			bad[g_rand_int_range(rand, 0, (gint32)good->len)] =
				(char)g_rand_int_range(rand, 0, 256);
		manifest_init(&parsed);
		manifest_parse(&parsed,
			       (str_t){bad + start, good->len - (size_t)start});
		manifest_apply_delta(&parsed, (str_t){bad, good->len});
		head_parse(&head, (str_t){bad, good->len - (size_t)start});
		manifest_finish(&parsed);
		g_free(bad);
	}
	manifest_finish(&manifest);
	g_string_free(good, TRUE);
	g_string_free(text, TRUE);
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reassembles_the_same_state),
		cmocka_unit_test(test_order_does_not_matter),
		cmocka_unit_test(test_refuses_wrong_bytes),
		cmocka_unit_test(test_refuses_bad_manifests),
		cmocka_unit_test(test_delta_leads_to_the_new_manifest),
		cmocka_unit_test(test_head_reads_back),
		cmocka_unit_test(test_newest_delta_is_found),
		cmocka_unit_test(test_diff_lines),
		cmocka_unit_test(test_change_moves_few_bytes),
		cmocka_unit_test(test_survives_damage),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
