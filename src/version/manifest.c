#include "version/manifest.h"

#include <inttypes.h>
#include <xxhash.h>

#include "process/toml.h"
#include "version/lines.h"
#include "version/write.h"

static void unref_tree(part_tree_t *tree)
{
	if (--tree->refs > 0)
		return;
	toml_free(tree->root);
	g_free(tree);
}

static void clear_part(gpointer data)
{
	manifest_part_t *part = data;

	g_clear_pointer(&part->bytes, g_bytes_unref);
	g_clear_pointer(&part->tree, unref_tree);
}

/* Gives a part the bytes and the tree of another one. */
static void share_content(manifest_part_t *to, const manifest_part_t *from)
{
	to->bytes = from->bytes ? g_bytes_ref(from->bytes) : NULL;
	to->tree = from->tree;
	if (to->tree)
		to->tree->refs++;
}

/* Sets up a manifest without parts. */
void manifest_init(manifest_t *manifest)
{
	manifest->parts = g_array_new(FALSE, TRUE, sizeof(manifest_part_t));
	g_array_set_clear_func(manifest->parts, clear_part);
}

/* Frees the parts. */
void manifest_finish(manifest_t *manifest)
{
	g_clear_pointer(&manifest->parts, g_array_unref);
}

/* Writes the SHA-256 of some bytes as hex digits. */
void manifest_hash(str_t bytes, char hash[MANIFEST_HASH_DIGITS + 1])
{
	char *text = g_compute_checksum_for_data(
		G_CHECKSUM_SHA256, (const guchar *)bytes.data, bytes.len);

	memcpy(hash, text, MANIFEST_HASH_DIGITS + 1);
	g_free(text);
}

static manifest_part_t *part_at(const manifest_t *manifest, guint i)
{
	return &g_array_index(manifest->parts, manifest_part_t, i);
}

