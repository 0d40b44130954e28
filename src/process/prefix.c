#include "process/prefix.h"

/* Each gap in an engine's events halves the confidence in its older hints, as
 * evictions may have been missed; after this many gaps they are dropped.
 */
#define GAPS_MAX 3

typedef struct {
	uint32_t engine;
	uint32_t epoch; /* of the engine when the hint was made */
} holder_t;

typedef struct {
	uint64_t id; /* key of the table */
	holder_t holders[PREFIX_HOLDERS]; /* most recent first */
	unsigned n_holders;
	int64_t tokens; /* saved by the last hit */
	GList link; /* in prefix_index_t.recent */
} entry_t;

/* Position in one engine's events. */
typedef struct {
	uint64_t next_seq; /* 0: none received */
	uint32_t epoch; /* rises with each gap */
} position_t;

/* Sets up an empty table of at most max_prefixes prefixes. */
void prefix_init(prefix_index_t *prefix, size_t max_prefixes)
{
	*prefix = (prefix_index_t){.max_prefixes = max_prefixes ? max_prefixes
								: 1};
	g_queue_init(&prefix->recent);
	prefix->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, g_free);
	prefix->engines = g_hash_table_new_full(g_direct_hash, g_direct_equal,
						NULL, g_free);
}

/* Frees the table. */
void prefix_finish(prefix_index_t *prefix)
{
	g_hash_table_unref(prefix->entries);
	g_hash_table_unref(prefix->engines);
}

static position_t *position_of(prefix_index_t *prefix, uint32_t engine)
{
	void *key = GUINT_TO_POINTER(engine);
	position_t *position = g_hash_table_lookup(prefix->engines, key);

	if (!position) {
		position = g_new0(position_t, 1);
		g_hash_table_insert(prefix->engines, key, position);
	}
	return position;
}

static void remove_holder(entry_t *entry, unsigned at)
{
	entry->n_holders--;
	memmove(&entry->holders[at], &entry->holders[at + 1],
		(entry->n_holders - at) * sizeof(entry->holders[0]));
}

static void remove_engine(entry_t *entry, uint32_t engine)
{
	for (unsigned i = 0; i < entry->n_holders; i++) {
		if (entry->holders[i].engine == engine) {
			remove_holder(entry, i);
			return;
		}
	}
}

static void touch(prefix_index_t *prefix, entry_t *entry)
{
	g_queue_unlink(&prefix->recent, &entry->link);
	g_queue_push_head_link(&prefix->recent, &entry->link);
}

static void remove_entry(prefix_index_t *prefix, entry_t *entry)
{
	g_queue_unlink(&prefix->recent, &entry->link);
	g_hash_table_remove(prefix->entries, &entry->id);
}

static entry_t *get_entry(prefix_index_t *prefix, uint64_t id)
{
	entry_t *entry = g_hash_table_lookup(prefix->entries, &id);

	if (entry) {
		touch(prefix, entry);
		return entry;
	}
	if (g_hash_table_size(prefix->entries) >= prefix->max_prefixes)
		remove_entry(prefix, prefix->recent.tail->data);
	entry = g_new0(entry_t, 1);
	entry->id = id;
	entry->link.data = entry;
	g_queue_push_head_link(&prefix->recent, &entry->link);
	g_hash_table_insert(prefix->entries, &entry->id, entry);
	return entry;
}

static void store(prefix_index_t *prefix, uint32_t engine, uint64_t id)
{
	entry_t *entry = get_entry(prefix, id);

	remove_engine(entry, engine);
	if (entry->n_holders == PREFIX_HOLDERS)
		entry->n_holders--;
	memmove(&entry->holders[1], &entry->holders[0],
		entry->n_holders * sizeof(entry->holders[0]));
	entry->holders[0] =
		(holder_t){engine, position_of(prefix, engine)->epoch};
	entry->n_holders++;
}

static void evict(prefix_index_t *prefix, uint32_t engine, uint64_t id)
{
	entry_t *entry = g_hash_table_lookup(prefix->entries, &id);

	if (!entry)
		return;
	remove_engine(entry, engine);
	if (entry->n_holders == 0)
		remove_entry(prefix, entry);
}

/* Takes in an engine's event. Events that were received before are ignored. A
 * skipped sequence number is a gap.
 */
void prefix_on_event(prefix_index_t *prefix, uint32_t engine, uint64_t seq,
		     bool stored, uint64_t id)
{
	position_t *position = position_of(prefix, engine);

	if (seq < position->next_seq)
		return;
	if (position->next_seq > 0 && seq > position->next_seq)
		position->epoch++;
	position->next_seq = seq + 1;
	if (stored)
		store(prefix, engine, id);
	else
		evict(prefix, engine, id);
}

/* Takes in what the response to a prefill shows, which is earlier and more
 * certain than the events: after it the engine holds the prefix. A miss where
 * the engine should have held it counts as a gap in its events.
 */
void prefix_on_prefill(prefix_index_t *prefix, uint32_t engine, uint64_t id,
		       int64_t cached_tokens)
{
	entry_t *entry = g_hash_table_lookup(prefix->entries, &id);
	bool hit = cached_tokens > 0;

	for (unsigned i = 0; !hit && entry && i < entry->n_holders; i++) {
		if (entry->holders[i].engine == engine)
			position_of(prefix, engine)->epoch++;
	}
	store(prefix, engine, id);
	entry = g_hash_table_lookup(prefix->entries, &id);
	if (hit)
		entry->tokens = cached_tokens;
}

/* Forgets what an engine holds and its position, after it has restarted (its
 * events then count from the start) or left.
 */
void prefix_forget_engine(prefix_index_t *prefix, uint32_t engine)
{
	position_t *position = position_of(prefix, engine);

	position->epoch += GAPS_MAX;
	position->next_seq = 0;
}

/* Finds the engines that probably hold a prefix. Returns their number. */
size_t prefix_find(prefix_index_t *prefix, uint64_t id,
		   prefix_hit_t hits[static PREFIX_HOLDERS])
{
	entry_t *entry = g_hash_table_lookup(prefix->entries, &id);
	size_t n = 0;

	if (!entry)
		return 0;
	touch(prefix, entry);
	for (unsigned i = entry->n_holders; i-- > 0;) {
		const holder_t *holder = &entry->holders[i];
		const position_t *position = g_hash_table_lookup(
			prefix->engines, GUINT_TO_POINTER(holder->engine));
		uint32_t gaps = position ? position->epoch - holder->epoch
					 : GAPS_MAX;

		if (gaps >= GAPS_MAX) {
			remove_holder(entry, i);
			continue;
		}
		hits[n].engine = holder->engine;
		hits[n].tokens = entry->tokens;
		hits[n++].confidence = 1.0 / (1u << gaps);
	}
	if (entry->n_holders == 0)
		remove_entry(prefix, entry);
	return n;
}

/* Returns the number of prefixes in the table. */
size_t prefix_count(const prefix_index_t *prefix)
{
	return g_hash_table_size(prefix->entries);
}
