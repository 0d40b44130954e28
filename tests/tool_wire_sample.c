/* Writes what one build tells another into files, and checks that it understands the
 * files that another build has written: `tool_wire_sample write DIR` and
 * `tool_wire_sample read DIR`. Run with the builds of two versions it shows whether
 * they can serve side by side.
 */
#include <stdio.h>
#include <string.h>

#include "connection/announce.h"
#include "connection/http_message.h"
#include "process/clock.h"
#include "wire_fields.h"

#define NOW (1000 * CLOCK_US_PER_S)
#define ANNOUNCEMENT "announcement.bin"
#define PASSED_ON "passed-on.http"

/* Position of the credentials in a call, and their size if there are none. */
#define CREDENTIALS_OFFSET 24
#define NO_CREDENTIALS_BYTES 8

/* A request as a caller has sent it. */
#define REQUEST                                                               \
	"POST /l/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: 9c41d07be2a35f68\r\n" \
	"X-Deadline-Ms: 14000\r\nX-Model-Name: m\r\n"                         \
	"X-Token-Count: 1000,200\r\nLast-Event-Id: 7\r\n"                     \
	"Resumes: 1d07be2a35f689c4\r\nContent-Length: 0\r\n\r\n"

static bool failed;

/* Reports a sample that is not understood. */
static void expect(bool holds, const char *what)
{
	if (holds)
		return;
	fprintf(stderr, "tool_wire_sample: not understood: %s\n", what);
	failed = true;
}

/* --- announcements ----------------------------------------------------------- */

/* Lets a VM use a server, suspect one, find one unavailable, have a stream that
 * waits, know a limit and the loss of a server, and have begun a stream.
 */
static void fill(occupancy_t *occupancy)
{
	occupancy_use_t use = {
		.streams = 3, .kv_tokens = 4000, .prefill_tokens = 500};
	occupancy_urgency_t urgency = {.due_us = NOW + 50000};
	occupancy_unavailable_t unavailable = {.until_us = NOW + 70000};
	occupancy_limit_t limit = {
		.limit = {.limited = true, .per_s = 9, .seen_us = NOW - 1000}};
	quarantine_loss_t loss = {
		.server = 5, .lost_us = NOW - 1000, .n_keys = 1, .keys = {77}};
	stream_origin_t origin = {
		.stream = 11, .software = 13, .expires_us = NOW + 30000000};

	g_strlcpy(unavailable.server, "i-3", sizeof(unavailable.server));
	g_strlcpy(limit.server, "i-4", sizeof(limit.server));
	occupancy_add(occupancy, "i-1", &use);
	g_array_append_val(occupancy->waiters, urgency);
	g_ptr_array_add(occupancy->suspects, g_strdup("i-2"));
	g_array_append_val(occupancy->unavailable, unavailable);
	g_array_append_val(occupancy->limits, limit);
	g_array_append_val(occupancy->losses, loss);
	occupancy->losses_until_us = NOW + CLOCK_US_PER_S;
	g_array_append_val(occupancy->origins, origin);
	workload_observe_request(occupancy_own_workload(occupancy, "llm"), NOW,
				 1000, 100);
}

static GString *format_announcement(void)
{
	occupancy_t occupancy;
	announce_t announce = {.vm = "vm-1",
			       .incarnation = 42,
			       .sequence = 7,
			       .occupancy = &occupancy};
	GString *bytes = g_string_sized_new(8192);

	occupancy_init(&occupancy);
	fill(&occupancy);
	expect(announce_encode(&announce, occupancy.origins, NOW, bytes->str,
			       8192, &bytes->len),
	       "own announcement");
	occupancy_finish(&occupancy);
	return bytes;
}

/* What a receiver was told by its callbacks. */
typedef struct {
	bool suspect, unavailable, limit, loss, origin;
} told_t;

static void on_suspect(void *context, const occupancy_peer_t *peer,
		       const char *server)
{
	((told_t *)context)->suspect = g_str_equal(server, "i-2");
}

static void on_unavailable(void *context, const char *server, int64_t until_us)
{
	((told_t *)context)->unavailable = g_str_equal(server, "i-3") &&
					   until_us == NOW + 70000;
}

static void on_limit(void *context, const char *vm, const char *server,
		     const server_limit_t *limit)
{
	((told_t *)context)->limit = g_str_equal(server, "i-4") &&
				     limit->limited && limit->per_s == 9;
}

static void on_losses(void *context,
		      const occupancy_announcement_t *announcement)
{
	((told_t *)context)->loss =
		announcement->losses->len == 1 &&
		g_array_index(announcement->losses, quarantine_loss_t, 0)
				.keys[0] == 77;
}

static void on_origin(void *context, const stream_origin_t *origin)
{
	((told_t *)context)->origin = origin->stream == 11 &&
				      origin->software == 13;
}

