#include "shared_audit.h"

#include <string.h>

#include "process/clock.h"
#include "request/verdict.h"
#include "shared_fake.h"

/* What the engines and services did for one request. */
typedef struct {
	int64_t prefill_tokens;
	int64_t largest_prefill;
	int64_t decode_tokens;
	int64_t decode_end; /* highest offset reached */
	int64_t last_end_us; /* end of its last execution */
	bool decoding; /* an execution of a decode has not ended */
	bool ran;
	bool answered; /* whole, to its caller */
	bool left; /* its caller left */
} request_t;

typedef struct {
	audit_counts_t *counts;
	GHashTable *requests; /* request ID to request_t */
	GHashTable *ids; /* prompt hash to request ID */
	GHashTable *keys; /* Idempotency-Key to number of executions */
	GHashTable *answered; /* request IDs that were answered */
} tally_t;

static void unref_object(gpointer data)
{
	json_object_unref(data);
}

void audit_init(audit_t *audit)
{
	audit->records = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       unref_object);
	audit->results = g_ptr_array_new_with_free_func(unref_object);
	audit->holders = g_ptr_array_new_with_free_func(unref_object);
}

void audit_finish(audit_t *audit)
{
	g_hash_table_unref(audit->records);
	g_ptr_array_unref(audit->results);
	g_ptr_array_unref(audit->holders);
}

static JsonObject *parse_line(const char *line)
{
	JsonParser *parser = json_parser_new_immutable();
	JsonObject *object = NULL;
	JsonNode *root = NULL;

	if (json_parser_load_from_data(parser, line, -1, NULL))
		root = json_parser_get_root(parser);
	if (root && JSON_NODE_HOLDS_OBJECT(root))
		object = json_object_ref(json_node_get_object(root));
	g_object_unref(parser);
	return object;
}

static void add_holders(audit_t *audit, JsonObject *held)
{
	JsonArray *holders = json_object_get_array_member(held, "holders");

	for (unsigned i = 0; i < json_array_get_length(holders); i++)
		g_ptr_array_add(audit->holders,
				json_object_ref(json_array_get_object_element(
					holders, i)));
}

/*
 * Adds the record lines of a fake. The same execution may come several times,
 * from a record file and from GET /record; the last line counts, except that
 * an ended execution stays ended. Returns false when a line is no JSON.
 */
bool audit_add_records(audit_t *audit, const char *lines)
{
	char **parts = g_strsplit(lines, "\n", -1);
	bool ok = true;

	for (size_t i = 0; parts[i]; i++) {
		JsonObject *line = *parts[i] ? parse_line(parts[i]) : NULL;
		const char *id = line ? fake_get_string(line, "id") : "";
		JsonObject *old = g_hash_table_lookup(audit->records, id);

		if (*parts[i] && !line)
			ok = false;
		if (!line)
			continue;
		if (!strcmp(fake_get_string(line, "kind"), "held"))
			add_holders(audit, line);
		else if (*id && !(old && fake_get_int(old, "end_us", 0)))
			g_hash_table_replace(audit->records, g_strdup(id),
					     json_object_ref(line));
		json_object_unref(line);
	}
	g_strfreev(parts);
	return ok;
}

/* Adds the lines of a result file of the load driver. */
bool audit_add_results(audit_t *audit, const char *lines)
{
	char **parts = g_strsplit(lines, "\n", -1);
	bool ok = true;

	for (size_t i = 0; parts[i]; i++) {
		JsonObject *line = *parts[i] ? parse_line(parts[i]) : NULL;

		if (line)
			g_ptr_array_add(audit->results, line);
		else if (*parts[i])
			ok = false;
	}
	g_strfreev(parts);
	return ok;
}

static bool has(JsonObject *object, const char *key, const char *value)
{
	return !strcmp(fake_get_string(object, key), value);
}

static bool get_bool(JsonObject *object, const char *key)
{
	return json_object_has_member(object, key) &&
	       json_object_get_boolean_member(object, key);
}

static request_t *find_request(const tally_t *tally, const char *id)
{
	request_t *request = g_hash_table_lookup(tally->requests, id);

	if (!request) {
		request = g_new0(request_t, 1);
		g_hash_table_insert(tally->requests, g_strdup(id), request);
	}
	return request;
}

