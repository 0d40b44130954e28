#include "version/fetch.h"

struct fetch {
	int refs; /* one for each object under way and one for its owner */
	fetch_source_t source;
	head_t head;
	manifest_t held;
	manifest_t manifest;
	unsigned deltas; /* applied so far */
	guint next; /* first part that has not been requested */
	guint open; /* parts under way */
	const char *failure;
	GPtrArray *objects;
	unsigned n_fetched;
	uint64_t n_bytes;
	fetch_done_fn_t done; /* NULL once ended or cancelled */
	void *context;
};

/* One object under way. */
typedef struct {
	fetch_t *fetch;
	char hash[MANIFEST_HASH_DIGITS + 1];
	char to[MANIFEST_HASH_DIGITS + 1]; /* manifest that a delta leads to */
	guint part; /* index of a part */
	void (*take)(fetch_t *fetch, const void *request, GBytes *bytes);
} request_t;

static void unref(fetch_t *fetch)
{
	if (--fetch->refs > 0)
		return;
	manifest_finish(&fetch->held);
	manifest_finish(&fetch->manifest);
	g_ptr_array_unref(fetch->objects);
	g_free(fetch);
}

static str_t bytes_text(GBytes *bytes)
{
	gsize len;
	const char *data = g_bytes_get_data(bytes, &len);

	return (str_t){data, len};
}

static bool has_hash(GBytes *bytes, const char *hash)
{
	char actual[MANIFEST_HASH_DIGITS + 1];

	manifest_hash(bytes_text(bytes), actual);
	return strcmp(actual, hash) == 0;
}

static void on_object(void *context, GBytes *bytes)
{
	request_t *request = context;
	fetch_t *fetch = request->fetch;

	if (bytes && !has_hash(bytes, request->hash))
		bytes = NULL;
	if (bytes) {
		fetch->n_fetched++;
		fetch->n_bytes += g_bytes_get_size(bytes);
	}
	if (fetch->done)
		request->take(fetch, request, bytes);
	g_free(request);
	unref(fetch);
}

static void get(fetch_t *fetch, const request_t *template, uint64_t size)
{
	request_t *request = g_memdup2(template, sizeof(*template));

	request->fetch = fetch;
	fetch->refs++;
	fetch->source.get(fetch->source.context, request->hash, size, on_object,
			  request);
}

/* Reports the end once no part is under way. */
static void end(fetch_t *fetch, const char *failure)
{
	fetch_result_t result = {
		.failure = failure,
		.head = &fetch->head,
		.manifest = &fetch->manifest,
		.objects = fetch->objects,
		.n_fetched = fetch->n_fetched,
		.n_bytes = fetch->n_bytes,
	};
	fetch_done_fn_t done = fetch->done;
	diag_t diag;

	diag_init(&diag);
	if (!failure &&
	    !manifest_assemble(&fetch->manifest, &result.state, &diag))
		result.failure = "invalid state";
	if (result.state)
		result.state->version = fetch->head.version;
	diag_finish(&diag);
	fetch->done = NULL;
	done(fetch->context, &result);
}

static void get_parts(fetch_t *fetch);

static void take_part(fetch_t *fetch, const void *data, GBytes *bytes)
{
	const request_t *request = data;
	manifest_part_t *part = &g_array_index(fetch->manifest.parts,
					       manifest_part_t, request->part);

	fetch->open--;
	if (!bytes)
		fetch->failure = "a part could not be read";
	else if (!manifest_set_bytes(part, bytes))
		fetch->failure = "a part has another size than its manifest";
	get_parts(fetch);
}

static void get_parts(fetch_t *fetch)
{
	GArray *parts = fetch->manifest.parts;

	/* The callbacks of the source and of the end may free the fetch. */
	fetch->refs++;
	while (fetch->done && !fetch->failure && fetch->next < parts->len &&
	       fetch->open < FETCH_WINDOW) {
		manifest_part_t *part =
			&g_array_index(parts, manifest_part_t, fetch->next);
		request_t request = {.part = fetch->next, .take = take_part};

		fetch->next++;
		if (part->bytes)
			continue;
		memcpy(request.hash, part->hash, sizeof(request.hash));
		fetch->open++;
		get(fetch, &request, part->size);
	}
	if (fetch->done && fetch->open == 0 &&
	    (fetch->failure || fetch->next == parts->len))
		end(fetch, fetch->failure);
	unref(fetch);
}

