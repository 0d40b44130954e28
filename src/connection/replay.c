#include "connection/replay.h"

#include "process/clock.h"

/* The first call of an unknown sender must carry a time that differs from ours
 * by at most this. Without the limit, any call captured before a restart of the
 * receiver, which forgets all windows, would be accepted again.
 */
#define FIRST_CALL_SKEW_MAX_MS UINT64_C(300000)
/* Low bits of a hybrid logical clock stamp that do not hold milliseconds. */
#define HLC_COUNTER_BITS 16
#define WORD_BITS 64

/* The accepted sequence numbers of a sender's current incarnation. */
typedef struct {
	uint64_t serial; /* unique; changes with the incarnation */
	uint64_t incarnation;
	uint64_t highest; /* sequence number */
	uint64_t last_checked; /* replay_t.calls_checked at the last call */
	/* Bit N is set when the number that is N modulo REPLAY_WINDOW was
	 * accepted.
	 */
	uint64_t bits[REPLAY_WINDOW / WORD_BITS];
} window_t;

/* Hashes an entry by window serial and sequence number. */
static guint hash_entry(gconstpointer key)
{
	const replay_entry_t *entry = key;
	uint64_t mixed = entry->sequence * UINT64_C(0x9e3779b97f4a7c15) ^
			 entry->window_serial;

	return (guint)(mixed ^ mixed >> 32);
}

/* Returns whether two entries are of the same call. */
static gboolean equal_entry(gconstpointer a, gconstpointer b)
{
	const replay_entry_t *one = a;
	const replay_entry_t *other = b;

	return one->window_serial == other->window_serial &&
	       one->sequence == other->sequence;
}

/* Frees an entry with its reply. */
static void free_entry(gpointer data)
{
	replay_entry_t *entry = data;

	g_clear_pointer(&entry->reply, g_bytes_unref);
	g_free(entry->address);
	g_free(entry);
}

/* Sets up an empty table of windows and an empty cache. */
void replay_init(replay_t *replay)
{
	memset(replay, 0, sizeof(*replay));
	replay->senders =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	replay->entries = g_hash_table_new(hash_entry, equal_entry);
	replay->by_call_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&replay->by_age);
}

/* Frees all windows and cache entries. */
void replay_finish(replay_t *replay)
{
	g_hash_table_unref(replay->by_call_id);
	g_hash_table_unref(replay->entries);
	g_hash_table_unref(replay->senders);
	g_queue_clear_full(&replay->by_age, free_entry);
}

/* Removes the window whose sender called least recently. */
static void evict_least_recent_sender(replay_t *replay)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	gpointer oldest_key = NULL;
	uint64_t oldest = UINT64_MAX;

	g_hash_table_iter_init(&iter, replay->senders);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const window_t *window = value;

		if (window->last_checked < oldest) {
			oldest = window->last_checked;
			oldest_key = key;
		}
	}
	if (oldest_key)
		g_hash_table_remove(replay->senders, oldest_key);
}

/* Empties a window for the incarnation that a call came from. The new serial
 * keeps cached calls of the old incarnation from being taken for duplicates.
 */
static void reset_window(replay_t *replay, window_t *window,
			 const wire_call_t *call)
{
	memset(window, 0, sizeof(*window));
	window->serial = ++replay->last_serial;
	window->incarnation = call->sender.incarnation;
	window->highest = call->sequence;
}

/* Returns whether a stamp is close enough to ours for an unknown sender. */
static bool is_fresh(uint64_t time, uint64_t now)
{
	uint64_t time_ms = time >> HLC_COUNTER_BITS;
	uint64_t now_ms = now >> HLC_COUNTER_BITS;

	return time_ms <= now_ms + FIRST_CALL_SKEW_MAX_MS &&
	       now_ms <= time_ms + FIRST_CALL_SKEW_MAX_MS;
}

