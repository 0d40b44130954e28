/* Checks a settings file or a desired state without applying it. */
#ifndef PROCESS_CHECK_H
#define PROCESS_CHECK_H

#include "process/diag.h"

/* Kind of a configuration file. */
typedef enum {
	CHECK_UNKNOWN, /* neither kind, or not readable as TOML */
	CHECK_SETTINGS,
	CHECK_STATE,
} check_kind_t;

check_kind_t check_file(const char *path, diag_t *diag);
void check_report(const char *path, check_kind_t kind, const diag_t *diag,
		  bool json, GString *out);

#endif
