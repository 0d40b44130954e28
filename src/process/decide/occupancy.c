#include "process/decide/occupancy.h"

/* Time between two announcements of a VM without a change: the longer of these
 * two, the second times the number of peers. A VM thus receives at most 200
 * repeats a second.
 */
#define REPEAT_US INT64_C(400000)
#define REPEAT_PEER_US INT64_C(5000)

/* A VM that has been silent for this many repeats counts as dead: its
 * connections are closed and its requests have ended. Fewer would not do, as
 * single datagrams get lost.
 */
#define TTL_REPEATS 3.75

/* The total of all VMs' observations is computed again after this time. */
#define WORKLOAD_TOTAL_US INT64_C(50000)

/* Frees a peer. */
static void free_peer(gpointer data)
{
	occupancy_peer_t *peer = data;

	g_free(peer->vm);
	g_hash_table_unref(peer->use);
	g_array_unref(peer->waiters);
	g_ptr_array_unref(peer->suspects);
	g_hash_table_unref(peer->workloads);
	g_free(peer);
}

/* Returns a new table of server ID to occupancy_use_t that owns both. */
static GHashTable *new_use_table(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Sets up an occupancy without use, peers or waiting requests. */
void occupancy_init(occupancy_t *occupancy)
{
	memset(occupancy, 0, sizeof(*occupancy));
	occupancy->own = new_use_table();
	occupancy->totals = new_use_table();
	occupancy->unavailable =
		g_array_new(FALSE, FALSE, sizeof(occupancy_unavailable_t));
	occupancy->workloads =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	occupancy->suspects = g_ptr_array_new_with_free_func(g_free);
	occupancy->limits =
		g_array_new(FALSE, FALSE, sizeof(occupancy_limit_t));
	occupancy->losses =
		g_array_new(FALSE, FALSE, sizeof(quarantine_loss_t));
	occupancy->sound = g_array_new(FALSE, FALSE, sizeof(sound_key_t));
	occupancy->origins = g_array_new(FALSE, FALSE, sizeof(stream_origin_t));
	occupancy->all_origins =
		g_array_new(FALSE, FALSE, sizeof(stream_origin_t));
	occupancy->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
	occupancy->waiters =
		g_array_new(FALSE, FALSE, sizeof(occupancy_urgency_t));
	occupancy_set_peers(occupancy, 0);
}

/* Returns the time between two announcements of a VM without a change. */
int64_t occupancy_repeat_us(unsigned peers)
{
	return MAX(REPEAT_US, peers * REPEAT_PEER_US);
}

/* Sets the number of other VMs, on which the time until a silent one counts as
 * dead depends.
 */
void occupancy_set_peers(occupancy_t *occupancy, unsigned peers)
{
	occupancy->peer_ttl_us =
		(int64_t)((double)occupancy_repeat_us(peers) * TTL_REPEATS);
	occupancy->next_expiry_us = 0;
}

/* Frees what an occupancy owns. */
void occupancy_finish(occupancy_t *occupancy)
{
	g_hash_table_unref(occupancy->own);
	g_hash_table_unref(occupancy->totals);
	g_hash_table_unref(occupancy->peers);
	g_array_unref(occupancy->waiters);
	g_hash_table_unref(occupancy->workloads);
	g_ptr_array_unref(occupancy->suspects);
	g_array_unref(occupancy->unavailable);
	g_array_unref(occupancy->limits);
	g_array_unref(occupancy->losses);
	g_array_unref(occupancy->sound);
	g_array_unref(occupancy->origins);
	g_array_unref(occupancy->all_origins);
}

/* Returns whether nothing is used. */
static bool is_zero(const occupancy_use_t *use)
{
	return use->streams == 0 && use->kv_tokens == 0 &&
	       use->prefill_tokens == 0;
}

/* Adds a change, which may be negative, to a use. */
static void add(occupancy_use_t *use, const occupancy_use_t *change)
{
	use->streams += change->streams;
	use->kv_tokens += change->kv_tokens;
	use->prefill_tokens += change->prefill_tokens;
}

/* Adds a change to a server's use in a table; zero use is removed from it. */
static void add_to(GHashTable *uses, const char *server,
		   const occupancy_use_t *change)
{
	occupancy_use_t *use = g_hash_table_lookup(uses, server);

	if (!use) {
		use = g_new0(occupancy_use_t, 1);
		g_hash_table_insert(uses, g_strdup(server), use);
	}
	add(use, change);
	if (is_zero(use))
		g_hash_table_remove(uses, server);
}

/* Adds a change, which may be negative, to this VM's use of a server. */
void occupancy_add(occupancy_t *occupancy, const char *server,
		   const occupancy_use_t *change)
{
	add_to(occupancy->own, server, change);
}

/* Returns whether a peer has announced something recently enough. */
static bool is_live(const occupancy_t *occupancy, const occupancy_peer_t *peer,
		    int64_t now_us)
{
	return now_us - peer->received_us < occupancy->peer_ttl_us;
}

/* Adds a peer's use to the totals or subtracts it, unless that is done. */
static void set_in_totals(occupancy_t *occupancy, occupancy_peer_t *peer,
			  bool in_totals)
{
	GHashTableIter iter;
	gpointer server, value;

	if (peer->in_totals == in_totals)
		return;
	peer->in_totals = in_totals;
	g_hash_table_iter_init(&iter, peer->use);
	while (g_hash_table_iter_next(&iter, &server, &value)) {
		occupancy_use_t use = *(occupancy_use_t *)value;

		if (!in_totals) {
			use.streams = -use.streams;
			use.kv_tokens = -use.kv_tokens;
			use.prefill_tokens = -use.prefill_tokens;
		}
		add_to(occupancy->totals, server, &use);
	}
}

/* Subtracts the use of dead peers from the totals. */
static void expire_peers(occupancy_t *occupancy, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (now_us < occupancy->next_expiry_us)
		return;
	occupancy->next_expiry_us = now_us + occupancy->peer_ttl_us;
	g_hash_table_iter_init(&iter, occupancy->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		occupancy_peer_t *peer = value;
		bool live = is_live(occupancy, peer, now_us);

		set_in_totals(occupancy, peer, live);
		if (live)
			occupancy->next_expiry_us =
				MIN(occupancy->next_expiry_us,
				    peer->received_us + occupancy->peer_ttl_us);
	}
}

/* Returns what all VMs use of a server, as far as it is known here. */
occupancy_use_t occupancy_total(occupancy_t *occupancy, const char *server,
				int64_t now_us)
{
	occupancy_use_t total = {0};
	const occupancy_use_t *use;

	expire_peers(occupancy, now_us);
	use = g_hash_table_lookup(occupancy->own, server);
	if (use)
		add(&total, use);
	use = g_hash_table_lookup(occupancy->totals, server);
	if (use)
		add(&total, use);
	return total;
}

/* Returns whether a waiting request comes before another one. */
bool occupancy_is_more_urgent(const occupancy_urgency_t *a,
			      const occupancy_urgency_t *b)
{
	if (a->late != b->late)
		return b->late;
	return a->due_us < b->due_us;
}

/* Returns how many waiting requests of live peers come before one. */
unsigned occupancy_count_ahead(const occupancy_t *occupancy,
			       const occupancy_urgency_t *urgency,
			       int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	unsigned n = 0;

	g_hash_table_iter_init(&iter, occupancy->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const occupancy_peer_t *peer = value;

		for (guint i = 0;
		     is_live(occupancy, peer, now_us) && i < peer->waiters->len;
		     i++) {
			const occupancy_urgency_t *other = &g_array_index(
				peer->waiters, occupancy_urgency_t, i);

			n += occupancy_is_more_urgent(other, urgency) ? 1 : 0;
		}
	}
	return n;
}

/* Returns the new streams per second at this VM and its live peers. */
double occupancy_arrivals_per_s(const occupancy_t *occupancy, int64_t now_us)
{
	double sum = arrival_rate_per_s(&occupancy->arrivals, now_us);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, occupancy->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const occupancy_peer_t *peer = value;

		sum += is_live(occupancy, peer, now_us) ? peer->arrivals_per_s
							: 0;
	}
	return sum;
}