/*
 * Returns the window of a call's sender. Adds a window for an unknown sender
 * and empties it for a higher incarnation. Returns NULL if the sender is
 * unknown and the call's time is too far from ours.
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
			evict_least_recent_sender(replay);
		window = g_new(window_t, 1);
		reset_window(replay, window, call);
		g_hash_table_insert(replay->senders, g_strdup(call->sender.vm),
				    window);
	} else if (call->sender.incarnation > window->incarnation) {
		reset_window(replay, window, call);
	}
	window->last_checked = ++replay->calls_checked;
	return window;
}

/* Moves the upper end of a window up to a number, and clears the bits of the
 * numbers that come into it.
 */
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

/* Marks a sequence number as accepted. Returns false if it is below the window
 * or was accepted before.
 */
static bool accept_sequence(window_t *window, uint64_t sequence)
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

/* Drops the oldest call from the cache. */
static void evict_oldest_entry(replay_t *replay)
{
	replay_entry_t *oldest = g_queue_pop_head(&replay->by_age);

	g_hash_table_remove(replay->entries, oldest);
	g_hash_table_remove(replay->by_call_id, &oldest->call_id);
	free_entry(oldest);
}

/* Adds a new call to the cache, and drops the oldest one from a full cache. */
static replay_entry_t *add_entry(replay_t *replay, const wire_call_t *call,
				 uint64_t window_serial, const char *address)
{
	replay_entry_t *entry = g_new0(replay_entry_t, 1);

	entry->window_serial = window_serial;
	entry->sequence = call->sequence;
	entry->call_id = ++replay->last_call_id;
	entry->xid = call->xid;
	memcpy(entry->call_mac, call->mac, sizeof(entry->call_mac));
	entry->address = g_strdup(address);
	if (replay->by_age.length >= REPLAY_CACHE_MAX)
		evict_oldest_entry(replay);
	g_queue_push_tail(&replay->by_age, entry);
	g_hash_table_add(replay->entries, entry);
	g_hash_table_insert(replay->by_call_id, &entry->call_id, entry);
	return entry;
}

/* Finds the entry of a call whose number was accepted before or is too old. */
static replay_result_t check_duplicate(replay_t *replay,
				       const wire_call_t *call,
				       uint64_t window_serial,
				       const char *address,
				       replay_entry_t **entry)
{
	replay_entry_t key = {.window_serial = window_serial,
			      .sequence = call->sequence};

	*entry = g_hash_table_lookup(replay->entries, &key);
	/* A reply to another address than that of the first call would let an
	 * attacker who captured the call send our replies to a third party.
	 */
	if (!*entry ||
	    memcmp((*entry)->call_mac, call->mac, PEER_MAC_BYTES) != 0 ||
	    strcmp((*entry)->address, address) != 0)
		return REPLAY_REFUSED;
	if (!(*entry)->replied)
		return REPLAY_IN_PROGRESS;
	return (*entry)->reply ? REPLAY_REPLIED : REPLAY_REFUSED;
}

/*
 * Checks a call whose MAC was verified against its sender's window, and adds a
 * new call to the cache. A retransmitted call has the same sequence number and
 * finds its entry there. Stores the call's entry, borrowed until the next call
 * of this function; it is NULL for REPLAY_STALE and may be NULL for
 * REPLAY_REFUSED. The address (IP:port) is the one the call came from; now is a
 * stamp of our hybrid logical clock.
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
	if (!accept_sequence(window, call->sequence))
		return check_duplicate(replay, call, window->serial, address,
				       entry);
	*entry = add_entry(replay, call, window->serial, address);
	return REPLAY_NEW;
}

/* Returns the highest incarnation that a VM called with; 0 if none is known. */
uint64_t replay_incarnation(const replay_t *replay, const char *vm)
{
	const window_t *window = g_hash_table_lookup(replay->senders, vm);

	return window ? window->incarnation : 0;
}

/* Returns the cached call with an ID, borrowed; NULL if it was dropped. */
replay_entry_t *replay_find(replay_t *replay, uint64_t call_id)
{
	return g_hash_table_lookup(replay->by_call_id, &call_id);
}
