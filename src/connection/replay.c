#include "connection/replay.h"

#include "process/clock.h"

/* A sender that is not known yet must have a time within this of the own one.
 * Without it, calls captured before a restart of the receiver would be
 * accepted again.
 */
#define REPLAY_FIRST_SKEW_MS UINT64_C(300000)
#define HLC_COUNTER_BITS 16
#define WORD_BITS 64

/* Accepted sequence numbers of one incarnation of a sender. */
typedef struct {
	uint64_t serial;
	uint64_t incarnation;
	uint64_t highest;
	uint64_t heard; /* value of replay_t.heard at the last message */
	uint64_t bits[REPLAY_WINDOW / WORD_BITS]; /* by number modulo window */
} window_t;

static guint hash_entry(gconstpointer key)
{
	const replay_entry_t *entry = key;
	uint64_t mixed = entry->sequence * UINT64_C(0x9e3779b97f4a7c15) ^
			 entry->sender;

	return (guint)(mixed ^ mixed >> 32);
}

static gboolean equal_entry(gconstpointer a, gconstpointer b)
{
	const replay_entry_t *one = a;
	const replay_entry_t *other = b;

	return one->sender == other->sender && one->sequence == other->sequence;
}

static void free_entry(gpointer data)
{
	replay_entry_t *entry = data;

	g_clear_pointer(&entry->answer, g_bytes_unref);
	g_free(entry->address);
	g_free(entry);
}

/* Sets up an empty window table and cache. */
void replay_init(replay_t *replay)
{
	memset(replay, 0, sizeof(*replay));
	replay->senders =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	replay->entries = g_hash_table_new(hash_entry, equal_entry);
	replay->by_call_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&replay->order);
}

/* Releases everything. */
void replay_finish(replay_t *replay)
{
	g_hash_table_unref(replay->by_call_id);
	g_hash_table_unref(replay->entries);
	g_hash_table_unref(replay->senders);
	g_queue_clear_full(&replay->order, free_entry);
}

static void evict_sender(replay_t *replay)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	gpointer oldest_key = NULL;
	uint64_t oldest = UINT64_MAX;

	g_hash_table_iter_init(&iter, replay->senders);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const window_t *window = value;

		if (window->heard < oldest) {
			oldest = window->heard;
			oldest_key = key;
		}
	}
	if (oldest_key)
		g_hash_table_remove(replay->senders, oldest_key);
}

static void reset_window(replay_t *replay, window_t *window,
			 const wire_call_t *call)
{
	memset(window, 0, sizeof(*window));
	window->serial = ++replay->serial;
	window->incarnation = call->sender.incarnation;
	window->highest = call->sequence;
}

static bool is_fresh(uint64_t time, uint64_t now)
{
	uint64_t time_ms = time >> HLC_COUNTER_BITS;
	uint64_t now_ms = now >> HLC_COUNTER_BITS;

	return time_ms <= now_ms + REPLAY_FIRST_SKEW_MS &&
	       now_ms <= time_ms + REPLAY_FIRST_SKEW_MS;
}

/* Finds the window of a call's sender; NULL when an unknown sender's call is
 * too old.
 */
static window_t *find_window(replay_t *replay, const wire_call_t *call,
			     uint64_t now)
{
	window_t *window =
		g_hash_table_lookup(replay->senders, call->sender.vm);

	if (!window) {
		if (!is_fresh(call->sender.time, now))
			return NULL;
		if (g_hash_table_size(replay->senders) >= REPLAY_SENDERS_MAX)
			evict_sender(replay);
		window = g_new(window_t, 1);
		reset_window(replay, window, call);
		g_hash_table_insert(replay->senders, g_strdup(call->sender.vm),
				    window);
	} else if (call->sender.incarnation > window->incarnation) {
		reset_window(replay, window, call);
	}
	window->heard = ++replay->heard;
	return window;
}

