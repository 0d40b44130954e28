#include "process/log.h"

#include <errno.h>
#include <inttypes.h>
#include <poll.h>
#include <unistd.h>

#include "process/alarm.h"
#include "process/counters.h"

/*
 * Most bytes that wait for a reader of the log. Lines beyond are dropped and
 * counted, so that a stopped reader cannot exhaust the memory.
 */
#define BUFFER_MAX_BYTES ((size_t)256 * 1024)

/*
 * Longest wait before buffered lines are written. Lines that arrive meanwhile
 * share one write.
 */
#define FLUSH_DELAY_US (20 * CLOCK_US_PER_MS)

/*
 * Most bytes of one write. A pipe that polls writable takes PIPE_BUF bytes
 * (4096 on Linux) without blocking.
 */
#define WRITE_MAX_BYTES 4096

/*
 * State of the logger, of which a process has one. It is in use from
 * log_init() to log_finish().
 */
static struct {
	FILE *out;
	log_level_t threshold;
	GString *vm_fields; /* " vm=... zone=...", part of each line */
	hlc_t *hlc;
	GString *buffer; /* NULL: lines are written at once */
	uint64_t dropped_lines; /* since the last line that fitted */
	alarm_t flush_alarm;
	int fd;
} logger = {.threshold = LOG_INFO};

static const char *const level_names[] = {"debug", "info", "warn", "error"};

/* Returns whether a character may stand in a value without quotes. */
static bool is_unquoted_char(unsigned char c)
{
	return c > ' ' && c < 0x7f && c != '"' && c != '\\' && c != '=';
}

/*
 * Appends a value to a line. If it is empty or contains a space, a quote, a
 * backslash, "=" or a byte that is not printable ASCII, it is quoted, and
 * quotes, backslashes and such bytes are escaped. No input can therefore start
 * a new line or forge a key=value pair.
 */
void log_append_value(GString *line, str_t value)
{
	bool needs_no_quotes = value.len > 0;

	for (size_t i = 0; i < value.len && needs_no_quotes; i++)
		needs_no_quotes =
			is_unquoted_char((unsigned char)value.data[i]);
	if (needs_no_quotes) {
		g_string_append_len(line, value.data, (gssize)value.len);
		return;
	}
	g_string_append_c(line, '"');
	for (size_t i = 0; i < value.len; i++) {
		unsigned char c = (unsigned char)value.data[i];

		if (is_unquoted_char(c) || c == ' ' || c == '=')
			g_string_append_c(line, (char)c);
		else if (c == '"' || c == '\\')
			g_string_append_printf(line, "\\%c", c);
		else
			g_string_append_printf(line, "\\x%02x", c);
	}
	g_string_append_c(line, '"');
}

/* Appends " key=value" to a line. */
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
 * Sets up the logger of the process. Events below the threshold are not
 * written. The stream and the clock stay owned by the caller and must outlive
 * log_finish(); the names are copied.
 */
void log_init(FILE *out, log_level_t threshold, str_t vm, str_t zone,
	      hlc_t *hlc)
{
	logger.out = out;
	logger.threshold = threshold;
	logger.hlc = hlc;
	logger.vm_fields = g_string_new(" vm=");
	log_append_value(logger.vm_fields, vm);
	g_string_append(logger.vm_fields, " zone=");
	log_append_value(logger.vm_fields, zone);
}

/* Drops the lines that wait, as their reader is gone for good. */
static void drop_buffer(void)
{
	int64_t lines = 0;

	for (gsize i = 0; i < logger.buffer->len; i++)
		lines += logger.buffer->str[i] == '\n';
	counters_add(COUNTER_LOG_LINES_DROPPED, lines);
	g_string_truncate(logger.buffer, 0);
}

