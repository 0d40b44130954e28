/* Blocking HTTP calls for tests. Addresses are IP:port. */
#ifndef SUPPORT_HTTP_H
#define SUPPORT_HTTP_H

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
	unsigned status; /* 0: no answer */
	char *text; /* NUL-terminated body, never NULL */
	size_t len;
	JsonObject *json; /* NULL when the body is not a JSON object */
	SoupMessageHeaders *headers; /* of the answer, NULL without one */
} http_answer_t;

/* An open response whose events are read one by one. */
typedef struct {
	unsigned status; /* 0: no answer */
	SoupSession *session;
	SoupMessage *message;
	GInputStream *input;
	GDataInputStream *lines; /* NULL without an answer */
	GCancellable *cancellable;
} http_stream_t;

/* A call that runs in its own thread. */
typedef struct {
	char *method;
	char *address;
	char *path;
	char *body;
	GThread *thread;
	http_answer_t answer;
} background_call_t;

http_answer_t http_call(const char *method, const char *address,
			const char *path, const char *body,
			const char *const *headers);
http_answer_t http_get(const char *address, const char *path);
http_answer_t http_post(const char *address, const char *path,
			const char *body);
const char *http_header(const http_answer_t *answer, const char *name);
const char *http_json_string(const http_answer_t *answer, const char *key);
int64_t http_json_int(const http_answer_t *answer, const char *key);
void http_answer_finish(http_answer_t *answer);

void http_call_start(background_call_t *call, const char *method,
		     const char *address, const char *path, const char *body);
http_answer_t http_call_join(background_call_t *call);

http_stream_t http_stream_open(const char *address, const char *path,
			       const char *body, const char *const *headers);
char *http_stream_next(http_stream_t *stream);
const char *http_stream_header(const http_stream_t *stream, const char *name);
void http_stream_close(http_stream_t *stream);

void http_set_faults(const char *address, const char *faults);
char *http_get_record(const char *address);

#endif
