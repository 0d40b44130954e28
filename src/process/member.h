/* Membership of the serve processes of a deployment: a state machine in the
 * style of SWIM. It has no sockets and no clock; the caller sends what
 * member_tick() asks for and hands in what arrives.
 */
#ifndef PROCESS_MEMBER_H
#define PROCESS_MEMBER_H

#include <stdint.h>

#include "process/clock.h"
#include "process/str.h"

#define MEMBER_NAME_SIZE 65
#define MEMBER_ADDRESS_SIZE 49
#define MEMBER_HASH_BYTES 32

/* Updates in each message, whatever the number of members. */
#define MEMBER_UPDATES_MAX 6
/* One probe in each period: a dead member of 8 is first probed after 0.3 s on
 * average, and four messages of about 400 bytes a period stay below 10 KB/s.
 */
#define MEMBER_PROBE_PERIOD_US (500 * CLOCK_US_PER_MS)
/* Wait for a direct answer before others are asked. */
#define MEMBER_DIRECT_WAIT_US (200 * CLOCK_US_PER_MS)
#define MEMBER_HELPERS_MAX 3
/* Periods between suspicion and removal, times log10 of the members. */
#define MEMBER_SUSPECT_PERIODS 4
/* Probe of an address that is not a live member: first contact_addresses, dead members
 * (to rejoin after a partition) and the VM list.
 */
#define MEMBER_CONTACT_PERIOD_US (5 * CLOCK_US_PER_S)
#define MEMBER_JOIN_PERIOD_US (100 * CLOCK_US_PER_MS)
/* Dead members are remembered, so that late updates do not revive them. */
#define MEMBER_DEAD_KEPT_US (600 * CLOCK_US_PER_S)
/* A tick that is later than this shows that the own process was paused. */
#define MEMBER_PAUSE_MIN_US (500 * CLOCK_US_PER_MS)
#define MEMBER_MAX 2000
#define MEMBER_CONTACTS_MAX 256
#define MEMBER_ACTIONS_MAX 8

/* By rank: of two statements with equal incarnation and refutation, the one
 * with the higher state holds.
 */
typedef enum {
	MEMBER_ALIVE,
	MEMBER_LEAVING, /* answers, but gets no new roles */
	MEMBER_SUSPECT,
	MEMBER_DEAD,
	MEMBER_LEFT, /* ended on purpose */
} member_state_t;

/* A statement about a member, as it is passed on. */
typedef struct {
	char vm[MEMBER_NAME_SIZE];
	char zone[MEMBER_NAME_SIZE];
	char address[MEMBER_ADDRESS_SIZE]; /* IP:port of the RPC socket */
	uint64_t incarnation; /* of the process */
	uint32_t refutation; /* raised to contradict a suspicion */
	member_state_t state;
} member_info_t;

typedef struct {
	member_info_t info;
	bool leaving; /* by its own statement or by the VM list */
	uint64_t config_version; /* last heard from the member itself */
	uint8_t manifest[MEMBER_HASH_BYTES];
	int64_t last_message_us; /* last direct message; 0: none */
	int64_t state_end_us; /* suspicion, or keeping of a dead member */
	unsigned times_sent; /* times this statement was sent */
} member_t;

/* Content of a heartbeat and of its answer. */
typedef struct {
	member_info_t self;
	uint64_t config_version;
	uint8_t manifest[MEMBER_HASH_BYTES];
	member_info_t updates[MEMBER_UPDATES_MAX];
	size_t n_updates;
} member_message_t;

typedef enum {
	MEMBER_PING, /* send a heartbeat to address */
	MEMBER_PING_REQ, /* ask the member at address to probe the target */
} member_action_kind_t;

typedef struct {
	uint64_t probe; /* for member_receive_ack() and member_receive_indirect_result() */
	int64_t deadline_us;
	member_action_kind_t kind;
	char address[MEMBER_ADDRESS_SIZE];
	char vm[MEMBER_NAME_SIZE]; /* target; empty for a contact */
	char target[MEMBER_ADDRESS_SIZE]; /* MEMBER_PING_REQ only */
} member_action_t;

/* Returns a random number of 32 bits. */
typedef uint32_t (*member_random_fn_t)(void *context);
/* Called after a member has appeared or changed its state. */
typedef void (*member_change_fn_t)(void *context, const member_t *member,
				   member_state_t before);

/* The probe in progress. */
typedef struct {
	uint64_t id;
	bool active;
	bool relayed; /* others have been asked */
	bool asked; /* there was a helper to ask */
	bool helper_answered; /* a helper answered, whatever it found */
	int64_t direct_end_us; /* end of the direct wait */
	int64_t end_us;
	char vm[MEMBER_NAME_SIZE];
} member_probe_t;

typedef struct {
	member_t self;
	bool superseded; /* a newer process has this VM's name */
	member_random_fn_t random;
	member_change_fn_t changed; /* may be NULL */
	void *context;
	GHashTable *by_vm; /* name to member_t, owned; without self */
	GPtrArray *list; /* of member_t, in probing order */
	GPtrArray *contact_addresses; /* of char *, owned; from the settings */
	GPtrArray *vm_list_addresses; /* of char *, owned; from the VM list */
	guint probe_index; /* index in list */
	guint fill_index; /* index in list */
	uint64_t last_probe_id;
	member_probe_t probe;
	unsigned local_health_penalty; /* own trouble: 0 (none) to LOCAL_HEALTH_PENALTY_MAX */
	int64_t next_probe_us; /* start of the next probe */
	int64_t next_contact_us; /* next probe of a contact */
	int64_t next_join_us; /* next ping while joining */
	int64_t expected_tick_us; /* when member_tick() was last told to be called */
	unsigned join_stale_answers; /* answers in a row that taught nothing */
	uint64_t updates_applied; /* statements that were new */
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
