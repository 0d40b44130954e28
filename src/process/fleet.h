/* The serve processes of a deployment: sends and answers the probes of the
 * membership state machine by RPC.
 */
#ifndef PROCESS_FLEET_H
#define PROCESS_FLEET_H

#include "connection/rpc.h"
#include "process/alarm.h"
#include "process/member.h"
#include "process/settings.h"

/* Each may be NULL. The members are valid during the call only. */
typedef struct {
	/* A member has appeared or changed its state. */
	member_change_fn_t changed;
	/* A member itself has told its configuration version and manifest. */
	void (*heard)(void *context, const member_t *member);
	/* A newer process has this VM's name; this one is to end. */
	void (*superseded)(void *context);
	void *context;
} fleet_callbacks_t;

typedef struct {
	rpc_t *rpc; /* borrowed */
	clock_source_t clock;
	members_t members;
	GRand *rand;
	alarm_t alarm;
	GHashTable *calls; /* contexts of calls in progress, owned */
	fleet_callbacks_t callbacks;
	bool superseded;
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
