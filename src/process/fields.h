/* Reads TOML tables into structures, as described by lists of fields. */
#ifndef PROCESS_FIELDS_H
#define PROCESS_FIELDS_H

#include <stdint.h>

#include "process/diag.h"
#include "process/toml.h"

/* Most fields of one table. */
#define FIELDS_MAX 24

typedef enum {
	FIELD_NAME, /* str_t: lower-case letters, digits, '-', '_', '.' */
	FIELD_TEXT, /* str_t: printable ASCII, min to max bytes */
	FIELD_ADDRESS, /* str_t: IP:port */
	FIELD_SHA256, /* str_t: 64 lower-case hex digits */
	FIELD_HEX, /* str_t: min to max lower-case hex digits, even */
	FIELD_INTEGER, /* int64_t: min to max */
	FIELD_INT, /* int: min to max */
	FIELD_REAL, /* double: min to max */
	FIELD_BOOL, /* bool */
	FIELD_CHOICE, /* int: index of one of `choices` */
	FIELD_REFERENCE, /* a name that the caller resolves; not stored */
	FIELD_NAMES, /* array of names that the caller reads; not stored */
	FIELD_TABLES, /* array of tables that the caller reads; not stored */
	FIELD_TABLE, /* table that the caller reads; not stored */
} field_kind_t;

typedef struct {
	const char *key;
	size_t offset; /* of the member in the target structure */
	double min;
	double max;
	double default_value; /* value when the key is absent; numbers only */
	const char *const *choices; /* NULL-terminated */
	field_kind_t kind;
	bool required;
	bool as_c_string; /* the member is a char * that its owner frees */
} field_t;

/* What one file is read with. */
typedef struct {
	const char *file;
	diag_t *diag;
	GStringChunk *strings; /* owns the bytes of every str_t read */
} fields_reader_t;

void fields_read(const fields_reader_t *reader, const toml_node_t *table,
		 const char *path, const field_t *fields, size_t n_fields,
		 void *target);
void fields_error(const fields_reader_t *reader, const toml_node_t *table,
		  const char *path, const char *key, const char *format, ...)
	G_GNUC_PRINTF(5, 6);
str_t fields_copy_text(const fields_reader_t *reader, str_t text);
size_t fields_array_length(const toml_node_t *table, const char *key);
const toml_node_t *fields_array_element(const toml_node_t *table,
					const char *key, size_t index);
const char *fields_nearest_key(str_t word, const field_t *fields,
			       size_t n_fields);
bool fields_is_name(str_t text);
bool fields_is_address(str_t text);
bool fields_is_hex(str_t text);

#endif
