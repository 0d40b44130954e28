/* Which VMs get an announcement from its sender, and which ones forward it to the
 * others of their availability zone, so that it crosses from one zone to another
 * once and not for each VM. Each announcement goes another way, so that a VM which
 * does not forward delays a share of them only. Pure: no clock, no I/O.
 */
#ifndef PROCESS_ZONE_FORWARDERS_H
#define PROCESS_ZONE_FORWARDERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Another VM, as its announcements show it. */
typedef struct {
	const char *zone; /* in which it forwards; empty: in none */
	bool heard; /* lately, so that it likely runs */
} zone_peer_t;

/* How an announcement reaches a VM. */
typedef enum {
	ZONE_SEND, /* from its sender */
	ZONE_SEND_TO_FORWARD, /* from its sender, and the VM forwards it */
	ZONE_FORWARDED, /* by another VM of its zone */
} zone_send_t;

void zone_forwarders_choose(const char *own_zone, const zone_peer_t *peers,
			    size_t n, uint32_t turn, zone_send_t *sends);

#endif
