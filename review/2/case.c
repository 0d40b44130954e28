/* All servers of a plain service and the processes of all VMs go down together and come back. The
 * servers are back under new ids at their old addresses while their old entries still stand in the
 * store. A VM that starts then takes the entry that it reads last for the owner of an address: the
 * old one. It never uses the server again, although the old entry goes soon after.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http.h"
#include "run.h"
#include "server.h"
#include "store.h"

/* Bounds of the site file mtkvari-voice. */
#define GRACE_S 8
#define RETRY_SHARE 0.2
#define RETRY_SLACK 56
#define RECOVER_MS 12000

/* Work of a server on a request. */
#define WORK_MS 60

/* The caller's time budget. */
#define BUDGET_MS 1500

#define N_VMS 2
#define N_SERVERS 3

/* Callers come to each VM with this pause between two of them. */
#define CALLER_PAUSE_MS 40

/* When the servers crash, when the processes of all VMs are killed, when the servers and then
 * the VMs are started again, and when the platform removes the old entries of the servers, three
 * heartbeats after their last one; all after the begin of the traffic.
 */
#define CRASH_AT_MS 8000
#define KILL_AT_MS 9200
#define SERVERS_BACK_AT_MS 10200
#define START_AT_MS 10400
#define REMOVED_AT_MS 11600

/* How long requests count after the time for the recovery. */
#define COUNTED_MS 8000

#define MAX_CALLERS 16384

/* One caller and its request. */
typedef struct {
	unsigned number;
	const vm_t *vm;
	long long sent_ms;
	int status;
	const char *run_by; /* the server that ran it last, or NULL */
	volatile bool ended;
} caller_t;

static const char config[] =
	"{\"version\":%d,\"routes\":[{\"name\":\"r-1\","
	"\"host\":\"booking.example\",\"pathPrefix\":\"/schedule/\","
	"\"kind\":\"safe\",\"timeoutMs\":800,\"targetLatencyMs\":300,"
	"\"priority\":2,\"service\":\"booking-app\",\"maxAttempts\":2,"
	"\"stickySessions\":false,\"resumable\":false}],"
	"\"services\":[{\"name\":\"booking-app\",\"healthPath\":\"/health\","
	"\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static vm_t vms[N_VMS];
static server_t servers[2 * N_SERVERS];
static caller_t callers[MAX_CALLERS];
static unsigned n_callers;
static long long zero_ms; /* begin of the traffic */
static volatile bool over;

/* Writes a version of the configuration, as the operator does. */
static void put_config(int version)
{
	char text[2048];

	snprintf(text, sizeof(text), config, version);
	store_put("op", "config", text);
	record("the store has acknowledged version %d of the configuration",
	       version);
}

/* Notes which server runs a request. */
static void note_run(const server_t *server, const message_t *request)
{
	char id[64];
	unsigned number;

	if (header(request, "X-Request-Id", id, sizeof(id)) &&
	    sscanf(id, "request-%u", &number) == 1 && number < MAX_CALLERS)
		callers[number].run_by = server->id;
}

/* Runs a request, or answers a health check. */
static bool answer(server_t *server, conn_t *conn, const message_t *request,
		   unsigned number)
{
	if (!strcmp(request->target, "/health"))
		return send_text(conn->fd,
				 "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n"
				 "Content-Length: 0\r\n\r\n",
				 server->id);
	note_run(server, request);
	sleep_ms(WORK_MS);
	return !server->down && server_reply(conn, request, "booth 7", 7);
}

/* Sends one request over a new connection and reads the answer. */
static void *call(void *argument)
{
	caller_t *caller = argument;
	conn_t *conn = malloc(sizeof(*conn));
	message_t message = {.status = 0};

	if (conn_open_from(conn, caller->vm->callers_port, caller->number)) {
		send_text(
			conn->fd,
			"GET /schedule/today HTTP/1.1\r\n"
			"Host: booking.example\r\nX-Request-Id: request-%u\r\n"
			"X-Deadline-Ms: %d\r\n\r\n",
			caller->number, BUDGET_MS);
		(void)read_message(conn, &message);
		caller->status = message.status;
		message_finish(&message);
		conn_close(conn);
	}
	free(conn);
	caller->ended = true;
	return NULL;
}

/* Sends callers to all VMs until the run is over. */
static void *send_callers(void *argument)
{
	while (!over && n_callers + N_VMS <= MAX_CALLERS) {
		for (int i = 0; i < N_VMS; i++) {
			caller_t *caller = &callers[n_callers];

			caller->number = n_callers++;
			caller->vm = &vms[i];
			caller->sent_ms = now_ms() - zero_ms;
			start_thread(call, caller);
		}
		sleep_ms(CALLER_PAUSE_MS);
	}
	return NULL;
}

