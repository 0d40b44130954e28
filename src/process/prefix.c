#include "process/prefix.h"

/* Each gap in an engine's events halves the confidence in its older hints,
 * because evictions may have been missed. After this many gaps the hints are
 * dropped.
 */
#define MAX_GAPS 3

/* One hint: the engine that holds the prefix. */
typedef struct {
	uint32_t engine;
	uint32_t n_gaps; /* of the engine's events when the hint was made */
} holder_t;

/* One prefix. */
typedef struct {
	uint64_t id; /* key in prefix_index_t.entries */
	holder_t holders[PREFIX_HOLDERS]; /* most recent first */
	unsigned n_holders;
	int64_t tokens; /* cached at the last hit */
	GList link; /* in prefix_index_t.recent */
} entry_t;

/* Position in the sequence of one engine's events. */
typedef struct {
	uint64_t next_seq; /* 0: none received */
	uint32_t n_gaps; /* so far; a restart counts as MAX_GAPS */
} position_t;

/* Sets up an empty index of at most max_prefixes prefixes, and at least 1. When
 * it is full, the prefix that was unused for longest is dropped.
 */
void prefix_init(prefix_index_t *index, size_t max_prefixes)
{
	*index = (prefix_index_t){.max_prefixes = max_prefixes ? max_prefixes
							       : 1};
	g_queue_init(&index->recent);
	index->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	index->engines = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					       NULL, g_free);
}

/* Frees the entries. */
void prefix_finish(prefix_index_t *index)
{
	g_hash_table_unref(index->entries);
	g_hash_table_unref(index->engines);
}

static position_t *position_of(prefix_index_t *index, uint32_t engine)
{
	void *key = GUINT_TO_POINTER(engine);
	position_t *position = g_hash_table_lookup(index->engines, key);

	if (!position) {
		position = g_new0(position_t, 1);
		g_hash_table_insert(index->engines, key, position);
	}
	return position;
}

static void remove_holder(entry_t *entry, unsigned i)
{
	entry->n_holders--;
	memmove(&entry->holders[i], &entry->holders[i + 1],
		(entry->n_holders - i) * sizeof(entry->holders[0]));
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

static void mark_used(prefix_index_t *index, entry_t *entry)
{
	g_queue_unlink(&index->recent, &entry->link);
	g_queue_push_head_link(&index->recent, &entry->link);
}

static void remove_entry(prefix_index_t *index, entry_t *entry)
{
	g_queue_unlink(&index->recent, &entry->link);
	g_hash_table_remove(index->entries, &entry->id);
}

/* Returns the entry of a prefix, which is added if needed. */
static entry_t *get_entry(prefix_index_t *index, uint64_t id)
{
	entry_t *entry = g_hash_table_lookup(index->entries, &id);

	if (entry) {
		mark_used(index, entry);
		return entry;
	}
	if (g_hash_table_size(index->entries) >= index->max_prefixes)
		remove_entry(index, index->recent.tail->data);
	entry = g_new0(entry_t, 1);
	entry->id = id;
	entry->link.data = entry;
	g_queue_push_head_link(&index->recent, &entry->link);
	g_hash_table_insert(index->entries, &entry->id, entry);
	return entry;
}

/* Makes an engine the most recent holder of a prefix. */
static void add_holder(prefix_index_t *index, uint32_t engine, uint64_t id)
{
	entry_t *entry = get_entry(index, id);

	remove_engine(entry, engine);
	if (entry->n_holders == PREFIX_HOLDERS)
		entry->n_holders--;
	memmove(&entry->holders[1], &entry->holders[0],
		entry->n_holders * sizeof(entry->holders[0]));
	entry->holders[0] =
		(holder_t){engine, position_of(index, engine)->n_gaps};
	entry->n_holders++;
}

static void on_evicted(prefix_index_t *index, uint32_t engine, uint64_t id)
{
	entry_t *entry = g_hash_table_lookup(index->entries, &id);

	if (!entry)
		return;
	remove_engine(entry, engine);
	if (entry->n_holders == 0)
		remove_entry(index, entry);
}

/* Handles an engine's event that it has stored or evicted a prefix. Ignores
 * events that were received before. A skipped sequence number is a gap.
 */
void prefix_on_event(prefix_index_t *index, uint32_t engine, uint64_t seq,
		     bool stored, uint64_t id)
{
	position_t *position = position_of(index, engine);

	if (seq < position->next_seq)
		return;
	if (position->next_seq > 0 && seq > position->next_seq)
		position->n_gaps++;
	position->next_seq = seq + 1;
	if (stored)
		add_holder(index, engine, id);
	else
		on_evicted(index, engine, id);
}

/* Handles the response to a prefill, which is earlier and more certain than the
 * events: the engine now holds the prefix. cached_tokens is the number of
 * tokens that it had cached before. A miss where the engine should have held
 * the prefix counts as a gap in its events.
 */
void prefix_on_prefill(prefix_index_t *index, uint32_t engine, uint64_t id,
		       int64_t cached_tokens)
{
	entry_t *entry = g_hash_table_lookup(index->entries, &id);
	bool hit = cached_tokens > 0;

	for (unsigned i = 0; !hit && entry && i < entry->n_holders; i++) {
		if (entry->holders[i].engine == engine)
			position_of(index, engine)->n_gaps++;
	}
	add_holder(index, engine, id);
	entry = g_hash_table_lookup(index->entries, &id);
	if (hit)
		entry->tokens = cached_tokens;
}

/* Forgets an engine's prefixes and the position in its events, after the engine
 * has restarted or left. The events of a restarted engine count from the start.
 */
void prefix_forget_engine(prefix_index_t *index, uint32_t engine)
{
	position_t *position = position_of(index, engine);

	position->n_gaps += MAX_GAPS;
	position->next_seq = 0;
}

/* Finds the engines that probably hold a prefix, the earliest hint first.
 * Returns their number. Drops hints that are too old.
 */
size_t prefix_find(prefix_index_t *index, uint64_t id,
		   prefix_hit_t hits[static PREFIX_HOLDERS])
{
	entry_t *entry = g_hash_table_lookup(index->entries, &id);
	size_t n = 0;

	if (!entry)
		return 0;
	mark_used(index, entry);
	for (unsigned i = entry->n_holders; i-- > 0;) {
		const holder_t *holder = &entry->holders[i];
		const position_t *position = g_hash_table_lookup(
			index->engines, GUINT_TO_POINTER(holder->engine));
		uint32_t gaps = position ? position->n_gaps - holder->n_gaps
					 : MAX_GAPS;

		if (gaps >= MAX_GAPS) {
			remove_holder(entry, i);
			continue;
		}
		hits[n].engine = holder->engine;
		hits[n].tokens = entry->tokens;
		hits[n++].confidence = 1.0 / (1u << gaps);
	}
	if (entry->n_holders == 0)
		remove_entry(index, entry);
	return n;
}

/* Returns the number of prefixes in the index. */
size_t prefix_count(const prefix_index_t *index)
{
	return g_hash_table_size(index->entries);
}
