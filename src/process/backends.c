#include "process/backends.h"

#include "process/log.h"
#include "process/member.h"

#define POLL_INTERVAL_MS 250
/* Engines that this VM neither owns nor uses, and cache events, which are late
 * in any case, are asked for with every fourth poll.
 */
#define SLOW_POLLS 4

#define POLL_TIMEOUT_US (1 * CLOCK_US_PER_S)

/* After a failure a backend server is left alone for this long, doubled with
 * each further failure in a row.
 */
#define FAILURE_PAUSE_US (100 * CLOCK_US_PER_MS)
#define FAILURE_PAUSE_DOUBLINGS 5

static void entry_free(gpointer data)
{
	backend_entry_t *entry = data;

	engine_abort(entry->poll);
	engine_abort(entry->cache_poll);
	g_free(entry->name);
	g_free(entry->address);
	g_free(entry->pool);
	g_free(entry->service);
	g_free(entry);
}

static void changed(backend_entry_t *entry, bool reported)
{
	backends_t *backends = entry->owner;

	if (backends->on_changed)
		backends->on_changed(backends->context, entry, reported);
}

static const char *const source_names[] = {
	[LEAVING_SOURCE_STATE] = "state",
	[LEAVING_SOURCE_LOAD_REPORT] = "load_report",
	[LEAVING_SOURCE_VM_LIST] = "vm_list",
	[LEAVING_SOURCE_DRAIN] = "drain",
};

/* Notes what one source says; new work is kept away while any says leaving. */
void backends_set_leaving(backend_entry_t *entry, leaving_source_t source,
			  bool leaving)
{
	unsigned before = entry->leaving_by;

	if (leaving)
		entry->leaving_by |= 1U << source;
	else
		entry->leaving_by &= ~(1U << source);
	if (entry->leaving_by == before)
		return;
	entry->leaving = entry->leaving_by != 0;
	log_event(LOG_INFO, leaving ? "backend_leaving" : "backend_staying",
		  LOG_CSTR("backend", entry->name),
		  LOG_CSTR("source", source_names[source]));
	changed(entry, false);
}

static void on_load(void *context, const engine_load_t *load)
{
	backend_entry_t *entry = context;

	entry->poll = NULL;
	if (load->status != ENGINE_OK) {
		backends_note_failure(entry);
		changed(entry, false);
		return;
	}
	entry->load_answered_at_us = clock_now(&entry->owner->clock);
	entry->kv_total = load->kv_total;
	entry->kv_used = load->kv_used;
	entry->running = load->running;
	entry->queued = load->queued;
	backends_set_leaving(entry, LEAVING_SOURCE_LOAD_REPORT, load->leaving);
	if (!entry->reported_at_us)
		log_event(LOG_INFO, "backend_reports",
			  LOG_CSTR("backend", entry->name),
			  LOG_INT("kv_total", load->kv_total));
	entry->reported_at_us = clock_now(&entry->owner->clock) -
				load->age_ms * CLOCK_US_PER_MS;
	changed(entry, true);
}

static void on_cache(void *context, const engine_cache_event_t *event,
		     engine_status_t status, uint64_t next)
{
	backend_entry_t *entry = context;
	backends_t *backends = entry->owner;

	if (event) {
		if (backends->on_cache)
			backends->on_cache(backends->context, entry, event);
		return;
	}
	entry->cache_poll = NULL;
	/* An engine that was replaced counts from the start again. */
	if (status == ENGINE_OK)
		entry->cache_next = next;
}

static bool is_due(const backends_t *backends, const backend_entry_t *entry)
{
	return backends->polls % SLOW_POLLS == 0 ||
	       !backends->needs_frequent_polls ||
	       backends->needs_frequent_polls(backends->context, entry);
}

static void poll_entry(backends_t *backends, backend_entry_t *entry,
		       int64_t now_us)
{
	str_t address = str_from(entry->address);
	int64_t deadline_us = now_us + POLL_TIMEOUT_US;

	if (!entry->poll && is_due(backends, entry))
		entry->poll = engine_load(backends->client, address,
					  deadline_us, on_load, entry);
	if (!entry->cache_poll && entry->prefill &&
	    backends->polls % SLOW_POLLS == 0)
		entry->cache_poll = engine_cache_events(
			backends->client, address, entry->cache_next,
			deadline_us, on_cache, entry);
}

static gboolean on_poll(gpointer data)
{
	backends_t *backends = data;
	int64_t now_us = clock_now(&backends->clock);

	backends->polls++;

	for (guint i = 0; i < backends->entries->len; i++) {
		backend_entry_t *entry =
			g_ptr_array_index(backends->entries, i);

		/* Plain services have no agreed load call; asking one would
		 * execute a call of its own.
		 */
		if (entry->present && *entry->pool)
			poll_entry(backends, entry, now_us);
	}
	return G_SOURCE_CONTINUE;
}

