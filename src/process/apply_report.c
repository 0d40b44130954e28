#include <inttypes.h>
#include <json-glib/json-glib.h>

#include "process/apply.h"
#include "process/cmd.h"

static const struct {
	const char *name;
	exit_code_t code;
} results[] = {
	[APPLY_ACCEPTED] = {"accepted", EXIT_CODE_OK},
	[APPLY_UNCHANGED] = {"unchanged", EXIT_CODE_OK},
	[APPLY_DRY_RUN] = {"dry_run", EXIT_CODE_OK},
	[APPLY_REFUSED] = {"refused", EXIT_CODE_REFUSED},
	[APPLY_UNREACHABLE] = {"unreachable", EXIT_CODE_UNREACHABLE},
	[APPLY_UNKNOWN] = {"unknown", EXIT_CODE_UNKNOWN},
	[APPLY_FAILED] = {"failed", EXIT_CODE_INTERNAL},
};

/* Exit code of the command for a result. */
int apply_exit_code(apply_result_t result)
{
	return (int)results[result].code;
}

static void add_differences(const apply_t *apply, const char *file,
			    GString *out)
{
	if (!apply->differences) {
		g_string_append(out, "The differences could not be read.\n");
		return;
	}
	if (apply->differences->len == 0) {
		g_string_append(out, "There are no differences.\n");
		return;
	}
	g_string_append_printf(out,
			       "Differences from the state in effect to %s:\n"
			       "%s",
			       file, apply->differences->str);
}

static void add_text(const apply_t *apply, const char *file, GString *out)
{
	g_string_append_printf(out, "%s: %s version %" PRIu64,
			       results[apply->result].name, apply->deployment,
			       apply->version);
	switch (apply->result) {
	case APPLY_ACCEPTED:
		g_string_append_printf(out,
				       ", %zu of %zu parts changed, %" PRIu64
				       " bytes written\n",
				       apply->n_changed_parts, apply->n_parts,
				       apply->uploaded_bytes);
		if (apply->replaced)
			g_string_append_printf(out,
					       "It has been replaced by "
					       "version %" PRIu64 " of %s.\n",
					       apply->winner.version,
					       apply->winner.author);
		break;
	case APPLY_REFUSED:
		g_string_append_printf(out, ": %s\n", apply->reason);
		if (apply->winner.version)
			g_string_append_printf(
				out,
				"Version %" PRIu64 " was applied by %s; "
				"version %" PRIu64 " was expected.\n",
				apply->winner.version, apply->winner.author,
				apply->expected_version);
		add_differences(apply, file, out);
		break;
	case APPLY_DRY_RUN:
		g_string_append(out, " is in effect, nothing was written\n");
		add_differences(apply, file, out);
		break;
	case APPLY_UNKNOWN:
		g_string_append_printf(out,
				       ": %s\nAttempt %s may be in effect, now "
				       "or later; `show` tells.\n",
				       apply->reason, apply->attempt);
		break;
	default:
		g_string_append_printf(out, ": %s\n", apply->reason);
		break;
	}
}

static void add_string(JsonBuilder *json, const char *key, const char *value)
{
	json_builder_set_member_name(json, key);
	json_builder_add_string_value(json, value);
}

static void add_int(JsonBuilder *json, const char *key, uint64_t value)
{
	json_builder_set_member_name(json, key);
	json_builder_add_int_value(json, (gint64)value);
}

static void add_winner(JsonBuilder *json, const head_past_t *winner)
{
	json_builder_set_member_name(json, "winner");
	json_builder_begin_object(json);
	add_int(json, "version", winner->version);
	add_string(json, "author", winner->author);
	add_string(json, "attempt", winner->attempt);
	json_builder_end_object(json);
}

static void add_difference_lines(JsonBuilder *json, const GString *differences)
{
	char **lines = g_strsplit(differences->str, "\n", -1);

	json_builder_set_member_name(json, "differences");
	json_builder_begin_array(json);
	for (size_t i = 0; lines[i]; i++) {
		if (*lines[i])
			json_builder_add_string_value(json, lines[i]);
	}
	json_builder_end_array(json);
	g_strfreev(lines);
}

static void add_json(const apply_t *apply, GString *out)
{
	JsonBuilder *json = json_builder_new();
	JsonNode *root;
	char *text;

	json_builder_begin_object(json);
	add_string(json, "result", results[apply->result].name);
	add_string(json, "reason", apply->reason);
	add_string(json, "deployment", apply->deployment);
	add_int(json, "version", apply->version);
	add_int(json, "expected", apply->expected_version);
	add_string(json, "attempt", apply->attempt);
	add_int(json, "parts", apply->n_parts);
	add_int(json, "changed_parts", apply->n_changed_parts);
	add_int(json, "written_bytes", apply->uploaded_bytes);
	if (apply->winner.version)
		add_winner(json, &apply->winner);
	if (apply->differences)
		add_difference_lines(json, apply->differences);
	json_builder_end_object(json);
	root = json_builder_get_root(json);
	text = json_to_string(root, FALSE);
	g_string_append_printf(out, "%s\n", text);
	g_free(text);
	json_node_unref(root);
	g_object_unref(json);
}

/* Appends what became of the submission, for people or as one JSON object. */
void apply_report(const apply_t *apply, const char *file, bool json,
		  GString *out)
{
	if (json)
		add_json(apply, out);
	else
		add_text(apply, file, out);
}
