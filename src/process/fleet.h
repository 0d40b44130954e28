/* Membership of the serve processes of a deployment: sends the probes that the
 * membership state machine (process/member.h) asks for by RPC and answers those
 * of other processes.
 */
#ifndef PROCESS_FLEET_H
#define PROCESS_FLEET_H

#include "connection/rpc.h"
#include "process/alarm.h"
#include "process/member.h"
#include "process/settings.h"

/* Each callback may be NULL. A member is valid during the call only. */
typedef struct {
	/* A member has appeared or changed its state. */
	member_change_fn_t changed;
	/* A live member has sent a heartbeat, so that its configuration version
	 * and manifest hash are those that it reports itself.
	 */
	void (*heartbeat_received)(void *context, const member_t *member);
	/* A newer process uses this VM's name; this one has to end. */
	void (*superseded)(void *context);
	void *context;
} fleet_callbacks_t;

/* The own process's view of the members. */
typedef struct {
	rpc_t *rpc; /* borrowed */
	clock_source_t clock;
	members_t members;
	GRand *rand;
	alarm_t alarm; /* next step of the state machine */
	GHashTable *calls; /* set of probe_call_t in progress, owned */
	fleet_callbacks_t callbacks;
	bool superseded; /* reported already */
} fleet_t;

void fleet_init(fleet_t *fleet, const settings_t *settings, rpc_t *rpc,
		clock_source_t clock, const fleet_callbacks_t *callbacks);
void fleet_finish(fleet_t *fleet);
void fleet_set_config(fleet_t *fleet, uint64_t config_version,
		      const uint8_t manifest[MEMBER_HASH_BYTES]);
void fleet_set_vm_list(fleet_t *fleet, const member_info_t *vms, size_t n);
void fleet_leave(fleet_t *fleet, member_state_t state);
const member_t *fleet_owner(const fleet_t *fleet, const char *zone, str_t key);
const member_t *fleet_successor(const fleet_t *fleet, const char *zone,
				str_t key);
bool fleet_is_self(const fleet_t *fleet, const member_t *member);
const char *fleet_address_of(const fleet_t *fleet, const char *vm);

#endif
