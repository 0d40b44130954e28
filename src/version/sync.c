#include "version/sync.h"

#include <xxhash.h>

#include "request/retry.h"

static bool is_same(const sync_version_t *a, const sync_version_t *b)
{
	return a->version == b->version && !strcmp(a->hash, b->hash);
}

/* A random time within bounds. */
static int64_t jitter(sync_t *sync, int64_t low_us, int64_t high_us)
{
	uint64_t span = (uint64_t)(high_us - low_us + 1);

	return low_us + (int64_t)(retry_random(&sync->seed) % span);
}

/* The reader polls often, around SYNC_POLL_US; the others seldom. */
static void draw_poll_wait(sync_t *sync)
{
	if (sync->is_reader)
		sync->poll_wait_us = jitter(sync, SYNC_POLL_US * 3 / 4,
					    SYNC_POLL_US * 5 / 4);
	else
		sync->poll_wait_us =
			jitter(sync, SYNC_QUIET_US, SYNC_QUIET_MAX_US);
}

/* Sets up a member that knows no version and polls at once. */
void sync_init(sync_t *sync, const char *vm, uint64_t seed, int64_t now_us)
{
	memset(sync, 0, sizeof(*sync));
	g_strlcpy(sync->vm, vm, sizeof(sync->vm));
	sync->seed = seed;
	sync->polled_us = now_us - SYNC_QUIET_MAX_US;
	draw_poll_wait(sync);
}

static uint64_t weight(const char *key, const char *vm)
{
	return XXH64(vm, strlen(vm), XXH64(key, strlen(key), 0));
}

/*
 * Rendezvous hashing: tells whether this VM has the highest weight for a key.
 * Names break ties. When a VM joins or leaves, only its own keys move.
 */
bool sync_wins(const char *key, const char *vm, const char *const *vms,
	       size_t n_vms)
{
	uint64_t own = weight(key, vm);

	for (size_t i = 0; i < n_vms; i++) {
		uint64_t other = weight(key, vms[i]);

		if (other > own || (other == own && strcmp(vms[i], vm) > 0))
			return false;
	}
	return true;
}

/*
 * Takes the live members of the own zone; this VM may be among them. Members
 * with different views may make two readers or none for a while: two are
 * harmless, and without one the others poll after the quiet time.
 */
void sync_set_zone(sync_t *sync, const char *const *vms, size_t n_vms)
{
	bool wins = sync_wins("config-reader", sync->vm, vms, n_vms);

	if (wins == sync->is_reader)
		return;
	sync->is_reader = wins;
	draw_poll_wait(sync);
}

static void raise_target(sync_t *sync, const sync_version_t *version,
			 bool polled)
{
	if (version->version > sync->target.version) {
		sync->target = *version;
		sync->target_polled = polled;
		sync->retries = 0;
		sync->retry_us = 0;
	} else if (polled && is_same(version, &sync->target)) {
		sync->target_polled = true;
	}
}

/* Puts a version into effect that did not come through a fetch, such as one
 * from a file. It is not confirmed.
 */
void sync_set_current(sync_t *sync, const sync_version_t *version)
{
	if (version->version <= sync->current.version)
		return;
	sync->current = *version;
	raise_target(sync, version, false);
}

static sync_peer_t *find_peer(sync_t *sync, const char *address)
{
	for (size_t i = 0; i < sync->n_peers; i++) {
		if (!strcmp(sync->peers[i].address, address))
			return &sync->peers[i];
	}
	return NULL;
}

/* Entry for a peer; the one that was heard longest ago makes room. */
static sync_peer_t *take_peer(sync_t *sync, const char *address)
{
	sync_peer_t *peer = find_peer(sync, address);

	if (peer)
		return peer;
	if (sync->n_peers < SYNC_PEERS) {
		peer = &sync->peers[sync->n_peers++];
	} else {
		peer = &sync->peers[0];
		for (size_t i = 1; i < SYNC_PEERS; i++) {
			if (sync->peers[i].heard_us < peer->heard_us)
				peer = &sync->peers[i];
		}
	}
	memset(peer, 0, sizeof(*peer));
	g_strlcpy(peer->address, address, sizeof(peer->address));
	return peer;
}

static void confirm(sync_t *sync, int64_t at_us)
{
	if (at_us > sync->confirmed_us)
		sync->confirmed_us = at_us;
}

/*
 * Takes what a peer says about its version in effect. Messages may be late or
 * out of order, so a lower version than the peer's known one is dropped. The
 * age is the time since the peer's version was confirmed; without it, hearing
 * from a peer counts as confirmation.
 */
void sync_hear(sync_t *sync, const char *address, bool same_zone,
	       const sync_version_t *version, int64_t age_us, int64_t now_us)
{
	sync_peer_t *peer = take_peer(sync, address);

	peer->same_zone = same_zone;
	if (version->version > peer->version.version) {
		peer->version = *version;
		peer->confirmed_us = 0;
		peer->failures = 0;
	}
	peer->heard_us = now_us;
	if (version->version == 0)
		return;
	raise_target(sync, version, false);
	if (is_same(version, &peer->version))
		peer->confirmed_us = MAX(peer->confirmed_us,
					 age_us < 0 ? now_us : now_us - age_us);
	if (is_same(version, &sync->current))
		confirm(sync, peer->confirmed_us);
}