/* Returns the entry of a service; the first call creates it. */
static occupancy_workload_t *get_workload(occupancy_t *occupancy,
					  const char *service)
{
	occupancy_workload_t *workload =
		g_hash_table_lookup(occupancy->workloads, service);

	if (!workload) {
		workload = g_new0(occupancy_workload_t, 1);
		g_hash_table_insert(occupancy->workloads, g_strdup(service),
				    workload);
	}
	return workload;
}

/* Returns this VM's own observations of a service, to add to. */
workload_t *occupancy_own_workload(occupancy_t *occupancy, const char *service)
{
	return &get_workload(occupancy, service)->own;
}

/* Adds up the observations of this VM and its live peers. */
static workload_t sum_workloads(const occupancy_t *occupancy,
				const char *service, const workload_t *own,
				int64_t now_us)
{
	workload_t total = *own;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, occupancy->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const occupancy_peer_t *peer = value;
		const workload_t *part =
			g_hash_table_lookup(peer->workloads, service);

		if (part && is_live(occupancy, peer, now_us))
			workload_add(&total, part);
	}
	return total;
}

/* Returns what all VMs together have observed of a service; borrowed. */
const workload_t *occupancy_workload(occupancy_t *occupancy,
				     const char *service, int64_t now_us)
{
	occupancy_workload_t *workload = get_workload(occupancy, service);

	if (now_us >= workload->total_until_us) {
		workload_decay(&workload->own, now_us);
		workload->total = sum_workloads(occupancy, service,
						&workload->own, now_us);
		workload->total_until_us = now_us + WORKLOAD_TOTAL_US;
	}
	return &workload->total;
}

