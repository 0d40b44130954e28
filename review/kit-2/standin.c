#include "standin.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/* The whole case is given up after this. */
#define CASE_LIMIT_S 118

/* Ports for the stand-ins and the entry processes. */
#define FIRST_PORT 20000
#define PORTS 12000

/* Largest head of a message. */
#define MAX_HEAD_BYTES 131072

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t started_ms;
static char temporary[128];
static pid_t children[64];
static size_t n_children;

/* Returns the steady time in ms. */
int64_t now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* Waits. */
void sleep_ms(int64_t ms)
{
	struct timespec wait = {.tv_sec = ms / 1000,
				.tv_nsec = ms % 1000 * 1000000};

	while (nanosleep(&wait, &wait) < 0 && errno == EINTR)
		;
}

/* Writes a line with the time to the record. */
void note(const char *format, ...)
{
	va_list args;
	int64_t at_ms = now_ms() - started_ms;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%4lld.%03lld ", (long long)(at_ms / 1000),
		(long long)(at_ms % 1000));
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

/* Ends all processes that this one has started. */
static void end_children(void)
{
	for (size_t i = 0; i < n_children; i++) {
		if (children[i] <= 0)
			continue;
		kill(children[i], SIGKILL);
		kill(children[i], SIGCONT);
		waitpid(children[i], NULL, 0);
	}
}

/* Ends the case when it takes too long. */
static void on_alarm(int number)
{
	(void)number;
	for (size_t i = 0; i < n_children; i++) {
		if (children[i] > 0)
			kill(children[i], SIGKILL);
	}
	_exit(2);
}

/* Begins a case whose folder is given: opens its record. */
void standin_start(const char *folder)
{
	char path[512];

	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_alarm);
	alarm(CASE_LIMIT_S);
	snprintf(path, sizeof(path), "%s/record.txt", folder);
	record_file = fopen(path, "w");
	if (!record_file)
		exit(2);
	started_ms = now_ms();
	snprintf(temporary, sizeof(temporary), "%s/review-XXXXXX",
		 getenv("TMPDIR") ? getenv("TMPDIR") : "/tmp");
	if (!mkdtemp(temporary))
		exit(2);
	note("trouble: %s", standin_trouble() ? "yes" : "no");
}

/* Returns whether the disruption is to be played. */
bool standin_trouble(void)
{
	const char *value = getenv("TROUBLE");

	return !value || strcmp(value, "0") != 0;
}

/* Ends the case with an exit code: 0 the rule held, 1 it was broken, 2 it could not run. */
_Noreturn void standin_finish(int code, const char *reason)
{
	char command[256];

	note("result %d: %s", code, reason);
	printf("%s: %s\n",
	       code == 0   ? "held"
	       : code == 1 ? "BROKEN"
			   : "could not run",
	       reason);
	fflush(stdout);
	end_children();
	if (getenv("KEEP")) {
		printf("logs in %s\n", temporary);
	} else {
		snprintf(command, sizeof(command), "rm -rf '%s'", temporary);
		if (system(command) != 0)
			fputs("the temporary folder is left\n", stderr);
	}
	fflush(stdout);
	_exit(code);
}

/* --- connections ----------------------------------------------------------- */

/* Reads "IP:port". */
static struct sockaddr_in parse_address(const char *address)
{
	struct sockaddr_in native = {.sin_family = AF_INET};
	char ip[ADDRESS_BYTES];
	char *colon;

	snprintf(ip, sizeof(ip), "%s", address);
	colon = strrchr(ip, ':');
	if (!colon)
		standin_finish(2, "malformed address");
	*colon = '\0';
	native.sin_port = htons((uint16_t)atoi(colon + 1));
	inet_pton(AF_INET, ip, &native.sin_addr);
	return native;
}

/* Listens at an address. Returns the descriptor or -1. */
static int try_listen(const char *address)
{
	struct sockaddr_in native = parse_address(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&native, sizeof(native)) < 0 ||
	    listen(fd, 512) < 0) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Listens at an address; an empty one is set to a free port of 127.0.0.1, below those that the
 * kernel gives to outgoing connections. Returns the descriptor or -1.
 */
int listen_at(char *address)
{
	static unsigned next;
	static pthread_mutex_t next_lock = PTHREAD_MUTEX_INITIALIZER;
	int fd = -1;

	if (*address)
		return try_listen(address);
	pthread_mutex_lock(&next_lock);
	if (next == 0)
		next = (unsigned)getpid() * 37 + (unsigned)now_ms();
	for (unsigned i = 0; fd < 0 && i < PORTS; i++) {
		snprintf(address, ADDRESS_BYTES, "127.0.0.1:%u",
			 FIRST_PORT + next++ % PORTS);
		fd = try_listen(address);
	}
	pthread_mutex_unlock(&next_lock);
	return fd;
}

/* Sets an address to a port that is free for TCP and UDP now. */
static void free_address(char *address)
{
	int fd;

	*address = '\0';
	fd = listen_at(address);
	if (fd < 0)
		standin_finish(2, "no free port");
	close(fd);
}