/* Takes the end of a poll. */
void sync_polled(sync_t *sync, sync_poll_t result,
		 const sync_version_t *version, int64_t now_us)
{
	sync->polling = false;
	sync->polled_us = now_us;
	draw_poll_wait(sync);
	if (result != SYNC_POLL_FOUND)
		return;
	sync->polled = *version;
	raise_target(sync, version, true);
	if (is_same(version, &sync->current))
		confirm(sync, now_us);
}

/* Returns to the version that the platform has. The one that is
 * given up becomes the target again when a peer tells of it again.
 */
static void give_up_target(sync_t *sync)
{
	bool polled = sync->polled.version > sync->current.version;

	sync->target = polled ? sync->polled : sync->current;
	sync->target_polled = polled;
	sync->retries = 0;
}

/*
 * Takes the end of a fetch. Returns true when the fetched version is now in
 * effect, which needs a higher version than the one before.
 */
bool sync_fetched(sync_t *sync, bool ok, int64_t now_us)
{
	static const retry_backoff_t backoff = {SYNC_RETRY_US,
						SYNC_RETRY_MAX_US};

	sync->fetching = false;
	if (!ok) {
		sync->retry_us = now_us + retry_backoff_us(&backoff,
							   sync->retries++,
							   &sync->seed);
		if (sync->retries >= SYNC_GIVE_UP && !sync->target_polled)
			give_up_target(sync);
		return false;
	}
	sync->retries = 0;
	sync->retry_us = 0;
	if (sync->fetched.version <= sync->current.version)
		return false;
	sync->current = sync->fetched;
	/* The version was read from the platform, by this VM, a moment ago. */
	if (sync->target_polled && is_same(&sync->current, &sync->target))
		confirm(sync, sync->polled_us);
	for (size_t i = 0; i < sync->n_peers; i++) {
		if (is_same(&sync->peers[i].version, &sync->current))
			confirm(sync, sync->peers[i].confirmed_us);
	}
	return true;
}

/* A peer did not deliver an object; others are asked first from now on. */
void sync_peer_failed(sync_t *sync, const char *address)
{
	sync_peer_t *peer = find_peer(sync, address);

	if (peer)
		peer->failures++;
}

static bool is_candidate(const sync_t *sync, const sync_peer_t *peer,
			 int64_t now_us)
{
	return is_same(&peer->version, &sync->target) &&
	       now_us - peer->heard_us <= SYNC_PEER_AGE_US;
}

static bool is_better(const sync_peer_t *a, const sync_peer_t *b)
{
	if (!b || a->failures != b->failures)
		return !b || a->failures < b->failures;
	if (a->same_zone != b->same_zone)
		return a->same_zone;
	return a->heard_us > b->heard_us;
}

static bool is_listed(const sync_action_t *action, const sync_peer_t *peer)
{
	for (size_t i = 0; i < action->n_peers; i++) {
		if (action->peers[i] == peer->address)
			return true;
	}
	return false;
}

static void list_candidates(const sync_t *sync, sync_action_t *action,
			    int64_t now_us)
{
	while (action->n_peers < SYNC_CANDIDATES) {
		const sync_peer_t *best = NULL;

		for (size_t i = 0; i < sync->n_peers; i++) {
			const sync_peer_t *peer = &sync->peers[i];

			if (is_candidate(sync, peer, now_us) &&
			    !is_listed(action, peer) && is_better(peer, best))
				best = peer;
		}
		if (!best)
			return;
		action->peers[action->n_peers++] = best->address;
	}
}

static bool wants_fetch(const sync_t *sync)
{
	return !sync->fetching && sync->target.version > sync->current.version;
}

/* When the next poll is due. */
static int64_t poll_due_us(const sync_t *sync)
{
	int64_t since_us = sync->polled_us;

	if (!sync->is_reader && sync->current.version > 0)
		since_us = MAX(since_us, sync->confirmed_us);
	return since_us + sync->poll_wait_us;
}

/*
 * Returns what to do now. Until it returns SYNC_WAIT it may be called again;
 * a poll and a fetch can be under way at the same time.
 */
sync_action_t sync_step(sync_t *sync, int64_t now_us)
{
	sync_action_t action = {.kind = SYNC_WAIT};

	if (wants_fetch(sync) && now_us >= sync->retry_us) {
		sync->fetching = true;
		sync->fetched = sync->target;
		action.kind = SYNC_FETCH;
		action.version = sync->target;
		action.platform_first = sync->target_polled && sync->is_reader;
		list_candidates(sync, &action, now_us);
	} else if (!sync->polling && now_us >= poll_due_us(sync)) {
		sync->polling = true;
		action.kind = SYNC_POLL;
	}
	return action;
}

/* When sync_step() has to be called again, unless something is heard before
 * or a poll or fetch ends. INT64_MAX: not before that.
 */
int64_t sync_next_us(const sync_t *sync)
{
	int64_t next_us = INT64_MAX;

	if (!sync->polling)
		next_us = poll_due_us(sync);
	if (wants_fetch(sync))
		next_us = MIN(next_us, sync->retry_us);
	return next_us;
}

/* Time since the version in effect was known to be the platform's, or
 * SYNC_AGE_UNKNOWN.
 */
int64_t sync_age_us(const sync_t *sync, int64_t now_us)
{
	if (sync->confirmed_us == 0)
		return SYNC_AGE_UNKNOWN;
	return now_us - sync->confirmed_us;
}