static void tally_prefill(request_t *request, JsonObject *record)
{
	int64_t tokens = fake_get_int(record, "tokens", 0);

	request->prefill_tokens += tokens;
	request->largest_prefill = MAX(request->largest_prefill, tokens);
}

static void tally_decode(request_t *request, JsonObject *record)
{
	int64_t tokens = fake_get_int(record, "tokens", 0);
	int64_t end = fake_get_int(record, "offset", 0) + tokens;

	request->decode_tokens += tokens;
	request->decode_end = MAX(request->decode_end, end);
	if (!fake_get_int(record, "end_us", 0))
		request->decoding = true;
}

static void tally_call(const tally_t *tally, JsonObject *record)
{
	const char *key = fake_get_string(record, "key");
	gpointer n;

	if (!*key)
		return;
	n = g_hash_table_lookup(tally->keys, key);
	g_hash_table_replace(tally->keys, g_strdup(key),
			     GINT_TO_POINTER(GPOINTER_TO_INT(n) + 1));
}

/* Adds an execution to its request. */
static void tally_record(const tally_t *tally, JsonObject *record)
{
	const char *id = fake_get_string(record, "request");
	const char *hash = fake_get_string(record, "hash");
	int64_t end_us = fake_get_int(record, "end_us", 0);
	request_t *request;

	if (has(record, "kind", "export"))
		tally->counts->export_tokens +=
			fake_get_int(record, "tokens", 0);
	if (!get_bool(record, "ran"))
		return;
	if (has(record, "kind", "call"))
		tally_call(tally, record);
	if (!*id)
		return;
	request = find_request(tally, id);
	if (*hash)
		g_hash_table_replace(tally->ids, g_strdup(hash), g_strdup(id));
	if (has(record, "kind", "prefill"))
		tally_prefill(request, record);
	else if (has(record, "kind", "decode"))
		tally_decode(request, record);
	else if (!has(record, "kind", "call"))
		return;
	request->ran = true;
	request->last_end_us = MAX(request->last_end_us, end_us);
}

/* The request that a result belongs to, or NULL when no backend saw it. */
static request_t *request_of(const tally_t *tally, JsonObject *result)
{
	const char *id = fake_get_string(result, "request_id");

	/* A caller that left early has no ID but knows its prompt. */
	if (!*id)
		id = g_hash_table_lookup(tally->ids,
					 fake_get_string(result, "hash"));
	return id ? g_hash_table_lookup(tally->requests, id) : NULL;
}

static void tally_leaver(const tally_t *tally, request_t *request,
			 JsonObject *result)
{
	audit_counts_t *counts = tally->counts;
	int64_t after_us =
		request->last_end_us - fake_get_int(result, "end_us", 0);

	request->left = true;
	if (request->decoding)
		counts->leavers_running++;
	counts->leaver_release_max_ms = MAX(counts->leaver_release_max_ms,
					    (double)after_us / CLOCK_US_PER_MS);
}

static bool ran(const tally_t *tally, const request_t *request,
		JsonObject *result)
{
	const char *key = fake_get_string(result, "key");

	return (request && request->ran) ||
	       (*key && g_hash_table_contains(tally->keys, key));
}

/* Compares what a caller was told with what was executed. */
static void tally_result(const tally_t *tally, JsonObject *result)
{
	audit_counts_t *counts = tally->counts;
	const char *id = fake_get_string(result, "request_id");
	const char *fault = fake_get_string(result, "fault");
	request_t *request = request_of(tally, result);
	bool answered = has(result, "outcome", "answered");

	counts->results++;
	counts->answered += answered;
	counts->mixed_up += !strcmp(fault, "mixed");
	counts->answered_twice += !strcmp(fault, "doubled");
	if (has(result, "outcome", "wrong") &&
	    (!strcmp(fault, "short") || !strcmp(fault, "missing")))
		counts->cut_taken_whole++;
	if (fake_get_int(result, "status", 0) &&
	    !*fake_get_string(result, "verdict"))
		counts->without_verdict++;
	if (has(result, "verdict", verdict_run_text(RUN_NOT_RUN)) &&
	    ran(tally, request, result))
		counts->ran_after_not_run++;
	if (answered && *id && !g_hash_table_add(tally->answered, g_strdup(id)))
		counts->answered_twice++;
	if (!request)
		return;
	request->answered |= answered;
	if (has(result, "outcome", "left"))
		tally_leaver(tally, request, result);
}

