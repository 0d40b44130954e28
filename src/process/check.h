/* Checks one configuration file of either kind. */
#ifndef PROCESS_CHECK_H
#define PROCESS_CHECK_H

#include "process/diag.h"

typedef enum {
	CHECK_UNKNOWN, /* neither kind, or not TOML */
	CHECK_SETTINGS,
	CHECK_STATE,
} check_kind_t;

check_kind_t check_file(const char *path, diag_t *diag);
void check_report(const char *path, check_kind_t kind, const diag_t *diag,
		  bool json, GString *out);

#endif
