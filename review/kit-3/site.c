#include "site.h"

#include <errno.h>
#include <glib/gstdio.h>
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "connection/ingress_connection.h"
#include "names.h"
#include "support_address.h"

#define BEAT_US (1200 * CLOCK_US_PER_MS)
#define PREFILL_US (40 * CLOCK_US_PER_MS)
#define PLAIN_US (30 * CLOCK_US_PER_MS)

/* How long a change of the stage takes, as the configurations of the cases state it. */
#define RECONFIGURE_US (6 * CLOCK_US_PER_S)
#define CHANGE_CHECK_US (50 * CLOCK_US_PER_MS)

/* A VM that got an event of another stream so long before or after reaches the engine. */
#define HEARD_US (100 * CLOCK_US_PER_MS)

/* Requests that wait at an engine at most, and interval at which one that waits tries to begin. */
#define QUEUE 2
#define QUEUE_CHECK_US (20 * CLOCK_US_PER_MS)

static void on_next(void *context);

int64_t site_now_us(const site_t *site)
{
	return clock_now(&site->clock);
}

/* Writes a line with the time since the start into the record. */
void site_note(site_t *site, const char *format, ...)
{
	va_list args;

	fprintf(site->record, "%8.3f ",
		(double)(site_now_us(site) - site->begun_us) / 1e6);
	va_start(args, format);
	vfprintf(site->record, format, args);
	va_end(args);
	fputc('\n', site->record);
	fflush(site->record);
}

/* --- engines ---------------------------------------------------------------- */

static run_t *find_run(const work_t *work)
{
	GPtrArray *runs = work->engine->site->runs;

	for (guint i = runs->len; i > 0; i--) {
		run_t *run = g_ptr_array_index(runs, i - 1);

		if (g_str_equal(run->request, work->request) &&
		    g_str_equal(run->engine, work->engine->id) && !run->ended)
			return run;
	}
	return NULL;
}

/* Ends a request at its engine; the exchange is left to the caller of this function. */
static void end_work(work_t *work)
{
	run_t *run = work->begun_us ? find_run(work) : NULL;

	if (run) {
		run->worked_us = site_now_us(work->engine->site);
		run->ended = true;
	}
	g_queue_remove(&work->engine->works, work);
	alarm_finish(&work->next);
	g_free(work->request);
	g_free(work);
}

/* Returns whether a VM got an event from an engine shortly before or after a time: it reaches it. */
bool engine_is_heard(const engine_t *engine, int64_t at_us)
{
	for (guint i = 0; i < engine->heard->len; i++) {
		int64_t heard_us = g_array_index(engine->heard, int64_t, i);

		if (ABS(heard_us - at_us) <= HEARD_US)
			return true;
	}
	return false;
}

/* Counts the requests that wait at an engine. */
unsigned engine_waiting(const engine_t *engine)
{
	return engine->works.length - engine_running(engine);
}

/* Counts the requests that run at an engine. */
unsigned engine_running(const engine_t *engine)
{
	unsigned n = 0;

	for (GList *link = engine->works.head; link; link = link->next)
		n += ((work_t *)link->data)->begun_us != 0;
	return n;
}

static void add_common(const engine_t *engine, const char *request,
		       http_headers_t *headers)
{
	char load[64];

	http_headers_init(headers);
	if (request)
		http_headers_add(headers, STR("X-Request-Id"), str_from(request));
	g_snprintf(load, sizeof(load), "%u,%u,%u", engine_running(engine),
		   engine->works.length - engine_running(engine), engine->slots);
	http_headers_add(headers, STR("X-Server-Load"), str_from(load));
	http_headers_add(headers, STR("X-Instance-Id"), str_from(engine->id));
	http_headers_add(headers, STR("Keep-Alive"), STR("timeout=5"));
}

static void reply(engine_t *engine, exchange_t *exchange, const char *request,
		  unsigned status, bool signature, bool not_run, const char *body)
{
	http_headers_t headers;

	add_common(engine, request, &headers);
	if (signature)
		http_headers_add(&headers, STR("X-Response-Signature"),
				 str_from(engine->id));
	if (not_run)
		http_headers_add(&headers, STR("X-Not-Executed"), STR("1"));
	http_headers_add(&headers, STR("Content-Type"), STR("application/json"));
	exchange_reply(exchange, status, &headers, str_from(body));
	http_headers_finish(&headers);
}

