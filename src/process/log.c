#include "process/log.h"

#include <inttypes.h>
#include <poll.h>
#include <unistd.h>

#include "process/alarm.h"

/* Lines that wait for a reader of the log; further ones are counted. */
#define BUFFER_BYTES ((size_t)256 * 1024)

/* Lines within this time are written together. */
#define FLUSH_US (20 * CLOCK_US_PER_MS)

/* A write to a pipe that polls writable takes at least this much (PIPE_BUF)
 * without blocking.
 */
#define WRITE_BYTES 4096

/* The process has one logger; it lives from log_init() to log_finish(). */
static struct {
	FILE *out;
	log_level_t threshold;
	GString *origin; /* " vm=... zone=..." */
	hlc_t *hlc;
	GString *buffer; /* NULL: lines are written at once */
	uint64_t dropped; /* lines that did not fit since the last one */
	alarm_t flush;
	int fd;
} logger = {.threshold = LOG_INFO};

static const char *const level_names[] = {"debug", "info", "warn", "error"};

static bool is_plain(unsigned char c)
{
	return c > ' ' && c < 0x7f && c != '"' && c != '\\' && c != '=';
}

/*
 * Appends a value. A value with any byte outside of plain printable ASCII is
 * quoted and those bytes are escaped, so no input can start a new line or
 * forge another key=value pair.
 */
void log_append_value(GString *line, str_t value)
{
	bool plain = value.len > 0;

	for (size_t i = 0; i < value.len && plain; i++)
		plain = is_plain((unsigned char)value.data[i]);
	if (plain) {
		g_string_append_len(line, value.data, (gssize)value.len);
		return;
	}
	g_string_append_c(line, '"');
	for (size_t i = 0; i < value.len; i++) {
		unsigned char c = (unsigned char)value.data[i];

		if (is_plain(c) || c == ' ' || c == '=')
			g_string_append_c(line, (char)c);
		else if (c == '"' || c == '\\')
			g_string_append_printf(line, "\\%c", c);
		else
			g_string_append_printf(line, "\\x%02x", c);
	}
	g_string_append_c(line, '"');
}

static void append_field(GString *line, const log_field_t *field)
{
	g_string_append_printf(line, " %s=", field->key);
	switch (field->kind) {
	case LOG_FIELD_STR:
		log_append_value(line, field->str);
		break;
	case LOG_FIELD_INT:
		g_string_append_printf(line, "%" PRId64, field->integer);
		break;
	case LOG_FIELD_UINT:
		g_string_append_printf(line, "%" PRIu64, field->uint);
		break;
	case LOG_FIELD_REAL:
		g_string_append_printf(line, "%.6g", field->real);
		break;
	case LOG_FIELD_END:
		break;
	}
}

/*
 * Sets up the process's logger. The stream and the clock stay owned by the
 * caller and must outlive log_finish().
 */
void log_init(FILE *out, log_level_t threshold, str_t vm, str_t zone,
	      hlc_t *hlc)
{
	logger.out = out;
	logger.threshold = threshold;
	logger.hlc = hlc;
	logger.origin = g_string_new(" vm=");
	log_append_value(logger.origin, vm);
	g_string_append(logger.origin, " zone=");
	log_append_value(logger.origin, zone);
}

/* Writes what the reader takes without waiting for it. */
static void flush_buffer(void)
{
	struct pollfd poll_fd = {.fd = logger.fd, .events = POLLOUT};

	while (logger.buffer->len > 0 && poll(&poll_fd, 1, 0) == 1 &&
	       poll_fd.revents & POLLOUT) {
		ssize_t n = write(logger.fd, logger.buffer->str,
				  MIN(logger.buffer->len, WRITE_BYTES));

		if (n <= 0)
			return;
		g_string_erase(logger.buffer, 0, n);
	}
}

static void on_flush(void *context)
{
	flush_buffer();
	if (logger.buffer->len > 0)
		alarm_set(&logger.flush,
			  clock_now(&logger.flush.clock) + FLUSH_US);
}

/*
 * From now on lines go to a buffer that is written to the descriptor by the
 * main loop, so that a reader that stops delays nothing. Lines that do not fit
 * are counted, and the count is logged.
 */
void log_start_buffering(int fd, clock_source_t clock)
{
	logger.buffer = g_string_sized_new(WRITE_BYTES);
	logger.fd = fd;
	alarm_init(&logger.flush, clock, on_flush, NULL);
}

static void append_to_buffer(const GString *line)
{
	if (logger.buffer->len + line->len > BUFFER_BYTES) {
		logger.dropped++;
		return;
	}
	g_string_append_len(logger.buffer, line->str, (gssize)line->len);
	if (logger.dropped > 0) {
		uint64_t dropped = logger.dropped;

		logger.dropped = 0;
		log_event(LOG_WARN, "log_lines_dropped",
			  LOG_UINT("lines", dropped));
	}
	if (logger.flush.at_us < 0)
		alarm_set(&logger.flush,
			  clock_now(&logger.flush.clock) + FLUSH_US);
}

/* Releases the logger; later events are dropped. */
void log_finish(void)
{
	if (!logger.origin)
		return;
	if (logger.buffer) {
		flush_buffer();
		alarm_finish(&logger.flush);
		g_string_free(logger.buffer, TRUE);
		logger.buffer = NULL;
	}
	fflush(logger.out);
	g_string_free(logger.origin, TRUE);
	logger.origin = NULL;
}

/*
 * Writes one event line. The fields end with LOG_FIELD_END. Without
 * log_init(), as in unit tests, nothing is written.
 */
void log_write(log_level_t level, const char *event, const log_field_t *fields)
{
	GString *line;
	int64_t wall_us;

	if (!logger.origin || level < logger.threshold)
		return;
	wall_us = clock_now(&logger.hlc->wall);
	line = g_string_sized_new(256);
	g_string_append_printf(line,
			       "hlc=%016" PRIx64 " time=%" PRId64 ".%06" PRId64,
			       hlc_now(logger.hlc), wall_us / CLOCK_US_PER_S,
			       wall_us % CLOCK_US_PER_S);
	g_string_append_printf(line, " level=%s", level_names[level]);
	g_string_append_len(line, logger.origin->str,
			    (gssize)logger.origin->len);
	g_string_append_printf(line, " event=%s", event);
	for (; fields->kind != LOG_FIELD_END; fields++)
		append_field(line, fields);
	g_string_append_c(line, '\n');
	if (logger.buffer) {
		append_to_buffer(line);
		g_string_free(line, TRUE);
		return;
	}
	/* One fwrite and flush a line, so that lines of a killed process are
	 * whole and none is lost.
	 */
	fwrite(line->str, 1, line->len, logger.out);
	fflush(logger.out);
	g_string_free(line, TRUE);
}
