#include "process/check.h"

#include <json-glib/json-glib.h>

#include "process/file.h"
#include "process/settings.h"
#include "process/toml.h"
#include "version/read.h"
#include "version/state.h"

/* Names of the kinds in reports, indexed by check_kind_t. */
static const char *const kind_names[] = {"unknown", "settings", "state"};

/* Returns the kind to which more of the keys at the top level belong. */
static check_kind_t find_kind(const toml_node_t *root)
{
	size_t settings = 0;
	size_t state = 0;

	for (size_t i = 0; i < root->n_children; i++) {
		settings += settings_has_key(root->children[i].key);
		state += read_has_key(root->children[i].key);
	}
	if (settings == state)
		return CHECK_UNKNOWN;
	return settings > state ? CHECK_SETTINGS : CHECK_STATE;
}

/* Parses a text as the given kind, which adds its errors. */
static void check_text(check_kind_t kind, const GString *text, const char *path,
		       diag_t *diag)
{
	settings_t settings;
	state_t *state;

	switch (kind) {
	case CHECK_SETTINGS:
		settings_parse(text->str, text->len, path, &settings, diag);
		settings_finish(&settings);
		break;
	case CHECK_STATE:
		state_parse(text->str, text->len, path, &state, diag);
		state_unref(state);
		break;
	case CHECK_UNKNOWN:
		diag_add(diag, path, 0, NULL,
			 "expected the keys of a settings file or of a desired "
			 "state");
		break;
	}
}

/*
 * Checks a file, whose kind is told by its keys, and adds all its errors.
 * Returns the kind.
 */
check_kind_t check_file(const char *path, diag_t *diag)
{
	check_kind_t kind = CHECK_UNKNOWN;
	toml_node_t *root;
	GString *text;

	if (!file_load(path, TOML_MAX_BYTES, &text, diag))
		return CHECK_UNKNOWN;
	if (toml_parse(text->str, text->len, path, &root, diag)) {
		kind = find_kind(root);
		toml_free(root);
		check_text(kind, text, path, diag);
	}
	g_string_free(text, TRUE);
	return kind;
}

/* Adds the array of errors to the JSON object. */
static void add_errors(JsonBuilder *json, const diag_t *diag)
{
	json_builder_set_member_name(json, "errors");
	json_builder_begin_array(json);
	for (guint i = 0; i < diag->entries->len; i++) {
		const diag_entry_t *entry =
			&g_array_index(diag->entries, diag_entry_t, i);

		json_builder_begin_object(json);
		json_builder_set_member_name(json, "file");
		json_builder_add_string_value(json, entry->file);
		json_builder_set_member_name(json, "line");
		json_builder_add_int_value(json, entry->line);
		json_builder_set_member_name(json, "key");
		json_builder_add_string_value(json, entry->key);
		json_builder_set_member_name(json, "message");
		json_builder_add_string_value(json, entry->message);
		json_builder_end_object(json);
	}
	json_builder_end_array(json);
}

/* Appends the result of a check as one JSON object. */
static void report_json(const char *path, check_kind_t kind, const diag_t *diag,
			GString *out)
{
	JsonBuilder *json = json_builder_new();
	JsonNode *root;
	char *text;

	json_builder_begin_object(json);
	json_builder_set_member_name(json, "file");
	json_builder_add_string_value(json, path);
	json_builder_set_member_name(json, "kind");
	json_builder_add_string_value(json, kind_names[kind]);
	json_builder_set_member_name(json, "valid");
	json_builder_add_boolean_value(json, diag_is_empty(diag));
	add_errors(json, diag);
	json_builder_end_object(json);
	root = json_builder_get_root(json);
	text = json_to_string(root, FALSE);
	g_string_append_printf(out, "%s\n", text);
	g_free(text);
	json_node_unref(root);
	g_object_unref(json);
}

/* Appends the result of a check as lines of text or as one JSON object. */
void check_report(const char *path, check_kind_t kind, const diag_t *diag,
		  bool json, GString *out)
{
	if (json)
		report_json(path, kind, diag, out);
	else if (diag_is_empty(diag))
		g_string_append_printf(out, "%s: valid %s\n", path,
				       kind_names[kind]);
	else
		diag_print(diag, out);
}