static char *new_handle(site_t *site)
{
	return g_strdup_printf("%08x%04x", g_random_int(), ++site->next_id);
}

/* Begins a run, which the record counts. */
static void begin_run(work_t *work)
{
	site_t *site = work->engine->site;
	run_t *run = g_new0(run_t, 1);

	work->begun_us = site_now_us(site);
	run->request = g_strdup(work->request);
	run->engine = g_strdup(work->engine->id);
	g_strlcpy(run->software, work->engine->software, sizeof(run->software));
	run->begun_us = run->worked_us = work->begun_us;
	g_ptr_array_add(site->runs, run);
	site_note(site, "run %s at %s version %s after event %u%s", work->request,
		  work->engine->id, work->engine->software, work->events,
		  work->exchange ? "" : " (its connection has ended)");
}

static void send_event(work_t *work)
{
	engine_t *engine = work->engine;
	char *event;
	http_headers_t headers;

	if (!work->head_sent) {
		work->head_sent = true;
		add_common(engine, work->request, &headers);
		http_headers_add(&headers, STR("X-Response-Signature"),
				 str_from(engine->id));
		http_headers_add(&headers, STR("Content-Type"),
				 STR("text/event-stream"));
		exchange_start_stream(work->exchange, 200, &headers);
		http_headers_finish(&headers);
	}
	event = g_strdup_printf("id: %u\ndata: %s %s\n\n", work->events,
				engine->software, work->request);
	exchange_write(work->exchange, event, strlen(event));
	engine->heard_us = site_now_us(engine->site);
	g_array_append_val(engine->heard, engine->heard_us);
	g_free(event);
}

static void next_event(work_t *work)
{
	site_t *site = work->engine->site;
	run_t *run = find_run(work);
	exchange_t *exchange = work->exchange;

	if (run)
		run->worked_us = site_now_us(site);
	if (work->events < site->events) {
		work->events++;
		if (exchange)
			send_event(work);
		alarm_set(&work->next, site_now_us(site) + site->event_us);
		return;
	}
	end_work(work);
	if (exchange)
		exchange_end_stream(exchange);
}

static void on_next(void *context)
{
	work_t *work = context;
	engine_t *engine = work->engine;
	exchange_t *exchange = work->exchange;
	char *request, *text, *handle;

	if (work->prefill) {
		handle = new_handle(engine->site);
		text = g_strdup_printf(
			"{\"kvHandle\":\"%s\",\"tokens\":1000,\"version\":1}", handle);
		request = g_strdup(work->request);
		end_work(work);
		if (exchange)
			reply(engine, exchange, request, 200, false, false, text);
		g_free(request);
		g_free(text);
		g_free(handle);
		return;
	}
	if (!work->begun_us && engine_running(engine) >= engine->places) {
		alarm_set(&work->next, site_now_us(engine->site) + QUEUE_CHECK_US);
		return;
	}
	if (!work->begun_us)
		begin_run(work);
	if (!engine->is_plain) {
		next_event(work);
		return;
	}
	request = g_strdup(work->request);
	text = g_strdup_printf("answer to %s", request);
	end_work(work);
	if (exchange)
		reply(engine, exchange, request, 200, true, false, text);
	g_free(text);
	g_free(request);
}

/* Resets the connection of a request, so that its answer is lost. The engine runs it on. */
void work_cut(work_t *work)
{
	exchange_t *exchange = work->exchange;

	tcp_set_reset_at_end(&exchange->connection->tcp, true);

	work->exchange = NULL;
	work->cut = true;
	site_note(work->engine->site, "reset %s at %s after event %u, runs on",
		  work->request, work->engine->id, work->events);
	exchange_abort(exchange);
}

static work_t *find_work(engine_t *engine, const char *body)
{
	for (GList *link = engine->works.head; link; link = link->next) {
		work_t *work = link->data;
		char *id = g_strdup_printf("\"id\":\"%s\"", work->request);
		bool found = !work->prefill && strstr(body, id);

		g_free(id);
		if (found)
			return work;
	}
	return NULL;
}

/* Answers a call that ends a run: the engine keeps the memory. There is no run of a request that
 * waits.
 */
