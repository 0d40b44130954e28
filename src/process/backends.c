#include "process/backends.h"

#include "process/log.h"
#include "process/member.h"

#define POLL_INTERVAL_MS 250
/* One poll in this many also reads the load of engines that this VM neither
 * owns nor uses, and the cache events, which arrive late in any case.
 */
#define POLLS_PER_SLOW_POLL 4

#define POLL_TIMEOUT_US (1 * CLOCK_US_PER_S)

/* Time without new work after the first failure of a backend server. Each
 * further failure in a row doubles it, up to the limit of doublings.
 */
#define FAILURE_PAUSE_US (100 * CLOCK_US_PER_MS)
#define FAILURE_PAUSE_DOUBLINGS 5

/* Ends an entry's polls and frees it. */
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

/* Calls the callback for a changed entry, if there is one. */
static void report_change(backend_entry_t *entry, bool reported)
{
	backends_t *backends = entry->backends;

	if (backends->on_changed)
		backends->on_changed(backends->context, entry, reported);
}

/* Names of the sources in the log. */
static const char *const source_names[] = {
	[LEAVING_SOURCE_STATE] = "state",
	[LEAVING_SOURCE_LOAD_REPORT] = "load_report",
	[LEAVING_SOURCE_VM_LIST] = "vm_list",
	[LEAVING_SOURCE_DRAIN] = "drain",
};

/* Records whether one source reports the server as leaving. It gets no new work
 * while any source does.
 */
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
	report_change(entry, false);
}

/* Handles the result of a load poll. */
static void on_load(void *context, const engine_load_t *load)
{
	backend_entry_t *entry = context;

	entry->poll = NULL;
	if (load->status != ENGINE_OK) {
		backends_note_failure(entry);
		report_change(entry, false);
		return;
	}
	entry->load_answered_at_us = clock_now(&entry->backends->clock);
	entry->unanswered_since_us = 0;
	entry->kv_total = load->kv_total;
	entry->kv_used = load->kv_used;
	entry->running = load->running;
	entry->queued = load->queued;
	backends_set_leaving(entry, LEAVING_SOURCE_LOAD_REPORT, load->leaving);
	if (!entry->reported_at_us)
		log_event(LOG_INFO, "backend_reports",
			  LOG_CSTR("backend", entry->name),
			  LOG_INT("kv_total", load->kv_total));
	entry->reported_at_us = clock_now(&entry->backends->clock) -
				load->age_ms * CLOCK_US_PER_MS;
	report_change(entry, true);
}

/* Handles one cache event, or with `event` NULL the end of a poll for them. */
static void on_cache(void *context, const engine_cache_event_t *event,
		     engine_status_t status, uint64_t next)
{
	backend_entry_t *entry = context;
	backends_t *backends = entry->backends;

	if (event) {
		if (backends->on_cache)
			backends->on_cache(backends->context, entry, event);
		return;
	}
	entry->cache_poll = NULL;
	/* `next` may be lower than before: a replaced engine numbers its events
	 * from the start.
	 */
	if (status == ENGINE_OK)
		entry->next_cache_event = next;
}

/* Returns whether this poll reads the load of an engine. */
static bool is_load_due(const backends_t *backends,
			const backend_entry_t *entry)
{
	return backends->poll_count % POLLS_PER_SLOW_POLL == 0 ||
	       !backends->needs_frequent_polls ||
	       backends->needs_frequent_polls(backends->context, entry);
}

/* Starts the polls of one engine that are due and not still in progress. */
static void poll_entry(backends_t *backends, backend_entry_t *entry,
		       int64_t now_us)
{
	str_t address = str_from(entry->address);
	int64_t deadline_us = now_us + POLL_TIMEOUT_US;

	if (!entry->poll && is_load_due(backends, entry)) {
		if (!entry->unanswered_since_us)
			entry->unanswered_since_us = now_us;
		entry->poll = engine_fetch_load(backends->client, address,
						deadline_us, on_load, entry);
	}
	if (!entry->cache_poll && entry->prefill &&
	    backends->poll_count % POLLS_PER_SLOW_POLL == 0)
		entry->cache_poll = engine_fetch_cache_events(
			backends->client, address, entry->next_cache_event,
			deadline_us, on_cache, entry);
}

