#include "process/log.h"

#include <inttypes.h>

/* The process has one logger; it lives from log_init() to log_finish(). */
static struct {
	FILE *out;
	log_level_t threshold;
	GString *origin; /* " vm=... zone=..." */
	hlc_t *hlc;
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

/* Releases the logger; later events are dropped. */
void log_finish(void)
{
	if (!logger.origin)
		return;
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
	/* One fwrite and flush a line, so that lines of a killed process are
	 * whole and none is lost.
	 */
	fwrite(line->str, 1, line->len, logger.out);
	fflush(logger.out);
	g_string_free(line, TRUE);
}
