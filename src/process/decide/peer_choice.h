/* Which other VM is asked to serve a request for a service that this VM does not
 * reach. Pure: no clock, no I/O.
 */
#ifndef PROCESS_PEER_CHOICE_H
#define PROCESS_PEER_CHOICE_H

#include "process/decide/occupancy.h"
#include "process/decide/server_set.h"

/* Most VMs that one request is passed on to. */
#define PEER_TRIES_MAX 2

/* VMs that a request was passed on to already. */
typedef struct {
	char *vms[PEER_TRIES_MAX];
	unsigned n;
} peer_tries_t;

void peer_tries_add(peer_tries_t *tries, const char *vm);
void peer_tries_finish(peer_tries_t *tries);

bool peer_reaches(const occupancy_peer_t *peer, const server_set_t *servers,
		  const char *service);
occupancy_peer_t *peer_choose(const occupancy_t *occupancy,
			      const server_set_t *servers, const char *service,
			      const peer_tries_t *tries, int64_t now_us);

#endif