/* Polls all engines of the state in effect. */
static gboolean on_poll(gpointer data)
{
	backends_t *backends = data;
	int64_t now_us = clock_now(&backends->clock);

	backends->poll_count++;

	for (guint i = 0; i < backends->entries->len; i++) {
		backend_entry_t *entry =
			g_ptr_array_index(backends->entries, i);

		/* Plain services have no load call: the service would execute
		 * a poll as a call of its own.
		 */
		if (entry->present && *entry->pool)
			poll_entry(backends, entry, now_us);
	}
	return G_SOURCE_CONTINUE;
}

/* Starts polling load reports. The client must outlive backends_finish(). */
void backends_init(backends_t *backends, client_t *client, clock_source_t clock)
{
	backends->client = client;
	backends->clock = clock;
	backends->entries = g_ptr_array_new_with_free_func(entry_free);
	backends->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	backends->next_index = 0;
	backends->on_changed = NULL;
	backends->on_cache = NULL;
	backends->needs_frequent_polls = NULL;
	backends->poll_count = 0;
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

/* Replaces an owned string by a copy of a value. */
static void set_text(char **field, str_t value)
{
	g_free(*field);
	*field = str_dup(value);
}

/* Returns a copy of a zone's name that is never freed; zones are few. */
static const char *intern_zone(str_t value)
{
	char *copy = str_dup(value);
	const char *text = g_intern_string(copy);

	g_free(copy);
	return text;
}

/* Adds or updates the entry of one backend server of a state. */
static void apply_backend(backends_t *backends, const backend_t *backend)
{
	backend_entry_t *entry = backends_find(backends, backend->address);

	if (!entry) {
		entry = g_new0(backend_entry_t, 1);
		entry->backends = backends;
		entry->address = str_dup(backend->address);
		entry->key = member_key(backend->address);
		g_ptr_array_add(backends->entries, entry);
		g_hash_table_insert(backends->by_address, entry->address,
				    entry);
	}
	set_text(&entry->name, backend->name);
	entry->zone = intern_zone(backend->zone);
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
 * Adds and updates the entries of a state's backend servers. Entries
 * stay until backends_finish(), since requests in progress point to them; those
 * that the state no longer names get no new work.
 */
void backends_apply(backends_t *backends, const state_t *state)
{
	for (guint i = 0; i < backends->entries->len; i++) {
		backend_entry_t *entry =
			g_ptr_array_index(backends->entries, i);

		entry->present = false;
	}
	for (size_t i = 0; i < state->n_backends; i++)
		apply_backend(backends, &state->backends[i]);
	on_poll(backends);
}

/* Returns whether a backend server may get new work. */
bool backends_usable(const backend_entry_t *entry, int64_t now_us)
{
	return entry->present && !entry->leaving &&
	       now_us >= entry->failed_until_us;
}

/*
 * Returns the next usable entry of a pool or a service, in round-robin order,
 * or NULL. Returns `avoid` only if no other is usable.
 */
backend_entry_t *backends_pick(backends_t *backends, str_t pool, str_t service,
			       const backend_entry_t *avoid)
{
	int64_t now_us = clock_now(&backends->clock);
	backend_entry_t *fallback = NULL;
	guint n = backends->entries->len;

	for (guint i = 0; i < n; i++) {
		guint at = (backends->next_index + i) % n;
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
		backends->next_index = at + 1;
		return entry;
	}
	return fallback;
}

/* Records a failure: the server gets no new work for a time that grows with
 * each failure in a row.
 */
void backends_note_failure(backend_entry_t *entry)
{
	int doublings = MIN(entry->failures, FAILURE_PAUSE_DOUBLINGS);

	if (entry->failures == 0)
		log_event(LOG_WARN, "backend_failing",
			  LOG_CSTR("backend", entry->name));
	entry->failures++;
	entry->failed_until_us = clock_now(&entry->backends->clock) +
				 (FAILURE_PAUSE_US << doublings);
}

/* Records a success: ends the pause after failures. */
void backends_note_success(backend_entry_t *entry)
{
	if (entry->failures)
		log_event(LOG_INFO, "backend_recovered",
			  LOG_CSTR("backend", entry->name));
	entry->failures = 0;
	entry->failed_until_us = 0;
}
