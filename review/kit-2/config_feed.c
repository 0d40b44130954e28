/* CONFIG: one lost answer of the store keeps an old configuration in force for 15 s. */
#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define VMS 2
#define SERVERS 4
#define CHANGE_AT_MS 2500
#define RUN_MS 25000

/* Bounds of the deployment. */
#define CONFIG_APPLY_MS 2000
#define STABLE_WINDOW_MS 3000
#define MAX_SKEW_MS 5000

static store_t store;
static server_t servers[SERVERS];
static vm_t vms[VMS];
static int64_t begun_ms, acked_ms, lost_ms;
static unsigned sent, served, late_old, late_new, sequence;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* Loses the first answer that tells of the new configuration. */
static bool loses_answer(const char *table)
{
	bool loses;

	pthread_mutex_lock(&lock);
	loses = standin_trouble() && acked_ms != 0 && lost_ms == 0 &&
		strcmp(table, "op") == 0;
	if (loses)
		lost_ms = now_ms();
	pthread_mutex_unlock(&lock);
	return loses;
}

/* Runs a request for 30 ms. */
static bool run(server_t *server, stream_t *stream, const message_t *request)
{
	sleep_ms(30);
	return server_reply(server, stream, request, 200, server->service);
}

/* Sends one request and notes which service has run it. */
static void call(const vm_t *vm)
{
	stream_t stream = {.fd = connect_to(vm->callers)};
	char request[512];
	message_t answer = {0};
	int64_t sent_ms = now_ms();
	bool is_late = acked_ms != 0 &&
		       sent_ms - acked_ms > CONFIG_APPLY_MS + MAX_SKEW_MS;

	sent++;
	snprintf(request, sizeof(request),
		 "GET /dock/%u HTTP/1.1\r\nHost: skladnik.example\r\n"
		 "X-Request-Id: %016x\r\nX-Deadline-Ms: 1500\r\n\r\n",
		 sequence, sequence + 1);
	sequence++;
	if (stream.fd >= 0 && stream_send(&stream, request, strlen(request)) &&
	    stream_read(&stream, &answer, false, false, now_ms() + 3000)) {
		bool is_old = answer.body &&
			      strncmp(answer.body, "space-api-old",
				      answer.body_len) == 0;

		served += message_status(&answer) == 200;
		late_old += is_late && is_old;
		late_new += is_late && !is_old;
		if (acked_ms != 0)
			note("%016x sent to %s %lld ms after the ack: %d %.*s%s",
			     sequence, vm->name,
			     (long long)(sent_ms - acked_ms),
			     message_status(&answer), (int)answer.body_len,
			     answer.body ? answer.body : "",
			     is_late && is_old ? " (too late)" : "");
	}
	message_free(&answer);
	free(stream.bytes);
	if (stream.fd >= 0)
		close(stream.fd);
}

/* Writes a configuration whose route leads to a service. */
static void put_config(unsigned version, const char *service)
{
	char text[1024];

	snprintf(text, sizeof(text),
		 "{\"version\":%u,\"routes\":[{\"name\":\"dock-lookup\","
		 "\"host\":\"skladnik.example\",\"pathPrefix\":\"/dock/\","
		 "\"kind\":\"safe\",\"timeoutMs\":800,"
		 "\"targetLatencyMs\":150,\"priority\":2,\"maxAttempts\":2,"
		 "\"service\":\"%s\"}],\"services\":["
		 "{\"name\":\"space-api-old\",\"healthPath\":\"/health\","
		 "\"maxConnections\":110},{\"name\":\"space-api-new\","
		 "\"healthPath\":\"/health\",\"maxConnections\":110}],"
		 "\"limits\":{\"maxHeaderBytes\":16384,"
		 "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
		 "\"idleTimeoutMs\":15000}}",
		 version, service);
	store_put(&store, "op", "config", text);
}

int main(int argc, char **argv)
{
	if (argc != 2)
		return 2;
	standin_start(argv[1]);
	store_start(&store);
	store.loses_answer = loses_answer;
	for (unsigned i = 0; i < SERVERS; i++)
		server_start(&servers[i], &store,
			     i % 2 ? "space-api-new" : "space-api-old", "", i,
			     6, run);
	put_config(3, "space-api-old");
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
	begun_ms = now_ms();
	note("traffic starts");
	while (now_ms() - begun_ms < RUN_MS) {
		if (acked_ms == 0 && now_ms() - begun_ms >= CHANGE_AT_MS) {
			pthread_mutex_lock(&lock);
			acked_ms = now_ms();
			pthread_mutex_unlock(&lock);
			put_config(8, "space-api-new");
			note("the store acknowledges config version 8: the "
			     "route leads to space-api-new");
		}
		for (unsigned i = 0; i < VMS; i++)
			call(&vms[i]);
		sleep_ms(100);
	}
	note("sent %u, served %u; of those sent %d ms and more after the ack, "
	     "%u were run by the new service and %u by the old one",
	     sent, served, CONFIG_APPLY_MS + MAX_SKEW_MS, late_new, late_old);
	if (served < sent * 9 / 10 || late_new == 0)
		standin_finish(2, "too few requests were served");
	if (late_old > 0)
		standin_finish(1, "CONFIG: the old service runs requests that "
				  "were sent too long after the ack");
	standin_finish(0, "the new configuration was in force in time");
}
