/* Decides which stream starts, waits or is refused. Pure: no clock, no I/O. */
#ifndef PROCESS_ADMISSION_H
#define PROCESS_ADMISSION_H

#include <stdint.h>

#include "process/decide/occupancy.h"

/* A decode engine as all routers use it. */
typedef struct {
	int64_t slots; /* requests at once */
	int64_t kv_tokens; /* memory */
	occupancy_use_t use;
	bool usable;
	bool same_zone; /* in this router's availability zone */
} admission_decode_t;

/* A prefill engine as all routers use it. */
typedef struct {
	int64_t backlog_tokens; /* prompts that are being read or wait */
	double us_per_token;
	bool usable;
	bool same_zone;
} admission_prefill_t;

typedef struct {
	const admission_decode_t *decodes;
	size_t n_decodes;
	const admission_prefill_t *prefills;
	size_t n_prefills;
	double stream_us; /* mean duration of a stream */
	double arrivals_per_s; /* new streams, at all routers */
	double stream_kv_tokens; /* mean memory counted for a stream */
} admission_view_t;

typedef struct {
	int64_t prompt_tokens;
	int64_t kv_tokens; /* decode memory that it is expected to need */
	occupancy_urgency_t urgency;
	unsigned ahead; /* waiting requests that come before it, everywhere */
	int64_t give_up_us; /* it does not wait longer */
} admission_request_t;

typedef enum {
	ADMISSION_START,
	ADMISSION_WAIT,
	ADMISSION_REFUSE,
} admission_action_t;

typedef enum {
	ADMISSION_OK,
	ADMISSION_NO_ENGINE, /* no usable engine of a stage */
	ADMISSION_FULL, /* more wait than can be started in time */
	ADMISSION_LATE, /* waited for as long as it may */
	ADMISSION_TOO_LARGE, /* for the memory of any engine */
} admission_reason_t;

/* The best prefill engine for a prompt. */
typedef struct {
	size_t index;
	int64_t duration_us; /* estimated */
	int64_t wait_us; /* of it, for prompts that came before */
} admission_prefill_choice_t;

typedef struct {
	admission_action_t action;
	admission_reason_t reason;
	size_t decode; /* index, when started */
	admission_prefill_choice_t prefill;
	int64_t wait_us; /* estimated until a place is free */
} admission_decision_t;

int64_t admission_expected_kv_tokens(int64_t prompt_tokens,
				     int64_t output_tokens);
double admission_stream_share(int64_t slots, int64_t kv_tokens,
			      double stream_kv_tokens);
admission_decision_t admission_decide(const admission_view_t *view,
				      const admission_request_t *request,
				      int64_t now_us);
bool admission_pick_decode(const admission_view_t *view, int64_t kv_tokens,
			   size_t *index);
bool admission_pick_prefill(const admission_view_t *view, int64_t tokens,
			    admission_prefill_choice_t *choice);
int64_t admission_first_event_us(const admission_view_t *view,
				 int64_t prompt_tokens);
const char *admission_reason_text(admission_reason_t reason);

#endif
