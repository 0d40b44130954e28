/*
 * Submits a desired state as the next configuration version: first its parts
 * are written to the object store, then its head to the deployment's row with
 * one conditional write.
 */
#ifndef PROCESS_APPLY_H
#define PROCESS_APPLY_H

#include "process/platform.h"
#include "version/fetch.h"

/* Outcome of a submission. */
typedef enum {
	APPLY_ACCEPTED,
	APPLY_UNCHANGED, /* the state in effect is the same */
	APPLY_DRY_RUN, /* nothing was written */
	APPLY_REFUSED, /* another version than expected_version is in effect */
	APPLY_UNREACHABLE, /* the row was not written */
	APPLY_UNKNOWN, /* the version may have been accepted */
	APPLY_FAILED, /* malformed row, or rejected by the platform */
} apply_result_t;

/* Most objects that are written at the same time. */
#define APPLY_MAX_PUTS_IN_FLIGHT 16

/*
 * Budget of one submission. The platform as a whole takes several hundred
 * writes a second.
 */
#define APPLY_BUDGET ((platform_budget_t){200, 100, 1})

typedef struct apply apply_t;

/* One submission. */
struct apply {
	/* Set by the caller before apply_start(). */
	platform_t *platform;
	state_t *state; /* borrowed */
	const char *author; /* recorded with the version */
	uint64_t base_version; /* in effect when the author looked; 0: none */
	int64_t deadline_us;
	uint64_t time_s; /* wall clock */
	/* Called once with the outcome. */
	void (*done)(void *context, const apply_t *apply);
	void *context;
	bool has_base_version; /* refuse if base_version is not in effect */
	bool dry_run; /* only find the differences */

	/* The outcome: valid in the callback and until apply_finish(). */
	bool replaced; /* accepted, and then replaced by `winner` */
	apply_result_t result;
	const char *reason; /* static text */
	uint64_t version; /* of the state in effect or submitted */
	uint64_t expected_version; /* version that was to be in effect before */
	size_t n_parts;
	size_t n_changed_parts; /* not in the version in effect */
	size_t n_uploaded; /* objects */
	uint64_t uploaded_bytes;
	GString *differences; /* lines; NULL: not determined */
	head_past_t winner; /* version that stands instead; 0: none */
	char deployment[64];
	char attempt[HEAD_ATTEMPT_DIGITS + 1]; /* random ID */

	/* Private. */
	bool upload_failed;
	guint next_object; /* index of the next object to write */
	guint puts_in_flight;
	char *key;
	uint64_t row_version; /* PLATFORM_NO_ROW: there is no row */
	manifest_t old_manifest; /* of the version in effect, without bytes */
	manifest_t manifest;
	GPtrArray *objects; /* GBytes to be written */
	fetch_t *fetch; /* of the version in effect, to compare with */
	head_t head; /* of the row that was read */
	head_t new_head; /* of the submitted version */
};

void apply_start(apply_t *apply);
void apply_finish(apply_t *apply);
void apply_report(const apply_t *apply, const char *file, bool json,
		  GString *out);
int apply_exit_code(apply_result_t result);
char *apply_row_key(const char *deployment);
fetch_source_t apply_platform_source(apply_t *apply);

#endif
