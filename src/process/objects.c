#include "process/objects.h"

/* Time for one object from one peer, then from the platform. A peer that is
 * gone may not use up the seconds within which a version has to be in effect.
 */
#define PEER_DEADLINE_US (CLOCK_US_PER_S / 2)
#define OBJECT_DEADLINE_US (2 * CLOCK_US_PER_S)

/* An object under way: peers one after the other and the platform. */
typedef struct {
	objects_t *objects;
	char hash[MANIFEST_HASH_DIGITS + 1];
	uint64_t size;
	guint next_peer;
	bool asked_platform;
	char *peer; /* asked now */
	int64_t peer_deadline_us;
	platform_call_t *call;
	fetch_object_fn_t done;
	void *context;
} get_t;

static GHashTable *new_table(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     (GDestroyNotify)g_bytes_unref);
}

static void hash_bytes(GBytes *bytes, char hash[MANIFEST_HASH_DIGITS + 1])
{
	gsize len;
	const char *data = g_bytes_get_data(bytes, &len);

	manifest_hash((str_t){data, len}, hash);
}

/* Sets up an empty store. All arguments outlive it. */
void objects_init(objects_t *objects, platform_t *platform,
		  clock_source_t clock, sync_t *sync,
		  config_fetch_part_t fetch_part, void *fetch_context)
{
	memset(objects, 0, sizeof(*objects));
	objects->platform = platform;
	objects->clock = clock;
	objects->sync = sync;
	objects->fetch_part = fetch_part;
	objects->fetch_context = fetch_context;
	objects->current = new_table();
	objects->previous = new_table();
	objects->peers = g_ptr_array_new_with_free_func(g_free);
}

static void end_get(get_t *get, GBytes *bytes)
{
	fetch_object_fn_t done = get->done;
	void *context = get->context;

	g_queue_remove(&get->objects->reads, get);
	if (bytes)
		get->objects->fetched_bytes += g_bytes_get_size(bytes);
	g_free(get->peer);
	g_free(get);
	done(context, bytes);
}

/* Ends the objects under way as not read, and frees the store. */
void objects_finish(objects_t *objects)
{
	while (!g_queue_is_empty(&objects->reads)) {
		get_t *get = g_queue_peek_head(&objects->reads);

		platform_cancel(get->call);
		end_get(get, NULL);
	}
	g_hash_table_unref(objects->current);
	g_hash_table_unref(objects->previous);
	g_ptr_array_unref(objects->peers);
}

/* Takes over from whom the next objects are read. */
void objects_set_sources(objects_t *objects, const sync_action_t *action)
{
	objects->platform_first = action->platform_first;
	g_ptr_array_set_size(objects->peers, 0);
	for (size_t i = 0; i < action->n_peers && objects->fetch_part; i++)
		g_ptr_array_add(objects->peers, g_strdup(action->peers[i]));
}

static bool is_object(const get_t *get, GBytes *bytes)
{
	char hash[MANIFEST_HASH_DIGITS + 1];

	if (!bytes)
		return false;
	hash_bytes(bytes, hash);
	return strcmp(hash, get->hash) == 0;
}

/* A peer that does not answer is not asked for the other objects. One that
 * answers may only lack a single object.
 */
static void give_up_peer(objects_t *objects, const char *address)
{
	for (guint i = 0; i < objects->peers->len; i++) {
		if (g_strcmp0(objects->peers->pdata[i], address) == 0)
			g_clear_pointer(&objects->peers->pdata[i], g_free);
	}
}

static void ask_next(get_t *get);

static void on_peer_part(void *context, GBytes *bytes)
{
	get_t *get = context;
	objects_t *objects = get->objects;

	if (is_object(get, bytes)) {
		objects->from_peers++;
		end_get(get, bytes);
		return;
	}
	sync_peer_failed(objects->sync, get->peer);
	if (clock_now(&objects->clock) >= get->peer_deadline_us)
		give_up_peer(objects, get->peer);
	ask_next(get);
}

static void on_platform_object(void *context, const platform_answer_t *answer)
{
	get_t *get = context;

	get->call = NULL;
	if (answer->outcome == PLATFORM_DONE && is_object(get, answer->body)) {
		get->objects->from_platform++;
		end_get(get, answer->body);
		return;
	}
	ask_next(get);
}

static void ask_platform(get_t *get)
{
	objects_t *objects = get->objects;

	get->asked_platform = true;
	get->call = platform_get_object(objects->platform, get->hash,
					clock_now(&objects->clock) +
						OBJECT_DEADLINE_US,
					on_platform_object, get);
}

static void ask_peer(get_t *get, const char *address)
{
	objects_t *objects = get->objects;

	g_free(get->peer);
	get->peer = g_strdup(address);
	get->peer_deadline_us = clock_now(&objects->clock) + PEER_DEADLINE_US;
	objects->fetch_part(objects->fetch_context, get->peer, get->hash,
			    get->size, get->peer_deadline_us, on_peer_part,
			    get);
}

static const char *take_peer(get_t *get)
{
	GPtrArray *peers = get->objects->peers;

	while (get->next_peer < peers->len) {
		const char *address = peers->pdata[get->next_peer++];

		if (address)
			return address;
	}
	return NULL;
}

static void ask_next(get_t *get)
{
	const objects_t *objects = get->objects;
	bool platform_left = objects->platform && !get->asked_platform;
	const char *peer = NULL;

	if (!platform_left || !objects->platform_first)
		peer = take_peer(get);
	if (peer)
		ask_peer(get, peer);
	else if (platform_left)
		ask_platform(get);
	else
		end_get(get, NULL);
}

/* Reads an object; the callback may be called before this returns. Only bytes
 * with the right hash are passed on.
 */
void objects_get(objects_t *objects, const char *hash, uint64_t size,
		 fetch_object_fn_t done, void *context)
{
	GBytes *current = objects_find(objects, hash);
	get_t *get;

	if (current) {
		done(context, current);
		return;
	}
	get = g_new0(get_t, 1);
	get->objects = objects;
	g_strlcpy(get->hash, hash, sizeof(get->hash));
	get->size = size;
	get->done = done;
	get->context = context;
	g_queue_push_tail(&objects->reads, get);
	ask_next(get);
}

/* Returns a current object, borrowed, or NULL. */
GBytes *objects_find(const objects_t *objects, const char *hash)
{
	GBytes *bytes = g_hash_table_lookup(objects->current, hash);

	return bytes ? bytes : g_hash_table_lookup(objects->previous, hash);
}

/* Starts a new version. The objects of the present one stay until the next
 * call, for peers that are still reading them.
 */
void objects_start_version(objects_t *objects)
{
	g_hash_table_unref(objects->previous);
	objects->previous = objects->current;
	objects->current = new_table();
}

/* Holds an object of the present version. A hash of NULL is computed; that of
 * a part is known, and computing those of 1.5 MB takes 17 ms.
 */
void objects_add(objects_t *objects, const char *hash, GBytes *bytes)
{
	char computed[MANIFEST_HASH_DIGITS + 1];

	if (!hash) {
		hash_bytes(bytes, computed);
		hash = computed;
	}
	g_hash_table_replace(objects->current, g_strdup(hash),
			     g_bytes_ref(bytes));
}

static void get_from_source(void *context, const char *hash, uint64_t size,
			    fetch_object_fn_t done, void *done_context)
{
	objects_get(context, hash, size, done, done_context);
}

/* The store as a source of version/fetch.h. */
fetch_source_t objects_source(objects_t *objects)
{
	return (fetch_source_t){get_from_source, objects};
}
