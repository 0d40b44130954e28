#include "process/decide/occupancy.h"

#include <math.h>

/* Between two announcements of a router without a change; with many routers as
 * much longer as there are peers, so that each hears 200 a second at most.
 */
#define REPEAT_US INT64_C(400000)
#define REPEAT_PEER_US INT64_C(5000)

/* A router that has not announced anything for so many repeats is taken for
 * dead: its connections are closed and its requests have ended. Single
 * datagrams are lost.
 */
#define TTL_REPEATS 3.75

/* Time in which an arrival's weight fades to 1/e. Surges begin and end within
 * seconds.
 */
#define RATE_FADE_US 2000000.0

static void free_peer(gpointer data)
{
	occupancy_peer_t *peer = data;

	g_free(peer->vm);
	g_hash_table_unref(peer->use);
	g_array_unref(peer->waiters);
	g_free(peer);
}

static GHashTable *new_use_table(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Sets up an account without use. */
void occupancy_init(occupancy_t *occupancy)
{
	memset(occupancy, 0, sizeof(*occupancy));
	occupancy->own = new_use_table();
	occupancy->totals = new_use_table();
	occupancy->unavailable =
		g_array_new(FALSE, FALSE, sizeof(occupancy_unavailable_t));
	occupancy->suspects = g_ptr_array_new_with_free_func(g_free);
	occupancy->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
	occupancy->waiters =
		g_array_new(FALSE, FALSE, sizeof(occupancy_urgency_t));
	occupancy_set_peers(occupancy, 0);
}

/* Time between two announcements without a change. */
int64_t occupancy_repeat_us(unsigned peers)
{
	return MAX(REPEAT_US, peers * REPEAT_PEER_US);
}

/* Says how many other routers there are. */
void occupancy_set_peers(occupancy_t *occupancy, unsigned peers)
{
	occupancy->peer_ttl_us =
		(int64_t)((double)occupancy_repeat_us(peers) * TTL_REPEATS);
	occupancy->next_expiry_us = 0;
}

/* Frees an account. */
void occupancy_finish(occupancy_t *occupancy)
{
	g_hash_table_unref(occupancy->own);
	g_hash_table_unref(occupancy->totals);
	g_hash_table_unref(occupancy->peers);
	g_array_unref(occupancy->waiters);
	g_ptr_array_unref(occupancy->suspects);
	g_array_unref(occupancy->unavailable);
}

static bool is_zero(const occupancy_use_t *use)
{
	return use->streams == 0 && use->kv_tokens == 0 &&
	       use->prefill_tokens == 0;
}

static void add(occupancy_use_t *use, const occupancy_use_t *change)
{
	use->streams += change->streams;
	use->kv_tokens += change->kv_tokens;
	use->prefill_tokens += change->prefill_tokens;
}

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

/* Changes this router's own use of a server. */
void occupancy_add(occupancy_t *occupancy, const char *server,
		   const occupancy_use_t *change)
{
	add_to(occupancy->own, server, change);
}

static bool is_live(const occupancy_t *occupancy, const occupancy_peer_t *peer,
		    int64_t now_us)
{
	return now_us - peer->heard_us < occupancy->peer_ttl_us;
}

/* Takes a peer's use into the totals, or out of them. */
static void count(occupancy_t *occupancy, occupancy_peer_t *peer, bool counted)
{
	GHashTableIter iter;
	gpointer server, value;

	if (peer->counted == counted)
		return;
	peer->counted = counted;
	g_hash_table_iter_init(&iter, peer->use);
	while (g_hash_table_iter_next(&iter, &server, &value)) {
		occupancy_use_t use = *(occupancy_use_t *)value;

		if (!counted) {
			use.streams = -use.streams;
			use.kv_tokens = -use.kv_tokens;
			use.prefill_tokens = -use.prefill_tokens;
		}
		add_to(occupancy->totals, server, &use);
	}
}

/* Takes the use of dead peers out of the totals. */
static void expire(occupancy_t *occupancy, int64_t now_us)
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

		count(occupancy, peer, live);
		if (live)
			occupancy->next_expiry_us =
				MIN(occupancy->next_expiry_us,
				    peer->heard_us + occupancy->peer_ttl_us);
	}
}

