/* Stand-ins for the scripts of the second review: the platform's store, servers of plain
 * services, callers, and the entry processes that are tested. Everything runs on loopback
 * addresses and the real clock.
 */
#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define ADDRESS_BYTES 64
#define NAME_BYTES 64
#define MAX_ROWS 4096
#define MAX_VMS 12
#define MAX_SERVERS 32
#define MAX_CONNECTIONS 512

/* Interval of the servers' heartbeats, and the silence after which the store drops a row. */
#define HEARTBEAT_MS 1200
#define ROW_EXPIRES_MS (3 * HEARTBEAT_MS)

/* One HTTP message that was read from a connection. */
typedef struct {
	char *head; /* from the first line to the empty line */
	char *body;
	size_t body_len;
} message_t;

/* What a connection has sent beyond the messages that were taken from it. */
typedef struct {
	int fd;
	char *bytes;
	size_t len;
} stream_t;

/* A row of the store. */
typedef struct {
	char table[NAME_BYTES];
	char key[256];
	char *value; /* NULL: removed */
	int64_t version;
	int64_t written_ms;
} row_t;

/* The store. */
typedef struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	row_t rows[MAX_ROWS];
	size_t n_rows;
	int64_t version;
	char address[ADDRESS_BYTES];
	/* Whether the answer to a feed, which holds rows, is lost: the connection stays open
	 * and delivers nothing further. NULL: none is lost.
	 */
	bool (*loses_answer)(const char *table);
	unsigned era;
	row_t copied[MAX_ROWS]; /* see store_copy() */
	size_t n_copied;
} store_t;

typedef struct server server_t;

/* Answers a request; returns false to close the connection. */
typedef bool (*server_fn_t)(server_t *server, stream_t *stream,
			    const message_t *request);

/* A server of a plain service, or an engine. */
struct server {
	store_t *store;
	char id[NAME_BYTES];
	char service[NAME_BYTES];
	char stage[16]; /* of an engine; empty: a plain service */
	char address[ADDRESS_BYTES];
	unsigned number;
	unsigned lifetime;
	unsigned slots;
	int listen_fd; /* -1: down */
	int fds[MAX_CONNECTIONS];
	size_t n_fds;
	unsigned running;
	int64_t sequence;
	int64_t born_ms;
	pthread_mutex_t lock;
	server_fn_t answer;
};

/* An entry process. */
typedef struct {
	char name[NAME_BYTES];
	char callers[ADDRESS_BYTES];
	char ready[ADDRESS_BYTES];
	char settings[256];
	char log[256];
	pid_t pid; /* 0: not running */
	bool started_before;
	char metrics[ADDRESS_BYTES];
	char peer[ADDRESS_BYTES];
} vm_t;

int64_t now_ms(void);
void sleep_ms(int64_t ms);
void standin_start(const char *folder);
bool standin_trouble(void);
void note(const char *format, ...);
_Noreturn void standin_finish(int code, const char *reason);

int listen_at(char *address);
int connect_to(const char *address);
bool stream_send(stream_t *stream, const char *bytes, size_t len);
bool stream_read(stream_t *stream, message_t *message, bool is_request,
		 bool no_body, int64_t until_ms);
bool stream_has_more(stream_t *stream, int64_t wait_ms);
void stream_reset(stream_t *stream);
void message_free(message_t *message);
bool message_field(const message_t *message, const char *name, char *value,
		   size_t size);
int message_status(const message_t *message);

void store_start(store_t *store);
void store_put(store_t *store, const char *table, const char *key,
	       const char *value);
void store_copy(store_t *store);
void store_restore(store_t *store);
bool store_has(store_t *store, const char *table, const char *prefix);

void server_start(server_t *server, store_t *store, const char *service,
		  const char *stage, unsigned number, unsigned slots,
		  server_fn_t answer);
void server_crash(server_t *server);
void server_restart(server_t *server);
bool server_reply(server_t *server, stream_t *stream, const message_t *request,
		  int status, const char *body);
bool server_refuse(server_t *server, stream_t *stream, const message_t *request,
		   int status);

void vm_init(vm_t *vm, const char *name);
void vm_start(vm_t *vm, const store_t *store);
void vm_kill(vm_t *vm);
bool vm_wait_ready(const vm_t *vm, int64_t wait_ms);
bool vm_has_ended(vm_t *vm);

#endif
