/* Frame that the fakes share: HTTP server, faults and execution records. */
#ifndef SHARED_FAKE_H
#define SHARED_FAKE_H

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

/* One execution as it is printed by GET /record. */
typedef struct {
	const char *kind; /* static text */
	char *request;
	int64_t attempt;
	int64_t start_us; /* CLOCK_BOOTTIME, comparable across processes */
	int64_t end_us; /* 0 while running */
	int64_t tokens; /* computed or moved */
	const char *outcome; /* static text; "running" until it ends */
	bool ran; /* false when it was rejected before any work */
	JsonObject *details; /* fields of this fake only, or NULL */
	int64_t number; /* from 1 within the process */
	int record_fd; /* -1: none */
} fake_execution_t;

typedef struct {
	SoupServer *server;
	GMainLoop *loop;
	GPtrArray *executions; /* of fake_execution_t */
	GHashTable *faults; /* name to double, see fake_fault_set() */
	int record_fd; /* see fake_open_record_file(), -1: none */
} fake_t;

/* Handles one request; `path` is decoded and starts with '/'. */
typedef void (*fake_handler_t)(SoupServerMessage *message, const char *path,
			       GHashTable *query, void *context);

/* Called after POST /fault changed a fault. */
typedef void (*fake_fault_changed_t)(const char *name, double value,
				     void *context);

void fake_init(fake_t *fake);
bool fake_open_record_file(fake_t *fake, const char *path);
bool fake_serve(fake_t *fake, const char *address, fake_handler_t handler,
		void *context);

int64_t fake_now_us(void);
bool fake_parse_options(int argc, char **argv, const GOptionEntry *entries);

JsonObject *fake_json(const char *key, ...) G_GNUC_NULL_TERMINATED;
char *fake_json_text(JsonObject *object);
JsonObject *fake_body(SoupServerMessage *message);
const char *fake_get_string(JsonObject *object, const char *key);
int64_t fake_get_int(JsonObject *object, const char *key, int64_t absent);

void fake_reply_text(SoupServerMessage *message, unsigned status,
		     const char *type, const char *text, size_t len);
void fake_reply(SoupServerMessage *message, unsigned status,
		JsonObject *object);
void fake_reply_error(SoupServerMessage *message, unsigned status,
		      const char *error);
void fake_drop_connection(SoupServerMessage *message);
bool fake_is_get(SoupServerMessage *message);
bool fake_is_post(SoupServerMessage *message);

void fake_fault_set(fake_t *fake, const char *name, double value);
double fake_fault_get(const fake_t *fake, const char *name);
bool fake_fault_take(fake_t *fake, const char *name);
void fake_reply_fault(fake_t *fake, SoupServerMessage *message,
		      fake_fault_changed_t changed, void *context);

fake_execution_t *fake_execution_start(fake_t *fake, const char *kind,
				       const char *request, int64_t attempt);
void fake_execution_end(fake_execution_t *execution, const char *outcome);
G_NORETURN void fake_crash(fake_t *fake);
void fake_append_record(const fake_t *fake, GString *out);

#endif
