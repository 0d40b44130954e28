/* MIXED: the answer that an entry process itself gives to a HEAD request has a body. */
#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define VMS 2
#define SERVERS 4
#define CALLERS 40
#define RUN_MS 14000

/* The disruption, from 5 s on: 0.6 of the servers reset the connection in place of the answer
 * to 0.4 of the requests that they have run.
 */
#define LOSE_FROM_MS 5000
#define LOSE_FOR_MS 4000
#define LOSING_SERVERS 2
#define LOST_SHARE 0.4

static store_t store;
static server_t servers[SERVERS];
static vm_t vms[VMS];
static int64_t begun_ms;
static unsigned sent, answered, own_answers, stray, sequence;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* Returns whether a server loses the answer to a request now. */
static bool loses_answer(const server_t *server)
{
	int64_t at_ms = now_ms() - begun_ms;

	return standin_trouble() && server->number < LOSING_SERVERS &&
	       at_ms >= LOSE_FROM_MS && at_ms < LOSE_FROM_MS + LOSE_FOR_MS &&
	       rand() < LOST_SHARE * RAND_MAX;
}

/* Runs a request for 30 ms. */
static bool run(server_t *server, stream_t *stream, const message_t *request)
{
	char id[64] = "";

	(void)message_field(request, "x-request-id", id, sizeof(id));
	sleep_ms(30);
	if (loses_answer(server)) {
		note("server %s runs %s and its answer is lost", server->id,
		     id);
		stream_reset(stream);
		return false;
	}
	return server_reply(server, stream, request, 200, "bay 7 is free\n");
}

/* Sends one request on a kept connection and checks what comes. Returns false if the
 * connection is not to be used again.
 */
static bool call(stream_t *stream, const vm_t *vm, bool is_head)
{
	char request[512], id[32], signature[128];
	message_t answer;
	bool ok, has_more;

	pthread_mutex_lock(&lock);
	snprintf(id, sizeof(id), "%016x", ++sequence);
	sent++;
	pthread_mutex_unlock(&lock);
	snprintf(request, sizeof(request),
		 "%s /dock/7 HTTP/1.1\r\nHost: skladnik.example\r\n"
		 "X-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\n\r\n",
		 is_head ? "HEAD" : "GET", id);
	ok = stream_send(stream, request, strlen(request)) &&
	     stream_read(stream, &answer, false, is_head, now_ms() + 3000);
	if (!ok) {
		note("%s %s at %s: no answer", is_head ? "HEAD" : "GET", id,
		     vm->name);
		return false;
	}
	has_more = stream_has_more(stream, 10);
	pthread_mutex_lock(&lock);
	answered++;
	own_answers += !message_field(&answer, "x-response-signature",
				      signature, sizeof(signature));
	stray += has_more;
	pthread_mutex_unlock(&lock);
	if (message_status(&answer) != 200 || has_more)
		note("%s %s at %s: status %d", is_head ? "HEAD" : "GET", id,
		     vm->name, message_status(&answer));
	if (has_more)
		note("%s %s at %s: the answer is complete, and no request "
		     "waits; then come %zu bytes: %s",
		     is_head ? "HEAD" : "GET", id, vm->name, stream->len,
		     stream->bytes);
	message_free(&answer);
	return !has_more;
}

/* A caller: keeps a connection and asks by HEAD and GET in turn. */
static void *call_on(void *data)
{
	const vm_t *vm = data;
	stream_t stream = {.fd = -1};
	bool is_head = false;

	while (now_ms() - begun_ms < RUN_MS) {
		if (stream.fd < 0) {
			stream = (stream_t){.fd = connect_to(vm->callers)};
			if (stream.fd < 0)
				break;
		}
		is_head = !is_head;
		if (!call(&stream, vm, is_head)) {
			close(stream.fd);
			free(stream.bytes);
			stream = (stream_t){.fd = -1};
		}
		sleep_ms(20);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t callers[CALLERS];

	if (argc != 2)
		return 2;
	standin_start(argv[1]);
	srand((unsigned)now_ms());
	store_start(&store);
	for (unsigned i = 0; i < SERVERS; i++)
		server_start(&servers[i], &store, "space-api", "", i, 6, run);
	store_put(&store, "op", "config",
		  "{\"version\":3,\"routes\":[{\"name\":\"dock-lookup\","
		  "\"host\":\"skladnik.example\",\"pathPrefix\":\"/dock/\","
		  "\"kind\":\"safe\",\"timeoutMs\":800,"
		  "\"targetLatencyMs\":150,\"priority\":2,\"maxAttempts\":1,"
		  "\"service\":\"space-api\"}],\"services\":["
		  "{\"name\":\"space-api\",\"healthPath\":\"/health\","
		  "\"maxConnections\":110}],\"limits\":{"
		  "\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
		  "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
	for (unsigned i = 0; i < VMS; i++) {
		char name[32];

		snprintf(name, sizeof(name), "front-hall-a-%u", i + 1);
		vm_init(&vms[i], name);
		vm_start(&vms[i], &store);
	}
	for (unsigned i = 0; i < VMS; i++) {
		if (!vm_wait_ready(&vms[i], 10000))
			standin_finish(2, "a VM does not become ready");
	}
	sleep_ms(1000);
	begun_ms = now_ms();
	note("traffic starts");
	for (unsigned i = 0; i < CALLERS; i++)
		pthread_create(&callers[i], NULL, call_on, &vms[i % VMS]);
	for (unsigned i = 0; i < CALLERS; i++)
		pthread_join(callers[i], NULL);
	note("sent %u, answered %u, of these %u by the VMs themselves; after "
	     "%u answers came bytes that are no answer",
	     sent, answered, own_answers, stray);
	if (answered < sent / 2)
		standin_finish(2, "too few requests were answered");
	if (stray > 0)
		standin_finish(1, "MIXED: bytes that are no answer");
	standin_finish(0, "each byte belonged to an answer");
}
