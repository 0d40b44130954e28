/* BUDGET: what is known of a request that crashes servers is lost with all VMs. */
#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define VMS 3
#define CALLERS 12
#define SERVERS 4
#define CALM_MS 4000
#define RUN_MS 85000

/* Time from one deadly request to the next, and for which a server that crashed is away. */
#define DEADLY_MS 5000
#define AWAY_MS 4000

/* How long after the third crash all VMs are killed, and for how long they are down. */
#define KILL_AFTER_MS 300
#define DOWN_MS 1000

#define STABLE_WINDOW_MS 3000
#define ALLOWED_RETRIES 3

static const char deadly_path[] = "/bay/deadly";

static store_t store;
static server_t servers[SERVERS];
static vm_t vms[VMS];
static int64_t begun_ms, third_ms, vms_started_ms, down_until_ms[SERVERS];
static unsigned crashes, counted, sound_sent, sound_served, sound_lost,
	sequence;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* Counts a deadly request that has reached a server. */
static void count_deadly(const server_t *server)
{
	int64_t at_ms = now_ms();
	bool counts;

	pthread_mutex_lock(&lock);
	crashes++;
	if (crashes == 3)
		third_ms = at_ms;
	counts = third_ms != 0 && at_ms - third_ms > STABLE_WINDOW_MS &&
		 at_ms - vms_started_ms > STABLE_WINDOW_MS;
	counted += counts;
	down_until_ms[server->number] = at_ms + AWAY_MS;
	pthread_mutex_unlock(&lock);
	note("the deadly request reaches %s and crashes it (crash %u)%s",
	     server->id, crashes,
	     counts ? ": later than stableWindowMs after the third crash, by a "
		      "VM in touch"
		    : "");
}

/* Runs a request for 30 ms; a deadly one crashes the server. */
static bool run(server_t *server, stream_t *stream, const message_t *request)
{
	if (strstr(request->head, deadly_path)) {
		count_deadly(server);
		server_crash(server);
		return false;
	}
	sleep_ms(30);
	return server_reply(server, stream, request, 200, "bay 7 is free\n");
}

/* Sends one request on a new connection. Returns the status, or 0 without an answer. */
static int call(const vm_t *vm, const char *path)
{
	stream_t stream = {.fd = connect_to(vm->callers)};
	char request[512];
	message_t answer = {0};
	int status = 0;
	unsigned number;

	pthread_mutex_lock(&lock);
	number = ++sequence;
	pthread_mutex_unlock(&lock);
	snprintf(request, sizeof(request),
		 "POST %s HTTP/1.1\r\nHost: skladnik.example\r\n"
		 "X-Request-Id: %016x\r\nX-Deadline-Ms: 1500\r\n"
		 "Content-Length: 4\r\n\r\nhall",
		 path, number);
	if (stream.fd >= 0 && stream_send(&stream, request, strlen(request)) &&
	    stream_read(&stream, &answer, false, false, now_ms() + 3000))
		status = message_status(&answer);
	message_free(&answer);
	free(stream.bytes);
	if (stream.fd >= 0)
		close(stream.fd);
	return status;
}

/* A sound caller. */
static void *call_on(void *data)
{
	const vm_t *vm = data;

	while (now_ms() - begun_ms < RUN_MS) {
		int status = call(vm, "/bay/7");

		pthread_mutex_lock(&lock);
		sound_sent++;
		sound_served += status == 200;
		sound_lost += status == 502;
		pthread_mutex_unlock(&lock);
		sleep_ms(60);
	}
	return NULL;
}

/* Starts the servers again whose time is over. */
static void restart_servers(void)
{
	for (unsigned i = 0; i < SERVERS; i++) {
		bool due;

		pthread_mutex_lock(&lock);
		due = down_until_ms[i] != 0 && now_ms() >= down_until_ms[i];
		if (due)
			down_until_ms[i] = 0;
		pthread_mutex_unlock(&lock);
		if (!due)
			continue;
		server_restart(&servers[i]);
		note("server %s is back", servers[i].id);
	}
}

/* Kills all VMs and starts them again. */
static void kill_all(void)
{
	note("all VMs are killed; the store has %s rule on the request",
	     store_has(&store, "gooseberryspur", "crash/") ? "a" : "no");
	for (unsigned i = 0; i < VMS; i++)
		vm_kill(&vms[i]);
	sleep_ms(DOWN_MS);
	for (unsigned i = 0; i < VMS; i++)
		vm_start(&vms[i], &store);
	pthread_mutex_lock(&lock);
	vms_started_ms = now_ms();
	pthread_mutex_unlock(&lock);
}

/* Sends the traffic until its end. */
static void run_traffic(void)
{
	int64_t next_deadly_ms = begun_ms + CALM_MS;
	bool killed = false;
	unsigned turn = 0;

	while (now_ms() - begun_ms < RUN_MS) {
		const vm_t *vm = &vms[turn++ % VMS];
		int status;

		restart_servers();
		if (standin_trouble() && !killed && third_ms != 0 &&
		    now_ms() - third_ms >= KILL_AFTER_MS) {
			killed = true;
			kill_all();
		}
		if (now_ms() >= next_deadly_ms) {
			next_deadly_ms += DEADLY_MS;
			status = call(vm, deadly_path);
			note("deadly request sent to %s: status %d", vm->name,
			     status);
			continue;
		}
		sleep_ms(20);
	}
}

int main(int argc, char **argv)
{
	if (argc != 2)
		return 2;
	standin_start(argv[1]);
	store_start(&store);
	for (unsigned i = 0; i < SERVERS; i++)
		server_start(&servers[i], &store, "space-api", "", i, 6, run);
	store_put(&store, "op", "config",
		  "{\"version\":3,\"routes\":[{\"name\":\"bay-lookup\","
		  "\"host\":\"skladnik.example\",\"pathPrefix\":\"/bay/\","
		  "\"kind\":\"unsafe\",\"timeoutMs\":800,"
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
	vms_started_ms = begun_ms = now_ms();
	note("traffic starts");
	for (unsigned i = 0; i < CALLERS; i++) {
		pthread_t caller;

		pthread_create(&caller, NULL, call_on, &vms[i % VMS]);
	}
	run_traffic();
	note("crashes %u; sound requests: %u sent, %u served, %u lost; the deadly "
	     "request reached servers %u times later than stableWindowMs after "
	     "the third crash, sent by VMs in touch (allowed: %d)",
	     crashes, sound_sent, sound_served, sound_lost, counted,
	     ALLOWED_RETRIES);
	if (third_ms == 0 || sound_served < sound_sent / 2)
		standin_finish(2, "the case was not reached");
	if (counted > ALLOWED_RETRIES)
		standin_finish(1, "BUDGET: the deadly request goes on to crash "
				  "servers");
	standin_finish(0, "the deadly request was held");
}
