/* List of the errors that were found in checked files. */
#ifndef PROCESS_DIAG_H
#define PROCESS_DIAG_H

#include <glib.h>

#include "process/str.h"

/* One error. */
typedef struct {
	char *file;
	unsigned line; /* from 1; 0: not known */
	char *key; /* dotted path of the key, or empty */
	char *message; /* says what was expected */
} diag_entry_t;

/* The errors in the order in which they were found. */
typedef struct {
	GArray *entries; /* of diag_entry_t */
} diag_t;

G_BEGIN_DECLS

void diag_init(diag_t *diag);
void diag_finish(diag_t *diag);
void diag_add(diag_t *diag, const char *file, unsigned line, const char *key,
	      const char *format, ...) G_GNUC_PRINTF(5, 6);
bool diag_is_empty(const diag_t *diag);
void diag_print(const diag_t *diag, GString *out);

G_END_DECLS

#endif