/* Index of the first part whose name is not before this one. */
static guint lower_bound(const manifest_t *manifest, const char *name)
{
	guint low = 0;
	guint high = manifest->parts->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;

		if (strcmp(part_at(manifest, middle)->name, name) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/* Returns the part with this name, or NULL. */
manifest_part_t *manifest_find(const manifest_t *manifest, const char *name)
{
	guint i = lower_bound(manifest, name);

	if (i == manifest->parts->len ||
	    strcmp(part_at(manifest, i)->name, name) != 0)
		return NULL;
	return part_at(manifest, i);
}

/* Inserts a part, or replaces the one of the same name. */
static void put_part(manifest_t *manifest, const manifest_part_t *part)
{
	guint i = lower_bound(manifest, part->name);

	if (i < manifest->parts->len &&
	    !strcmp(part_at(manifest, i)->name, part->name))
		g_array_remove_index(manifest->parts, i);
	g_array_insert_val(manifest->parts, i, *part);
}

static void add_text(manifest_t *manifest, const char *name, GString *text)
{
	manifest_part_t part = {.size = text->len};

	g_strlcpy(part.name, name, sizeof(part.name));
	manifest_hash(str_from_gstring(text), part.hash);
	part.bytes = g_string_free_to_bytes(text);
	put_part(manifest, &part);
}

static unsigned bucket_of(str_t name)
{
	return (unsigned)(XXH64(name.data, name.len, 0) % MANIFEST_BUCKETS);
}

static void append_to_bucket(GString **buckets, str_t name, GString *entry)
{
	unsigned bucket = bucket_of(name);

	if (!buckets[bucket])
		buckets[bucket] = g_string_new(NULL);
	g_string_append_len(buckets[bucket], entry->str, (gssize)entry->len);
	g_string_set_size(entry, 0);
}

static void add_buckets(manifest_t *manifest, const char *group,
			GString **buckets)
{
	for (unsigned i = 0; i < MANIFEST_BUCKETS; i++) {
		char name[24];

		if (!buckets[i])
			continue;
		g_snprintf(name, sizeof(name), "%s/%02x", group, i);
		add_text(manifest, name, buckets[i]);
	}
}

static void split_backends(manifest_t *manifest, const state_t *state)
{
	GPtrArray *sorted = write_sorted_backends(state);
	GString *buckets[MANIFEST_BUCKETS] = {0};
	GString *entry = g_string_new(NULL);

	for (guint i = 0; i < sorted->len; i++) {
		const backend_t *backend = sorted->pdata[i];

		write_backend(backend, entry);
		append_to_bucket(buckets, backend->name, entry);
	}
	add_buckets(manifest, "backends", buckets);
	g_string_free(entry, TRUE);
	g_ptr_array_unref(sorted);
}

static void split_workspaces(manifest_t *manifest, const state_t *state)
{
	GPtrArray *sorted = write_sorted_workspaces(state);
	GString *buckets[MANIFEST_BUCKETS] = {0};
	GString *entry = g_string_new(NULL);

	for (guint i = 0; i < sorted->len; i++) {
		const workspace_t *workspace = sorted->pdata[i];

		write_workspace(workspace, entry);
		append_to_bucket(buckets, workspace->name, entry);
	}
	add_buckets(manifest, "customers", buckets);
	g_string_free(entry, TRUE);
	g_ptr_array_unref(sorted);
}

/*
 * Splits a state into parts. Entries are ordered by name, so the order of a
 * file does not matter.
 */
void manifest_split(manifest_t *manifest, const state_t *state)
{
	static const struct {
		const char *name;
		void (*write)(const state_t *state, GString *out);
	} groups[] = {
		{"head", write_head},	{"models", write_models},
		{"pools", write_pools}, {"services", write_services},
		{"zones", write_zones},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(groups); i++) {
		GString *text = g_string_new(NULL);

		groups[i].write(state, text);
		add_text(manifest, groups[i].name, text);
	}
	split_backends(manifest, state);
	split_workspaces(manifest, state);
}

static bool parse_tree(manifest_part_t *part, diag_t *diag)
{
	toml_node_t *root;
	const char *data;
	gsize len;

	if (part->tree)
		return true;
	if (!part->bytes) {
		diag_add(diag, "manifest", 0, part->name, "part is missing");
		return false;
	}
	data = g_bytes_get_data(part->bytes, &len);
	if (!toml_parse(data, len, part->name, &root, diag))
		return false;
	part->tree = g_new0(part_tree_t, 1);
	part->tree->refs = 1;
	part->tree->root = root;
	return true;
}

/* A table that borrows the members of several trees. Arrays of the same key
 * are joined.
 */
typedef struct {
	GArray *members; /* of toml_node_t */
	GPtrArray *elements; /* of GArray of toml_node_t, for each member */
} joined_t;

static GArray *new_nodes(void)
{
	return g_array_new(FALSE, FALSE, sizeof(toml_node_t));
}

static bool join_member(joined_t *joined, const toml_node_t *node)
{
	for (guint i = 0; i < joined->members->len; i++) {
		const toml_node_t *member =
			&g_array_index(joined->members, toml_node_t, i);

		if (!str_equal(member->key, node->key))
			continue;
		if (member->kind != TOML_ARRAY || node->kind != TOML_ARRAY)
			return false;
		g_array_append_vals(joined->elements->pdata[i], node->children,
				    (guint)node->n_children);
		return true;
	}
	g_array_append_val(joined->members, *node);
	g_ptr_array_add(joined->elements, new_nodes());
	if (node->kind == TOML_ARRAY)
		g_array_append_vals(
			joined->elements->pdata[joined->elements->len - 1],
			node->children, (guint)node->n_children);
	return true;
}

static bool join_part(joined_t *joined, const manifest_part_t *part,
		      diag_t *diag)
{
	const toml_node_t *root = part->tree->root;

	for (size_t i = 0; i < root->n_children; i++) {
		if (!join_member(joined, &root->children[i])) {
			diag_add(diag, part->name, root->children[i].line, NULL,
				 "expected a key that no other part has");
			return false;
		}
	}
	return true;
}

static toml_node_t joined_root(joined_t *joined)
{
	for (guint i = 0; i < joined->members->len; i++) {
		toml_node_t *member =
			&g_array_index(joined->members, toml_node_t, i);
		const GArray *elements = joined->elements->pdata[i];

		if (member->kind != TOML_ARRAY)
			continue;
		member->children = (toml_node_t *)elements->data;
		member->n_children = elements->len;
	}
	return (toml_node_t){
		.kind = TOML_TABLE,
		.children = (toml_node_t *)joined->members->data,
		.n_children = joined->members->len,
	};
}

/*
 * Builds the state that the parts form. All parts must have their bytes; those
 * that have been parsed before are not parsed again. The state's version is
 * left 0.
 */
bool manifest_assemble(manifest_t *manifest, state_t **state, diag_t *diag)
{
	joined_t joined = {
		.members = new_nodes(),
		.elements = g_ptr_array_new_with_free_func(
			(GDestroyNotify)g_array_unref),
	};
	bool ok = true;

	*state = NULL;
	for (guint i = 0; ok && i < manifest->parts->len; i++) {
		manifest_part_t *part = part_at(manifest, i);

		ok = parse_tree(part, diag) && join_part(&joined, part, diag);
	}
	if (ok) {
		toml_node_t root = joined_root(&joined);

		ok = state_from_tree(&root, "state", state, diag);
	}
	g_array_unref(joined.members);
	g_ptr_array_unref(joined.elements);
	return ok;
}

/* Copies the parts of a manifest into an empty one. */
void manifest_copy(manifest_t *to, const manifest_t *from)
{
	for (guint i = 0; i < from->parts->len; i++) {
		manifest_part_t part = *part_at(from, i);

		share_content(&part, part_at(from, i));
		g_array_append_val(to->parts, part);
	}
}

static void print_part(const manifest_part_t *part, GString *out)
{
	g_string_append_printf(out, "%s %s %" PRIu64 "\n", part->name,
			       part->hash, part->size);
}

/* Appends one line "NAME HASH SIZE" for each part. */
void manifest_print(const manifest_t *manifest, GString *out)
{
	for (guint i = 0; i < manifest->parts->len; i++)
		print_part(part_at(manifest, i), out);
}

static bool is_part_name(str_t word)
{
	if (word.len >= sizeof(((manifest_part_t *)0)->name))
		return false;
	for (size_t i = 0; i < word.len; i++) {
		char c = word.data[i];

		if (!g_ascii_islower(c) && !g_ascii_isdigit(c) && c != '/')
			return false;
	}
	return true;
}

static bool parse_part(str_t line, manifest_part_t *part)
{
	str_t name;

	memset(part, 0, sizeof(*part));
	if (!lines_word(&line, &name) || !is_part_name(name))
		return false;
	memcpy(part->name, name.data, name.len);
	return lines_hex(&line, MANIFEST_HASH_DIGITS, part->hash) &&
	       lines_uint(&line, TOML_MAX_BYTES, &part->size) && line.len == 0;
}

/*
 * Reads a manifest into an empty one. The names must be in order, which also
 * excludes duplicates. On failure the manifest may only be finished.
 */
bool manifest_parse(manifest_t *manifest, str_t text)
{
	manifest_part_t part;
	uint64_t total = 0;
	str_t line;

	if (text.len > MANIFEST_MAX_BYTES)
		return false;
	while (text.len > 0) {
		guint n = manifest->parts->len;

		if (!lines_next(&text, &line) || !parse_part(line, &part))
			return false;
		if (n > 0 &&
		    strcmp(part_at(manifest, n - 1)->name, part.name) >= 0)
			return false;
		total += part.size;
		g_array_append_val(manifest->parts, part);
	}
	return total <= TOML_MAX_BYTES;
}

/*
 * Appends the lines that turn one manifest into another: "put NAME HASH SIZE"
 * and "drop NAME".
 */
void manifest_print_delta(const manifest_t *from, const manifest_t *to,
			  GString *out)
{
	for (guint i = 0; i < from->parts->len; i++) {
		const manifest_part_t *old = part_at(from, i);

		if (!manifest_find(to, old->name))
			g_string_append_printf(out, "drop %s\n", old->name);
	}
	for (guint i = 0; i < to->parts->len; i++) {
		const manifest_part_t *part = part_at(to, i);
		const manifest_part_t *old = manifest_find(from, part->name);

		if (old && !strcmp(old->hash, part->hash))
			continue;
		g_string_append(out, "put ");
		print_part(part, out);
	}
}

static bool apply_line(manifest_t *manifest, str_t line)
{
	manifest_part_t part = {0};
	manifest_part_t *old;
	str_t verb;

	if (!lines_word(&line, &verb))
		return false;
	if (str_equal(verb, STR("put"))) {
		if (!parse_part(line, &part))
			return false;
		put_part(manifest, &part);
		return true;
	}
	if (!str_equal(verb, STR("drop")) || !is_part_name(line))
		return false;
	memcpy(part.name, line.data, line.len);
	old = manifest_find(manifest, part.name);
	if (!old)
		return false;
	g_array_remove_index(manifest->parts,
			     (guint)(old - part_at(manifest, 0)));
	return true;
}

/*
 * Applies a delta in place. The caller checks the hash of the result. On
 * failure the manifest may only be finished.
 */
bool manifest_apply_delta(manifest_t *manifest, str_t delta)
{
	str_t line;

	if (delta.len > MANIFEST_MAX_BYTES)
		return false;
	while (delta.len > 0) {
		if (!lines_next(&delta, &line) || !apply_line(manifest, line))
			return false;
	}
	return true;
}

/*
 * Shares the bytes of equal parts of another manifest. Returns how many parts
 * still lack their bytes.
 */
size_t manifest_take_bytes(manifest_t *manifest, const manifest_t *from)
{
	size_t missing = 0;

	for (guint i = 0; i < manifest->parts->len; i++) {
		manifest_part_t *part = part_at(manifest, i);
		const manifest_part_t *held = manifest_find(from, part->name);

		if (!part->bytes && held && held->bytes &&
		    !strcmp(held->hash, part->hash))
			share_content(part, held);
		missing += part->bytes == NULL;
	}
	return missing;
}

/* Gives a part its bytes when their size and hash are right. */
bool manifest_set_bytes(manifest_part_t *part, GBytes *bytes)
{
	char hash[MANIFEST_HASH_DIGITS + 1];
	gsize len;
	const char *data = g_bytes_get_data(bytes, &len);

	manifest_hash((str_t){data, len}, hash);
	if (len != part->size || strcmp(hash, part->hash) != 0)
		return false;
	clear_part(part);
	part->bytes = g_bytes_ref(bytes);
	return true;
}
