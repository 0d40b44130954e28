#include "process/objects.h"

/* Time limits for reading one object from one peer, and from the platform. The
 * first is short because a new configuration version must be in effect within
 * seconds, even if a peer is gone.
 */
#define PEER_TIMEOUT_US (CLOCK_US_PER_S / 2)
#define PLATFORM_TIMEOUT_US (2 * CLOCK_US_PER_S)

/* A read of one object in progress. It asks the peers one after the other, and
 * the platform before or after them.
 */
typedef struct {
	objects_t *objects;
	char hash[MANIFEST_HASH_DIGITS + 1];
	uint64_t size; /* bytes; 0: not known */
	guint next_peer; /* index in objects->peers */
	bool asked_platform;
	char *peer; /* address of the peer asked last, owned */
	int64_t peer_deadline_us;
	platform_call_t *call; /* in progress, or NULL */
	fetch_object_fn_t done;
	void *context;
} object_read_t;

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

/* Sets up an empty store. The pointers are borrowed and must outlive it. */
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

/* Frees a read, then calls its callback with the object or NULL. */
static void end_read(object_read_t *read, GBytes *bytes)
{
	fetch_object_fn_t done = read->done;
	void *context = read->context;

	g_queue_remove(&read->objects->reads, read);
	if (bytes)
		read->objects->fetched_bytes += g_bytes_get_size(bytes);
	g_free(read->peer);
	g_free(read);
	done(context, bytes);
}

/* Ends the reads in progress without an object, and frees the memory. */
void objects_finish(objects_t *objects)
{
	while (!g_queue_is_empty(&objects->reads)) {
		object_read_t *read = g_queue_peek_head(&objects->reads);

		platform_cancel(read->call);
		end_read(read, NULL);
	}
	g_hash_table_unref(objects->current);
	g_hash_table_unref(objects->previous);
	g_ptr_array_unref(objects->peers);
}

/* Sets the peers that are asked for objects, and whether the platform is asked
 * before them.
 */
void objects_set_sources(objects_t *objects, const sync_action_t *action)
{
	objects->platform_first = action->platform_first;
	g_ptr_array_set_size(objects->peers, 0);
	for (size_t i = 0; i < action->n_peers && objects->fetch_part; i++)
		g_ptr_array_add(objects->peers, g_strdup(action->peers[i]));
}

/* Returns whether `bytes` are the object that is being read. */
static bool has_right_hash(const object_read_t *read, GBytes *bytes)
{
	char hash[MANIFEST_HASH_DIGITS + 1];

	if (!bytes)
		return false;
	hash_bytes(bytes, hash);
	return strcmp(hash, read->hash) == 0;
}

/* Removes a peer that did not answer in time from those that are asked. A peer
 * that answers stays: it may lack just one object.
 */
static void remove_peer(objects_t *objects, const char *address)
{
	for (guint i = 0; i < objects->peers->len; i++) {
		if (g_strcmp0(objects->peers->pdata[i], address) == 0)
			g_clear_pointer(&objects->peers->pdata[i], g_free);
	}
}

static void ask_next_source(object_read_t *read);

/* Ends the read with the object of a peer, or asks the next source. */
static void on_peer_object(void *context, GBytes *bytes)
{
	object_read_t *read = context;
	objects_t *objects = read->objects;

	if (has_right_hash(read, bytes)) {
		objects->from_peers++;
		end_read(read, bytes);
		return;
	}
	sync_peer_failed(objects->sync, read->peer);
	if (clock_now(&objects->clock) >= read->peer_deadline_us)
		remove_peer(objects, read->peer);
	ask_next_source(read);
}

/* Ends the read with the object of the platform, or asks the next source. */
static void on_platform_object(void *context, const platform_answer_t *answer)
{
	object_read_t *read = context;

	read->call = NULL;
	if (answer->outcome == PLATFORM_DONE &&
	    has_right_hash(read, answer->body)) {
		read->objects->from_platform++;
		end_read(read, answer->body);
		return;
	}
	ask_next_source(read);
}

static void ask_platform(object_read_t *read)
{
	objects_t *objects = read->objects;

	read->asked_platform = true;
	read->call = platform_get_object(objects->platform, read->hash,
					 clock_now(&objects->clock) +
						 PLATFORM_TIMEOUT_US,
					 on_platform_object, read);
}

static void ask_peer(object_read_t *read, const char *address)
{
	objects_t *objects = read->objects;

	g_free(read->peer);
	read->peer = g_strdup(address);
	read->peer_deadline_us = clock_now(&objects->clock) + PEER_TIMEOUT_US;
	objects->fetch_part(objects->fetch_context, read->peer, read->hash,
			    read->size, read->peer_deadline_us, on_peer_object,
			    read);
}

/* Returns the address of the next peer to ask, or NULL if none is left. */
static const char *next_peer_address(object_read_t *read)
{
	GPtrArray *peers = read->objects->peers;

	while (read->next_peer < peers->len) {
		const char *address = peers->pdata[read->next_peer++];

		if (address)
			return address;
	}
	return NULL;
}

/* Asks the next peer or the platform, or ends the read without an object if all
 * were asked.
 */
static void ask_next_source(object_read_t *read)
{
	const objects_t *objects = read->objects;
	bool platform_left = objects->platform && !read->asked_platform;
	const char *peer = NULL;

	if (!platform_left || !objects->platform_first)
		peer = next_peer_address(read);
	if (peer)
		ask_peer(read, peer);
	else if (platform_left)
		ask_platform(read);
	else
		end_read(read, NULL);
}

/* Reads an object from this store, the peers or the platform. `done` may be
 * called before this returns, with bytes of the right hash, or NULL.
 */
void objects_get(objects_t *objects, const char *hash, uint64_t size,
		 fetch_object_fn_t done, void *context)
{
	GBytes *stored = objects_find(objects, hash);
	object_read_t *read;

	if (stored) {
		done(context, stored);
		return;
	}
	read = g_new0(object_read_t, 1);
	read->objects = objects;
	g_strlcpy(read->hash, hash, sizeof(read->hash));
	read->size = size;
	read->done = done;
	read->context = context;
	g_queue_push_tail(&objects->reads, read);
	ask_next_source(read);
}

/* Returns an object of the current or the previous version, borrowed, or NULL.
 */
GBytes *objects_find(const objects_t *objects, const char *hash)
{
	GBytes *bytes = g_hash_table_lookup(objects->current, hash);

	return bytes ? bytes : g_hash_table_lookup(objects->previous, hash);
}

/* Starts a new configuration version without objects. The objects of the
 * version so far are kept until the next call, for peers that still read them.
 */
void objects_start_version(objects_t *objects)
{
	g_hash_table_unref(objects->previous);
	objects->previous = objects->current;
	objects->current = new_table();
}

/* Adds an object to the current version and takes a reference to it. If `hash`
 * is NULL it is computed. Callers that know the hash pass it, because hashing
 * 1.5 MB takes 17 ms.
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

/* Returns the store as a source for version/fetch.h. */
fetch_source_t objects_source(objects_t *objects)
{
	return (fetch_source_t){get_from_source, objects};
}