/* Opens a connection; returns -1 if it is refused. */
int connect_to(const char *address)
{
	struct sockaddr_in native = parse_address(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd, (struct sockaddr *)&native, sizeof(native)) < 0) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Sends bytes; returns false if the connection has ended. */
bool stream_send(stream_t *stream, const char *bytes, size_t len)
{
	while (len > 0) {
		ssize_t n = send(stream->fd, bytes, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		bytes += n;
		len -= (size_t)n;
	}
	return true;
}

/* Reads what has come on a connection. Returns false at its end or if nothing comes in
 * time.
 */
static bool read_some(stream_t *stream, int64_t until_ms)
{
	struct pollfd poll_fd = {.fd = stream->fd, .events = POLLIN};
	char buffer[16384];
	int64_t wait_ms = until_ms - now_ms();
	ssize_t n;

	if (wait_ms < 0)
		wait_ms = 0;
	if (poll(&poll_fd, 1, (int)wait_ms) <= 0)
		return false;
	n = recv(stream->fd, buffer, sizeof(buffer), 0);
	if (n <= 0)
		return false;
	stream->bytes = realloc(stream->bytes, stream->len + (size_t)n + 1);
	memcpy(stream->bytes + stream->len, buffer, (size_t)n);
	stream->len += (size_t)n;
	stream->bytes[stream->len] = '\0';
	return true;
}

/* Takes bytes from the beginning of what a connection has sent. */
static char *take(stream_t *stream, size_t len)
{
	char *taken = malloc(len + 1);

	memcpy(taken, stream->bytes, len);
	taken[len] = '\0';
	memmove(stream->bytes, stream->bytes + len, stream->len - len + 1);
	stream->len -= len;
	return taken;
}

/* Reads a body in chunks. */
static bool read_chunks(stream_t *stream, message_t *message, int64_t until_ms)
{
	for (;;) {
		char *end;
		size_t size, head;
		char *chunk;

		while (!stream->bytes || !strstr(stream->bytes, "\r\n")) {
			if (!read_some(stream, until_ms))
				return false;
		}
		size = strtoul(stream->bytes, &end, 16);
		head = (size_t)(strstr(stream->bytes, "\r\n") - stream->bytes) +
		       2;
		while (stream->len < head + size + 2) {
			if (!read_some(stream, until_ms))
				return false;
		}
		chunk = take(stream, head + size + 2);
		message->body =
			realloc(message->body, message->body_len + size + 1);
		memcpy(message->body + message->body_len, chunk + head, size);
		message->body_len += size;
		message->body[message->body_len] = '\0';
		free(chunk);
		if (size == 0)
			return true;
	}
}

/* Reads a message with its body, which has a length or chunks. Returns false at the end of
 * the connection, after the time, or if the bytes are no message.
 */
bool stream_read(stream_t *stream, message_t *message, bool is_request,
		 bool no_body, int64_t until_ms)
{
	char value[64];
	char *end;

	memset(message, 0, sizeof(*message));
	while (!stream->bytes || !strstr(stream->bytes, "\r\n\r\n")) {
		if (stream->len > MAX_HEAD_BYTES ||
		    !read_some(stream, until_ms))
			return false;
	}
	if (!is_request && strncmp(stream->bytes, "HTTP/1.1 ", 9) != 0)
		return false;
	end = strstr(stream->bytes, "\r\n\r\n");
	message->head = take(stream, (size_t)(end - stream->bytes) + 4);
	if (no_body)
		return true;
	if (message_field(message, "transfer-encoding", value, sizeof(value)))
		return read_chunks(stream, message, until_ms);
	if (message_field(message, "content-length", value, sizeof(value)))
		message->body_len = strtoul(value, NULL, 10);
	while (stream->len < message->body_len) {
		if (!read_some(stream, until_ms))
			return false;
	}
	if (message->body_len > 0)
		message->body = take(stream, message->body_len);
	return true;
}

/* Returns whether a connection has sent bytes beyond the messages that were taken. */
bool stream_has_more(stream_t *stream, int64_t wait_ms)
{
	if (stream->len == 0)
		(void)read_some(stream, now_ms() + wait_ms);
	return stream->len > 0;
}

/* Closes a connection with a reset. */
void stream_reset(stream_t *stream)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	setsockopt(stream->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

/* Frees a message. */
void message_free(message_t *message)
{
	free(message->head);
	free(message->body);
	memset(message, 0, sizeof(*message));
}

/* Copies the value of a header field; returns false if there is none. */
bool message_field(const message_t *message, const char *name, char *value,
		   size_t size)
{
	const char *line = strstr(message->head, "\r\n");
	size_t len = strlen(name);

	for (; line && line[2] != '\r'; line = strstr(line + 2, "\r\n")) {
		const char *at = line + 2;
		size_t n;

		if (strncasecmp(at, name, len) != 0 || at[len] != ':')
			continue;
		at += len + 1;
		while (*at == ' ')
			at++;
		n = strcspn(at, "\r");
		snprintf(value, size, "%.*s", (int)n, at);
		return true;
	}
	return false;
}

/* Returns the status of a response; 0 if it has none. */
int message_status(const message_t *message)
{
	return message->head && strlen(message->head) > 12
		       ? atoi(message->head + 9)
		       : 0;
}

/* --- the store ------------------------------------------------------------- */

static const char base64_digits[] =
	"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/* Encodes a text. */
static char *encode(const char *text)
{
	size_t len = strlen(text);
	char *out = malloc(len * 2 + 8);
	char *at = out;

	for (size_t i = 0; i < len; i += 3) {
		uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;

		if (i + 1 < len)
			bits |= (uint32_t)(unsigned char)text[i + 1] << 8;
		if (i + 2 < len)
			bits |= (unsigned char)text[i + 2];
		*at++ = base64_digits[bits >> 18 & 63];
		*at++ = base64_digits[bits >> 12 & 63];
		*at++ = i + 1 < len ? base64_digits[bits >> 6 & 63] : '=';
		*at++ = i + 2 < len ? base64_digits[bits & 63] : '=';
	}
	*at = '\0';
	return out;
}

/* Decodes a text of so many digits. */
static char *decode(const char *text, size_t len)
{
	char *out = malloc(len + 1);
	char *at = out;
	uint32_t bits = 0;
	unsigned n = 0;

	for (size_t i = 0; i < len; i++) {
		const char *digit = strchr(base64_digits, text[i]);

		if (text[i] == '=' || !digit || !*digit)
			break;
		bits = bits << 6 | (uint32_t)(digit - base64_digits);
		if (++n % 4 != 1)
			*at++ = (char)(bits >> (6 - 2 * ((n - 1) % 4)) & 255);
	}
	*at = '\0';
	return out;
}

/* Finds a row; NULL if it never was there. */
static row_t *find_row(store_t *store, const char *table, const char *key)
{
	for (size_t i = 0; i < store->n_rows; i++) {
		if (strcmp(store->rows[i].table, table) == 0 &&
		    strcmp(store->rows[i].key, key) == 0)
			return &store->rows[i];
	}
	return NULL;
}

/* Sets a row, or removes it (NULL). The store is locked. */
static void set_row(store_t *store, const char *table, const char *key,
		    const char *value, int64_t version)
{
	row_t *row = find_row(store, table, key);

	if (!row) {
		if (store->n_rows >= MAX_ROWS)
			return;
		row = &store->rows[store->n_rows++];
		snprintf(row->table, sizeof(row->table), "%s", table);
		snprintf(row->key, sizeof(row->key), "%s", key);
	}
	free(row->value);
	row->value = value ? strdup(value) : NULL;
	row->version = version;
	row->written_ms = now_ms();
}

/* Writes a row, as the operator or a server does. */
void store_put(store_t *store, const char *table, const char *key,
	       const char *value)
{
	pthread_mutex_lock(&store->lock);
	set_row(store, table, key, value, ++store->version);
	pthread_cond_broadcast(&store->changed);
	pthread_mutex_unlock(&store->lock);
}

/* Returns whether a row was written by the entry processes. */
static bool is_own_row(const row_t *row)
{
	return strcmp(row->table, "op") != 0 &&
	       strcmp(row->table, "servers") != 0;
}

/* Keeps a copy of the rows, for store_restore(). */
void store_copy(store_t *store)
{
	pthread_mutex_lock(&store->lock);
	store->n_copied = store->n_rows;
	for (size_t i = 0; i < store->n_rows; i++) {
		store->copied[i] = store->rows[i];
		if (store->rows[i].value)
			store->copied[i].value = strdup(store->rows[i].value);
	}
	pthread_mutex_unlock(&store->lock);
}

/* Restores the store from the copy: what the entry processes have written since is gone, and
 * what the operator and the servers have written is written again.
 */
void store_restore(store_t *store)
{
	pthread_mutex_lock(&store->lock);
	store->era++;
	store->version++;
	for (size_t i = 0; i < store->n_rows; i++) {
		row_t *row = &store->rows[i];

		if (!is_own_row(row)) {
			row->version = ++store->version;
			continue;
		}
		free(row->value);
		row->value = NULL;
		for (size_t k = 0; k < store->n_copied; k++) {
			const row_t *copy = &store->copied[k];

			if (strcmp(copy->table, row->table) != 0 ||
			    strcmp(copy->key, row->key) != 0)
				continue;
			row->value = copy->value ? strdup(copy->value) : NULL;
			row->version = copy->version;
		}
	}
	pthread_mutex_unlock(&store->lock);
}

/* Returns whether a table has a row whose key begins so. */
bool store_has(store_t *store, const char *table, const char *prefix)
{
	bool has = false;

	pthread_mutex_lock(&store->lock);
	for (size_t i = 0; i < store->n_rows; i++) {
		const row_t *row = &store->rows[i];

		has |= row->value && strcmp(row->table, table) == 0 &&
		       strncmp(row->key, prefix, strlen(prefix)) == 0;
	}
	pthread_mutex_unlock(&store->lock);
	return has;
}

/* Copies a parameter of a query. */
static void get_parameter(const char *target, const char *name, char *value,
			  size_t size)
{
	char key[32];
	const char *at = strchr(target, '?');
	size_t n = 0;

	*value = '\0';
	snprintf(key, sizeof(key), "%s=", name);
	while (at && strncmp(at + 1, key, strlen(key)) != 0)
		at = strchr(at + 1, '&');
	if (!at)
		return;
	at += 1 + strlen(key);
	for (; *at && !strchr("& ", *at) && n + 1 < size; at++) {
		char c = *at;

		if (c == '%' && isxdigit(at[1]) && isxdigit(at[2])) {
			char hex[3] = {at[1], at[2], '\0'};

			c = (char)strtol(hex, NULL, 16);
			at += 2;
		}
		value[n++] = c;
	}
	value[n] = '\0';
}

/* Compares rows by key. */
static int compare_keys(const void *a, const void *b)
{
	return strcmp((*(row_t *const *)a)->key, (*(row_t *const *)b)->key);
}

/* Compares rows by version. */
static int compare_versions(const void *a, const void *b)
{
	int64_t left = (*(row_t *const *)a)->version;
	int64_t right = (*(row_t *const *)b)->version;

	return left < right ? -1 : left > right;
}

/* Formats rows of a table: all with keys from `from` on, or those changed after a version.
 * The store is locked. Returns how many there are.
 */
static size_t format_rows(store_t *store, const char *table, const char *from,
			  int64_t after, char **text)
{
	row_t *chosen[MAX_ROWS];
	size_t n = 0, size = 256;
	char *at;

	for (size_t i = 0; i < store->n_rows; i++) {
		row_t *row = &store->rows[i];

		if (strcmp(row->table, table) != 0 ||
		    (from ? !row->value || strcmp(row->key, from) < 0
			  : row->version <= after))
			continue;
		chosen[n++] = row;
		size += 400 + (row->value ? 2 * strlen(row->value) : 0);
	}
	qsort(chosen, n, sizeof(*chosen),
	      from ? compare_keys : compare_versions);
	at = *text = malloc(size);
	at += sprintf(at, "{\"rows\":[");
	for (size_t i = 0; i < n; i++) {
		at += sprintf(at,
			      "%s{\"table\":\"%s\",\"part\":\"\",\"key\":"
			      "\"%s\",\"ver\":%lld",
			      i ? "," : "", table, chosen[i]->key,
			      (long long)chosen[i]->version);
		if (chosen[i]->value) {
			char *value = encode(chosen[i]->value);

			at += sprintf(at, ",\"value\":\"%s\"}", value);
			free(value);
		} else {
			at += sprintf(at, ",\"removed\":true}");
		}
	}
	sprintf(at, "],\"hasMore\":false,\"ver\":%lld,\"nowMs\":%lld}",
		(long long)store->version, (long long)now_ms());
	return n;
}

/* Answers a call to the store. */
static bool store_reply(const store_t *store, stream_t *stream, int status,
			const char *body)
{
	char head[256];

	snprintf(head, sizeof(head),
		 "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
		 "Store-Era: %u\r\nContent-Length: %zu\r\n\r\n",
		 status, store->era, strlen(body));
	return stream_send(stream, head, strlen(head)) &&
	       stream_send(stream, body, strlen(body));
}

/* Answers a feed once there is a change or its wait is over. */
static bool answer_feed(store_t *store, stream_t *stream, const char *target)
{
	char table[NAME_BYTES], number[32];
	int64_t after, until_ms;
	char *text;
	size_t n;

	get_parameter(target, "table", table, sizeof(table));
	get_parameter(target, "after", number, sizeof(number));
	after = atoll(number);
	get_parameter(target, "waitMs", number, sizeof(number));
	until_ms = now_ms() + atoll(number);
	pthread_mutex_lock(&store->lock);
	while ((n = format_rows(store, table, NULL, after, &text)) == 0 &&
	       now_ms() < until_ms) {
		struct timespec until;

		free(text);
		clock_gettime(CLOCK_REALTIME, &until);
		until.tv_nsec += 50000000;
		if (until.tv_nsec >= 1000000000) {
			until.tv_sec++;
			until.tv_nsec -= 1000000000;
		}
		pthread_cond_timedwait(&store->changed, &store->lock, &until);
	}
	pthread_mutex_unlock(&store->lock);
	if (n > 0 && store->loses_answer && store->loses_answer(table)) {
		note("store loses its answer to a feed of table %s", table);
		free(text);
		while (read_some(stream, now_ms() + 60000))
			;
		return false;
	}
	sleep_ms(4);
	if (!store_reply(store, stream, 200, text)) {
		free(text);
		return false;
	}
	free(text);
	return true;
}

/* Copies the text of a JSON member in an object that ends before `end`. */
static bool get_text(const char *object, const char *end, const char *name,
		     const char **value, size_t *len)
{
	char key[32];
	const char *at;

	snprintf(key, sizeof(key), "\"%s\":", name);
	at = strstr(object, key);
	if (!at || at > end)
		return false;
	at += strlen(key);
	if (*at == '"')
		at++;
	*value = at;
	*len = strcspn(at, "\"},");
	return true;
}

/* Visits the objects of a member that is an array. */
static void visit_entries(store_t *store, const char *body, const char *name,
			  void (*visit)(store_t *store, const char *object,
					const char *end, void *context),
			  void *context)
{
	char key[32];
	const char *at, *end;

	snprintf(key, sizeof(key), "\"%s\":[", name);
	at = strstr(body, key);
	end = at ? strchr(at, ']') : NULL;
	while (at && end && (at = strchr(at, '{')) && at < end) {
		const char *close = strchr(at, '}');

		visit(store, at, close, context);
		at = close;
	}
}

/* Copies the table and the key of an entry. */
static void get_place(const char *object, const char *end, char *table,
		      char *key)
{
	const char *value = "";
	size_t len = 0;

	(void)get_text(object, end, "table", &value, &len);
	snprintf(table, NAME_BYTES, "%.*s", (int)len, value);
	(void)get_text(object, end, "key", &value, &len);
	snprintf(key, 256, "%.*s", (int)len, value);
}

/* Checks one condition of a transaction. */
static void check_entry(store_t *store, const char *object, const char *end,
			void *context)
{
	bool *holds = context;
	char table[NAME_BYTES], key[256];
	const char *value = "0";
	size_t len = 1;
	const row_t *row;

	get_place(object, end, table, key);
	(void)get_text(object, end, "ver", &value, &len);
	row = find_row(store, table, key);
	if ((row && row->value ? row->version : 0) != atoll(value))
		*holds = false;
}

/* Applies one write. */
static void write_entry(store_t *store, const char *object, const char *end,
			void *context)
{
	char table[NAME_BYTES], key[256];
	const char *value = "";
	size_t len = 0;
	char *text;

	(void)context;
	get_place(object, end, table, key);
	(void)get_text(object, end, "value", &value, &len);
	text = decode(value, len);
	set_row(store, table, key, text, store->version);
	free(text);
}

/* Applies one removal. */
static void remove_entry(store_t *store, const char *object, const char *end,
			 void *context)
{
	char table[NAME_BYTES], key[256];
	const row_t *row;

	(void)context;
	get_place(object, end, table, key);
	row = find_row(store, table, key);
	if (row && row->value)
		set_row(store, table, key, NULL, store->version);
}

/* Answers a transaction. */
static bool answer_transaction(store_t *store, stream_t *stream,
			       const char *body)
{
	bool holds = true;
	char text[128];

	sleep_ms(5);
	pthread_mutex_lock(&store->lock);
	visit_entries(store, body, "expected", check_entry, &holds);
	if (holds) {
		store->version++;
		visit_entries(store, body, "writes", write_entry, NULL);
		visit_entries(store, body, "remove", remove_entry, NULL);
		pthread_cond_broadcast(&store->changed);
	}
	snprintf(text, sizeof(text),
		 "{\"rows\":[],\"ver\":%lld,\"nowMs\":%lld}",
		 (long long)store->version, (long long)now_ms());
	pthread_mutex_unlock(&store->lock);
	return store_reply(store, stream, holds ? 200 : 412, text);
}

/* Answers a full read. */
static bool answer_read(store_t *store, stream_t *stream, const char *target)
{
	char table[NAME_BYTES], from[256];
	char *text;
	bool ok;

	get_parameter(target, "table", table, sizeof(table));
	get_parameter(target, "from", from, sizeof(from));
	sleep_ms(4);
	pthread_mutex_lock(&store->lock);
	(void)format_rows(store, table, from, 0, &text);
	pthread_mutex_unlock(&store->lock);
	ok = store_reply(store, stream, 200, text);
	free(text);
	return ok;
}

typedef struct {
	void *owner;
	int fd;
} accepted_t;

/* Serves one connection to the store. */
static void *serve_store(void *data)
{
	accepted_t accepted = *(accepted_t *)data;
	store_t *store = accepted.owner;
	stream_t stream = {.fd = accepted.fd};
	message_t request;
	bool open = true;

	free(data);
	while (open &&
	       stream_read(&stream, &request, true, false, now_ms() + 60000)) {
		const char *target = strchr(request.head, ' ') + 1;

		if (strncmp(target, "/gooseberryspur/rows-feed", 25) == 0)
			open = answer_feed(store, &stream, target);
		else if (strncmp(target, "/gooseberryspur/rows-get", 24) == 0)
			open = answer_read(store, &stream, target);
		else if (strncmp(target, "/gooseberryspur/rows-tx", 23) == 0)
			open = answer_transaction(store, &stream,
						  request.body ? request.body
							       : "");
		else
			open = store_reply(store, &stream, 404, "{}");
		message_free(&request);
	}
	close(stream.fd);
	free(stream.bytes);
	return NULL;
}

/* Starts a thread that nobody waits for. */
static void start_thread(void *(*run)(void *data), void *data)
{
	pthread_attr_t attributes;
	pthread_t thread;

	pthread_attr_init(&attributes);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attributes, 512 * 1024);
	if (pthread_create(&thread, &attributes, run, data) != 0)
		standin_finish(2, "no thread");
	pthread_attr_destroy(&attributes);
}

/* Accepts connections to the store. */
static void *accept_store(void *data)
{
	accepted_t listener = *(accepted_t *)data;
	int fd;

	free(data);
	while ((fd = accept(listener.fd, NULL, NULL)) >= 0) {
		accepted_t *accepted = malloc(sizeof(*accepted));

		*accepted = (accepted_t){listener.owner, fd};
		start_thread(serve_store, accepted);
	}
	return NULL;
}

/* Drops the rows of servers that have written no heartbeat for three intervals. */
static void *expire_rows(void *data)
{
	store_t *store = data;

	for (;;) {
		sleep_ms(100);
		pthread_mutex_lock(&store->lock);
		for (size_t i = 0; i < store->n_rows; i++) {
			row_t *row = &store->rows[i];

			if (strcmp(row->table, "servers") != 0 || !row->value ||
			    now_ms() - row->written_ms < ROW_EXPIRES_MS)
				continue;
			set_row(store, row->table, row->key, NULL,
				++store->version);
			pthread_cond_broadcast(&store->changed);
			note("store drops servers/%s", row->key);
		}
		pthread_mutex_unlock(&store->lock);
	}
	return NULL;
}

/* Starts a store without rows. */
void store_start(store_t *store)
{
	accepted_t *listener = malloc(sizeof(*listener));

	memset(store, 0, sizeof(*store));
	store->era = 1;
	pthread_mutex_init(&store->lock, NULL);
	pthread_cond_init(&store->changed, NULL);
	*listener = (accepted_t){store, listen_at(store->address)};
	if (listener->fd < 0)
		standin_finish(2, "the store cannot listen");
	start_thread(accept_store, listener);
	start_thread(expire_rows, store);
}

/* --- servers --------------------------------------------------------------- */

/* Answers a request with success, or as the server's own failure. */
bool server_reply(server_t *server, stream_t *stream, const message_t *request,
		  int status, const char *body)
{
	char head[512], id[128] = "";
	bool is_head = strncmp(request->head, "HEAD ", 5) == 0;

	(void)message_field(request, "x-request-id", id, sizeof(id));
	snprintf(head, sizeof(head),
		 "HTTP/1.1 %d Status\r\nX-Request-Id: %s\r\n"
		 "X-Response-Signature: %s.%zu\r\nX-Server-Load: %u,0,%u\r\n"
		 "Content-Length: %zu\r\n\r\n",
		 status, id, server->id, strlen(body), server->running,
		 server->slots, strlen(body));
	return stream_send(stream, head, strlen(head)) &&
	       (is_head || stream_send(stream, body, strlen(body)));
}

/* Answers that a request was not run. */
bool server_refuse(server_t *server, stream_t *stream, const message_t *request,
		   int status)
{
	char head[512], id[128] = "";

	(void)message_field(request, "x-request-id", id, sizeof(id));
	snprintf(head, sizeof(head),
		 "HTTP/1.1 %d Status\r\nX-Request-Id: %s\r\n"
		 "X-Not-Executed: 1\r\nX-Instance-Id: %s\r\n"
		 "Content-Length: 0\r\n\r\n",
		 status, id, server->id);
	return stream_send(stream, head, strlen(head));
}

/* Answers a call of the system's own interface. */
static bool answer_json(stream_t *stream, int status, const char *body)
{
	char head[256];

	snprintf(head, sizeof(head),
		 "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
		 "Content-Length: %zu\r\n\r\n%s",
		 status, strlen(body), body);
	return stream_send(stream, head, strlen(head));
}

/* Answers with the report of an engine. */
static bool report(server_t *server, stream_t *stream)
{
	char body[512];

	snprintf(
		body, sizeof(body),
		"{\"stage\":\"%s\",\"models\":[{\"name\":\"m\",\"version\":1,"
		"\"adapters\":[]}],\"busy\":false,\"sequence\":0,\"waiting\":0,"
		"\"running\":%u,\"kvUsed\":0,\"kvTotal\":100125,"
		"\"kvHandles\":0,\"born\":%lld}",
		server->stage, server->running, (long long)server->born_ms);
	return answer_json(stream, 200, body);
}

/* Answers one request. */
static bool serve_request(server_t *server, stream_t *stream,
			  const message_t *request)
{
	char expected[NAME_BYTES], head[256];
	bool open;

	if (message_field(request, "x-expect-instance", expected,
			  sizeof(expected)) &&
	    strcmp(expected, server->id) != 0)
		return server_refuse(server, stream, request, 421);
	if (strncmp(request->head, "GET /health ", 12) == 0) {
		snprintf(head, sizeof(head),
			 "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n"
			 "X-Server-Load: %u,0,%u\r\nContent-Length: 0\r\n\r\n",
			 server->id, server->running, server->slots);
		return stream_send(stream, head, strlen(head));
	}
	if (strncmp(request->head, "GET /gooseberryspur/report ", 27) == 0)
		return report(server, stream);
	if (strncmp(request->head, "POST /gooseberryspur/order ", 27) == 0)
		return answer_json(stream, 409, "{}");
	if (strncmp(request->head, "DELETE /gooseberryspur/", 23) == 0)
		return answer_json(stream, 200, "{}");
	if (!message_field(request, "x-request-id", expected, sizeof(expected)))
		return server_refuse(server, stream, request, 400);
	pthread_mutex_lock(&server->lock);
	server->running++;
	pthread_mutex_unlock(&server->lock);
	open = server->answer(server, stream, request);
	pthread_mutex_lock(&server->lock);
	server->running--;
	pthread_mutex_unlock(&server->lock);
	return open;
}

/* Forgets a connection. Returns false if a crash has closed it. */
static bool drop_connection(server_t *server, int fd)
{
	bool known = false;

	pthread_mutex_lock(&server->lock);
	for (size_t i = 0; i < server->n_fds; i++) {
		if (server->fds[i] != fd)
			continue;
		server->fds[i] = server->fds[--server->n_fds];
		known = true;
		break;
	}
	pthread_mutex_unlock(&server->lock);
	return known;
}

/* Serves one connection to a server. */
static void *serve_server(void *data)
{
	accepted_t accepted = *(accepted_t *)data;
	server_t *server = accepted.owner;
	stream_t stream = {.fd = accepted.fd};
	message_t request;
	bool open = true;

	free(data);
	while (open &&
	       stream_read(&stream, &request, true, false, now_ms() + 60000)) {
		open = serve_request(server, &stream, &request);
		message_free(&request);
	}
	(void)drop_connection(server, stream.fd);
	close(stream.fd);
	free(stream.bytes);
	return NULL;
}

/* Accepts connections to a server. */
static void *accept_server(void *data)
{
	accepted_t listener = *(accepted_t *)data;
	server_t *server = listener.owner;
	int fd;

	free(data);
	while ((fd = accept(listener.fd, NULL, NULL)) >= 0) {
		accepted_t *accepted = malloc(sizeof(*accepted));
		int one = 1;

		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		pthread_mutex_lock(&server->lock);
		if (server->n_fds < MAX_CONNECTIONS)
			server->fds[server->n_fds++] = fd;
		pthread_mutex_unlock(&server->lock);
		*accepted = (accepted_t){server, fd};
		start_thread(serve_server, accepted);
	}
	return NULL;
}

/* Writes the entry of a server. */
static void write_entry_row(server_t *server)
{
	char value[512];

	snprintf(
		value, sizeof(value),
		"{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"hall-a\",%s%s%s"
		"\"version\":\"v1\",\"slots\":%u,\"state\":\"ready\","
		"\"coldRemainingMs\":0,\"born\":%lld,\"sequence\":%lld}",
		server->service, server->address,
		*server->stage ? "\"stage\":\"" : "", server->stage,
		*server->stage ? "\"," : "", server->slots,
		(long long)server->born_ms, (long long)++server->sequence);
	store_put(server->store, "servers", server->id, value);
}

/* Writes a server's heartbeats while it runs. */
static void *beat(void *data)
{
	server_t *server = data;

	for (;;) {
		pthread_mutex_lock(&server->lock);
		if (server->listen_fd >= 0)
			write_entry_row(server);
		pthread_mutex_unlock(&server->lock);
		sleep_ms(HEARTBEAT_MS);
	}
	return NULL;
}

/* Starts the process of a server: a new lifetime with a new ID. */
static void start_lifetime(server_t *server)
{
	accepted_t *listener = malloc(sizeof(*listener));
	struct timespec wall;
	int fd = listen_at(server->address);

	if (fd < 0)
		standin_finish(2, "a server cannot listen");
	clock_gettime(CLOCK_REALTIME, &wall);
	pthread_mutex_lock(&server->lock);
	server->lifetime++;
	snprintf(server->id, sizeof(server->id), "i-%.40s-%u-%u",
		 server->service, server->number, server->lifetime);
	server->born_ms = (int64_t)wall.tv_sec * 1000 + wall.tv_nsec / 1000000;
	server->sequence = 0;
	server->listen_fd = fd;
	write_entry_row(server);
	pthread_mutex_unlock(&server->lock);
	*listener = (accepted_t){server, fd};
	start_thread(accept_server, listener);
}

/* Starts a server of a service. */
void server_start(server_t *server, store_t *store, const char *service,
		  const char *stage, unsigned number, unsigned slots,
		  server_fn_t answer)
{
	memset(server, 0, sizeof(*server));
	server->store = store;
	snprintf(server->service, sizeof(server->service), "%s", service);
	snprintf(server->stage, sizeof(server->stage), "%s", stage);
	server->number = number;
	server->slots = slots;
	server->answer = answer;
	server->listen_fd = -1;
	pthread_mutex_init(&server->lock, NULL);
	start_lifetime(server);
	start_thread(beat, server);
}

/* Lets a server crash: its connections are reset, its port has no listener, and it writes no
 * more heartbeats.
 */
void server_crash(server_t *server)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	pthread_mutex_lock(&server->lock);
	if (server->listen_fd >= 0) {
		shutdown(server->listen_fd, SHUT_RDWR);
		close(server->listen_fd);
	}
	server->listen_fd = -1;
	for (size_t i = 0; i < server->n_fds; i++) {
		setsockopt(server->fds[i], SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
		shutdown(server->fds[i], SHUT_RDWR);
	}
	pthread_mutex_unlock(&server->lock);
}

/* Starts a server again that has crashed. */
void server_restart(server_t *server)
{
	start_lifetime(server);
}

/* --- entry processes ------------------------------------------------------- */

/* Chooses the addresses of an entry VM. */
void vm_init(vm_t *vm, const char *name)
{
	memset(vm, 0, sizeof(*vm));
	snprintf(vm->name, sizeof(vm->name), "%s", name);
	free_address(vm->callers);
	free_address(vm->ready);
	free_address(vm->metrics);
	free_address(vm->peer);
	snprintf(vm->settings, sizeof(vm->settings), "%s/%s.toml", temporary,
		 name);
	snprintf(vm->log, sizeof(vm->log), "%s/%s.log", temporary, name);
}

/* Writes the settings as the platform fills in deploy/entry.toml. */
static void write_settings(const vm_t *vm, const store_t *store)
{
	FILE *file = fopen(vm->settings, "w");

	if (!file)
		standin_finish(2, "the settings cannot be written");
	fprintf(file,
		"vm = \"%s\"\nzone = \"hall-a\"\ncallers_address = \"%s\"\n"
		"ready_address = \"%s\"\nmetrics_address = \"%s\"\n"
		"peer_address = \"%s\"\nstore_address = \"%s\"\n"
		"shutdown_limit_s = 8\nretry_share = 0.2\nretry_slack = 56\n%s",
		vm->name, vm->callers, vm->ready, vm->metrics, vm->peer,
		store->address, vm->started_before ? "" : "bootstrap = true\n");
	fclose(file);
}

/* Starts the process of a VM, in the repository's root. */
void vm_start(vm_t *vm, const store_t *store)
{
	pid_t pid;

	write_settings(vm, store);
	vm->started_before = true;
	pid = fork();
	if (pid < 0)
		standin_finish(2, "no process");
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (!freopen(vm->log, "a", stdout) ||
		    !freopen(vm->log, "a", stderr))
			_exit(127);
		setenv("GOOSEBERRYSPUR_NODE_FILE", vm->settings, 1);
		execl("target/gooseberryspur", "gooseberryspur", "entry",
		      (char *)NULL);
		_exit(127);
	}
	vm->pid = pid;
	if (n_children < sizeof(children) / sizeof(children[0]))
		children[n_children++] = pid;
	note("vm %s started", vm->name);
}

