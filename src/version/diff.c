#include "version/diff.h"

#include <inttypes.h>

#include "process/toml.h"
#include "version/write.h"

/* The canonical texts are compared as trees, so a key that is added to the
 * state appears here without further code.
 */
typedef struct {
	GString *out;
	size_t changes;
} diff_t;

static void append_value(const toml_node_t *node, GString *out);

static void append_elements(const toml_node_t *array, GString *out)
{
	g_string_append_c(out, '[');
	for (size_t i = 0; i < array->n_children; i++) {
		if (i > 0)
			g_string_append(out, ", ");
		append_value(&array->children[i], out);
	}
	g_string_append_c(out, ']');
}

static void append_members(const toml_node_t *table, GString *out)
{
	g_string_append_c(out, '{');
	for (size_t i = 0; i < table->n_children; i++) {
		const toml_node_t *child = &table->children[i];

		g_string_append_printf(out, "%s%.*s = ", i ? ", " : "",
				       STR_ARG(child->key));
		append_value(child, out);
	}
	g_string_append_c(out, '}');
}

static void append_value(const toml_node_t *node, GString *out)
{
	switch (node->kind) {
	case TOML_STRING:
		g_string_append_printf(out, "\"%.*s\"", STR_ARG(node->string));
		break;
	case TOML_INTEGER:
		g_string_append_printf(out, "%" PRId64, node->integer);
		break;
	case TOML_REAL:
		g_string_append_printf(out, "%g", node->real);
		break;
	case TOML_BOOL:
		g_string_append(out, node->boolean ? "true" : "false");
		break;
	case TOML_ARRAY:
		append_elements(node, out);
		break;
	case TOML_TABLE:
		append_members(node, out);
		break;
	case TOML_OTHER:
		break;
	}
}

static bool is_equal(const toml_node_t *a, const toml_node_t *b)
{
	if (a->kind != b->kind || a->n_children != b->n_children)
		return false;
	for (size_t i = 0; i < a->n_children; i++) {
		if (!str_equal(a->children[i].key, b->children[i].key) ||
		    !is_equal(&a->children[i], &b->children[i]))
			return false;
	}
	switch (a->kind) {
	case TOML_STRING:
		return str_equal(a->string, b->string);
	case TOML_INTEGER:
		return a->integer == b->integer;
	case TOML_REAL:
		return a->real == b->real;
	case TOML_BOOL:
		return a->boolean == b->boolean;
	default:
		return true;
	}
}

/* One changed key. NULL stands for an absent value, which has its default. */
static void add_change(diff_t *diff, const char *path, str_t key,
		       const toml_node_t *from, const toml_node_t *to)
{
	diff->changes++;
	g_string_append_printf(diff->out, "~ %s: %.*s: ", path, STR_ARG(key));
	if (str_equal(key, STR("token_sha256"))) {
		g_string_append(diff->out, "changed\n");
		return;
	}
	if (from)
		append_value(from, diff->out);
	else
		g_string_append(diff->out, "none");
	g_string_append(diff->out, " -> ");
	if (to)
		append_value(to, diff->out);
	else
		g_string_append(diff->out, "none");
	g_string_append_c(diff->out, '\n');
}

static const toml_node_t *find_member(const toml_node_t *table, str_t key)
{
	for (size_t i = 0; i < table->n_children; i++) {
		if (str_equal(table->children[i].key, key))
			return &table->children[i];
	}
	return NULL;
}

static void compare_entries(diff_t *diff, const char *path,
			    const toml_node_t *from, const toml_node_t *to)
{
	for (size_t i = 0; i < from->n_children; i++) {
		const toml_node_t *old = &from->children[i];
		const toml_node_t *new = find_member(to, old->key);

		if (!new || !is_equal(old, new))
			add_change(diff, path, old->key, old, new);
	}
	for (size_t i = 0; i < to->n_children; i++) {
		const toml_node_t *new = &to->children[i];

		if (!find_member(from, new->key))
			add_change(diff, path, new->key, NULL, new);
	}
}

static char *entry_name(const toml_node_t *entry)
{
	return str_dup(toml_get(entry, "name")->string);
}

static void add_entry(diff_t *diff, char sign, const char *group,
		      const char *name)
{
	diff->changes++;
	g_string_append_printf(diff->out, "%c %s %s\n", sign, group, name);
}

/* Compares two arrays of tables whose entries have names. */
static void compare_groups(diff_t *diff, const char *group,
			   const toml_node_t *from, const toml_node_t *to)
{
	GHashTable *old =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GList *gone;

	for (size_t i = 0; from && i < from->n_children; i++)
		g_hash_table_insert(old, entry_name(&from->children[i]),
				    &from->children[i]);
	for (size_t i = 0; to && i < to->n_children; i++) {
		const toml_node_t *entry = &to->children[i];
		char *key = entry_name(entry);
		const toml_node_t *match = g_hash_table_lookup(old, key);
		char *path = g_strdup_printf("%s %s", group, key);

		if (match)
			compare_entries(diff, path, match, entry);
		else
			add_entry(diff, '+', group, key);
		g_hash_table_remove(old, key);
		g_free(path);
		g_free(key);
	}
	gone = g_list_sort(g_hash_table_get_keys(old), (GCompareFunc)strcmp);
	for (GList *item = gone; item; item = item->next)
		add_entry(diff, '-', group, item->data);
	g_list_free(gone);
	g_hash_table_unref(old);
}

static toml_node_t *to_tree(const state_t *state, diag_t *diag)
{
	GString *text = g_string_new(NULL);
	toml_node_t *root = NULL;

	if (state)
		write_state(state, text);
	toml_parse(text->str, text->len, "state", &root, diag);
	g_string_free(text, TRUE);
	return root;
}

static void compare_roots(diff_t *diff, const toml_node_t *from,
			  const toml_node_t *to)
{
	static const char *const groups[] = {"zones",	 "models",
					     "pools",	 "services",
					     "backends", "customers"};
	static const toml_node_t none = {.kind = TOML_TABLE};
	const toml_node_t *old = toml_get(from, "limits");
	const toml_node_t *new = toml_get(to, "limits");

	compare_entries(diff, "limits", old ? old : &none, new ? new : &none);
	for (size_t i = 0; i < G_N_ELEMENTS(groups); i++)
		compare_groups(diff, groups[i], toml_get(from, groups[i]),
			       toml_get(to, groups[i]));
}

/*
 * Appends one line for each difference: "+ GROUP NAME" for an added entry,
 * "- GROUP NAME" for a removed one, "~ GROUP NAME: KEY: OLD -> NEW" for a
 * changed value. NULL stands for no state. Returns the number of differences.
 */
size_t diff_states(const state_t *from, const state_t *to, GString *out)
{
	diff_t diff = {.out = out};
	toml_node_t *old;
	toml_node_t *new;
	diag_t diag;

	diag_init(&diag);
	old = to_tree(from, &diag);
	new = to_tree(to, &diag);
	/* Canonical texts are valid; without a tree there is no difference to
	 * show.
	 */
	if (old && new)
		compare_roots(&diff, old, new);
	toml_free(old);
	toml_free(new);
	diag_finish(&diag);
	return diff.changes;
}
