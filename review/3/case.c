/* Two of three VMs of a zone are stopped together as planned, so that the platform goes on
 * sending callers to all three. They take requests until shortly before their limit, and end
 * before the answers of some: these callers are cut off although a server has run their
 * requests.
 */
#include <pthread.h>
#include <semaphore.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http.h"
#include "run.h"
#include "server.h"
#include "store.h"

/* Bounds of the site file skladnik-prod-large. */
#define GRACE_S 8
#define RETRY_SHARE 0.2
#define RETRY_SLACK 430

/* Requests that were sent no later than this after SIGTERM are excused if their server was
 * still at work in the last sixth of the grace.
 */
#define EXCUSED_MS 3000

/* Requests that a server runs at the same time; others wait there. */
#define SLOTS 6

/* Work of a server on a request. */
#define WORK_MS 60

/* A server is silent between these times after SIGTERM: "a second or so". */
#define SILENT_FROM_MS 6500
#define SILENT_UNTIL_MS 7700

/* The caller's time budget and the route's timeout, of bay-lookup. */
#define BUDGET_MS 3000
#define TIMEOUT_MS 1500

/* Pause between two callers of one VM, and when the last ones come. */
#define CALLER_PAUSE_MS 20
#define CALLERS_UNTIL_MS 7400

#define N_VMS 3
#define MAX_CALLERS 2048

/* One caller and its request. */
typedef struct {
	char id[32];
	const vm_t *vm;
	long long sent_ms; /* after SIGTERM */
	bool passed_on;
	bool ended;
	bool cut; /* without a complete answer */
	long long ended_ms;
	int status;
} caller_t;

static const char config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r-1\","
	"\"host\":\"bays.example\",\"pathPrefix\":\"/bays/\","
	"\"kind\":\"unsafe\",\"timeoutMs\":1500,\"targetLatencyMs\":300,"
	"\"priority\":2,\"service\":\"space-api\",\"maxAttempts\":1,"
	"\"stickySessions\":false,\"resumable\":false}],"
	"\"services\":[{\"name\":\"space-api\",\"healthPath\":\"/health\","
	"\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static caller_t callers[MAX_CALLERS];
static int n_callers;
static long long zero_ms; /* when SIGTERM is sent */
static server_t servers[2];
static sem_t slots[2]; /* free ones of each server */

/* Notes that a request has reached a server. */
static void note_arrival(const char *id)
{
	pthread_mutex_lock(&lock);
	for (int i = 0; i < n_callers; i++) {
		if (!strcmp(callers[i].id, id))
			callers[i].passed_on = true;
	}
	pthread_mutex_unlock(&lock);
}

/* Waits while a server is silent. Only the first one is, once. */
static void wait_out_silence(const server_t *server)
{
	long long at_ms = now_ms() - zero_ms;

	if (server == &servers[0] && at_ms >= SILENT_FROM_MS &&
	    at_ms < SILENT_UNTIL_MS)
		sleep_ms(SILENT_UNTIL_MS - at_ms);
}

/* Runs a request, or answers a health check. */
static bool answer(server_t *server, conn_t *conn, const message_t *request,
		   unsigned number)
{
	char id[64];

	if (!strcmp(request->target, "/health")) {
		wait_out_silence(server);
		return send_text(conn->fd,
				 "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n"
				 "Content-Length: 0\r\n\r\n",
				 server->id);
	}
	if (!header(request, "X-Request-Id", id, sizeof(id)))
		return false;
	note_arrival(id);
	sem_wait(&slots[server - servers]);
	sleep_ms(WORK_MS);
	wait_out_silence(server);
	sem_post(&slots[server - servers]);
	return server_reply(conn, request, "bay 7", 5);
}

/* Sends one request over a new connection and reads the answer. */
static void *call(void *argument)
{
	caller_t *caller = argument;
	conn_t *conn = malloc(sizeof(*conn));
	message_t message = {.status = 0};

	if (!conn_open(conn, caller->vm->callers_port)) {
		free(conn);
		caller->ended = true; /* refused: no request was taken */
		return NULL;
	}
	caller->sent_ms = now_ms() - zero_ms;
	send_text(conn->fd,
		  "POST /bays/free HTTP/1.1\r\nHost: bays.example\r\n"
		  "X-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"
		  "Content-Length: 2\r\n\r\nok",
		  caller->id, BUDGET_MS);
	caller->cut = !read_message(conn, &message);
	caller->status = message.status;
	caller->ended_ms = now_ms() - zero_ms;
	message_finish(&message);
	conn_close(conn);
	free(conn);
	caller->ended = true;
	return NULL;
}

