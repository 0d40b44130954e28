/* Fake platform: the interface of section 6.3 of docs/design.md. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform_store.h"
#include "process/clock.h"

typedef struct {
	char *listen;
	int64_t vm_lag_ms;
	int64_t reads_s;
	int64_t writes_s;
} platform_options_t;

typedef struct {
	fake_t fake;
	platform_options_t options;
	platform_store_t store;
	platform_rates_t rates;
	platform_vms_t vms;
} platform_t;

/* One call, which faults may put off. */
typedef struct {
	SoupServerMessage *message;
	char *path;
	char *prefix; /* of a listing, or NULL */
	bool is_write;
	bool answered; /* its connection has been closed */
} call_t;

static platform_t platform = {
	.options =
		{
			.vm_lag_ms = 2000,
			.reads_s = 2000,
			.writes_s = 400,
		},
};

static const GOptionEntry option_entries[] = {
	{"listen", 0, 0, G_OPTION_ARG_STRING, &platform.options.listen,
	 "address; port 0 picks a free one", "IP:PORT"},
	{"vm-lag-ms", 0, 0, G_OPTION_ARG_INT64, &platform.options.vm_lag_ms,
	 "delay of the VM list", "N"},
	{"reads-s", 0, 0, G_OPTION_ARG_INT64, &platform.options.reads_s,
	 "reads in a second, more get 429", "N"},
	{"writes-s", 0, 0, G_OPTION_ARG_INT64, &platform.options.writes_s,
	 "writes in a second, more get 429", "N"},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static void run_table(SoupServerMessage *message, const char *key,
		      const char *prefix)
{
	const char *method = soup_server_message_get_method(message);

	if (!key)
		platform_list_rows(&platform.store, message, prefix);
	else if (!strcmp(method, "GET"))
		platform_get_row(&platform.store, message, key);
	else if (!strcmp(method, "PUT"))
		platform_put_row(&platform.store, &platform.fake, message, key);
	else if (!strcmp(method, "DELETE"))
		platform_delete_row(&platform.store, &platform.fake, message,
				    key);
	else
		fake_reply_error(message, 405, "method");
}

/* Executes a call and fills in its answer. */
static void run(const call_t *call)
{
	const char *path = call->path;
	SoupServerMessage *message = call->message;

	if (!strcmp(path, "/table"))
		run_table(message, NULL, call->prefix);
	else if (g_str_has_prefix(path, "/table/") && path[strlen("/table/")])
		run_table(message, path + strlen("/table/"), NULL);
	else if (g_str_has_prefix(path, "/objects/"))
		platform_run_object(&platform.store, &platform.fake, message,
				    path + strlen("/objects/"));
	else if (!strcmp(path, "/vms") && fake_is_get(message))
		platform_reply_vms(&platform.vms, message);
	else
		fake_reply_error(message, 404, "no such path");
}

static void free_call(call_t *call)
{
	g_object_unref(call->message);
	g_free(call->path);
	g_free(call->prefix);
	g_free(call);
}

static gboolean on_answer(gpointer user_data)
{
	call_t *call = user_data;

	if (!call->answered)
		soup_server_message_unpause(call->message);
	free_call(call);
	return G_SOURCE_REMOVE;
}

/* Executes now, and answers now, later or never. */
static gboolean on_execute(gpointer user_data)
{
	call_t *call = user_data;
	const char *fault = call->is_write ? "lose_write_answer"
					   : "lose_read_answer";
	double delay_ms = fake_fault_get(&platform.fake, "answer_delay_ms");

	run(call);
	if (!call->answered && fake_fault_take(&platform.fake, fault))
		fake_drop_connection(call->message);
	if (delay_ms > 0)
		g_timeout_add((guint)delay_ms, on_answer, call);
	else
		on_answer(call);
	return G_SOURCE_REMOVE;
}

/*
 * Fault `late_write_ms`: the caller sees a closed connection at once, and the
 * write takes effect afterwards.
 */
static bool is_late_write(call_t *call)
{
	double late_ms = fake_fault_get(&platform.fake, "late_write_ms");

	if (!call->is_write || late_ms <= 0)
		return false;
	fake_drop_connection(call->message);
	g_timeout_add((guint)late_ms, on_execute, call);
	return true;
}

/* Outages and limits. Returns true when the call was answered here. */
static bool is_denied(SoupServerMessage *message, bool is_write)
{
	fake_t *fake = &platform.fake;

	if (fake_fault_take(fake, "hang")) {
		platform.rates.now.failed++;
		soup_server_message_pause(message);
		return true;
	}
	if (fake_fault_take(fake, "unreachable")) {
		platform.rates.now.failed++;
		fake_drop_connection(message);
		fake_reply_error(message, 503, "unreachable");
		return true;
	}
	if (fake_fault_take(fake, "outage")) {
		platform.rates.now.failed++;
		fake_reply_error(message, 503, "outage");
		return true;
	}
	if (platform_rates_allow(&platform.rates, is_write))
		return false;
	soup_message_headers_replace(
		soup_server_message_get_response_headers(message),
		"Retry-After", "1");
	fake_reply_error(message, 429, "rate limit");
	return true;
}

static void handle_call(SoupServerMessage *message, const char *path,
			GHashTable *query)
{
	double delay_ms = fake_fault_get(&platform.fake, "delay_ms");
	const char *prefix = query ? g_hash_table_lookup(query, "prefix")
				   : NULL;
	bool is_write = !fake_is_get(message);
	call_t *call;

	platform_rates_count(&platform.rates, is_write);
	if (is_denied(message, is_write))
		return;
	call = g_new0(call_t, 1);
	call->message = g_object_ref(message);
	call->path = g_strdup(path);
	call->prefix = g_strdup(prefix ? prefix : "");
	call->is_write = is_write;
	soup_server_message_pause(message);
	if (is_late_write(call))
		return;
	if (delay_ms > 0)
		g_timeout_add((guint)delay_ms, on_execute, call);
	else
		on_execute(call);
}

static void handle_record(SoupServerMessage *message)
{
	GString *out = g_string_new(NULL);

	fake_append_record(&platform.fake, out);
	platform_rates_append(&platform.rates, out);
	fake_reply_text(message, 200, "application/x-ndjson", out->str,
			out->len);
	g_string_free(out, TRUE);
}

static gboolean on_crash(gpointer user_data)
{
	fake_crash(&platform.fake);
}

static void on_fault(const char *name, double value, void *context)
{
	if (!strcmp(name, "crash") && value != 0)
		g_idle_add(on_crash, NULL);
}

static void handle(SoupServerMessage *message, const char *path,
		   GHashTable *query, void *context)
{
	bool at_once = query && g_hash_table_contains(query, "at-once");

	if (!strcmp(path, "/fault") && fake_is_post(message))
		fake_reply_fault(&platform.fake, message, on_fault, NULL);
	else if (!strcmp(path, "/record") && fake_is_get(message))
		handle_record(message);
	else if (!strcmp(path, "/vms") && fake_is_post(message))
		platform_set_vms(&platform.vms, message, at_once);
	else
		handle_call(message, path, query);
}

int main(int argc, char **argv)
{
	const platform_options_t *options = &platform.options;

	if (!fake_parse_options(argc, argv, option_entries))
		return 2;
	if (!options->listen) {
		fprintf(stderr, "fake_platform: --listen is expected\n");
		return 2;
	}
	fake_init(&platform.fake);
	platform_store_init(&platform.store);
	platform_rates_init(&platform.rates, options->reads_s,
			    options->writes_s);
	platform_vms_init(&platform.vms, options->vm_lag_ms * CLOCK_US_PER_MS);
	return fake_serve(&platform.fake, options->listen, handle, NULL) ? 0
									 : 1;
}