/* What all routers use of a server, as far as it is known here. */
occupancy_use_t occupancy_total(occupancy_t *occupancy, const char *server,
				int64_t now_us)
{
	occupancy_use_t total = {0};
	const occupancy_use_t *use;

	expire(occupancy, now_us);
	use = g_hash_table_lookup(occupancy->own, server);
	if (use)
		add(&total, use);
	use = g_hash_table_lookup(occupancy->totals, server);
	if (use)
		add(&total, use);
	return total;
}

/* Order of claims. */
bool occupancy_is_more_urgent(const occupancy_urgency_t *a,
			      const occupancy_urgency_t *b)
{
	if (a->late != b->late)
		return b->late;
	return a->due_us < b->due_us;
}

/* Number of other routers' waiting requests that come before a urgency. */
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

static double faded(const arrival_rate_t *rate, int64_t now_us)
{
	double age_us = (double)MAX(now_us - rate->at_us, 0);

	return rate->weight * exp(-age_us / RATE_FADE_US);
}

/* Takes in one arrival. */
void arrival_rate_add(arrival_rate_t *rate, int64_t now_us)
{
	rate->weight = faded(rate, now_us) + 1;
	rate->at_us = now_us;
}

/* Arrivals in a second. */
double arrival_rate_per_s(const arrival_rate_t *rate, int64_t now_us)
{
	return faded(rate, now_us) / (RATE_FADE_US / 1e6);
}

/* New streams in a second, of all routers. */
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

/* Number of other routers that announced something lately. */
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

/* Sets up an empty announcement. */
void occupancy_announcement_init(occupancy_announcement_t *news)
{
	memset(news, 0, sizeof(*news));
	news->use = new_use_table();
	news->waiters = g_array_new(FALSE, FALSE, sizeof(occupancy_urgency_t));
	news->suspects = g_ptr_array_new_with_free_func(g_free);
	news->unavailable =
		g_array_new(FALSE, FALSE, sizeof(occupancy_unavailable_t));
}

/* Frees an announcement. */
void occupancy_announcement_finish(occupancy_announcement_t *news)
{
	g_hash_table_unref(news->use);
	g_array_unref(news->waiters);
	g_ptr_array_unref(news->suspects);
	g_array_unref(news->unavailable);
}

static bool is_news(const occupancy_peer_t *peer,
		    const occupancy_announcement_t *news)
{
	if (news->incarnation != peer->incarnation)
		return news->incarnation > peer->incarnation;
	return (int32_t)(news->sequence - peer->sequence) > 0;
}

static void tell_of_servers(const occupancy_t *occupancy,
			    const occupancy_announcement_t *news)
{
	for (guint i = 0; occupancy->on_suspect && i < news->suspects->len; i++)
		occupancy->on_suspect(occupancy->context,
				      g_ptr_array_index(news->suspects, i));
	for (guint i = 0;
	     occupancy->on_unavailable && i < news->unavailable->len; i++) {
		const occupancy_unavailable_t *change = &g_array_index(
			news->unavailable, occupancy_unavailable_t, i);

		occupancy->on_unavailable(occupancy->context, change->server,
					  change->until_us);
	}
}

/*
 * Takes in a peer's announcement, which replaces what was known of it. One that
 * was overtaken by a later one, or is of an earlier process, is dropped.
 */
void occupancy_apply_announcement(occupancy_t *occupancy,
				  occupancy_announcement_t *news,
				  int64_t now_us)
{
	occupancy_peer_t *peer =
		g_hash_table_lookup(occupancy->peers, news->vm);

	if (peer && !is_news(peer, news))
		return;
	if (!peer) {
		peer = g_new0(occupancy_peer_t, 1);
		peer->vm = g_strdup(news->vm);
		g_hash_table_insert(occupancy->peers, peer->vm, peer);
	} else {
		count(occupancy, peer, false);
		g_hash_table_unref(peer->use);
		g_array_unref(peer->waiters);
	}
	peer->use = g_hash_table_ref(news->use);
	peer->waiters = g_array_ref(news->waiters);
	peer->arrivals_per_s = news->arrivals_per_s;
	peer->incarnation = news->incarnation;
	peer->sequence = news->sequence;
	peer->heard_us = now_us;
	count(occupancy, peer, true);
	tell_of_servers(occupancy, news);
}
