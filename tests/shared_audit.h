/* Checks executions recorded by the fakes against what callers were told. */
#ifndef SHARED_AUDIT_H
#define SHARED_AUDIT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
	int64_t results; /* requests of callers */
	int64_t requests; /* that any engine saw */
	int64_t answered;
	/* Broken promises. */
	int64_t answered_twice; /* answered again, or with tokens doubled */
	int64_t cut_taken_whole; /* incomplete, but declared complete */
	int64_t mixed_up; /* response of another request */
	int64_t ran_after_not_run; /* told not-run, but executed */
	int64_t ran_twice; /* calls with one Idempotency-Key */
	int64_t held_after_end; /* requests that hold memory now */
	int64_t without_verdict; /* responses without the header */
	/* Waste and delays. */
	int64_t held_tokens; /* now */
	int64_t prefill_tokens; /* computed */
	int64_t prefill_tokens_wasted; /* repeated, or without an answer */
	int64_t decode_tokens;
	int64_t decode_tokens_repeated;
	int64_t export_tokens; /* moved over the links */
	int64_t leavers_running; /* caller left, still decoding now */
	double leaver_release_max_ms; /* from leaving to the end of work */
} audit_counts_t;

typedef struct {
	GHashTable *records; /* execution ID to JsonObject, the last one */
	GPtrArray *results; /* of JsonObject */
	GPtrArray *holders; /* of JsonObject: memory held now */
} audit_t;

void audit_init(audit_t *audit);
void audit_finish(audit_t *audit);
bool audit_add_records(audit_t *audit, const char *lines);
bool audit_add_results(audit_t *audit, const char *lines);
void audit_count(const audit_t *audit, audit_counts_t *counts);
bool audit_is_clean(const audit_counts_t *counts);
void audit_append(const audit_counts_t *counts, GString *out);

#endif
