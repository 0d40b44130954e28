#include "load_plan.h"

#include <math.h>
#include <string.h>

/* A leaving caller goes within this time, unless it counts tokens. */
#define LEAVE_MS_MAX 1500

/* Lease summaries have long prompts; lookups are quick. */
static const load_class_t skladnik[] = {
	{"summary", 0.4, 2000, 8000, 60, 150},
	{"lookup", 0.6, 50, 300, 10, 40},
};

/* Glossaries have very long prompts; briefs have long ones. */
static const load_class_t mtkvari[] = {
	{"glossary", 0.3, 8000, 24000, 150, 400},
	{"brief", 0.5, 3000, 10000, 100, 250},
	{"short", 0.2, 50, 200, 10, 30},
};

/* Returns false when the mix is not known. */
bool load_plan_init(load_plan_t *plan, const load_plan_options_t *options,
		    const GArray *workspaces)
{
	memset(plan, 0, sizeof(*plan));
	plan->options = options;
	plan->workspaces = workspaces;
	plan->random = g_rand_new_with_seed((guint32)options->seed);
	if (!strcmp(options->mix, "skladnik")) {
		plan->classes = skladnik;
		plan->n_classes = G_N_ELEMENTS(skladnik);
	} else if (!strcmp(options->mix, "mtkvari")) {
		plan->classes = mtkvari;
		plan->n_classes = G_N_ELEMENTS(mtkvari);
	}
	return plan->classes != NULL;
}

static int64_t draw_length(load_plan_t *plan, int64_t min, int64_t max)
{
	double log_length = g_rand_double_range(plan->random, log((double)min),
						log((double)max + 1));

	return CLAMP((int64_t)exp(log_length), min, max);
}

static const load_class_t *draw_class(load_plan_t *plan)
{
	double at = g_rand_double(plan->random);
	size_t i = 0;

	while (i + 1 < plan->n_classes && at >= plan->classes[i].share)
		at -= plan->classes[i++].share;
	return &plan->classes[i];
}

static unsigned draw_workspace(load_plan_t *plan)
{
	double total = 0, at;
	unsigned i = 0;

	for (unsigned k = 0; k < plan->workspaces->len; k++)
		total += g_array_index(plan->workspaces, load_workspace_t, k)
				 .share;
	at = g_rand_double_range(plan->random, 0, total);
	while (i + 1 < plan->workspaces->len) {
		double share =
			g_array_index(plan->workspaces, load_workspace_t, i)
				.share;

		if (at < share)
			break;
		at -= share;
		i++;
	}
	return i;
}

/*
 * The first words are common to the workspace's requests of the class, the
 * rest is unique. The word "output:N" sets the output length of the fake.
 */
static char *make_prompt(const load_plan_t *plan, const load_arrival_t *arrival,
			 int64_t n_words)
{
	int64_t common =
		(int64_t)((double)n_words * plan->options->prefix_share);
	GString *prompt = g_string_sized_new((gsize)n_words * 10);

	for (int64_t i = 0; i < common; i++)
		g_string_append_printf(prompt, "%s%u.%" G_GINT64_FORMAT " ",
				       arrival->class_name, arrival->workspace,
				       i);
	for (int64_t i = common; i < n_words - 1; i++)
		g_string_append_printf(
			prompt, "%" G_GINT64_FORMAT ".%" G_GINT64_FORMAT ".%x ",
			arrival->serial, i, (unsigned)plan->options->seed);
	g_string_append_printf(prompt, "output:%" G_GINT64_FORMAT,
			       arrival->output);
	return g_string_free(prompt, FALSE);
}

static void draw_completion(load_plan_t *plan, load_arrival_t *arrival)
{
	const load_plan_options_t *options = plan->options;
	const load_class_t *class = draw_class(plan);
	int64_t n_words =
		draw_length(plan, class->prompt_min, class->prompt_max);

	n_words = MAX((int64_t)((double)n_words * options->scale), 2);
	arrival->class_name = class->name;
	arrival->output =
		draw_length(plan, class->output_min, class->output_max);
	arrival->max_tokens =
		(int64_t)ceil((double)arrival->output * options->slack);
	arrival->stream = g_rand_double(plan->random) >= options->whole_share;
	arrival->prompt = make_prompt(plan, arrival, n_words);
}

/* Half of the leaving callers go at a token, half after a time. */
static void draw_leaving(load_plan_t *plan, load_arrival_t *arrival)
{
	bool leaves = g_rand_double(plan->random) < plan->options->leave_share;
	bool by_tokens = g_rand_boolean(plan->random) && arrival->stream;
	double point = g_rand_double(plan->random);

	arrival->leave_tokens = -1;
	arrival->leave_ms = -1;
	if (leaves && by_tokens)
		arrival->leave_tokens =
			1 + (int64_t)(point * (double)(arrival->output - 1));
	else if (leaves)
		arrival->leave_ms = (int64_t)(point * LEAVE_MS_MAX);
}

/* The rate at a time: the surge lasts for the middle third of the run. */
static double rate_at(const load_plan_options_t *options, double at_s)
{
	double third_s = options->duration_s / 3;

	if (at_s >= third_s && at_s < 2 * third_s)
		return options->rate * options->surge;
	return options->rate;
}

/* Draws the next arrival of a Poisson process; false at the run's end. */
bool load_plan_next(load_plan_t *plan, load_arrival_t *arrival)
{
	const load_plan_options_t *options = plan->options;
	double kind;

	plan->next_s += -log(1 - g_rand_double(plan->random)) /
			rate_at(options, plan->next_s);
	if (plan->next_s >= options->duration_s)
		return false;
	memset(arrival, 0, sizeof(*arrival));
	arrival->at_s = plan->next_s;
	arrival->serial = ++plan->serial;
	arrival->workspace = draw_workspace(plan);
	kind = g_rand_double(plan->random);
	if (kind < options->book_share) {
		arrival->kind = LOAD_BOOK;
		arrival->class_name = "book";
	} else if (kind < options->book_share + options->lookup_share) {
		arrival->kind = LOAD_LOOKUP;
		arrival->class_name = "service-lookup";
	} else {
		arrival->kind = LOAD_COMPLETION;
		draw_completion(plan, arrival);
	}
	draw_leaving(plan, arrival);
	return true;
}

/*
 * Makes a rejected arrival a new one: new serial and prompt, same lengths, so
 * that no record of the first can be taken for one of the second.
 */
void load_plan_renew(load_plan_t *plan, load_arrival_t *arrival)
{
	int64_t n_words = 1;

	arrival->serial = ++plan->serial;
	if (!arrival->prompt)
		return;
	for (const char *at = arrival->prompt; *at; at++)
		n_words += *at == ' ';
	g_free(arrival->prompt);
	arrival->prompt = make_prompt(plan, arrival, n_words);
}

void load_arrival_finish(load_arrival_t *arrival)
{
	g_clear_pointer(&arrival->prompt, g_free);
}
