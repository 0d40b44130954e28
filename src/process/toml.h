/* Parses TOML into a tree of plain C structures. */
#ifndef PROCESS_TOML_H
#define PROCESS_TOML_H

#include <stdint.h>

#include "process/diag.h"
#include "process/str.h"

/*
 * Longest accepted text, 4 MiB. A desired state with 8,000 backend servers and
 * 5,200 workspaces takes about 2 MB.
 */
#define TOML_MAX_BYTES 4194304

/*
 * Longest accepted line. toml++ 3.3 does not limit the depth of dotted keys
 * and frees nested tables recursively, so that a longer line could exhaust the
 * stack.
 */
#define TOML_MAX_LINE_BYTES 1024

/* Type of a TOML value. */
typedef enum {
	TOML_TABLE,
	TOML_ARRAY,
	TOML_STRING,
	TOML_INTEGER,
	TOML_REAL,
	TOML_BOOL,
	TOML_OTHER, /* dates and times */
} toml_kind_t;

typedef struct toml_node toml_node_t;

/* A value, and its key if it is the member of a table. */
struct toml_node {
	toml_kind_t kind;
	unsigned line; /* from 1; of the key in a table, else of the value */
	str_t key; /* empty outside of a table */
	toml_node_t *children; /* members of a table, elements of an array */
	size_t n_children;
	union {
		str_t string;
		int64_t integer;
		double real;
		bool boolean;
	};
};

G_BEGIN_DECLS

bool toml_parse(const char *text, size_t len, const char *name,
		toml_node_t **root, diag_t *diag);
void toml_free(toml_node_t *root);
const toml_node_t *toml_get(const toml_node_t *table, const char *key);
const char *toml_kind_text(toml_kind_t kind);

G_END_DECLS

#endif