/* Starts the next caller of a VM. */
static void start_caller(const vm_t *vm)
{
	caller_t *caller = &callers[n_callers];

	if (n_callers == MAX_CALLERS)
		return;
	snprintf(caller->id, sizeof(caller->id), "request-%d", n_callers + 1);
	caller->vm = vm;
	pthread_mutex_lock(&lock);
	n_callers++;
	pthread_mutex_unlock(&lock);
	start_thread(call, caller);
}

/* Returns whether a request breaks LOST, and records it. Only those that have reached a
 * server count, as nobody outside sees what a process has read.
 */
static bool is_lost(const caller_t *caller, bool stopped)
{
	bool lost = stopped && caller->cut && caller->sent_ms > EXCUSED_MS &&
		    caller->sent_ms < (GRACE_S + 1) * 1000 &&
		    caller->passed_on &&
		    caller->ended_ms - caller->sent_ms < TIMEOUT_MS;

	if (caller->cut || caller->status != 200)
		record("%s: to %s, sent %lld ms after SIGTERM, %s, %s %d after "
		       "%lld ms%s",
		       caller->id, caller->vm->name, caller->sent_ms,
		       caller->passed_on ? "passed on" : "not passed on",
		       caller->cut ? "connection ended, status" : "status",
		       caller->status, caller->ended_ms - caller->sent_ms,
		       lost ? ": LOST" : "");
	return lost;
}

int main(int argc, char **argv)
{
	static vm_t vms[N_VMS];
	deployment_t deployment = {.shutdown_limit_s = GRACE_S,
				   .retry_share = RETRY_SHARE,
				   .retry_slack = RETRY_SLACK};
	int lost = 0, served = 0;

	run_begin(argc > 1 ? argv[1] : "record.txt");
	deployment.store_port = store_start();
	store_put("op", "config", config);
	zero_ms = now_ms() + 1000000;
	for (int i = 0; i < 2; i++) {
		char name[32];

		snprintf(name, sizeof(name), "i-%d", i + 1);
		servers[i].answer = answer;
		sem_init(&slots[i], 0, SLOTS);
		server_start(&servers[i], name, "space-api", "hall-kladno");
	}
	for (int i = 0; i < N_VMS; i++) {
		char name[32];

		snprintf(name, sizeof(name), "front-hall-kladno-%d", i + 1);
		vm_init(&vms[i], name, "hall-kladno");
		vm_start(&vms[i], &deployment, true);
	}
	for (int i = 0; i < N_VMS; i++)
		vm_wait_ready(&vms[i]);
	sleep_ms(1500);
	zero_ms = now_ms();
	for (int i = 1; has_trouble() && i < N_VMS; i++)
		vm_signal(&vms[i], SIGTERM);
	record("callers come to all three VMs: of the zone's nodes fewer than "
	       "half are in rotation");
	while (now_ms() - zero_ms < CALLERS_UNTIL_MS) {
		for (int i = 0; i < N_VMS; i++)
			start_caller(&vms[i]);
		sleep_ms(CALLER_PAUSE_MS);
		for (int i = 1; has_trouble() && i < N_VMS; i++)
			(void)vm_has_ended(&vms[i]);
	}
	while (now_ms() - zero_ms < GRACE_S * 1000) {
		sleep_ms(10);
		for (int i = 1; has_trouble() && i < N_VMS; i++)
			(void)vm_has_ended(&vms[i]);
	}
	for (int i = 1; has_trouble() && i < N_VMS; i++)
		vm_signal(&vms[i], SIGKILL); /* as the platform does */
	sleep_ms(BUDGET_MS + 500);
	for (int i = 0; i < n_callers; i++) {
		if (!callers[i].ended)
			give_up("a caller has not ended");
		note("%s to %s: sent %lld ms, passed on %d, status %d, %s after %lld "
		     "ms",
		     callers[i].id, callers[i].vm->name, callers[i].sent_ms,
		     callers[i].passed_on, callers[i].status,
		     callers[i].cut ? "cut" : "answered",
		     callers[i].ended_ms - callers[i].sent_ms);
		lost += is_lost(&callers[i], callers[i].vm != &vms[0]);
		served += callers[i].status == 200;
	}
	record("LOST: %d of %d requests were taken and ended without an answer; "
	       "%d were served",
	       lost, n_callers, served);
	if (served < n_callers / 2)
		give_up("too few requests were served");
	run_end(lost > 0 ? RULE_BROKEN : RULE_HELD);
}
