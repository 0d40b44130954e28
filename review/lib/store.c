#define _GNU_SOURCE
#include "store.h"

#include <pthread.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "http.h"
#include "run.h"

#define MAX_ROWS 256
#define MAX_VALUE 65536

/* A row, or what is left of a removed one. */
typedef struct {
	char table[64];
	char key[200];
	char *value; /* base64; NULL: removed */
	long long version;
} row_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static row_t rows[MAX_ROWS];
static int n_rows;
static long long version = 100;

/* Returns the row with a key, added without a value if it is new. */
static row_t *get_row(const char *table, const char *key)
{
	for (int i = 0; i < n_rows; i++) {
		if (!strcmp(rows[i].table, table) && !strcmp(rows[i].key, key))
			return &rows[i];
	}
	if (n_rows == MAX_ROWS)
		give_up("too many rows");
	snprintf(rows[n_rows].table, sizeof(rows->table), "%s", table);
	snprintf(rows[n_rows].key, sizeof(rows->key), "%s", key);
	return &rows[n_rows++];
}

/* Encodes bytes in base64. */
static char *encode(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t len = strlen(text);
	char *out = malloc(len * 4 / 3 + 8);
	char *at = out;

	for (size_t i = 0; i < len; i += 3) {
		uint32_t bits = 0;

		for (size_t j = 0; j < 3; j++)
			bits = bits << 8 |
			       (i + j < len ? (unsigned char)text[i + j] : 0);
		for (size_t j = 0; j < 4; j++)
			*at++ = i + j > len ? '='
					    : digits[bits >> (18 - 6 * j) & 63];
	}
	*at = '\0';
	return out;
}

/* Writes a row as the operator and the servers do. */
void store_put(const char *table, const char *key, const char *text)
{
	row_t *row;

	pthread_mutex_lock(&lock);
	row = get_row(table, key);
	free(row->value);
	row->value = encode(text);
	row->version = ++version;
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
}

/* Removes a row as the platform does when a server no longer writes it. */
void store_remove(const char *table, const char *key)
{
	row_t *row;

	pthread_mutex_lock(&lock);
	row = get_row(table, key);
	free(row->value);
	row->value = NULL;
	row->version = ++version;
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
}

/* Stores a parameter of a target's query; empty if there is none. */
static void parameter(const char *target, const char *name, char *value,
		      size_t size)
{
	size_t len = strlen(name);
	const char *at = strchr(target, '?');

	*value = '\0';
	while (at) {
		at++;
		if (!strncmp(at, name, len) && at[len] == '=') {
			snprintf(value, size, "%.*s",
				 (int)strcspn(at + len + 1, "&"), at + len + 1);
			return;
		}
		at = strchr(at, '&');
	}
}

/* Appends a row in JSON. */
static char *append_row(char *out, const row_t *row, bool first)
{
	out += sprintf(out,
		       "%s{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\","
		       "\"ver\":%lld",
		       first ? "" : ",", row->table, row->key, row->version);
	if (row->value)
		return out + sprintf(out, ",\"value\":\"%s\"}", row->value);
	return out + sprintf(out, ",\"removed\":true}");
}

/* Answers a call with a JSON body that holds the version and the store's clock. */
static void answer(conn_t *conn, int status, const char *start)
{
	char *body = malloc(strlen(start) + 128);

	sprintf(body, "{%s\"ver\":%lld,\"nowMs\":%lld}", start, version,
		now_ms());
	send_text(conn->fd,
		  "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		  "Content-Length: %zu\r\n\r\n",
		  status, strlen(body));
	send_all(conn->fd, body, strlen(body));
	free(body);
}

/* Compares rows by their keys. */
static int by_key(const void *a, const void *b)
{
	return strcmp((*(row_t *const *)a)->key, (*(row_t *const *)b)->key);
}

/* Compares rows by their versions. */
static int by_version(const void *a, const void *b)
{
	long long left = (*(row_t *const *)a)->version;
	long long right = (*(row_t *const *)b)->version;

	return left < right ? -1 : left > right;
}

/* Formats rows of a table: those that are there from a key on, or those that have
 * changed after a version. Returns how many there are.
 */
static int format_rows(const char *table, const char *from, long long after,
		       char *out)
{
	const row_t *found[MAX_ROWS];
	int n = 0;

	for (int i = 0; i < n_rows; i++) {
		if (!strcmp(rows[i].table, table) && rows[i].version > after &&
		    (after >= 0 ||
		     (rows[i].value && strcmp(rows[i].key, from) >= 0)))
			found[n++] = &rows[i];
	}
	qsort(found, (size_t)n, sizeof(*found),
	      after >= 0 ? by_version : by_key);
	out += sprintf(out, "\"rows\":[");
	for (int i = 0; i < n; i++)
		out = append_row(out, found[i], i == 0);
	sprintf(out, "],\"hasMore\":false,");
	return n;
}

