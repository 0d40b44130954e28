/* Logger: one line of key=value pairs for each event. */
#ifndef PROCESS_LOG_H
#define PROCESS_LOG_H

#include <stdint.h>
#include <stdio.h>

#include "process/clock.h"
#include "process/str.h"

typedef enum {
	LOG_DEBUG,
	LOG_INFO,
	LOG_WARN,
	LOG_ERROR,
} log_level_t;

typedef enum {
	LOG_FIELD_END,
	LOG_FIELD_STR,
	LOG_FIELD_INT,
	LOG_FIELD_UINT,
	LOG_FIELD_REAL,
} log_field_kind_t;

typedef struct {
	log_field_kind_t kind;
	const char *key;
	union {
		str_t str;
		int64_t integer;
		uint64_t uint;
		double real;
	};
} log_field_t;

#define LOG_STR(k, v) ((log_field_t){LOG_FIELD_STR, (k), {.str = (v)}})
#define LOG_CSTR(k, v) LOG_STR(k, str_from(v))
#define LOG_INT(k, v) ((log_field_t){LOG_FIELD_INT, (k), {.integer = (v)}})
#define LOG_UINT(k, v) ((log_field_t){LOG_FIELD_UINT, (k), {.uint = (v)}})
#define LOG_REAL(k, v) ((log_field_t){LOG_FIELD_REAL, (k), {.real = (v)}})

/* log_event(LOG_INFO, "request_done", LOG_STR("request", id), ...) */
#define log_event(level, event, ...)                            \
	log_write((level), (event),                             \
		  (const log_field_t[]){__VA_ARGS__ __VA_OPT__( \
			  , ){LOG_FIELD_END, NULL, {.integer = 0}}})

void log_init(FILE *out, log_level_t threshold, str_t vm, str_t zone,
	      hlc_t *hlc);
void log_start_buffering(int fd, clock_source_t clock);
void log_finish(void);
void log_write(log_level_t level, const char *event, const log_field_t *fields);
void log_append_value(GString *line, str_t value);

#endif