static void take_move(engine_t *engine, exchange_t *exchange)
{
	char *body = str_dup(exchange_body(exchange));
	work_t *work = find_work(engine, body);
	exchange_t *stream = work ? work->exchange : NULL;
	char *handle = new_handle(engine->site);
	char *text;

	site_note(engine->site, "kv-move at %s: %s %s", engine->id, body,
		  work && work->begun_us ? "ends the run" : "finds no run");
	if (work && work->begun_us) {
		text = g_strdup_printf("{\"kvHandle\":\"%s\",\"createRev\":%u}",
				       handle, work->events);
		end_work(work);
		if (stream)
			exchange_abort(stream);
		reply(engine, exchange, NULL, 503, false, false, text);
		g_free(text);
	} else {
		reply(engine, exchange, NULL, 404, false, false, "{}");
	}
	g_free(handle);
	g_free(body);
}

static void take_report(engine_t *engine, exchange_t *exchange)
{
	char *text = g_strdup_printf(
		"{\"stage\":\"%s\",\"models\":[{\"name\":\"m\",\"version\":1,"
		"\"adapters\":[]}],\"busy\":%s,\"sequence\":%u,\"waiting\":%u,"
		"\"running\":%u,\"kvUsed\":0,\"kvTotal\":100000,\"kvHandles\":0,"
		"\"born\":%" PRId64 "}",
		engine->is_prefill ? "prefill" : "decode",
		engine->change.at_us >= 0 ? "true" : "false", engine->orders,
		engine->works.length - engine_running(engine),
		engine_running(engine), engine->born_ms);

	reply(engine, exchange, NULL, 200, false, false, text);
	g_free(text);
}

/* Takes an order for another stage. */
static void take_order(engine_t *engine, exchange_t *exchange)
{
	char *body = str_dup(exchange_body(exchange));
	char *expected = g_strdup_printf("\"expected\":%u}", engine->orders);

	site_note(engine->site, "order to %s: %s", engine->id, body);
	if (engine->change.at_us >= 0 || !strstr(body, expected)) {
		reply(engine, exchange, NULL, 409, false, false, "{}");
	} else {
		engine->orders++;
		engine->to_prefill = strstr(body, "\"stage\":\"prefill\"") != NULL;
		alarm_set(&engine->change, site_now_us(engine->site));
		reply(engine, exchange, NULL, 202, false, false, "{}");
	}
	g_free(expected);
	g_free(body);
}

static void start_work(engine_t *engine, exchange_t *exchange, bool prefill)
{
	const http_headers_t *headers = &exchange_head(exchange)->headers;
	site_t *site = engine->site;
	work_t *work = g_new0(work_t, 1);
	int64_t last = 0;

	work->engine = engine;
	work->exchange = exchange;
	work->prefill = prefill;
	work->queued_us = site_now_us(site);
	work->request = str_dup(http_headers_get(headers, "x-request-id"));
	if (http_parse_uint(http_headers_get(headers, "last-event-id"), &last))
		work->events = (unsigned)last;
	g_queue_push_tail(&engine->works, work);
	exchange_set_context(exchange, work);
	alarm_init(&work->next, site->clock, on_next, work);
	alarm_set(&work->next, site_now_us(site) + (prefill ? PREFILL_US
						    : engine->is_plain
							    ? PLAIN_US
							    : site->queue_us));
}

static void on_request(void *context, exchange_t *exchange)
{
	engine_t *engine = context;
	const http_head_t *head = exchange_head(exchange);
	const char *target = head->target->str;
	str_t expected = http_headers_get(&head->headers, "x-expect-instance");
	str_t id = http_headers_get(&head->headers, "x-request-id");
	bool prefill = http_headers_get(&head->headers, "x-serving-stage").len > 0;
	char *request = id.len ? str_dup(id) : NULL;

	if (expected.len && !str_equal(expected, str_from(engine->id)))
		reply(engine, exchange, request, 421, false, true, "{}");
	else if (strstr(target, PATH_REPORT))
		take_report(engine, exchange);
	else if (strstr(target, PATH_KV_MOVE))
		take_move(engine, exchange);
	else if (strstr(target, PATH_KV_HANDLE) || strstr(target, "/health"))
		reply(engine, exchange, NULL, 200, false, false, "{}");
	else if (strstr(target, PATH_ORDER))
		take_order(engine, exchange);
	else if (!request)
		reply(engine, exchange, NULL, 400, false, true, "{}");
	else if (!engine->is_plain && prefill != engine->is_prefill)
		reply(engine, exchange, request, 421, false, true, "{}");
	else if (engine->works.length >= engine->places + QUEUE ||
		 engine->change.at_us >= 0)
		reply(engine, exchange, request, 503, false, true, "{}");
	else
		start_work(engine, exchange, prefill);
	g_free(request);
}