/* Answers a read of a table. */
static void get_rows(conn_t *conn, const message_t *request, char *out)
{
	char table[64], from[256];

	parameter(request->target, "table", table, sizeof(table));
	parameter(request->target, "from", from, sizeof(from));
	(void)format_rows(table, from, -1, out);
	answer(conn, 200, out);
}

/* Answers a feed when a row has changed, or after its wait. */
static void feed_rows(conn_t *conn, const message_t *request, char *out)
{
	char table[64], after[32], wait[32];
	struct timespec until;
	long long nanoseconds;

	parameter(request->target, "table", table, sizeof(table));
	parameter(request->target, "after", after, sizeof(after));
	parameter(request->target, "waitMs", wait, sizeof(wait));
	clock_gettime(CLOCK_REALTIME, &until);
	nanoseconds = until.tv_nsec + atoll(wait) * 1000000LL;
	until.tv_sec += nanoseconds / 1000000000LL;
	until.tv_nsec = nanoseconds % 1000000000LL;
	while (format_rows(table, "", atoll(after), out) == 0) {
		if (pthread_cond_timedwait(&changed, &lock, &until) != 0)
			break;
	}
	(void)format_rows(table, "", atoll(after), out);
	answer(conn, 200, out);
}

/* Stores a text member of the object at `at`; empty if it has none. */
static void text_member(const char *at, const char *name, char *value,
			size_t size)
{
	char quoted[40];
	const char *end = strchr(at, '}');
	const char *found;

	*value = '\0';
	snprintf(quoted, sizeof(quoted), "\"%s\":\"", name);
	found = strstr(at, quoted);
	if (!found || found > end)
		return;
	found += strlen(quoted);
	snprintf(value, size, "%.*s", (int)strcspn(found, "\""), found);
}

/* Returns the first object of an array member, or NULL if it is empty. */
static const char *first_object(const char *body, const char *name)
{
	char quoted[40];
	const char *found;

	snprintf(quoted, sizeof(quoted), "\"%s\":[", name);
	found = strstr(body, quoted);
	if (!found)
		return NULL;
	found += strlen(quoted);
	return *found == '{' ? found : NULL;
}

/* Returns the object after one, or NULL. */
static const char *next_object(const char *at)
{
	const char *end = strchr(at, '}');

	return end && end[1] == ',' && end[2] == '{' ? end + 2 : NULL;
}

/* Returns the row that an object names. */
static row_t *named_row(const char *at)
{
	char table[64], key[200];

	text_member(at, "table", table, sizeof(table));
	text_member(at, "key", key, sizeof(key));
	return get_row(table, key);
}

/* Applies a transaction if its conditions hold. */
static void transact(conn_t *conn, const message_t *request)
{
	const char *body = request->body;
	const char *at;
	char value[MAX_VALUE];

	for (at = first_object(body, "expected"); at; at = next_object(at)) {
		const row_t *row = named_row(at);
		const char *found = strstr(at, "\"ver\":");

		if ((row->value ? row->version : 0) !=
		    (found ? atoll(found + 6) : 0)) {
			answer(conn, 412, "\"rows\":[],");
			return;
		}
	}
	version++;
	for (at = first_object(body, "writes"); at; at = next_object(at)) {
		row_t *row = named_row(at);

		text_member(at, "value", value, sizeof(value));
		free(row->value);
		row->value = strdup(value);
		row->version = version;
	}
	for (at = first_object(body, "remove"); at; at = next_object(at)) {
		row_t *row = named_row(at);

		free(row->value);
		row->value = NULL;
		row->version = version;
	}
	pthread_cond_broadcast(&changed);
	answer(conn, 200, "");
}

/* Answers the calls on one connection. */
static void *serve(void *argument)
{
	conn_t *conn = argument;
	char *out = malloc(MAX_ROWS * 1024 + MAX_VALUE * 4);
	message_t request;

	while (read_message(conn, &request)) {
		pthread_mutex_lock(&lock);
		if (strstr(request.target, "/rows-get?"))
			get_rows(conn, &request, out);
		else if (strstr(request.target, "/rows-feed?"))
			feed_rows(conn, &request, out);
		else if (strstr(request.target, "/rows-tx"))
			transact(conn, &request);
		else
			answer(conn, 404, "");
		pthread_mutex_unlock(&lock);
		message_finish(&request);
	}
	message_finish(&request);
	conn_close(conn);
	free(conn);
	free(out);
	return NULL;
}

/* Accepts connections. */
static void *accept_all(void *argument)
{
	int fd = (int)(intptr_t)argument;

	for (;;) {
		conn_t *conn = malloc(sizeof(*conn));
		int accepted = accept4(fd, NULL, NULL, SOCK_CLOEXEC);

		if (accepted < 0) {
			free(conn);
			continue;
		}
		conn_init(conn, accepted);
		start_thread(serve, conn);
	}
	return NULL;
}

/* Starts the store, which ends with the process. Returns its port. */
int store_start(void)
{
	int port = free_port();
	int fd = listen_on(port);

	if (fd < 0)
		give_up("the store cannot listen");
	start_thread(accept_all, (void *)(intptr_t)fd);
	return port;
}
