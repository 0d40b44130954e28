#include "process/decide/zone_forwarders.h"

#include "process/str.h"

/* VMs of another zone from which on one of them forwards to the others. With fewer,
 * a VM that does not forward would matter more than the datagrams that are saved.
 */
#define MIN_ZONE_PEERS 4

/* Other zones in which VMs forward; those of further zones get each announcement
 * from its sender.
 */
#define MAX_ZONES 32

/* Another availability zone. */
typedef struct {
	const char *name;
	size_t peers; /* VMs that can forward there */
	size_t heard; /* those that likely run */
	size_t passed; /* of these, while one of them is chosen */
} zone_t;

/* The other zones, as far as there is room. */
typedef struct {
	zone_t zones[MAX_ZONES];
	size_t n;
} zones_t;

/* Returns the entry of a zone, and adds it where it is missing. NULL for the own
 * zone, for none and if there is no room.
 */
static zone_t *get_zone(zones_t *zones, const char *own_zone, const char *name)
{
	if (!*name || g_str_equal(name, own_zone))
		return NULL;
	for (size_t i = 0; i < zones->n; i++) {
		if (g_str_equal(zones->zones[i].name, name))
			return &zones->zones[i];
	}
	if (zones->n == MAX_ZONES)
		return NULL;
	zones->zones[zones->n] = (zone_t){.name = name};
	return &zones->zones[zones->n++];
}

/* Chooses how a VM of a zone gets an announcement. */
static zone_send_t choose(zone_t *zone, bool heard, uint32_t turn)
{
	if (!zone || zone->peers < MIN_ZONE_PEERS || zone->heard == 0)
		return ZONE_SEND;
	if (heard && zone->passed++ == turn % zone->heard)
		return ZONE_SEND_TO_FORWARD;
	return ZONE_FORWARDED;
}

/* Chooses how each of `n` VMs gets an announcement, in `sends`. `turn` increases with each
 * announcement, from another start at each sender, so that the VMs take turns and those
 * that announce at the same time choose different ones.
 */
void zone_forwarders_choose(const char *own_zone, const zone_peer_t *peers,
			    size_t n, uint32_t turn, zone_send_t *sends)
{
	zones_t zones = {.n = 0};

	for (size_t i = 0; i < n; i++) {
		zone_t *zone = get_zone(&zones, own_zone, peers[i].zone);

		if (!zone)
			continue;
		zone->peers++;
		zone->heard += peers[i].heard ? 1 : 0;
	}
	for (size_t i = 0; i < n; i++)
		sends[i] = choose(get_zone(&zones, own_zone, peers[i].zone),
				  peers[i].heard, turn);
}