/* Moves the window's upper end, clearing the numbers that enter it. */
static void advance_window(window_t *window, uint64_t sequence)
{
	uint64_t step = sequence - window->highest;

	if (step >= REPLAY_WINDOW) {
		memset(window->bits, 0, sizeof(window->bits));
	} else {
		for (uint64_t n = window->highest + 1; n <= sequence; n++)
			window->bits[n % REPLAY_WINDOW / WORD_BITS] &=
				~(UINT64_C(1) << n % WORD_BITS);
	}
	window->highest = sequence;
}

/* Takes a sequence number; returns false when it is old or was taken before. */
static bool take_sequence(window_t *window, uint64_t sequence)
{
	uint64_t mask = UINT64_C(1) << sequence % WORD_BITS;
	uint64_t *word;

	if (sequence > window->highest)
		advance_window(window, sequence);
	if (window->highest - sequence >= REPLAY_WINDOW)
		return false;
	word = &window->bits[sequence % REPLAY_WINDOW / WORD_BITS];
	if (*word & mask)
		return false;
	*word |= mask;
	return true;
}

static void evict_entry(replay_t *replay)
{
	replay_entry_t *oldest = g_queue_pop_head(&replay->order);

	g_hash_table_remove(replay->entries, oldest);
	g_hash_table_remove(replay->by_call_id, &oldest->call_id);
	free_entry(oldest);
}

static replay_entry_t *add_entry(replay_t *replay, const wire_call_t *call,
				 uint64_t sender, const char *address)
{
	replay_entry_t *entry = g_new0(replay_entry_t, 1);

	entry->sender = sender;
	entry->sequence = call->sequence;
	entry->call_id = ++replay->call_id;
	entry->xid = call->xid;
	memcpy(entry->call_mac, call->mac, sizeof(entry->call_mac));
	entry->address = g_strdup(address);
	if (replay->order.length >= REPLAY_CACHE_MAX)
		evict_entry(replay);
	g_queue_push_tail(&replay->order, entry);
	g_hash_table_add(replay->entries, entry);
	g_hash_table_insert(replay->by_call_id, &entry->call_id, entry);
	return entry;
}

static replay_result_t check_duplicate(replay_t *replay,
				       const wire_call_t *call, uint64_t sender,
				       const char *address,
				       replay_entry_t **entry)
{
	replay_entry_t key = {.sender = sender, .sequence = call->sequence};

	*entry = g_hash_table_lookup(replay->entries, &key);
	/* Answering another address would let a captured call be used to
	 * direct answers at a third party.
	 */
	if (!*entry ||
	    memcmp((*entry)->call_mac, call->mac, PEER_MAC_BYTES) != 0 ||
	    strcmp((*entry)->address, address) != 0)
		return REPLAY_REFUSED;
	if (!(*entry)->answered)
		return REPLAY_IN_PROGRESS;
	return (*entry)->answer ? REPLAY_ANSWERED : REPLAY_REFUSED;
}

/*
 * Checks an authentic call against its sender's window. A retransmitted call
 * has the same sequence number and finds its entry in the cache. The entry is
 * valid until the next call of this function; now is a hybrid logical clock
 * stamp.
 */
replay_result_t replay_check(replay_t *replay, const wire_call_t *call,
			     const char *address, uint64_t now,
			     replay_entry_t **entry)
{
	window_t *window = find_window(replay, call, now);

	*entry = NULL;
	if (!window)
		return REPLAY_REFUSED;
	if (call->sender.incarnation < window->incarnation)
		return REPLAY_STALE;
	if (!take_sequence(window, call->sequence))
		return check_duplicate(replay, call, window->serial, address,
				       entry);
	*entry = add_entry(replay, call, window->serial, address);
	return REPLAY_NEW;
}

/* Returns the highest incarnation heard of a VM; 0 when not known. */
uint64_t replay_incarnation(const replay_t *replay, const char *vm)
{
	const window_t *window = g_hash_table_lookup(replay->senders, vm);

	return window ? window->incarnation : 0;
}

/* Finds a received call by its call_id; NULL when it has left the cache. */
replay_entry_t *replay_find(replay_t *replay, uint64_t call_id)
{
	return g_hash_table_lookup(replay->by_call_id, &call_id);
}
