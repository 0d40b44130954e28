#include "process/entry/entry_settings.h"

#include "process/fields.h"
#include "process/file.h"

/* Describes a settings key that has the name of the field that holds it. */
#define FIELD(name, k, ...)                                             \
	{                                                               \
		.key = #name, .kind = (k),                              \
		.offset = offsetof(entry_settings_t, name), __VA_ARGS__ \
	}

/* A required text, of which the settings get their own copy. */
#define TEXT_FIELD(name, k) \
	FIELD(name, k, .as_c_string = true, .required = true)

static const char *const log_levels[] = {"debug", "info", "warn", "error",
					 NULL};

static const field_t fields[] = {
	TEXT_FIELD(vm, FIELD_NAME),
	TEXT_FIELD(zone, FIELD_NAME),
	TEXT_FIELD(callers_address, FIELD_ADDRESS),
	TEXT_FIELD(ready_address, FIELD_ADDRESS),
	TEXT_FIELD(metrics_address, FIELD_ADDRESS),
	TEXT_FIELD(peer_address, FIELD_ADDRESS),
	TEXT_FIELD(store_address, FIELD_ADDRESS),
	FIELD(log_level, FIELD_CHOICE, .choices = log_levels,
	      .default_value = LOG_INFO),
	FIELD(shutdown_limit_s, FIELD_REAL, .min = 0.5, .max = 3600,
	      .default_value = 8),
	FIELD(bootstrap, FIELD_BOOL),
	FIELD(retry_share, FIELD_REAL, .max = 1, .default_value = 0.2),
	FIELD(retry_slack, FIELD_REAL, .max = 1000000, .default_value = 50),
};

/*
 * Parses settings from a TOML text; `name` stands for it in errors. On failure
 * returns false with the errors added to *diag and *settings empty;
 * entry_settings_finish() is allowed in both cases.
 */
bool entry_settings_parse(const char *text, size_t len, const char *name,
			  entry_settings_t *settings, diag_t *diag)
{
	fields_reader_t reader = {.file = name, .diag = diag};
	guint errors_before = diag->entries->len;
	toml_node_t *root;

	memset(settings, 0, sizeof(*settings));
	if (!toml_parse(text, len, name, &root, diag))
		return false;
	reader.strings = g_string_chunk_new(256);
	fields_read(&reader, root, "", fields, G_N_ELEMENTS(fields), settings);
	g_string_chunk_free(reader.strings);
	toml_free(root);
	if (diag->entries->len == errors_before)
		return true;
	entry_settings_finish(settings);
	return false;
}

/* Reads settings from a file. Fails as entry_settings_parse() does. */
bool entry_settings_load(const char *path, entry_settings_t *settings,
			 diag_t *diag)
{
	GString *text;
	bool ok;

	memset(settings, 0, sizeof(*settings));
	if (!file_load(path, TOML_MAX_BYTES, &text, diag))
		return false;
	ok = entry_settings_parse(text->str, text->len, path, settings, diag);
	g_string_free(text, TRUE);
	return ok;
}

/* Frees what the settings own and empties them. Allowed more than once. */
void entry_settings_finish(entry_settings_t *settings)
{
	g_free(settings->vm);
	g_free(settings->zone);
	g_free(settings->callers_address);
	g_free(settings->ready_address);
	g_free(settings->metrics_address);
	g_free(settings->peer_address);
	g_free(settings->store_address);
	memset(settings, 0, sizeof(*settings));
}
