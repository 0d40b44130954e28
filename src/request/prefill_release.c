#include "request/prefill_release.h"

#include "request/server_notice.h"

/* How long an engine may take to answer. It drops the result by itself before that. */
#define TIMEOUT_US (2 * CLOCK_US_PER_S)

/* Most releases in progress at a VM, each with a connection. Further results are left to
 * expire.
 */
#define MAX_RELEASES 64

/* Largest answer to a release. */
#define MAX_BODY_BYTES 65536

/* A release in progress. It frees itself at its end. */
typedef struct {
	relay_t *relay;
	server_t *server; /* holds a reference */
	http_call_t *call; /* NULL: has ended */
	alarm_t deadline;
} release_t;

/* Frees a release and cancels its call, if that is in progress. */
static void finish(release_t *release)
{
	if (release->call)
		http_call_cancel(release->call);
	g_queue_remove(&release->relay->releases, release);
	alarm_finish(&release->deadline);
	server_unref(release->server);
	g_free(release);
}

/* Records what the engine says of itself. */
static void on_head(void *context, const http_head_t *head)
{
	release_t *release = context;

	server_notice_read(release->relay, release->server, head, "release");
}

/* Ignores the answer. */
static void on_body(void *context, const char *data, size_t len)
{
}

/* Frees a release; how it ended does not matter. */
static void on_end(void *context, call_end_t end)
{
	release_t *release = context;

	release->call = NULL;
	finish(release);
}

static const call_handler_t release_handler = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

/* Ends a release that is not answered. */
static void on_deadline(void *context)
{
	finish(context);
}

/* Asks an engine to free a prefill result, `handle` of `source`. Nothing depends on the
 * answer: the engine soon drops the result by itself. Does nothing while the engine wants no
 * requests, or too many releases are in progress.
 */
void prefill_release_start(relay_t *relay, server_t *server, const char *source,
			   const char *handle)
{
	int64_t now_us = clock_now(&relay->clock);
	GString *message;
	release_t *release;
	char *address;
	http_call_options_t options = {
		.max_body_bytes = MAX_BODY_BYTES,
		.handler = &release_handler,
	};

	if (server_is_paused(server, now_us) ||
	    g_queue_get_length(&relay->releases) >= MAX_RELEASES)
		return;
	release = g_new0(release_t, 1);
	release->relay = relay;
	release->server = server_ref(server);
	alarm_init(&release->deadline, relay->clock, on_deadline, release);
	g_queue_push_tail(&relay->releases, release);
	address = g_strndup(source, strlen(source) - strlen(handle) - 1);
	message = g_string_new(NULL);
	append_handle_release(message, address, handle);
	options.address = address;
	options.message = message;
	options.context = release;
	release->call = http_pool_call(relay->pool, &options);
	if (release->call)
		alarm_set(&release->deadline, now_us + TIMEOUT_US);
	else
		finish(release);
	g_string_free(message, TRUE);
	g_free(address);
}

/* Cancels all releases in progress. To be called before the pool of connections ends. */
void prefill_releases_cancel(relay_t *relay)
{
	while (!g_queue_is_empty(&relay->releases))
		finish(g_queue_peek_head(&relay->releases));
}
