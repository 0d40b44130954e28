/* Plan of a load run: arrivals, prompts, lengths and callers, all seeded. */
#ifndef LOAD_PLAN_H
#define LOAD_PLAN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum {
	LOAD_COMPLETION,
	LOAD_BOOK, /* plain service, must run at most once */
	LOAD_LOOKUP, /* plain service, repeatable */
} load_kind_t;

typedef struct {
	char *name;
	char *token; /* bearer */
	double worth; /* of an answered request */
	double share; /* of the arrivals */
} load_workspace_t;

/* One class of requests; lengths are log-uniform between the bounds. */
typedef struct {
	const char *name;
	double share;
	int64_t prompt_min, prompt_max; /* tokens */
	int64_t output_min, output_max; /* tokens */
} load_class_t;

typedef struct {
	char *mix; /* skladnik or mtkvari */
	char *model;
	int64_t seed;
	double rate; /* arrivals in a second */
	double duration_s;
	double surge; /* factor on the rate, in the middle third */
	double scale; /* on prompt lengths */
	double prefix_share; /* of a prompt, common to workspace and class */
	double slack; /* max_tokens over the real output length */
	double leave_share;
	double whole_share; /* of completions, with "stream": false */
	double book_share, lookup_share; /* of all arrivals */
} load_plan_options_t;

typedef struct {
	const load_plan_options_t *options;
	const GArray *workspaces; /* of load_workspace_t */
	const load_class_t *classes;
	size_t n_classes;
	GRand *random;
	double next_s; /* since the start of the run */
	int64_t serial;
} load_plan_t;

typedef struct {
	int64_t serial; /* from 1, unique in the run */
	double at_s; /* since the start of the run */
	load_kind_t kind;
	const char *class_name;
	unsigned workspace;
	char *prompt; /* NULL for plain services */
	int64_t output; /* tokens that the engine will produce */
	int64_t max_tokens;
	bool stream;
	int64_t leave_tokens; /* caller leaves after so many, -1: never */
	int64_t leave_ms; /* caller leaves so long after sending, -1: never */
} load_arrival_t;

bool load_plan_init(load_plan_t *plan, const load_plan_options_t *options,
		    const GArray *workspaces);
bool load_plan_next(load_plan_t *plan, load_arrival_t *arrival);
void load_plan_renew(load_plan_t *plan, load_arrival_t *arrival);
void load_arrival_finish(load_arrival_t *arrival);

#endif
