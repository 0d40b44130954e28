#include "process/decide/list_readers.h"

#include "process/clock.h"

/* How long a reader that failed is not asked again. */
#define AVOIDED_US (10 * CLOCK_US_PER_S)

/* Constants of the hash FNV-1a with 64 bits, and of its final mix. */
#define FNV_OFFSET UINT64_C(0xcbf29ce484222325)
#define FNV_PRIME UINT64_C(0x100000001b3)
#define MIX_FACTOR UINT64_C(0xff51afd7ed558ccd)

/* A VM that may be a reader. */
typedef struct {
	const char *vm; /* borrowed */
	uint64_t rank; /* those with the lowest ranks are the readers */
} candidate_t;

/* Sets up an object that avoids no reader. */
void list_readers_init(list_readers_t *readers)
{
	readers->avoided =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees what the object owns. */
void list_readers_finish(list_readers_t *readers)
{
	g_clear_pointer(&readers->avoided, g_hash_table_unref);
}

/* Returns how many of a number of VMs are readers. */
unsigned list_readers_count(unsigned vms)
{
	return MIN(vms, MAX(LIST_READERS_MIN, vms / LIST_READERS_SHARE));
}

/* Returns a hash of a name, which spreads names that differ in their end only. */
static uint64_t hash_name(const char *name, uint64_t seed)
{
	uint64_t hash = FNV_OFFSET ^ seed;

	for (; *name; name++)
		hash = (hash ^ (unsigned char)*name) * FNV_PRIME;
	hash = (hash ^ (hash >> 33)) * MIX_FACTOR;
	return hash ^ (hash >> 33);
}

static gint compare_ranks(gconstpointer a, gconstpointer b)
{
	const candidate_t *left = a;
	const candidate_t *right = b;

	if (left->rank != right->rank)
		return left->rank < right->rank ? -1 : 1;
	return strcmp(left->vm, right->vm);
}

static void add_candidate(GArray *candidates, const char *vm)
{
	candidate_t candidate = {.vm = vm, .rank = hash_name(vm, 0)};

	g_array_append_val(candidates, candidate);
}

/* Returns this VM and the peers that are heard, readers first; freed with
 * g_array_unref().
 */
static GArray *list_candidates(const occupancy_t *occupancy, const char *vm,
			       int64_t now_us)
{
	GArray *candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	GHashTableIter iter;
	gpointer value;

	add_candidate(candidates, vm);
	g_hash_table_iter_init(&iter, occupancy->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const occupancy_peer_t *peer = value;

		if (now_us - peer->received_us <= occupancy->peer_ttl_us)
			add_candidate(candidates, peer->vm);
	}
	g_array_sort(candidates, compare_ranks);
	return candidates;
}

static bool is_avoided(const list_readers_t *readers, const char *reader,
		       int64_t now_us)
{
	const int64_t *until_us = g_hash_table_lookup(readers->avoided, reader);

	return until_us && now_us < *until_us;
}

/* Returns the reader from which `vm`, this VM, has the list passed on, borrowed from
 * `occupancy`; NULL if it is to read the store itself: it is a reader whose own reads do
 * not fail, or all readers have failed lately.
 */
const char *list_readers_choose(list_readers_t *readers,
				const occupancy_t *occupancy, const char *vm,
				bool reads_fail, int64_t now_us)
{
	GArray *candidates = list_candidates(occupancy, vm, now_us);
	unsigned n = list_readers_count(candidates->len);
	uint64_t own = hash_name(vm, 0);
	uint64_t least = UINT64_MAX;
	const char *chosen = NULL;

	for (unsigned i = 0; i < n; i++) {
		const candidate_t *reader =
			&g_array_index(candidates, candidate_t, i);
		uint64_t rank = hash_name(reader->vm, own);

		if (reader->vm == vm && !reads_fail) {
			chosen = NULL;
			break;
		}
		if (reader->vm == vm || rank >= least ||
		    is_avoided(readers, reader->vm, now_us))
			continue;
		least = rank;
		chosen = reader->vm;
	}
	g_array_unref(candidates);
	return chosen;
}

/* Asks another reader for the next seconds, as this one has failed. */
void list_readers_avoid(list_readers_t *readers, const char *reader,
			int64_t now_us)
{
	int64_t until_us = now_us + AVOIDED_US;

	g_hash_table_replace(readers->avoided, g_strdup(reader),
			     g_memdup2(&until_us, sizeof(until_us)));
}