static void get_all_parts(fetch_t *fetch)
{
	manifest_take_bytes(&fetch->manifest, &fetch->held);
	get_parts(fetch);
}

static void reset_manifest(fetch_t *fetch)
{
	manifest_finish(&fetch->manifest);
	manifest_init(&fetch->manifest);
}

static void take_manifest(fetch_t *fetch, const void *data, GBytes *bytes)
{
	reset_manifest(fetch);
	if (!bytes) {
		end(fetch, "the manifest could not be read");
		return;
	}
	if (!manifest_parse(&fetch->manifest, bytes_text(bytes))) {
		end(fetch, "malformed manifest");
		return;
	}
	g_ptr_array_add(fetch->objects, g_bytes_ref(bytes));
	get_all_parts(fetch);
}

static void get_manifest(fetch_t *fetch)
{
	request_t request = {.take = take_manifest};

	memcpy(request.hash, fetch->head.manifest, sizeof(request.hash));
	get(fetch, &request, fetch->head.manifest_size);
}

static void hash_manifest(const manifest_t *manifest,
			  char hash[MANIFEST_HASH_DIGITS + 1])
{
	GString *text = g_string_new(NULL);

	manifest_print(manifest, text);
	manifest_hash(str_from_gstring(text), hash);
	g_string_free(text, TRUE);
}

static void follow_deltas(fetch_t *fetch, const char *from);

/* A delta that does not lead to its manifest is replaced by the whole one. */
static void take_delta(fetch_t *fetch, const void *data, GBytes *bytes)
{
	const request_t *request = data;
	char hash[MANIFEST_HASH_DIGITS + 1];

	if (!bytes ||
	    !manifest_apply_delta(&fetch->manifest, bytes_text(bytes))) {
		get_manifest(fetch);
		return;
	}
	hash_manifest(&fetch->manifest, hash);
	if (strcmp(hash, request->to) != 0) {
		get_manifest(fetch);
		return;
	}
	g_ptr_array_add(fetch->objects, g_bytes_ref(bytes));
	follow_deltas(fetch, hash);
}

/* Goes one step on from a manifest. The number of steps is bounded, because
 * the deltas of a head may form a circle.
 */
static void follow_deltas(fetch_t *fetch, const char *from)
{
	const head_delta_t *delta = head_find_delta(&fetch->head, from);
	request_t request = {.take = take_delta};

	if (!strcmp(from, fetch->head.manifest)) {
		get_all_parts(fetch);
		return;
	}
	if (!delta || fetch->deltas == HEAD_DELTAS) {
		get_manifest(fetch);
		return;
	}
	fetch->deltas++;
	memcpy(request.hash, delta->hash, sizeof(request.hash));
	memcpy(request.to, delta->to, sizeof(request.to));
	get(fetch, &request, delta->size);
}

/*
 * Prepares to fetch what a head names. `held` is what is known already, and
 * may have no parts. The caller frees the fetch with fetch_free().
 */
fetch_t *fetch_new(const fetch_source_t *source, const head_t *head,
		   const manifest_t *held, fetch_done_fn_t done, void *context)
{
	fetch_t *fetch = g_new0(fetch_t, 1);

	fetch->refs = 1;
	fetch->source = *source;
	fetch->head = *head;
	fetch->done = done;
	fetch->context = context;
	fetch->objects =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	manifest_init(&fetch->held);
	manifest_init(&fetch->manifest);
	manifest_copy(&fetch->held, held);
	manifest_copy(&fetch->manifest, held);
	return fetch;
}

/* Starts to fetch. The callback is called once, possibly before this function
 * returns, and may free the fetch.
 */
void fetch_run(fetch_t *fetch)
{
	char hash[MANIFEST_HASH_DIGITS + 1];

	hash_manifest(&fetch->held, hash);
	follow_deltas(fetch, hash);
}

/* Frees a fetch, which is cancelled if it has not ended. Objects under way are
 * dropped when they arrive.
 */
void fetch_free(fetch_t *fetch)
{
	if (!fetch)
		return;
	fetch->done = NULL;
	unref(fetch);
}