/* Waits until a time after the begin of the traffic. */
static void wait_until(long long ms)
{
	sleep_ms(zero_ms + ms - now_ms());
}

/* Starts the servers under their first ids, or again under new ones. */
static void start_servers(bool again)
{
	static const char *const ids[2][N_SERVERS] = {
		{"i-7f3a91c2", "i-b20d4e19", "i-e5c80a33"},
		{"i-1d9e6b40", "i-3a57f2c8", "i-4408bd71"},
	};

	for (int i = 0; i < N_SERVERS; i++) {
		server_t *server = &servers[again ? N_SERVERS + i : i];

		server->answer = answer;
		server->port = servers[i].port;
		server_start(server, ids[again][i], "booking-app", "vake");
		record("%s: listens at port %d", server->id, server->port);
	}
}

/* Returns the share of requests that were sent in a span and served, and records it. */
static double served_share(long long from_ms, long long until_ms)
{
	int n = 0, served = 0, refused = 0;

	for (unsigned i = 0; i < n_callers; i++) {
		const caller_t *caller = &callers[i];

		if (caller->sent_ms < from_ms || caller->sent_ms >= until_ms)
			continue;
		n++;
		served += caller->status == 200;
		refused += caller->status == 503;
	}
	record("sent from %lld to %lld ms: %d requests, %d served, %d refused",
	       from_ms, until_ms, n, served, refused);
	return n ? (double)served / n : 0;
}

/* Plays the disruptions. */
static void play_trouble(const deployment_t *deployment)
{
	wait_until(CRASH_AT_MS);
	for (int i = 0; i < N_SERVERS; i++)
		server_crash(&servers[i]);
	wait_until(KILL_AT_MS);
	put_config(8);
	for (int i = 0; i < N_VMS; i++)
		vm_signal(&vms[i], SIGKILL);
	for (int i = 0; i < N_VMS; i++) {
		while (!vm_has_ended(&vms[i]))
			sleep_ms(5);
	}
	wait_until(SERVERS_BACK_AT_MS);
	start_servers(true);
	wait_until(START_AT_MS);
	for (int i = 0; i < N_VMS; i++)
		vm_start(&vms[i], deployment, false);
	wait_until(REMOVED_AT_MS);
	for (int i = 0; i < N_SERVERS; i++) {
		store_remove("servers", servers[i].id);
		record("%s: its entry has lapsed", servers[i].id);
	}
}

int main(int argc, char **argv)
{
	deployment_t deployment = {.shutdown_limit_s = GRACE_S,
				   .retry_share = RETRY_SHARE,
				   .retry_slack = RETRY_SLACK};
	double before, after;

	run_begin(argc > 1 ? argv[1] : "record.txt");
	deployment.store_port = store_start();
	put_config(7);
	start_servers(false);
	for (int i = 0; i < N_VMS; i++) {
		char name[32];

		snprintf(name, sizeof(name), "front-vake-%d", i + 1);
		vm_init(&vms[i], name, "vake");
		vm_start(&vms[i], &deployment, true);
	}
	for (int i = 0; i < N_VMS; i++)
		vm_wait_ready(&vms[i]);
	sleep_ms(1500);
	zero_ms = now_ms();
	start_thread(send_callers, NULL);
	if (has_trouble())
		play_trouble(&deployment);
	wait_until(START_AT_MS + RECOVER_MS + COUNTED_MS);
	over = true;
	sleep_ms(BUDGET_MS + 500);
	for (unsigned i = 0; i < n_callers; i++) {
		if (!callers[i].ended)
			give_up("a caller has not ended");
		note("request-%u to %s: sent %lld ms, run by %s, status %d", i,
		     callers[i].vm->name, callers[i].sent_ms,
		     callers[i].run_by ? callers[i].run_by : "none",
		     callers[i].status);
	}
	before = served_share(0, KILL_AT_MS);
	after = served_share(START_AT_MS + RECOVER_MS,
			     START_AT_MS + RECOVER_MS + COUNTED_MS);
	for (int i = 0; i < N_VMS; i++)
		record("%s: %s", vms[i].name,
		       vm_is_ready(&vms[i]) ? "ready" : "not ready");
	record("RECOVER: share served before the final fault %.2f, from "
	       "recoverS after it on %.2f",
	       before, after);
	if (before < 0.25)
		give_up("too little was served before");
	run_end(after < 0.25 ? RULE_BROKEN : RULE_HELD);
}
