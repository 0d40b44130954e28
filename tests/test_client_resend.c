#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "connection/client.h"

/* A server that closes the connection of its second call without an answer,
 * after the client has begun to keep it alive.
 */
typedef struct {
	SoupServer *server;
	char *address;
	int calls;
	int empty; /* calls without the body that was sent */
} closing_t;

static void on_request(SoupServer *server, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer data)
{
	closing_t *closing = data;
	GIOStream *stream;

	closing->calls++;
	if (soup_server_message_get_request_body(message)->length == 0)
		closing->empty++;
	if (closing->calls == 2) {
		stream = soup_server_message_steal_connection(message);
		g_io_stream_close(stream, NULL, NULL);
		g_object_unref(stream);
		return;
	}
	soup_server_message_set_status(message, 200, NULL);
}

static void start(closing_t *closing)
{
	GSList *uris;

	memset(closing, 0, sizeof(*closing));
	closing->server = soup_server_new(NULL, NULL);
	soup_server_add_handler(closing->server, NULL, on_request, closing,
				NULL);
	assert_true(soup_server_listen_local(
		closing->server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
	uris = soup_server_get_uris(closing->server);
	closing->address =
		g_strdup_printf("127.0.0.1:%d", g_uri_get_port(uris->data));
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
}

static void on_done(void *context, const client_response_t *response)
{
	*(int *)context = (int)response->outcome;
}

static int call(client_t *client, const closing_t *closing, const char *method)
{
	GBytes *body = g_bytes_new_static("body", 4);
	client_request_t request = {
		.method = method,
		.address = str_from(closing->address),
		.path = "/x",
		.content_type = "text/plain",
		.body = strcmp(method, "GET") != 0 ? body : NULL,
		.deadline_us = clock_now(&client->clock) + 5 * CLOCK_US_PER_S,
		.on_done = on_done,
	};
	int outcome = -1;

	request.context = &outcome;
	assert_non_null(client_send(client, &request));
	while (outcome < 0)
		g_main_context_iteration(NULL, TRUE);
	g_bytes_unref(body);
	return outcome;
}

/* Guards against a call that runs twice, or a second time without its body,
 * because the client resent it.
 */
static void test_nothing_is_resent(void **state)
{
	static const char *const methods[] = {"PUT", "DELETE", "POST", "PATCH",
					      "GET"};

	for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
		client_t client;
		closing_t closing;

		start(&closing);
		client_init(&client, clock_boottime());
		/* Leaves a connection open, which the next call uses. */
		assert_int_equal(call(&client, &closing, "POST"),
				 CLIENT_ANSWERED);
		closing.empty = 0;
		assert_int_equal(call(&client, &closing, methods[i]),
				 CLIENT_LOST);
		assert_int_equal(closing.calls, 2);
		if (strcmp(methods[i], "GET") != 0)
			assert_int_equal(closing.empty, 0);
		client_finish(&client);
		soup_server_disconnect(closing.server);
		g_object_unref(closing.server);
		g_free(closing.address);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_nothing_is_resent),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