static void on_gone(void *context, exchange_t *exchange)
{
	engine_t *engine = context;
	work_t *work = exchange_context(exchange);

	if (!work)
		return;
	work->exchange = NULL;
	if (!engine->works_on || work->prefill)
		end_work(work);
}

static const ingress_handler_t handler = {
	.on_request = on_request,
	.on_gone = on_gone,
};

/* Writes the engine's entry, as it does about every heartbeat. */
static void on_beat(void *context)
{
	engine_t *engine = context;
	char *stage = engine->is_plain
			      ? g_strdup("")
			      : g_strdup_printf(",\"stage\":\"%s\",\"models\":[{\"name\":"
						"\"m\",\"version\":1,\"adapters\":[]}]",
						engine->is_prefill ? "prefill" : "decode");
	char *text = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z\","
		"\"version\":\"%s\",\"slots\":%u,\"state\":\"ready\","
		"\"coldRemainingMs\":0,\"sequence\":%u,\"born\":%" PRId64 "%s}",
		engine->service, engine->listed, engine->software, engine->slots,
		++engine->beats, engine->born_ms, stage);

	if (!engine->site->store_away)
		fake_store_put(&engine->site->store, "servers", engine->id, text);
	alarm_set(&engine->beat, site_now_us(engine->site) + BEAT_US);
	g_free(text);
	g_free(stage);
}

/* Changes the stage once no request is in progress and the time of a change has passed. */
static void on_change(void *context)
{
	engine_t *engine = context;
	int64_t now_us = site_now_us(engine->site);

	if (engine->works.length > 0) {
		engine->idle_us = 0;
	} else if (engine->idle_us == 0) {
		engine->idle_us = now_us;
	} else if (now_us - engine->idle_us >= RECONFIGURE_US) {
		engine->idle_us = 0;
		engine->is_prefill = engine->to_prefill;
		site_note(engine->site, "%s changes its stage", engine->id);
		on_beat(engine);
		return;
	}
	alarm_set(&engine->change, now_us + CHANGE_CHECK_US);
}

/* Ends the engine's process without a word: its connections close, its requests end. */
void engine_crash(engine_t *engine)
{
	if (!engine->up)
		return;
	site_note(engine->site, "%s crashes with %u requests", engine->id,
		  engine->works.length);
	engine->up = false;
	alarm_set(&engine->beat, -1);
	alarm_set(&engine->change, -1);
	while (!g_queue_is_empty(&engine->works))
		end_work(g_queue_peek_head(&engine->works));
	ingress_finish(&engine->ingress);
}

/* Starts the engine's process, at its address and under its ID, and enters it into the list. */
void engine_start(engine_t *engine, const char *software)
{
	static const ingress_limits_t limits = {
		.max_head_bytes = 65536,
		.max_body_bytes = 1 << 20,
		.head_timeout_us = 10 * CLOCK_US_PER_S,
		.idle_timeout_us = 5 * CLOCK_US_PER_S,
	};

	g_strlcpy(engine->software, software, sizeof(engine->software));
	engine->born_ms = g_get_real_time() / 1000;
	engine->beats = 0;
	engine->orders = 0;
	if (!ingress_init(&engine->ingress, engine->address, engine->site->clock,
			  &limits, &handler, engine)) {
		fprintf(stderr, "%s cannot be listened at\n", engine->address);
		exit(CASE_COULD_NOT_RUN);
	}
	engine->up = true;
	site_note(engine->site, "%s starts, version %s, born %" PRId64, engine->id,
		  software, engine->born_ms);
	on_beat(engine);
}

