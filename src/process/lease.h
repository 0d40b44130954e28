/* A lease over a row of the platform's table: a state machine without sockets
 * and clock.
 *
 * The row holds no time of day, because clocks of VMs are not comparable. The
 * holder's deadline counts from before its write was sent and ends a margin
 * before the validity; others count the whole validity from when they have
 * row_current the row. The holder has therefore stopped when another may take over.
 */
#ifndef PROCESS_LEASE_H
#define PROCESS_LEASE_H

#include <stdint.h>

#include "process/clock.h"
#include "process/str.h"

#define LEASE_NAME_SIZE 65
/* Note of the holder for its successor, in the row. */
#define LEASE_NOTE_MAX 32768
/* Attempts whose times are remembered, so that a late write is recognised. */
#define LEASE_ATTEMPTS 8

#define LEASE_VALIDITY_US (10 * CLOCK_US_PER_S)
/* Covers clocks that run at different rates, and the time between the check
 * and the send in a process that is busy.
 */
#define LEASE_MARGIN_US (2 * CLOCK_US_PER_S)
#define LEASE_RENEW_INTERVAL_US (3 * CLOCK_US_PER_S)
/* How often a candidate reads the row, and waits after a failed call. */
#define LEASE_READ_INTERVAL_US (1 * CLOCK_US_PER_S)
/* Time until the last order of the previous holder has arrived or failed: the
 * deadline of an order's call.
 */
#define LEASE_TAKEOVER_DELAY_US (5 * CLOCK_US_PER_S)

/* Content of the row. */
typedef struct {
	char holder[LEASE_NAME_SIZE]; /* VM */
	uint64_t incarnation; /* of the holder's process */
	uint64_t attempt; /* of the holder's writes */
	uint64_t token; /* rises with each change of holder */
	int64_t validity_us;
	bool held; /* false: given back */
	str_t note; /* borrows from the row's text */
} lease_row_t;

typedef enum {
	LEASE_NOTHING,
	LEASE_READ, /* read the row, then lease_on_read() */
	LEASE_WRITE, /* write the row, then lease_on_write() */
} lease_action_kind_t;

typedef struct {
	lease_action_kind_t kind;
	uint64_t expected_version; /* row version; 0: the row must not exist */
	GString *value; /* owned by the lease until the next step */
} lease_action_t;

typedef enum {
	LEASE_CALL_DONE,
	LEASE_CALL_REFUSED, /* the condition failed, or there is no row */
	LEASE_CALL_NOT_SENT,
	LEASE_CALL_UNKNOWN, /* the answer was lost */
} lease_call_outcome_t;

typedef struct {
	uint64_t number;
	int64_t sent_us; /* before the write was sent */
} lease_attempt_t;

typedef struct {
	uint64_t incarnation;
	int64_t deadline_us; /* no send at or after it */
	int64_t settled_us; /* no send before it */
	int64_t next_us; /* of the next read or renewal */
	uint64_t token;
	uint64_t attempt; /* number of the last write */
	lease_attempt_t attempts[LEASE_ATTEMPTS]; /* by number modulo size */
	uint64_t version; /* of the row, 0: none */
	int64_t version_us; /* when the version was first row_current */
	lease_row_t row; /* as last row_current; its note borrows from the text */
	GString *text; /* of the row as last row_current */
	GString *note; /* own note, for the next write */
	GString *value; /* text of the last write */
	char vm[LEASE_NAME_SIZE];
	bool wanted; /* this process is to hold the lease */
	bool blocked; /* the row is read, but not taken; set by the caller */
	bool busy; /* a call is in progress */
	bool holding; /* until deadline_us */
	bool releasing; /* the last write gives the lease back */
	bool taking; /* the last write takes the lease from another */
	bool row_current; /* the row was read since the last uncertain write */
	bool broken; /* the row's text is not that of a lease */
} lease_t;

void lease_init(lease_t *lease, const char *vm, uint64_t incarnation,
		int64_t now_us);
void lease_finish(lease_t *lease);
void lease_set_wanted(lease_t *lease, bool wanted, int64_t now_us);
void lease_set_note(lease_t *lease, str_t note);
lease_action_t lease_step(lease_t *lease, int64_t now_us);
int64_t lease_next_us(const lease_t *lease);
void lease_on_read(lease_t *lease, int64_t now_us, lease_call_outcome_t outcome,
		   uint64_t version, str_t value);
void lease_on_write(lease_t *lease, int64_t now_us,
		    lease_call_outcome_t outcome, uint64_t version);
void lease_renew(lease_t *lease, int64_t now_us);
void lease_suspend(lease_t *lease, int64_t now_us);
bool lease_may_send(const lease_t *lease, int64_t now_us);
bool lease_row_parse(str_t text, lease_row_t *row);
void lease_row_print(const lease_row_t *row, GString *out);

#endif
