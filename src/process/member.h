/* Membership of the entry VMs of a deployment: a failure detector with gossip
 * in the style of SWIM, as a state machine without sockets and clock. The
 * caller sends the messages that member_tick() returns and passes in the
 * messages that arrive.
 */
#ifndef PROCESS_MEMBER_H
#define PROCESS_MEMBER_H

#include <stdint.h>

#include "process/clock.h"
#include "process/str.h"

#define MEMBER_NAME_SIZE 65
#define MEMBER_ADDRESS_SIZE 49
#define MEMBER_HASH_BYTES 32

/* Updates in each message. Fixed, so that the size of a message doesn't grow
 * with the number of members.
 */
#define MEMBER_UPDATES_MAX 6
/* One member is probed in each period. With 8 members, a dead one is first
 * probed after 0.3 s on average; four messages of about 400 bytes in each
 * period stay below 10 KB/s.
 */
#define MEMBER_PROBE_PERIOD_US (500 * CLOCK_US_PER_MS)
/* Wait for a direct answer before helpers are asked to probe the target. */
#define MEMBER_DIRECT_WAIT_US (200 * CLOCK_US_PER_MS)
/* Members that are asked to probe a target that hasn't answered. */
#define MEMBER_HELPERS_MAX 3
/* Probe periods from suspicion to removal, to be multiplied by log10 of the
 * number of members (at least 1).
 */
#define MEMBER_SUSPECT_PERIODS 4
/* Interval of pings to addresses that no live member has: contacts from the
 * settings, entries of the VM list, and dead members, to rejoin them after a
 * partition.
 */
#define MEMBER_CONTACT_PERIOD_US (5 * CLOCK_US_PER_S)
/* Interval of pings while a process joins. */
#define MEMBER_JOIN_PERIOD_US (100 * CLOCK_US_PER_MS)
/* Time that a dead member is remembered, so that late updates don't bring it
 * back.
 */
#define MEMBER_DEAD_KEPT_US (600 * CLOCK_US_PER_S)
/* A tick that comes later than expected by this much shows that this process
 * was paused.
 */
#define MEMBER_PAUSE_MIN_US (500 * CLOCK_US_PER_MS)
#define MEMBER_MAX 2000
#define MEMBER_CONTACTS_MAX 256
#define MEMBER_ACTIONS_MAX 8

/* State of a member. The order matters: of two updates with equal incarnation
 * and refutation, the one with the higher state applies.
 */
typedef enum {
	MEMBER_ALIVE,
	MEMBER_LEAVING, /* answers, but owns no keys */
	MEMBER_SUSPECT,
	MEMBER_DEAD,
	MEMBER_LEFT, /* ended as planned */
} member_state_t;

/* An update about a member, as members send it to each other. */
typedef struct {
	char vm[MEMBER_NAME_SIZE];
	char zone[MEMBER_NAME_SIZE];
	char address[MEMBER_ADDRESS_SIZE]; /* IP:port of the RPC socket */
	uint64_t incarnation; /* identifies a process; a later one is higher */
	uint32_t refutation; /* raised by the member to refute a suspicion */
	member_state_t state;
} member_info_t;

/* What is known of a member. */
typedef struct {
	member_info_t info;
	bool leaving; /* according to the member itself or the VM list */
	uint64_t config_version; /* from the last message of the member */
	uint8_t manifest[MEMBER_HASH_BYTES];
	int64_t last_message_us; /* arrival; 0: none */
	int64_t state_end_us; /* end of suspicion or of a dead record */
	unsigned times_sent; /* as a new update, since the last change */
} member_t;

/* Content of a heartbeat and of its answer. */
typedef struct {
	member_info_t self;
	uint64_t config_version;
	uint8_t manifest[MEMBER_HASH_BYTES];
	member_info_t updates[MEMBER_UPDATES_MAX];
	size_t n_updates;
} member_message_t;

/* Kind of message to send. */
typedef enum {
	MEMBER_PING, /* send a heartbeat to address */
	MEMBER_PING_REQ, /* ask the member at address to probe the target */
} member_action_kind_t;

