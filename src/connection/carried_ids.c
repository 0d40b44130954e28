#include "connection/carried_ids.h"

#include <stdint.h>
#include <xxhash.h>

static uint32_t hash_of(str_t id)
{
	return (uint32_t)XXH64(id.data, id.len, 0);
}

/* Sets up the IDs of a connection that has carried none. */
void carried_ids_init(carried_ids_t *ids)
{
	ids->hashes = g_array_new(FALSE, FALSE, sizeof(uint32_t));
}

/* Frees the IDs. */
void carried_ids_finish(carried_ids_t *ids)
{
	g_clear_pointer(&ids->hashes, g_array_unref);
}

/* Returns whether the connection has carried an ID. It may say so of one that it has not
 * carried, rarely.
 */
bool carried_ids_contains(const carried_ids_t *ids, str_t id)
{
	uint32_t hash = hash_of(id);

	for (guint i = 0; i < ids->hashes->len; i++) {
		if (g_array_index(ids->hashes, uint32_t, i) == hash)
			return true;
	}
	return false;
}

/* Returns whether the connection may carry no further ID. */
bool carried_ids_is_full(const carried_ids_t *ids)
{
	return ids->hashes->len >= CARRIED_IDS_MAX;
}

/* Adds an ID that the connection carries from now on. */
void carried_ids_add(carried_ids_t *ids, str_t id)
{
	uint32_t hash = hash_of(id);

	g_array_append_val(ids->hashes, hash);
}
