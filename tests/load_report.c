#include "load_report.h"

#include <math.h>

#include "process/clock.h"
#include "shared_fake.h"

void load_report_init(load_report_t *report, const GArray *workspaces,
		      double first_target_ms, double gap_target_ms)
{
	report->workspaces = workspaces;
	report->first_target_ms = first_target_ms;
	report->gap_target_ms = gap_target_ms;
	report->first_ms = g_array_new(FALSE, FALSE, sizeof(double));
	report->gaps_ms = g_array_new(FALSE, FALSE, sizeof(double));
	report->counts =
		g_array_new(FALSE, TRUE, sizeof(load_workspace_count_t));
	g_array_set_size(report->counts, workspaces->len);
}

void load_report_add_gap(load_report_t *report, double gap_ms)
{
	g_array_append_val(report->gaps_ms, gap_ms);
}

/* Milliseconds from the intended time to the first token or the answer. */
static double first_ms(const load_request_t *request)
{
	int64_t first_us = request->first_us ? request->first_us
					     : request->end_us;

	return (double)(first_us - request->intended_us) / CLOCK_US_PER_MS;
}

/*
 * An answered request is good when its first token and the mean time between
 * its tokens are within the targets. Responses that come whole have only the
 * time to the answer, which has to cover all their tokens.
 */
static bool is_good(const load_report_t *report, const load_request_t *request)
{
	int64_t gaps = MAX(request->check.tokens - 1, 0);
	double span_ms = (double)(request->last_us - request->first_us) /
			 CLOCK_US_PER_MS;

	if (request->outcome != LOAD_ANSWERED)
		return false;
	if (!request->first_us)
		return first_ms(request) <=
		       report->first_target_ms +
			       (double)gaps * report->gap_target_ms;
	return first_ms(request) <= report->first_target_ms &&
	       span_ms <= (double)gaps * report->gap_target_ms;
}

static void write_result(const load_report_t *report,
			 const load_request_t *request, bool good)
{
	const load_workspace_t *workspace =
		&g_array_index(report->workspaces, load_workspace_t,
			       request->arrival.workspace);
	JsonObject *line;
	char *text;

	line = fake_json(
		"serial", "i", request->arrival.serial, "customer", "s",
		workspace->name, "class", "s", request->arrival.class_name,
		"router", "s",
		g_ptr_array_index(request->client->routers, request->router),
		"request_id", "s", request->id ? request->id : "", "hash", "s",
		request->arrival.prompt ? request->check.hash : "", "key", "s",
		request->key ? request->key : "", "intended_us", "i",
		request->intended_us, "sent_us", "i", request->sent_us,
		"first_us", "i", request->first_us, "end_us", "i",
		request->end_us, "status", "i", (int64_t)request->status,
		"verdict", "s", request->verdict ? request->verdict : "",
		"outcome", "s", load_outcome_text(request->outcome), "fault",
		"s", load_fault_text(request->check.fault), "tokens", "i",
		request->check.tokens, "expected", "i", request->check.expected,
		"returns", "i", request->returns, "good", "b", (int)good, NULL);
	text = fake_json_text(line);
	fprintf(report->results, "%s\n", text);
	g_free(text);
	json_object_unref(line);
}

/* Counts a request whose outcome is known. */
void load_report_add(load_report_t *report, const load_request_t *request)
{
	load_workspace_count_t *count =
		&g_array_index(report->counts, load_workspace_count_t,
			       request->arrival.workspace);
	const load_workspace_t *workspace =
		&g_array_index(report->workspaces, load_workspace_t,
			       request->arrival.workspace);
	double late_ms = (double)(request->sent_us - request->intended_us) /
			 CLOCK_US_PER_MS;
	bool good = is_good(report, request);
	double first;

	report->sent++;
	report->outcomes[request->outcome]++;
	report->late_ms_max = MAX(report->late_ms_max, late_ms);
	if (request->returns) {
		report->returned++;
		report->returned_in += request->outcome == LOAD_ANSWERED;
	} else {
		count->offered++;
	}
	if (good) {
		report->good++;
		report->worth += workspace->worth;
		count->good++;
	}
	if (request->first_us) {
		first = first_ms(request);
		g_array_append_val(report->first_ms, first);
	}
	if (report->results)
		write_result(report, request, good);
}

static gint compare_doubles(gconstpointer a, gconstpointer b)
{
	double first = *(const double *)a, second = *(const double *)b;

	return (first > second) - (first < second);
}

/* Nearest-rank percentile; 0 when there is no sample. Sorts the array. */
static double percentile(GArray *samples, double share)
{
	unsigned rank;

	if (samples->len == 0)
		return 0;
	g_array_sort(samples, compare_doubles);
	rank = (unsigned)ceil(share * samples->len);
	return g_array_index(samples, double, MAX(rank, 1) - 1);
}

static double good_share(const load_report_t *report, unsigned workspace)
{
	const load_workspace_count_t *count = &g_array_index(
		report->counts, load_workspace_count_t, workspace);

	return count->offered ? (double)count->good / (double)count->offered
			      : 0;
}

/* Jain's index of the workspaces' good shares, over those that offered. */
static double jain(const load_report_t *report)
{
	double sum = 0, squares = 0;
	unsigned n = 0;

	for (unsigned i = 0; i < report->counts->len; i++) {
		double share = good_share(report, i);

		if (!g_array_index(report->counts, load_workspace_count_t, i)
			     .offered)
			continue;
		n++;
		sum += share;
		squares += share * share;
	}
	return squares > 0 ? sum * sum / (n * squares) : 0;
}

/* Prints the run on one line of key=value pairs. */
void load_report_print(load_report_t *report,
		       const load_plan_options_t *options, int64_t unfinished)
{
	const int64_t *n = report->outcomes;

	printf("mix=%s seed=%" G_GINT64_FORMAT " rate=%g duration_s=%g"
	       " surge=%g sent=%" G_GINT64_FORMAT,
	       options->mix, options->seed, options->rate, options->duration_s,
	       options->surge, report->sent);
	printf(" good=%" G_GINT64_FORMAT " goodput_s=%.3f worth_goodput_s=%.3f",
	       report->good, (double)report->good / options->duration_s,
	       report->worth / options->duration_s);
	for (unsigned i = 0; i < LOAD_OUTCOMES_N; i++)
		printf(" %s=%" G_GINT64_FORMAT, load_outcome_text(i), n[i]);
	printf(" unfinished=%" G_GINT64_FORMAT " returned=%" G_GINT64_FORMAT
	       " returned_in=%" G_GINT64_FORMAT,
	       unfinished, report->returned, report->returned_in);
	printf(" first_p50_ms=%.1f first_p95_ms=%.1f first_p99_ms=%.1f",
	       percentile(report->first_ms, 0.5),
	       percentile(report->first_ms, 0.95),
	       percentile(report->first_ms, 0.99));
	printf(" gap_p95_ms=%.1f gap_p99_ms=%.1f late_max_ms=%.1f jain=%.4f",
	       percentile(report->gaps_ms, 0.95),
	       percentile(report->gaps_ms, 0.99), report->late_ms_max,
	       jain(report));
	for (unsigned i = 0; i < report->workspaces->len; i++)
		printf(" share_%s=%.4f",
		       g_array_index(report->workspaces, load_workspace_t, i)
			       .name,
		       good_share(report, i));
	printf("\n");
}