/* Forgets a process that has ended. */
static void forget_child(pid_t pid)
{
	for (size_t i = 0; i < n_children; i++) {
		if (children[i] == pid)
			children[i] = 0;
	}
}

/* Kills the process of a VM. */
void vm_kill(vm_t *vm)
{
	if (!vm->pid)
		return;
	kill(vm->pid, SIGKILL);
	waitpid(vm->pid, NULL, 0);
	forget_child(vm->pid);
	vm->pid = 0;
	note("vm %s killed", vm->name);
}

/* Returns whether the process of a VM has ended by itself. */
bool vm_has_ended(vm_t *vm)
{
	int status;

	if (!vm->pid || waitpid(vm->pid, &status, WNOHANG) != vm->pid)
		return false;
	forget_child(vm->pid);
	note("vm %s ended: status %x", vm->name, (unsigned)status);
	vm->pid = 0;
	return true;
}

/* Waits until a VM says that it is ready. */
bool vm_wait_ready(const vm_t *vm, int64_t wait_ms)
{
	static const char request[] =
		"GET /gooseberryspur/ready HTTP/1.1\r\nHost: vm\r\n"
		"Connection: close\r\n\r\n";
	int64_t until_ms = now_ms() + wait_ms;

	while (now_ms() < until_ms) {
		stream_t stream = {.fd = connect_to(vm->ready)};
		message_t answer = {0};
		bool ready = stream.fd >= 0 &&
			     stream_send(&stream, request, strlen(request)) &&
			     stream_read(&stream, &answer, false, false,
					 now_ms() + 500) &&
			     message_status(&answer) == 200;

		message_free(&answer);
		free(stream.bytes);
		if (stream.fd >= 0)
			close(stream.fd);
		if (ready) {
			note("vm %s ready", vm->name);
			return true;
		}
		sleep_ms(50);
	}
	return false;
}
