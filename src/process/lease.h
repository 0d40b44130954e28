/* A lease that is stored in a row of the platform's table, so that one process
 * at a time sends orders. A state machine: it says which call to make next, and
 * the caller makes the call and passes in the time and the outcome.
 *
 * The row holds no time of day, because clocks of VMs are not comparable. The
 * holder's deadline counts from before its write was sent and ends a margin
 * before the validity. Other processes count the whole validity from when they
 * first read the row. The holder has therefore stopped before another may take
 * over.
 */
#ifndef PROCESS_LEASE_H
#define PROCESS_LEASE_H

#include <stdint.h>

#include "process/clock.h"
#include "process/str.h"

#define LEASE_NAME_SIZE 65

/* Limit on the note in the row, which the holder leaves for its successor. */
#define LEASE_NOTE_MAX 32768

/* The times of this many writes are kept. If a write that seemed lost arrives
 * late, the deadline counts from when that write was sent.
 */
#define LEASE_ATTEMPTS 8

/* Others wait this long for a holder that doesn't renew. */
#define LEASE_VALIDITY_US (10 * CLOCK_US_PER_S)

/* The holder stops this long before the validity ends. Covers clocks that run
 * at different rates, and the time between the check of the lease and the send
 * in a busy process.
 */
#define LEASE_MARGIN_US (2 * CLOCK_US_PER_S)

/* Time from the send of one renewal to the next. */
#define LEASE_RENEW_INTERVAL_US (3 * CLOCK_US_PER_S)

/* Time between reads of a process that doesn't hold the lease, and before the
 * next try after a failed call.
 */
#define LEASE_READ_INTERVAL_US (1 * CLOCK_US_PER_S)

/* A new holder sends no order for this time: until then the last order of the
 * previous holder has arrived or failed. It is also the deadline of an order's
 * call.
 */
#define LEASE_TAKEOVER_DELAY_US (5 * CLOCK_US_PER_S)

/* Content of the row. */
typedef struct {
	char holder[LEASE_NAME_SIZE]; /* VM name */
	uint64_t incarnation; /* of the holder's process */
	uint64_t attempt; /* number of the holder's write */
	uint64_t token; /* fencing token, rises with each change of holder */
	int64_t validity_us;
	bool held; /* false: released by the holder */
	str_t note; /* borrows from the row's text */
} lease_row_t;

/* What the caller is to do next. */
typedef enum {
	LEASE_NOTHING,
	LEASE_READ, /* read the row, then lease_on_read() */
	LEASE_WRITE, /* write the row, then lease_on_write() */
} lease_action_kind_t;

/* A call that lease_step() wants the caller to make. */
typedef struct {
	lease_action_kind_t kind;
	uint64_t expected_version; /* row version; 0: the row must not exist */
	GString *value; /* to write; owned by the lease until the next step */
} lease_action_t;

/* Outcome of a read or write. */
typedef enum {
	LEASE_CALL_DONE,
	LEASE_CALL_REFUSED, /* the condition failed, or there is no row */
	LEASE_CALL_NOT_SENT,
	LEASE_CALL_UNKNOWN, /* the reply was lost; the write may have run */
} lease_call_outcome_t;

/* One write of the row. */
typedef struct {
	uint64_t number;
	int64_t sent_us; /* before the write was sent */
} lease_attempt_t;

/* The state of one process's part in the lease. */
typedef struct {
	uint64_t incarnation; /* of this process */
	int64_t deadline_us; /* no order is sent at or after it */
	int64_t send_from_us; /* no order is sent before it */
	int64_t next_call_us; /* of the next read or renewal */
	uint64_t token; /* of the lease as this process last held it */
	uint64_t attempt; /* number of the last write */
	lease_attempt_t attempts[LEASE_ATTEMPTS]; /* by number modulo size */
	uint64_t version; /* of the row, 0: there is no row */
	int64_t version_seen_us; /* when the version was first read */
	lease_row_t row; /* as last read; its note borrows from row_text */
	GString *row_text; /* as last read or written */
	GString *note; /* own note, for the next write */
	GString *written_text; /* of the last write */
	char vm[LEASE_NAME_SIZE];
	bool wanted; /* this process should hold the lease */
	bool blocked; /* set by the caller: don't acquire the lease */
	bool call_in_progress; /* a read or write */
	bool holding; /* this process holds the lease until deadline_us */
	bool releasing; /* the last write releases the lease */
	bool taking_over; /* the last write takes the lease from another */
	bool row_current; /* the row was read since the last uncertain write */
	bool row_malformed; /* the row's text is not that of a lease */
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
