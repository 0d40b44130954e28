/* What the files that read a desired state share. */
#ifndef VERSION_READ_ENTRY_H
#define VERSION_READ_ENTRY_H

#include "process/fields.h"
#include "version/read.h"

#define READ_DAY_MS 86400000
#define READ_MAX_COUNT 1000000000.0

/* Names and addresses seen so far; the strings belong to the state. */
typedef struct {
	fields_reader_t reader;
	state_t *state;
	GHashTable *zones; /* name to itself */
	GHashTable *models; /* name to model_t */
	GHashTable *pools; /* name to pool_t */
	GHashTable *services; /* name to service_t */
	GHashTable *backends; /* name to backend_t */
	GHashTable *addresses; /* of backends, address to backend_t */
	GHashTable *workspaces; /* name to workspace_t */
} context_t;

/* One table that is being read. */
typedef struct {
	context_t *context;
	const toml_node_t *table;
	const char *path;
} entry_t;

#define FIELD(type, name, k, ...)                                          \
	{                                                                  \
		.key = #name, .kind = (k), .offset = offsetof(type, name), \
		__VA_ARGS__                                                \
	}
#define UNSTORED(name, k, ...)                         \
	{                                              \
		.key = #name, .kind = (k), __VA_ARGS__ \
	}

#define READ(entry, fields, target)                                           \
	fields_read(&(entry)->context->reader, (entry)->table, (entry)->path, \
		    (fields), G_N_ELEMENTS(fields), (target))
#define ERROR(entry, key, ...)                                                 \
	fields_error(&(entry)->context->reader, (entry)->table, (entry)->path, \
		     (key), __VA_ARGS__)

extern const char *const read_role_names[];

bool read_has(const entry_t *entry, const char *key);
void read_unique(const entry_t *entry, GHashTable *seen, const char *key,
		 str_t value, void *target);
void *read_reference(const entry_t *entry, const char *key, GHashTable *known,
		     const char *table);
void read_service(const entry_t *entry, size_t i);

#endif
