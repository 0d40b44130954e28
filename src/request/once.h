/* At-most-once calls over table rows: decisions only, without I/O. */
#ifndef REQUEST_ONCE_H
#define REQUEST_ONCE_H

#include <stdint.h>

#include "process/str.h"
#include "request/verdict.h"

typedef enum {
	ONCE_STARTED, /* it may have run */
	ONCE_DONE, /* it ran; the outcome is stored */
	ONCE_NOT_RUN, /* it cannot have run; the row can be taken over */
} once_state_t;

/* Response of a completed call. */
typedef struct {
	unsigned status;
	char *content_type; /* may be NULL */
	GBytes *body; /* NULL: too large to store */
} once_outcome_t;

typedef struct {
	char *workspace;
	char *key; /* Idempotency-Key */
	char *call_hash; /* SHA-256 of service, method, path and body, hex */
	char *attempt; /* ID of the send that owns the row */
	once_state_t state;
	int64_t written_ms; /* wall time, for deletion after retention */
	once_outcome_t outcome; /* ONCE_DONE */
} once_row_t;

#define ONCE_MAX_KEY_BYTES 255
/* In Base64 with the other fields, below the table's 64 KiB for a value. */
#define ONCE_MAX_BODY_BYTES 45000

/* Result of a conditional write. */
typedef enum {
	ONCE_WRITE_OK,
	ONCE_WRITE_CONFLICT, /* the condition failed */
	ONCE_WRITE_UNKNOWN, /* it may have taken effect */
	ONCE_WRITE_NOT_SENT, /* it cannot have taken effect */
} once_write_result_t;

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

typedef enum {
	ONCE_INSERT, /* write the row if absent */
	ONCE_TAKE_OVER, /* write the row if still at the version that was read */
	ONCE_READ,
	ONCE_DISPATCH, /* send the call, once */
	ONCE_REPLAY, /* answer with the row's outcome */
	ONCE_ANSWER, /* answer with the verdict */
} once_step_kind_t;

typedef struct {
	once_step_kind_t kind;
	verdict_t verdict; /* ONCE_ANSWER */
} once_step_t;

typedef struct {
	char *workspace;
	char *key;
	char *call_hash;
	char *attempt;
	int64_t give_up_us; /* no table call is started after it */
	unsigned table_calls;
	bool row_exists; /* some send has used the key */
	bool dispatched;
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
