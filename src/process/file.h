/* Reads whole files up to a maximum size. */
#ifndef PROCESS_FILE_H
#define PROCESS_FILE_H

#include "process/diag.h"

bool file_load(const char *path, size_t max_bytes, GString **text,
	       diag_t *diag);

#endif
