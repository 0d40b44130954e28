/* Many callers come at once: twelve of each VM send bodies of the largest size that the configuration allows, at
 * the pace of their links. The VMs keep all of it in memory, exceed the memory of their machines
 * and are ended by the platform.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "http.h"
#include "run.h"
#include "server.h"
#include "store.h"

/* Bounds and machines of the site file skladnik-prod. */
#define GRACE_S 8
#define RETRY_SHARE 0.2
#define RETRY_SLACK 56
#define MEMORY_BYTES (110 * 1000000LL)

/* Largest body by the configuration, and how fast a caller sends it: 10 Mbit/s. */
#define BODY_BYTES ((size_t)4194304)
#define PIECE_BYTES ((size_t)12500)
#define PIECE_MS 10

/* The caller's time budget and the route's timeout. */
#define BUDGET_MS 14000

#define N_VMS 2
#define CALLERS_PER_VM 12 /* with the burst, x 2.0 */
#define CALLERS_WITHOUT 6
#define WAVES 3

/* Work of a server on a request. */
#define WORK_MS 30

/* Time after which the platform starts an ended process again. */
#define RESTART_MS 500

/* One caller and its request. */
typedef struct {
	char id[32];
	const vm_t *vm;
	pthread_t thread;
	int status;
	bool complete;
} caller_t;

static const char config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r-1\","
	"\"host\":\"bays.example\",\"pathPrefix\":\"/plans/\","
	"\"kind\":\"unsafe\",\"timeoutMs\":14000,\"targetLatencyMs\":300,"
	"\"priority\":2,\"service\":\"space-api\",\"maxAttempts\":1,"
	"\"stickySessions\":false,\"resumable\":false}],"
	"\"services\":[{\"name\":\"space-api\",\"healthPath\":\"/health\","
	"\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static vm_t vms[N_VMS];
static deployment_t deployment = {.shutdown_limit_s = GRACE_S,
				  .retry_share = RETRY_SHARE,
				  .retry_slack = RETRY_SLACK};
static long long most_bytes[N_VMS];
static int ends[N_VMS];
static char body[BODY_BYTES];
static volatile bool over;

/* Runs a request, or answers a health check. */
static bool answer(server_t *server, conn_t *conn, const message_t *request,
		   unsigned number)
{
	if (!strcmp(request->target, "/health"))
		return send_text(conn->fd,
				 "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n"
				 "Content-Length: 0\r\n\r\n",
				 server->id);
	sleep_ms(WORK_MS);
	return server_reply(conn, request, "stored", 6);
}

/* Returns the memory of a process that is resident now. */
static long long resident_bytes(pid_t pid)
{
	char path[64];
	long long pages = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/statm", pid);
	file = fopen(path, "r");
	if (!file || fscanf(file, "%*s %lld", &pages) != 1)
		pages = 0;
	if (file)
		fclose(file);
	return pages * sysconf(_SC_PAGESIZE);
}

/* Ends a VM that exceeds the memory of its machine, and starts it again, as the platform
 * does.
 */
static void *guard_memory(void *argument)
{
	long number = (long)argument;
	vm_t *vm = &vms[number];

	while (!over) {
		long long bytes = resident_bytes(vm->pid);

		if (bytes > most_bytes[number])
			most_bytes[number] = bytes;
		if (bytes > MEMORY_BYTES) {
			record("%s: %lld bytes resident, over its machine's "
			       "memory: ended",
			       vm->name, bytes);
			ends[number]++;
			kill(vm->pid, SIGKILL);
			while (!vm_has_ended(vm))
				sleep_ms(5);
			sleep_ms(RESTART_MS);
			vm_start(vm, &deployment, false);
		}
		sleep_ms(2);
	}
	return NULL;
}

/* Sends the body of a request at the pace of the caller's link. */
static bool send_body(conn_t *conn)
{
	for (size_t sent = 0; sent < BODY_BYTES; sent += PIECE_BYTES) {
		size_t left = BODY_BYTES - sent;

		if (!send_all(conn->fd, body + sent,
			      left < PIECE_BYTES ? left : PIECE_BYTES))
			return false;
		sleep_ms(PIECE_MS);
	}
	return true;
}

/* Sends one request and reads the answer. */
static void *call(void *argument)
{
	caller_t *caller = argument;
	conn_t *conn = malloc(sizeof(*conn));
	message_t message = {.status = 0};

	caller->complete = false;
	caller->status = 0;
	if (conn_open(conn, caller->vm->callers_port)) {
		send_text(conn->fd,
			  "POST /plans/bay HTTP/1.1\r\nHost: bays.example\r\n"
			  "X-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"
			  "Content-Length: %zu\r\n\r\n",
			  caller->id, BUDGET_MS, BODY_BYTES);
		if (send_body(conn))
			caller->complete = read_message(conn, &message);
		caller->status = message.status;
		message_finish(&message);
		conn_close(conn);
	}
	free(conn);
	return NULL;
}

/* Plays one wave: all callers at the same time. Returns how many were served. */
static int play_wave(int wave, int callers_per_vm)
{
	static caller_t callers[N_VMS * CALLERS_PER_VM];
	int n = N_VMS * callers_per_vm;
	int served = 0;

	for (int i = 0; i < n; i++) {
		snprintf(callers[i].id, sizeof(callers[i].id), "request-%d-%d",
			 wave, i);
		callers[i].vm = &vms[i % N_VMS];
		pthread_create(&callers[i].thread, NULL, call, &callers[i]);
	}
	for (int i = 0; i < n; i++) {
		pthread_join(callers[i].thread, NULL);
		served += callers[i].complete && callers[i].status == 200;
	}
	record("wave %d: %d of %d requests were served", wave, served, n);
	return served;
}

int main(int argc, char **argv)
{
	static server_t servers[2];
	int callers_per_vm = has_trouble() ? CALLERS_PER_VM : CALLERS_WITHOUT;
	int served = 0;
	bool broken = true;

	run_begin(argc > 1 ? argv[1] : "record.txt");
	deployment.store_port = store_start();
	store_put("op", "config", config);
	for (int i = 0; i < 2; i++) {
		char name[32];

		snprintf(name, sizeof(name), "i-%d", i + 1);
		servers[i].answer = answer;
		server_start(&servers[i], name, "space-api", "hall-kladno");
	}
	for (long i = 0; i < N_VMS; i++) {
		char name[32];

		snprintf(name, sizeof(name), "front-hall-kladno-%ld", i + 1);
		vm_init(&vms[i], name, "hall-kladno");
		vm_start(&vms[i], &deployment, true);
		vm_wait_ready(&vms[i]);
		start_thread(guard_memory, (void *)i);
	}
	sleep_ms(1500);
	for (int wave = 1; wave <= WAVES; wave++) {
		served += play_wave(wave, callers_per_vm);
		sleep_ms(RESTART_MS);
		for (int i = 0; i < N_VMS; i++)
			vm_wait_ready(&vms[i]);
	}
	over = true;
	for (int i = 0; i < N_VMS; i++) {
		record("%s: at most %lld bytes resident, ended %d times",
		       vms[i].name, most_bytes[i], ends[i]);
		broken = broken && ends[i] >= WAVES;
	}
	if (!has_trouble() && served == 0)
		give_up("no request was served");
	run_end(broken ? RULE_BROKEN : RULE_HELD);
}
