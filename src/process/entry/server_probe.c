#include "process/entry/server_probe.h"

#include "wire_fields.h"
#include "process/alarm.h"
#include "process/log.h"
#include "request/server_notice.h"

/* Time from one probe of a server to the next, and how long one may take. */
#define PROBE_INTERVAL_US (800 * CLOCK_US_PER_MS)
#define PROBE_TIMEOUT_US (500 * CLOCK_US_PER_MS)

/* The time between probes doubles while the address of the server answers as another one,
 * at most so often: an entry that names a wrong address may stay in the list.
 */
#define PROBE_MAX_DOUBLINGS 4

/* Largest body of an answer to a probe. */
#define MAX_BODY_BYTES 65536

/* A probe in progress. It frees itself at its end. */
typedef struct {
	relay_t *relay;
	server_t *server; /* holds a reference */
	http_call_t *call; /* NULL: has ended */
	alarm_t deadline;
} probe_t;

/* Frees a probe and cancels its call, if that is in progress. */
static void finish(probe_t *probe)
{
	if (probe->call)
		http_call_cancel(probe->call);
	g_queue_remove(&probe->relay->probes, probe);
	alarm_finish(&probe->deadline);
	server_unref(probe->server);
	g_free(probe);
}

/* Records that the address of a server answers as the server. */
static void record_answer(relay_t *relay, server_t *server)
{
	server_record_received(server, clock_now(&relay->clock));
	if (server_set_clear_misdirected(relay->servers, server))
		log_event(LOG_INFO, "server_has_address",
			  LOG_CSTR("server", server->entry.id),
			  LOG_CSTR("address", server->entry.address));
}

/* Handles the answer to a probe. Any status but 421 Misdirected Request shows that the
 * server is reachable again.
 */
static void on_head(void *context, const http_head_t *head)
{
	probe_t *probe = context;

	if (head->status == 421)
		relay_record_misdirected(probe->relay, probe->server,
					 "health_check");
	else
		record_answer(probe->relay, probe->server);
	server_notice_read(probe->relay, probe->server, head, "health_check");
	log_event(LOG_INFO, "server_probed",
		  LOG_CSTR("server", probe->server->entry.id),
		  LOG_UINT("status", head->status));
}

/* Ignores the body; the status suffices. */
static void on_body(void *context, const char *data, size_t len)
{
}

/* Frees a probe whose call has ended. */
static void on_end(void *context, call_end_t end)
{
	probe_t *probe = context;

	probe->call = NULL;
	finish(probe);
}

static const call_handler_t handler = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

/* Cancels a probe without an answer; the server stays suspect. */
static void on_deadline(void *context)
{
	finish(context);
}

/* Appends a request for the health check of a plain service's server, or for
 * the report of a model engine.
 */
static void append_request(GString *message, const server_t *server,
			   const route_table_t *table)
{
	const table_service_t *service =
		route_table_service(table, server->entry.service);
	const char *path = NULL;

	if (server->entry.stage == STAGE_NONE && service)
		path = service->health_path;
	append_probe(message, path, server->entry.address,
		     str_from(server->entry.id));
}

/* Returns the time until the next probe of a server to which one is sent now. */
static int64_t next_interval_us(server_t *server)
{
	unsigned doublings;

	if (!server->misdirected)
		return PROBE_INTERVAL_US;
	doublings = MIN(server->misdirected_probes, PROBE_MAX_DOUBLINGS);
	server->misdirected_probes++;
	return PROBE_INTERVAL_US << doublings;
}

/* Sends one probe. */
static void send_probe(relay_t *relay, server_t *server,
		       const route_table_t *table, int64_t now_us)
{
	GString *message = g_string_new(NULL);
	probe_t *probe = g_new0(probe_t, 1);
	http_call_options_t options = {
		.address = server->entry.address,
		.message = message,
		.max_body_bytes = MAX_BODY_BYTES,
		.handler = &handler,
		.context = probe,
	};

	server->next_probe_us = now_us + next_interval_us(server);
	/* No answer may ever come on connections that are older than the
	 * silence, so the probe opens a new one.
	 */
	http_pool_close_idle(relay->pool, server->entry.address);
	append_request(message, server, table);
	probe->server = server_ref(server);
	probe->relay = relay;
	g_queue_push_tail(&relay->probes, probe);
	alarm_init(&probe->deadline, relay->clock, on_deadline, probe);
	alarm_set(&probe->deadline, now_us + PROBE_TIMEOUT_US);
	probe->call = http_pool_call(relay->pool, &options);
	if (!probe->call)
		finish(probe);
	g_string_free(message, TRUE);
}

/* Returns whether a server is probed: it is silent, or its address answers as another
 * one.
 */
static bool is_probed(const server_t *server, int64_t now_us)
{
	if (server_is_paused(server, now_us))
		return false;
	return server->misdirected ||
	       (server_is_suspect(server) && !server->superseded);
}

/* Probes the servers whose next probe is due. */
void server_probe_send_due(relay_t *relay, const route_table_t *table,
			   int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (!table)
		return; /* the paths of health checks are not known yet */
	g_hash_table_iter_init(&iter, relay->servers->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		server_t *server = value;

		if (is_probed(server, now_us) &&
		    server->next_probe_us <= now_us)
			send_probe(relay, server, table, now_us);
	}
}

/* Cancels all probes in progress. To be called before the pool of connections ends. */
void server_probes_cancel(relay_t *relay)
{
	while (!g_queue_is_empty(&relay->probes))
		finish(g_queue_peek_head(&relay->probes));
}