/* Adds an engine ("prefill" or "decode"), or a plain server (NULL). */
engine_t *site_add_engine(site_t *site, const char *service, const char *stage,
			  unsigned slots, bool behind_proxy)
{
	engine_t *engine = g_new0(engine_t, 1);

	engine->site = site;
	engine->service = service;
	engine->is_plain = !stage;
	engine->is_prefill = stage && g_str_equal(stage, "prefill");
	engine->slots = slots;
	engine->places = slots;
	engine->address = unused_address();
	if (behind_proxy)
		engine->proxy = proxy_new(engine->address);
	engine->listed = g_strdup(behind_proxy ? proxy_address(engine->proxy)
					       : engine->address);
	engine->id = g_strdup_printf("i-%u", ++site->next_id);
	g_queue_init(&engine->works);
	engine->heard = g_array_new(FALSE, FALSE, sizeof(int64_t));
	alarm_init(&engine->beat, site->clock, on_beat, engine);
	alarm_init(&engine->change, site->clock, on_change, engine);
	g_ptr_array_add(site->engines, engine);
	engine_start(engine, "1");
	return engine;
}

/* --- entry processes -------------------------------------------------------- */

/* Starts an entry process with the command of the deploy file. */
vm_t *site_add_vm(site_t *site, const char *zone)
{
	vm_t *vm = g_new0(vm_t, 1);
	char *metrics = unused_address();
	char *peer = unused_address();
	char *name = g_strdup_printf("vm-%u", site->vms->len);
	char *text;

	vm->callers = unused_address();
	vm->ready = unused_address();
	vm->settings = g_strdup_printf("%s/%s.toml", site->folder, name);
	vm->log = g_strdup_printf("%s/%s.log", site->folder, name);
	text = g_strdup_printf(
		"vm = \"%s\"\nzone = \"%s\"\ncallers_address = \"%s\"\n"
		"ready_address = \"%s\"\nmetrics_address = \"%s\"\n"
		"peer_address = \"%s\"\nstore_address = \"%s\"\n"
		"shutdown_limit_s = 8\nretry_share = 0.2\nretry_slack = 54\n"
		"bootstrap = true\n",
		name, zone, vm->callers, vm->ready, metrics, peer,
		site->store_address);
	g_file_set_contents(vm->settings, text, -1, NULL);
	vm->pid = fork();
	if (vm->pid == 0) {
		FILE *log = freopen(vm->log, "w", stdout);

		(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (log)
			(void)dup2(fileno(log), 2);
		for (int fd = 3; fd < 1024; fd++)
			close(fd);
		execl("target/gooseberryspur", "gooseberryspur", "entry",
		      vm->settings, (char *)NULL);
		_exit(127);
	}
	site_note(site, "%s takes callers at %s, process %d", name, vm->callers,
		  (int)vm->pid);
	g_ptr_array_add(site->vms, vm);
	g_free(text);
	g_free(name);
	g_free(peer);
	g_free(metrics);
	return vm;
}

/* --- callers ---------------------------------------------------------------- */

static void caller_head(void *context, const http_head_t *head)
{
	((caller_t *)context)->status = head->status;
}

static void caller_body(void *context, const char *data, size_t len)
{
	g_string_append_len(((caller_t *)context)->body, data, (gssize)len);
}

static void caller_end(void *context, call_end_t end)
{
	caller_t *caller = context;

	caller->call = NULL;
	caller->ended = true;
	caller->end = end;
	site_note(caller->site, "answer to %s: status %u, %s, %zu bytes", caller->id,
		  caller->status, call_end_text(end), caller->body->len);
}

static const call_handler_t caller_handler = {
	.on_head = caller_head,
	.on_body = caller_body,
	.on_end = caller_end,
};

/* Sends a request on a connection of its own. `head` has the request line and fields, with their
 * ends; the ID and the length are added.
 */
caller_t *site_send(site_t *site, const vm_t *vm, const char *head, const char *body)
{
	caller_t *caller = g_new0(caller_t, 1);
	GString *message = g_string_new(head);
	http_call_options_t options = {
		.address = vm->callers,
		.message = message,
		.new_connection = true,
		.handler = &caller_handler,
		.context = caller,
	};

	caller->site = site;
	caller->body = g_string_new(NULL);
	caller->id = g_strdup_printf("r%u", ++site->next_id);
	g_string_append_printf(message,
			       "X-Request-Id: %s\r\nContent-Length: %zu\r\n\r\n%s",
			       caller->id, strlen(body), body);
	g_ptr_array_add(site->callers, caller);
	site_note(site, "sent %s to %s", caller->id, vm->callers);
	caller->call = http_pool_call(&site->pool, &options);
	if (!caller->call)
		caller->ended = true;
	g_string_free(message, TRUE);
	return caller;
}

/* Sends a request for a stream. */
caller_t *site_send_stream(site_t *site, const vm_t *vm, const char *path)
{
	char *head = g_strdup_printf(
		"POST %s HTTP/1.1\r\nHost: h.example\r\nX-Deadline-Ms: 14000\r\n"
		"X-Model-Name: m\r\nX-Token-Count: 1000,200\r\n"
		"X-Prompt-Prefix: 5c1e07a2:200,%08x:800\r\n",
		path, g_random_int());
	caller_t *caller = site_send(site, vm, head, "prompt");

	g_free(head);
	return caller;
}

/* Counts the requests without a whole answer so far. */
unsigned site_open_calls(const site_t *site)
{
	unsigned n = 0;

	for (guint i = 0; i < site->callers->len; i++)
		n += !((caller_t *)g_ptr_array_index(site->callers, i))->ended;
	return n;
}

/* --- the deployment --------------------------------------------------------- */

static gboolean on_time(gpointer data)
{
	*(bool *)data = true;
	return G_SOURCE_REMOVE;
}

/* Runs the main loop for a time. */
void site_run_ms(site_t *site, int64_t ms)
{
	bool over = false;

	g_timeout_add((guint)ms, on_time, &over);
	while (!over)
		g_main_context_iteration(NULL, TRUE);
}

/* Waits until all entry processes say that they are ready. */
bool site_await_ready(site_t *site, int64_t ms)
{
	int64_t until_us = site_now_us(site) + ms * CLOCK_US_PER_MS;

	for (guint i = 0; i < site->vms->len; i++) {
		vm_t *vm = g_ptr_array_index(site->vms, i);
		unsigned status = 0;

		while (status != 200 && site_now_us(site) < until_us) {
			caller_t probe = {.site = site,
					  .id = (char *)"ready",
					  .body = g_string_new(NULL)};
			GString *message = g_string_new(
				"GET /gooseberryspur/ready HTTP/1.1\r\nHost: h\r\n\r\n");
			http_call_options_t options = {
				.address = vm->ready,
				.message = message,
				.new_connection = true,
				.handler = &caller_handler,
				.context = &probe,
			};

			if (http_pool_call(&site->pool, &options)) {
				while (!probe.ended)
					g_main_context_iteration(NULL, TRUE);
			}
			status = probe.status;
			g_string_free(message, TRUE);
			g_string_free(probe.body, TRUE);
			site_run_ms(site, 50);
		}
		if (status != 200)
			return false;
	}
	return true;
}

void site_put_config(site_t *site, const char *text)
{
	fake_store_put(&site->store, TABLE_CONFIG, KEY_CONFIG, text);
}

void site_init(site_t *site, const char *record_path)
{
	memset(site, 0, sizeof(*site));
	(void)signal(SIGPIPE, SIG_IGN);
	site->clock = clock_boottime();
	site->begun_us = site_now_us(site);
	site->record = fopen(record_path, "w");
	site->folder = g_dir_make_tmp("review-XXXXXX", NULL);
	if (!site->record || !site->folder)
		exit(CASE_COULD_NOT_RUN);
	site->engines = g_ptr_array_new();
	site->vms = g_ptr_array_new();
	site->callers = g_ptr_array_new();
	site->runs = g_ptr_array_new();
	site->events = 40;
	site->event_us = 50 * CLOCK_US_PER_MS;
	site->queue_us = 20 * CLOCK_US_PER_MS;
	site->store_address = unused_address();
	fake_store_start(&site->store, site->store_address);
	http_pool_init(&site->pool, site->clock, 0, 0);
}

/* Ends all processes. */
void site_finish(site_t *site)
{
	bool keep = g_getenv("KEEP") != NULL;

	for (guint i = 0; i < site->vms->len; i++) {
		vm_t *vm = g_ptr_array_index(site->vms, i);

		(void)kill(vm->pid, SIGCONT);
		(void)kill(vm->pid, SIGKILL);
		(void)waitpid(vm->pid, NULL, 0);
		if (!keep) {
			(void)g_remove(vm->settings);
			(void)g_remove(vm->log);
		}
	}
	if (keep)
		fprintf(stderr, "logs in %s\n", site->folder);
	else
		(void)g_rmdir(site->folder);
	fclose(site->record);
}
