/* At-most-once execution of calls that carry an Idempotency-Key. Before a call
 * is sent, its row is written to the platform's table; another send with the
 * same key finds the row and is answered from it. This part only decides,
 * without I/O.
 */
#ifndef REQUEST_ONCE_H
#define REQUEST_ONCE_H

#include <stdint.h>

#include "process/str.h"
#include "request/verdict.h"

/* State of a call as its row says. */
typedef enum {
	ONCE_STARTED, /* it may have run */
	ONCE_DONE, /* it ran; the outcome is stored */
	ONCE_NOT_RUN, /* it cannot have run; the row can be taken over */
} once_state_t;

/* Response of a call that ran. */
typedef struct {
	unsigned status;
	char *content_type; /* may be NULL */
	GBytes *body; /* NULL: too large to store */
} once_outcome_t;

/* Row of the table, one for each workspace and key. Owns its texts. */
typedef struct {
	char *workspace;
	char *key; /* Idempotency-Key */
	char *call_hash; /* SHA-256 of service, method, path and body, hex */
	char *attempt; /* ID of the send that owns the row */
	once_state_t state;
	int64_t written_ms; /* wall time; retention starts then */
	once_outcome_t outcome; /* set for ONCE_DONE */
} once_row_t;

#define ONCE_MAX_KEY_BYTES 255
/* In Base64 and with the other fields, such a body stays below the 64 KiB that
 * the table allows for a value.
 */
#define ONCE_MAX_BODY_BYTES 45000

/* Result of a conditional write of a row. */
typedef enum {
	ONCE_WRITE_OK,
	ONCE_WRITE_CONFLICT, /* the condition failed */
	ONCE_WRITE_UNKNOWN, /* it may have taken effect */
	ONCE_WRITE_NOT_SENT, /* it cannot have taken effect */
} once_write_result_t;

/* Result of a read of a row. */
typedef enum {
	ONCE_READ_FOUND,
	ONCE_READ_ABSENT,
	ONCE_READ_FAILED,
	ONCE_READ_MALFORMED,
} once_read_result_t;

/* How the call to the backend server ended. */
typedef enum {
	ONCE_CALL_ANSWERED,
	ONCE_CALL_NOT_RUN,
	ONCE_CALL_UNKNOWN,
} once_call_result_t;

/* What has to be done next. */
typedef enum {
	ONCE_INSERT, /* write the row if absent */
	ONCE_TAKE_OVER, /* write the row if its version is the one read */
	ONCE_READ,
	ONCE_DISPATCH, /* send the call, once */
	ONCE_REPLAY, /* answer the caller with the row's outcome */
	ONCE_ANSWER, /* answer the caller with the verdict */
} once_step_kind_t;

typedef struct {
	once_step_kind_t kind;
	verdict_t verdict; /* set for ONCE_ANSWER */
} once_step_t;

/* State of one send of a call. Owns its texts. */
typedef struct {
	char *workspace;
	char *key; /* Idempotency-Key */
	char *call_hash; /* as in once_row_t */
	char *attempt; /* unique ID of this send */
	int64_t give_up_us; /* no table call starts then or later */
	unsigned table_calls; /* started so far */
	bool row_exists; /* a send, maybe this one, wrote the row */
	bool dispatched; /* ONCE_DISPATCH was returned */
} once_t;

void once_init(once_t *call, str_t workspace, str_t key, str_t call_hash,
	       str_t attempt, int64_t give_up_us);
void once_finish(once_t *call);
char *once_table_key(str_t workspace, str_t key);
char *once_call_hash(str_t service, str_t method, str_t path, str_t body);
bool once_key_is_valid(str_t key);

once_step_t once_begin(once_t *call, int64_t now_us);
once_step_t once_after_write(once_t *call, once_write_result_t result,
			     int64_t now_us);
once_step_t once_after_read(once_t *call, once_read_result_t result,
			    const once_row_t *row, int64_t now_us);
once_state_t once_state_for_result(once_call_result_t result);
char *once_row_format(const once_t *call, once_state_t state,
		      const once_outcome_t *outcome, int64_t now_ms);
bool once_row_parse(const char *text, size_t len, once_row_t *row);
void once_row_finish(once_row_t *row);

#endif
