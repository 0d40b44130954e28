/* Announcements between entry VMs: each router tells its peers how much of the
 * backend servers it uses, in one-way ONC RPC calls over UDP.
 */
#ifndef CONNECTION_ANNOUNCE_H
#define CONNECTION_ANNOUNCE_H

#include <gio/gio.h>

#include "process/alarm.h"
#include "process/decide/occupancy.h"

/* Socket and peers of one router's announcements. */
typedef struct {
	const char *vm; /* name of this VM */
	const char *zone; /* its availability zone; empty: not known. Set by the
			     owner */
	bool forwards; /* it forwards announcements in its zone. Set by the
			  owner */
	uint64_t incarnation; /* greater after each restart */
	clock_source_t clock;
	occupancy_t *occupancy;
	void (*on_announcement)(void *context); /* after receiving; or NULL */
	void *context;
	GSocket *socket;
	GSource *source;
	GHashTable *peers; /* VM name to announce_peer_t */
	bool full; /* a peer had no room since one was last removed */
	GHashTable *new_until; /* name of a VM whose process has just started, to
				  an int64_t time */
	alarm_t next_send;
	int64_t workloads_at_us; /* the next announcement from then on holds the
				    observations of services */
	int64_t new_peers_until_us; /* some peers have just started */
	uint32_t sequence; /* number of the last announcement */
	uint64_t sent; /* datagrams, with forwarded ones */
	uint64_t forwarded; /* datagrams */
	uint64_t received; /* datagrams, with malformed ones */
	uint64_t malformed; /* datagrams */
} announce_t;

bool announce_init(announce_t *announce, const char *address,
		   clock_source_t clock, const char *vm, uint64_t incarnation,
		   occupancy_t *occupancy);
void announce_finish(announce_t *announce);
void announce_set_peer(announce_t *announce, const char *vm,
		       const char *address);
const char *announce_peer_address(const announce_t *announce, const char *vm);
void announce_remove_peer(announce_t *announce, const char *vm);
const char *announce_longest_silent_peer(const announce_t *announce,
					 int64_t now_us, int64_t min_silent_us);
void announce_set_new_until(announce_t *announce, const char *vm,
			    int64_t until_us);
void announce_schedule(announce_t *announce);
void announce_schedule_whole(announce_t *announce);

bool announce_encode(const announce_t *announce, const GArray *origins,
		     int64_t now_us, char *out, size_t size, size_t *len);
bool announce_decode(occupancy_t *occupancy, const char *data, size_t len,
		     int64_t now_us);
bool announce_asks_to_forward(const char *data, size_t len);
void announce_ask_to_forward(char *data, bool ask);

#endif