/* Returns the number of other VMs that are not dead. */
unsigned occupancy_live_peers(const occupancy_t *occupancy, int64_t now_us)
{
	GHashTableIter iter;
	gpointer peer;
	unsigned n = 0;

	g_hash_table_iter_init(&iter, occupancy->peers);
	while (g_hash_table_iter_next(&iter, NULL, &peer))
		n += is_live(occupancy, peer, now_us) ? 1 : 0;
	return n;
}

/* Returns how many other VMs that are not dead come before a VM by their names. */
unsigned occupancy_rank(const occupancy_t *occupancy, const char *vm,
			int64_t now_us)
{
	GHashTableIter iter;
	gpointer name, peer;
	unsigned rank = 0;

	g_hash_table_iter_init(&iter, occupancy->peers);
	while (g_hash_table_iter_next(&iter, &name, &peer))
		rank += strcmp(name, vm) < 0 && is_live(occupancy, peer, now_us)
				? 1
				: 0;
	return rank;
}

/* Sets up an empty announcement. */
void occupancy_announcement_init(occupancy_announcement_t *announcement)
{
	memset(announcement, 0, sizeof(*announcement));
	announcement->use = new_use_table();
	announcement->waiters =
		g_array_new(FALSE, FALSE, sizeof(occupancy_urgency_t));
	announcement->workloads =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	announcement->suspects = g_ptr_array_new_with_free_func(g_free);
	announcement->unavailable =
		g_array_new(FALSE, FALSE, sizeof(occupancy_unavailable_t));
	announcement->limits =
		g_array_new(FALSE, FALSE, sizeof(occupancy_limit_t));
	announcement->losses =
		g_array_new(FALSE, FALSE, sizeof(quarantine_loss_t));
	announcement->sound = g_array_new(FALSE, FALSE, sizeof(sound_key_t));
	announcement->origins =
		g_array_new(FALSE, FALSE, sizeof(stream_origin_t));
}

/* Frees what an announcement owns, as far as no peer has a reference. */
void occupancy_announcement_finish(occupancy_announcement_t *announcement)
{
	g_hash_table_unref(announcement->use);
	g_array_unref(announcement->waiters);
	g_hash_table_unref(announcement->workloads);
	g_ptr_array_unref(announcement->suspects);
	g_array_unref(announcement->unavailable);
	g_array_unref(announcement->limits);
	g_array_unref(announcement->losses);
	g_array_unref(announcement->sound);
	g_array_unref(announcement->origins);
}

/* Returns whether an announcement is newer than the latest one of its VM. The
 * comparison of sequence numbers allows for one that has wrapped.
 */