static void check_decoded(const char *bytes, size_t len)
{
	occupancy_t occupancy;
	told_t told = {0};
	occupancy_use_t use;

	occupancy_init(&occupancy);
	occupancy.on_suspect = on_suspect;
	occupancy.on_unavailable = on_unavailable;
	occupancy.on_limit = on_limit;
	occupancy.on_losses = on_losses;
	occupancy.on_origin = on_origin;
	occupancy.context = &told;
	expect(announce_decode(&occupancy, bytes, len, NOW), "announcement");
	use = occupancy_total(&occupancy, "i-1", NOW);
	expect(use.streams == 3 && use.kv_tokens == 4000 &&
		       use.prefill_tokens == 500,
	       "use of a server");
	expect(told.suspect, "suspected server");
	expect(told.unavailable, "unavailable server");
	expect(told.limit, "limit of a server");
	expect(told.loss, "loss of a server");
	expect(told.origin, "version that began a stream");
	occupancy_finish(&occupancy);
}

/* Checks an announcement as it is, and with credentials of a flavor that the reader may
 * not know, in place of none: newer builds name their availability zone there.
 */
static void check_announcement(const char *bytes, size_t len)
{
	static const char credentials[] = {0x20, (char)0xa0, 0x0b, 0x02,
					   0,	 0,	     0,	   6,
					   'z',	 'o',	     'n',  'e',
					   '-',	 '1',	     0,	   0};
	GString *with_zone = g_string_new_len(bytes, (gssize)len);

	check_decoded(bytes, len);
	if (len > CREDENTIALS_OFFSET + NO_CREDENTIALS_BYTES) {
		g_string_erase(with_zone, CREDENTIALS_OFFSET,
			       NO_CREDENTIALS_BYTES);
		g_string_insert_len(with_zone, CREDENTIALS_OFFSET, credentials,
				    sizeof(credentials));
		check_decoded(with_zone->str, with_zone->len);
	}
	g_string_free(with_zone, TRUE);
}

/* --- requests that are passed on ---------------------------------------------- */

/* Reads the head of a request; false if it is malformed. */
static bool read_head(const char *bytes, size_t len, http_head_t *head)
{
	char **lines;
	char *text = g_strndup(bytes, len);
	char **words;

	lines = g_strsplit(text, "\r\n", -1);
	words = g_strsplit(lines[0], " ", 3);
	head->method = g_string_new(words[0]);
	head->target = g_string_new(words[0] && words[1] ? words[1] : "");
	http_headers_init(&head->headers);
	for (char **line = lines + 1; *line && **line; line++) {
		char *colon = strstr(*line, ": ");

		if (colon)
			http_headers_add(&head->headers,
					 (str_t){*line,
						 (size_t)(colon - *line)},
					 str_from(colon + 2));
	}
	g_strfreev(words);
	g_strfreev(lines);
	g_free(text);
	return head->target->len > 0;
}

static void finish_head(http_head_t *head)
{
	g_string_free(head->method, TRUE);
	g_string_free(head->target, TRUE);
	http_headers_finish(&head->headers);
}

static GString *format_passed_on(void)
{
	GString *bytes = g_string_new(NULL);
	http_head_t head = {0};

	expect(read_head(REQUEST, strlen(REQUEST), &head), "request");
	append_passed_on_request(bytes, &head, STR(""), 9000 * CLOCK_US_PER_MS,
				 12);
	finish_head(&head);
	return bytes;
}

static void check_passed_on(const char *bytes, size_t len)
{
	request_fields_t fields;
	http_head_t head = {0};

	memset(&fields, 0, sizeof(fields));
	expect(read_head(bytes, len, &head), "request that is passed on");
	request_fields_read(&head, &fields);
	expect(passed_on_config_version(&head) == 12,
	       "version of the configuration");
	expect(fields.time_left_us == 9000 * CLOCK_US_PER_MS, "time left");
	expect(str_equal(fields.id, STR("9c41d07be2a35f68")), "request ID");
	expect(str_equal(fields.last_event_id, STR("7")), "last event");
	expect(str_equal(fields.first_attempt_id, STR("1d07be2a35f689c4")),
	       "first attempt");
	finish_head(&head);
}

/* --- files ------------------------------------------------------------------------ */

static void write_file(const char *folder, const char *name, GString *bytes)
{
	char *path = g_build_filename(folder, name, NULL);

	expect(g_file_set_contents(path, bytes->str, (gssize)bytes->len, NULL),
	       path);
	g_string_free(bytes, TRUE);
	g_free(path);
}

static void read_file(const char *folder, const char *name,
		      void (*check)(const char *bytes, size_t len))
{
	char *path = g_build_filename(folder, name, NULL);
	char *bytes;
	gsize len;

	if (g_file_get_contents(path, &bytes, &len, NULL)) {
		check(bytes, len);
		g_free(bytes);
	} else {
		expect(false, path);
	}
	g_free(path);
}

int main(int argc, char **argv)
{
	if (argc == 3 && g_str_equal(argv[1], "write")) {
		write_file(argv[2], ANNOUNCEMENT, format_announcement());
		write_file(argv[2], PASSED_ON, format_passed_on());
	} else if (argc == 3 && g_str_equal(argv[1], "read")) {
		read_file(argv[2], ANNOUNCEMENT, check_announcement);
		read_file(argv[2], PASSED_ON, check_passed_on);
	} else {
		fputs("usage: tool_wire_sample write|read DIR\n", stderr);
		return 2;
	}
	return failed ? 1 : 0;
}