/* Writes as much of the buffer as the reader takes without blocking. */
static void flush_buffer(void)
{
	struct pollfd poll_fd = {.fd = logger.fd, .events = POLLOUT};

	while (logger.buffer->len > 0 && poll(&poll_fd, 1, 0) == 1 &&
	       poll_fd.revents & POLLOUT) {
		ssize_t n = write(logger.fd, logger.buffer->str,
				  MIN(logger.buffer->len, WRITE_MAX_BYTES));

		if (n < 0 && errno == EPIPE)
			drop_buffer();
		if (n <= 0)
			return;
		g_string_erase(logger.buffer, 0, n);
	}
}

/* Writes the buffer, and sets the alarm again if some of it is left. */
static void on_flush(void *context)
{
	flush_buffer();
	if (logger.buffer->len > 0)
		alarm_set(&logger.flush_alarm,
			  clock_now(&logger.flush_alarm.clock) +
				  FLUSH_DELAY_US);
}

/*
 * Collects further lines in a buffer, which the main loop writes to the
 * descriptor, so that a reader that stops does not block the process. Lines
 * that do not fit are dropped, and the next line that fits is followed by an
 * event with their number.
 */
void log_start_buffering(int fd, clock_source_t clock)
{
	logger.buffer = g_string_sized_new(WRITE_MAX_BYTES);
	logger.fd = fd;
	alarm_init(&logger.flush_alarm, clock, on_flush, NULL);
}

/* Appends a line to the buffer, or counts it as dropped if it does not fit. */
static void append_to_buffer(const GString *line)
{
	if (logger.buffer->len + line->len > BUFFER_MAX_BYTES) {
		logger.dropped_lines++;
		counters_add(COUNTER_LOG_LINES_DROPPED, 1);
		return;
	}
	g_string_append_len(logger.buffer, line->str, (gssize)line->len);
	if (logger.dropped_lines > 0) {
		uint64_t dropped_lines = logger.dropped_lines;

		logger.dropped_lines = 0;
		log_event(LOG_WARN, "log_lines_dropped",
			  LOG_UINT("lines", dropped_lines));
	}
	if (logger.flush_alarm.at_us < 0)
		alarm_set(&logger.flush_alarm,
			  clock_now(&logger.flush_alarm.clock) +
				  FLUSH_DELAY_US);
}

/*
 * Writes what the reader still takes and frees the logger. Later events are
 * ignored.
 */
void log_finish(void)
{
	if (!logger.vm_fields)
		return;
	if (logger.buffer) {
		flush_buffer();
		alarm_finish(&logger.flush_alarm);
		g_string_free(logger.buffer, TRUE);
		logger.buffer = NULL;
	}
	fflush(logger.out);
	g_string_free(logger.vm_fields, TRUE);
	logger.vm_fields = NULL;
}

/*
 * Writes one event as one line. The fields end with LOG_FIELD_END. Before
 * log_init(), as in unit tests, nothing is written.
 */
void log_write(log_level_t level, const char *event, const log_field_t *fields)
{
	GString *line;
	int64_t wall_us;

	if (!logger.vm_fields || level < logger.threshold)
		return;
	wall_us = clock_now(&logger.hlc->wall);
	line = g_string_sized_new(256);
	g_string_append_printf(line,
			       "hlc=%016" PRIx64 " time=%" PRId64 ".%06" PRId64,
			       hlc_now(logger.hlc), wall_us / CLOCK_US_PER_S,
			       wall_us % CLOCK_US_PER_S);
	g_string_append_printf(line, " level=%s", level_names[level]);
	g_string_append_len(line, logger.vm_fields->str,
			    (gssize)logger.vm_fields->len);
	g_string_append_printf(line, " event=%s", event);
	for (; fields->kind != LOG_FIELD_END; fields++)
		append_field(line, fields);
	g_string_append_c(line, '\n');
	if (logger.buffer) {
		append_to_buffer(line);
		g_string_free(line, TRUE);
		return;
	}
	/* One fwrite and one flush for each line, so that a process that is
	 * killed leaves only whole lines and loses none.
	 */
	fwrite(line->str, 1, line->len, logger.out);
	fflush(logger.out);
	g_string_free(line, TRUE);
}
