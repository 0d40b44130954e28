/* Submits a desired state: its parts to the object store, and its head with
 * one conditional write.
 */
#ifndef PROCESS_APPLY_H
#define PROCESS_APPLY_H

#include "process/platform.h"
#include "version/fetch.h"

typedef enum {
	APPLY_ACCEPTED,
	APPLY_UNCHANGED, /* the state in effect is the same */
	APPLY_DRY_RUN, /* nothing was written */
	APPLY_REFUSED, /* another version than the expected_version one is there */
	APPLY_UNREACHABLE, /* nothing was written to the table */
	APPLY_UNKNOWN, /* the version may have been accepted */
	APPLY_FAILED, /* what the platform holds is malformed */
} apply_result_t;

/* Objects that are written at once. */
#define APPLY_MAX_PUTS_IN_FLIGHT 16

/* Writes a second: several hundred are the platform's whole rate. */
#define APPLY_BUDGET ((platform_budget_t){200, 100, 1})

typedef struct apply apply_t;

struct apply {
	/* Set by the caller before apply_start(). */
	platform_t *platform;
	state_t *state; /* borrowed */
	const char *author;
	uint64_t base_version; /* version that the author saw; 0: none */
	int64_t deadline_us;
	uint64_t time_s; /* wall clock */
	void (*done)(void *context, const apply_t *apply);
	void *context;
	bool has_base_version;
	bool dry_run;

	/* The outcome, valid in the callback and until apply_finish(). */
	bool replaced; /* accepted, and then replaced by the winner */
	apply_result_t result;
	const char *reason; /* static text */
	uint64_t version; /* of the state in effect or submitted */
	uint64_t expected_version; /* version that this one was to follow */
	size_t n_parts;
	size_t n_changed_parts;
	size_t n_uploaded;
	uint64_t uploaded_bytes;
	GString *differences; /* NULL when they could not be determined */
	head_past_t winner; /* APPLY_REFUSED, or who replaced this version */
	char deployment[64];
	char attempt[HEAD_ATTEMPT_DIGITS + 1];

	/* Private. */
	bool upload_failed;
	guint next_object;
	guint puts_in_flight;
	char *key;
	uint64_t row_version; /* PLATFORM_NO_ROW: there is no row */
	manifest_t old_manifest; /* without bytes */
	manifest_t manifest;
	GPtrArray *objects; /* to be written */
	fetch_t *fetch;
	head_t head; /* of the row that was read */
	head_t new_head;
};

void apply_start(apply_t *apply);
void apply_finish(apply_t *apply);
void apply_report(const apply_t *apply, const char *file, bool json,
		  GString *out);
int apply_exit_code(apply_result_t result);
char *apply_row_key(const char *deployment);
fetch_source_t apply_platform_source(apply_t *apply);

#endif