/* A message that the caller has to send. */
typedef struct {
	uint64_t probe; /* id to hand back with the answer; 0: no probe */
	int64_t deadline_us;
	member_action_kind_t kind;
	char address[MEMBER_ADDRESS_SIZE];
	char vm[MEMBER_NAME_SIZE]; /* probed VM; empty if this is no probe */
	char target[MEMBER_ADDRESS_SIZE]; /* MEMBER_PING_REQ only */
} member_action_t;

/* Returns a random number of 32 bits. */
typedef uint32_t (*member_random_fn_t)(void *context);
/* Called after a member was added or changed its state or its leaving mark;
 * before is MEMBER_LEFT for an added member.
 */
typedef void (*member_change_fn_t)(void *context, const member_t *member,
				   member_state_t before);

/* The probe in progress. */
typedef struct {
	uint64_t id;
	bool active;
	bool direct_wait_ended; /* helpers were asked if there are any */
	bool helper_asked;
	bool helper_answered; /* whether it reached the target or not */
	int64_t direct_end_us; /* when helpers are asked */
	int64_t end_us; /* when the probe fails */
	char vm[MEMBER_NAME_SIZE];
} member_probe_t;

/* All members, as this process knows them. */
typedef struct {
	member_t self;
	bool superseded; /* a newer process has this VM's name */
	member_random_fn_t random;
	member_change_fn_t changed; /* may be NULL */
	void *context;
	GHashTable *by_vm; /* VM name to member_t, owned; without self */
	GPtrArray *list; /* of member_t, borrowed, in probing order */
	GPtrArray *contact_addresses; /* of char *, owned; from the settings */
	GPtrArray *vm_list_addresses; /* of char *, owned; from the VM list */
	guint probe_index; /* of the next member to probe, in list */
	guint fill_index; /* of the next member to add to a message, in list */
	uint64_t last_probe_id;
	member_probe_t probe;
	unsigned local_health_penalty; /* lengthens waits; 0: none */
	int64_t next_probe_us; /* start of the next probe period */
	int64_t next_contact_us; /* next ping of a contact */
	int64_t next_join_us; /* next ping while joining */
	int64_t expected_tick_us; /* due time of the next member_tick() */
	unsigned join_stale_answers; /* answers in a row without a new update */
	uint64_t updates_applied; /* updates that changed what is known */
} members_t;

void member_init(members_t *members, const member_info_t *self,
		 member_random_fn_t random, member_change_fn_t changed,
		 void *context, int64_t now_us);
void member_finish(members_t *members);
void member_add_contact(members_t *members, const char *address);
void member_set_vm_list(members_t *members, const member_info_t *vms, size_t n);
void member_set_config(members_t *members, uint64_t config_version,
		       const uint8_t manifest[MEMBER_HASH_BYTES]);
void member_set_own_state(members_t *members, member_state_t state);
size_t member_tick(members_t *members, int64_t now_us,
		   member_action_t actions[MEMBER_ACTIONS_MAX]);
size_t member_announce(members_t *members, int64_t now_us,
		       member_action_t actions[MEMBER_ACTIONS_MAX]);
int64_t member_next_tick_us(const members_t *members);
void member_fill_message(members_t *members, const char *to_vm,
			 member_message_t *message);
void member_receive(members_t *members, int64_t now_us,
		    const member_message_t *message);
void member_receive_ack(members_t *members, int64_t now_us, uint64_t probe,
			const member_message_t *message);
void member_receive_indirect_result(members_t *members, uint64_t probe,
				    bool reached);
const member_t *member_find(const members_t *members, const char *vm);
bool member_is_live(const member_t *member);
size_t member_count_live(const members_t *members);
uint64_t member_key(str_t name);
const member_t *member_owner(const members_t *members, const char *zone,
			     uint64_t key);
const member_t *member_successor(const members_t *members, const char *zone,
				 uint64_t key);

#endif