/* Starts to poll load reports; the client must outlive backends_finish(). */
void backends_init(backends_t *backends, client_t *client, clock_source_t clock)
{
	backends->client = client;
	backends->clock = clock;
	backends->entries = g_ptr_array_new_with_free_func(entry_free);
	backends->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	backends->next = 0;
	backends->on_changed = NULL;
	backends->on_cache = NULL;
	backends->needs_frequent_polls = NULL;
	backends->polls = 0;
	backends->poll_timer =
		g_timeout_add(POLL_INTERVAL_MS, on_poll, backends);
}

/* Stops polling and frees all entries. */
void backends_finish(backends_t *backends)
{
	g_source_remove(backends->poll_timer);
	g_hash_table_unref(backends->by_address);
	g_ptr_array_unref(backends->entries);
}

/* Returns the entry with an address, or NULL. */
backend_entry_t *backends_find(backends_t *backends, str_t address)
{
	char *key = str_dup(address);
	backend_entry_t *entry = g_hash_table_lookup(backends->by_address, key);

	g_free(key);
	return entry;
}

static void set_text(char **field, str_t value)
{
	g_free(*field);
	*field = str_dup(value);
}

/* Zones are few, so that keeping their names for ever is no leak. */
static const char *intern(str_t value)
{
	char *copy = str_dup(value);
	const char *text = g_intern_string(copy);

	g_free(copy);
	return text;
}

static void apply_one(backends_t *backends, const backend_t *backend)
{
	backend_entry_t *entry = backends_find(backends, backend->address);

	if (!entry) {
		entry = g_new0(backend_entry_t, 1);
		entry->owner = backends;
		entry->address = str_dup(backend->address);
		entry->key = member_key(backend->address);
		g_ptr_array_add(backends->entries, entry);
		g_hash_table_insert(backends->by_address, entry->address,
				    entry);
	}
	set_text(&entry->name, backend->name);
	entry->zone = intern(backend->zone);
	set_text(&entry->pool, backend->pool ? backend->pool->name : STR(""));
	set_text(&entry->service,
		 backend->service ? backend->service->name : STR(""));
	entry->present = true;
	backends_set_leaving(entry, LEAVING_SOURCE_STATE, backend->leaving);
	if (backend->pool && !entry->kv_total)
		entry->kv_total = backend->pool->kv_tokens;
	entry->prefill = backend->pool && backend->pool->role == ROLE_PREFILL;
	entry->max_prefills = backend->pool ? backend->pool->max_prefills : 0;
}

/*
 * Takes over the backend servers of a state. Entries stay at their address
 * in memory, since requests in progress point to them; those that the state
 * no longer names get no new work.
 */
void backends_apply(backends_t *backends, const state_t *state)
{
	for (guint i = 0; i < backends->entries->len; i++) {
		backend_entry_t *entry =
			g_ptr_array_index(backends->entries, i);

		entry->present = false;
	}
	for (size_t i = 0; i < state->n_backends; i++)
		apply_one(backends, &state->backends[i]);
	on_poll(backends);
}

/* Tells whether a backend server may get new work. */
bool backends_usable(const backend_entry_t *entry, int64_t now_us)
{
	return entry->present && !entry->leaving &&
	       now_us >= entry->failed_until_us;
}

/*
 * Returns the next usable entry of a pool or a service in turn, other than
 * `avoid` if there is a choice, or NULL.
 */
backend_entry_t *backends_pick(backends_t *backends, str_t pool, str_t service,
			       const backend_entry_t *avoid)
{
	int64_t now_us = clock_now(&backends->clock);
	backend_entry_t *fallback = NULL;
	guint n = backends->entries->len;

	for (guint i = 0; i < n; i++) {
		guint at = (backends->next + i) % n;
		backend_entry_t *entry =
			g_ptr_array_index(backends->entries, at);

		if (!backends_usable(entry, now_us) ||
		    !str_equal(str_from(entry->pool), pool) ||
		    !str_equal(str_from(entry->service), service))
			continue;
		if (entry == avoid) {
			fallback = entry;
			continue;
		}
		backends->next = at + 1;
		return entry;
	}
	return fallback;
}

/* Keeps new work away for a while, longer with each failure in a row. */
void backends_note_failure(backend_entry_t *entry)
{
	int doublings = MIN(entry->failures, FAILURE_PAUSE_DOUBLINGS);

	if (entry->failures == 0)
		log_event(LOG_WARN, "backend_failing",
			  LOG_CSTR("backend", entry->name));
	entry->failures++;
	entry->failed_until_us = clock_now(&entry->owner->clock) +
				 (FAILURE_PAUSE_US << doublings);
}

/* Ends the pause after failures. */
void backends_note_success(backend_entry_t *entry)
{
	if (entry->failures)
		log_event(LOG_INFO, "backend_recovered",
			  LOG_CSTR("backend", entry->name));
	entry->failures = 0;
	entry->failed_until_us = 0;
}