static bool is_newer(const occupancy_peer_t *peer,
		     const occupancy_announcement_t *announcement)
{
	if (announcement->incarnation != peer->incarnation)
		return announcement->incarnation > peer->incarnation;
	return (int32_t)(announcement->sequence - peer->sequence) > 0;
}

/* Calls back for each server that an announcement calls suspect, unavailable or
 * limited, and for the servers that were lost while they began requests.
 */
static void report_servers(const occupancy_t *occupancy,
			   const occupancy_peer_t *peer,
			   const occupancy_announcement_t *announcement)
{
	for (guint i = 0;
	     occupancy->on_suspect && i < announcement->suspects->len; i++)
		occupancy->on_suspect(occupancy->context, peer,
				      g_ptr_array_index(announcement->suspects,
							i));
	for (guint i = 0;
	     occupancy->on_unavailable && i < announcement->unavailable->len;
	     i++) {
		const occupancy_unavailable_t *unavailable = &g_array_index(
			announcement->unavailable, occupancy_unavailable_t, i);

		occupancy->on_unavailable(occupancy->context,
					  unavailable->server,
					  unavailable->until_us);
	}
	for (guint i = 0; occupancy->on_limit && i < announcement->limits->len;
	     i++) {
		const occupancy_limit_t *item = &g_array_index(
			announcement->limits, occupancy_limit_t, i);

		occupancy->on_limit(occupancy->context, announcement->vm,
				    item->server, &item->limit);
	}
	if (occupancy->on_losses && announcement->has_losses)
		occupancy->on_losses(occupancy->context, announcement);
}

/* Calls back for each stream that an announcement holds. */
static void report_origins(const occupancy_t *occupancy,
			   const occupancy_announcement_t *announcement)
{
	if (!occupancy->on_origin)
		return;
	for (guint i = 0; i < announcement->origins->len; i++)
		occupancy->on_origin(occupancy->context,
				     &g_array_index(announcement->origins,
						    stream_origin_t, i));
}

/* Replaces a peer's observations of services if an announcement has some. Those
 * of an earlier process of the VM are dropped in any case.
 */
static void set_workloads(occupancy_peer_t *peer,
			  const occupancy_announcement_t *announcement)
{
	if (peer->workloads && !announcement->has_workloads &&
	    peer->incarnation == announcement->incarnation)
		return;
	if (peer->workloads)
		g_hash_table_unref(peer->workloads);
	peer->workloads = g_hash_table_ref(announcement->workloads);
}

/*
 * Applies a peer's announcement, which replaces what was known of the peer. An
 * announcement that arrives after a later one, or is from an earlier process of
 * the VM, is dropped. The peer shares the arrays and tables by reference.
 */
void occupancy_apply_announcement(occupancy_t *occupancy,
				  occupancy_announcement_t *announcement,
				  int64_t now_us)
{
	occupancy_peer_t *peer =
		g_hash_table_lookup(occupancy->peers, announcement->vm);
	bool is_new_process = !peer ||
			      peer->incarnation != announcement->incarnation;

	if (peer && !is_newer(peer, announcement))
		return;
	if (!peer) {
		peer = g_new0(occupancy_peer_t, 1);
		peer->vm = g_strdup(announcement->vm);
		g_hash_table_insert(occupancy->peers, peer->vm, peer);
	} else {
		set_in_totals(occupancy, peer, false);
		g_hash_table_unref(peer->use);
		g_array_unref(peer->waiters);
		g_ptr_array_unref(peer->suspects);
	}
	set_workloads(peer, announcement);
	peer->use = g_hash_table_ref(announcement->use);
	peer->waiters = g_array_ref(announcement->waiters);
	peer->suspects = g_ptr_array_ref(announcement->suspects);

	peer->arrivals_per_s = announcement->arrivals_per_s;
	peer->incarnation = announcement->incarnation;
	peer->sequence = announcement->sequence;
	g_strlcpy(peer->zone, announcement->zone, sizeof(peer->zone));
	peer->received_us = now_us;
	set_in_totals(occupancy, peer, true);
	report_servers(occupancy, peer, announcement);
	report_origins(occupancy, announcement);
	if (is_new_process && occupancy->on_new_process)
		occupancy->on_new_process(occupancy->context, peer->vm);
}