/* Sums up the work of all requests. */
static void tally_work(const tally_t *tally)
{
	audit_counts_t *counts = tally->counts;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, tally->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const request_t *request = value;

		counts->requests++;
		counts->prefill_tokens += request->prefill_tokens;
		counts->prefill_tokens_wasted += request->prefill_tokens;
		if (request->answered)
			counts->prefill_tokens_wasted -=
				request->largest_prefill;
		counts->decode_tokens += request->decode_tokens;
		counts->decode_tokens_repeated +=
			MAX(request->decode_tokens - request->decode_end, 0);
	}
	g_hash_table_iter_init(&iter, tally->keys);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		counts->ran_twice += GPOINTER_TO_INT(value) > 1;
}

/*
 * Counts the memory that is held now. The load is over, so whoever holds some
 * has ended or left.
 */
static void tally_holders(const audit_t *audit, audit_counts_t *counts)
{
	GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);

	for (unsigned i = 0; i < audit->holders->len; i++) {
		JsonObject *holder = g_ptr_array_index(audit->holders, i);

		counts->held_tokens += fake_get_int(holder, "tokens", 0);
		g_hash_table_add(ids,
				 (gpointer)fake_get_string(holder, "request"));
	}
	counts->held_after_end = g_hash_table_size(ids);
	g_hash_table_unref(ids);
}

/* Works the counts out from everything added so far. */
void audit_count(const audit_t *audit, audit_counts_t *counts)
{
	tally_t tally = {.counts = counts};
	GHashTableIter iter;
	gpointer value;

	memset(counts, 0, sizeof(*counts));
	tally.requests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	tally.ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	tally.keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	tally.answered =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_iter_init(&iter, audit->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		tally_record(&tally, value);
	for (unsigned i = 0; i < audit->results->len; i++)
		tally_result(&tally, g_ptr_array_index(audit->results, i));
	tally_work(&tally);
	tally_holders(audit, counts);
	g_hash_table_unref(tally.requests);
	g_hash_table_unref(tally.ids);
	g_hash_table_unref(tally.keys);
	g_hash_table_unref(tally.answered);
}

/* Tells whether no promise was broken. */
bool audit_is_clean(const audit_counts_t *counts)
{
	return !counts->answered_twice && !counts->cut_taken_whole &&
	       !counts->mixed_up && !counts->ran_after_not_run &&
	       !counts->ran_twice && !counts->held_after_end &&
	       !counts->without_verdict;
}

static void append_int(GString *out, const char *key, int64_t value)
{
	g_string_append_printf(out, "%s=%" G_GINT64_FORMAT " ", key, value);
}

/* Appends the counts as one line of key=value pairs. */
void audit_append(const audit_counts_t *counts, GString *out)
{
	append_int(out, "results", counts->results);
	append_int(out, "requests", counts->requests);
	append_int(out, "answered", counts->answered);
	append_int(out, "answered_twice", counts->answered_twice);
	append_int(out, "cut_taken_whole", counts->cut_taken_whole);
	append_int(out, "mixed_up", counts->mixed_up);
	append_int(out, "ran_after_not_run", counts->ran_after_not_run);
	append_int(out, "ran_twice", counts->ran_twice);
	append_int(out, "held_after_end", counts->held_after_end);
	append_int(out, "without_verdict", counts->without_verdict);
	append_int(out, "held_tokens", counts->held_tokens);
	append_int(out, "prefill_tokens", counts->prefill_tokens);
	append_int(out, "prefill_tokens_wasted", counts->prefill_tokens_wasted);
	append_int(out, "decode_tokens", counts->decode_tokens);
	append_int(out, "decode_tokens_repeated",
		   counts->decode_tokens_repeated);
	append_int(out, "export_tokens", counts->export_tokens);
	append_int(out, "leavers_running", counts->leavers_running);
	g_string_append_printf(out, "leaver_release_max_ms=%.1f\n",
			       counts->leaver_release_max_ms);
}
