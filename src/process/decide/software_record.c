#include "process/decide/software_record.h"

#include <stdlib.h>

/* A version counts as listed if a server had it at most so long ago. Observations
 * are more frequent.
 */
#define LISTED_US (3 * INT64_C(1000000))

/* Most lines of a record that are read. */
#define MAX_LINES 4096

/* Sets up an empty record that is not complete. */
void software_record_init(software_record_t *record)
{
	*record = (software_record_t){
		.recorders = g_ptr_array_new_with_free_func(g_free),
		.versions =
			g_array_new(FALSE, FALSE, sizeof(software_version_t)),
	};
	g_array_set_clear_func(record->versions, software_version_clear);
}

/* Frees what the record owns. */
void software_record_finish(software_record_t *record)
{
	g_ptr_array_unref(record->recorders);
	g_array_unref(record->versions);
}

/* Sets up a record with the contents of another. */
void software_record_init_copy(software_record_t *record,
			       const software_record_t *other)
{
	GString *text = g_string_new(NULL);

	software_record_format(other, text);
	software_record_init(record);
	(void)software_record_parse(record, str_from_gstring(text));
	g_string_free(text, TRUE);
}

/* Returns the index of a version, or -1. */
static int find(const software_record_t *record, const char *service,
		uint64_t software)
{
	for (guint i = 0; i < record->versions->len; i++) {
		const software_version_t *version =
			&g_array_index(record->versions, software_version_t, i);

		if (version->software == software &&
		    g_str_equal(version->service, service))
			return (int)i;
	}
	return -1;
}

static void add_version(software_record_t *record, const char *service,
			uint64_t software)
{
	software_version_t version = {.service = g_strdup(service),
				      .software = software};

	g_array_append_val(record->versions, version);
}

/* Reads "version NUMBER SERVICE", without its first word. */
static bool parse_version(software_record_t *record, const char *text)
{
	char *service;
	uint64_t software = g_ascii_strtoull(text, &service, 16);

	if (software == 0 || *service != ' ' || service[1] == '\0')
		return false;
	if (find(record, service + 1, software) < 0)
		add_version(record, service + 1, software);
	return true;
}

/* Reads one line. A word that is not known is skipped, as a later build may have
 * written it.
 */
static bool parse_line(software_record_t *record, const char *line)
{
	if (g_str_has_prefix(line, "version "))
		return parse_version(record, line + strlen("version "));
	if (g_str_has_prefix(line, "recorder "))
		g_ptr_array_add(record->recorders,
				g_strdup(line + strlen("recorder ")));
	else if (g_str_has_prefix(line, "era "))
		record->era = g_ascii_strtoll(line + strlen("era "), NULL, 10);
	else if (g_str_equal(line, "complete"))
		record->complete = true;
	return true;
}

/* Reads a record from its text. Returns false, with an empty record, if it cannot
 * be read.
 */
bool software_record_parse(software_record_t *record, str_t text)
{
	char *copy = str_dup(text);
	char **lines = g_strsplit(copy, "\n", MAX_LINES);
	bool ok = true;

	software_record_finish(record);
	software_record_init(record);
	for (char **line = lines; *line && ok; line++)
		ok = parse_line(record, *line);
	if (!ok) {
		software_record_finish(record);
		software_record_init(record);
	}
	g_strfreev(lines);
	g_free(copy);
	return ok;
}

/* Appends the text of a record. */
void software_record_format(const software_record_t *record, GString *text)
{
	g_string_append_printf(text, "era %" G_GINT64_FORMAT "\n", record->era);
	if (record->complete)
		g_string_append(text, "complete\n");
	for (guint i = 0; i < record->recorders->len; i++)
		g_string_append_printf(
			text, "recorder %s\n",
			(char *)g_ptr_array_index(record->recorders, i));
	for (guint i = 0; i < record->versions->len; i++) {
		const software_version_t *version =
			&g_array_index(record->versions, software_version_t, i);

		g_string_append_printf(text,
				       "version %" G_GINT64_MODIFIER "x %s\n",
				       version->software, version->service);
	}
}

/* Returns whether a VM writes which version began each stream. */
bool software_record_has_recorder(const software_record_t *record,
				  const char *vm)
{
	for (guint i = 0; i < record->recorders->len; i++) {
		if (g_str_equal(g_ptr_array_index(record->recorders, i), vm))
			return true;
	}
	return false;
}

/* Adds the versions of a record that was read to the history of a VM. */
void software_record_add_to(const software_record_t *record,
			    software_history_t *history, int64_t now_us)
{
	for (guint i = 0; i < record->versions->len; i++) {
		const software_version_t *version =
			&g_array_index(record->versions, software_version_t, i);

		software_history_add_recorded(history, version->service,
					      version->software, now_us);
	}
}

/* Returns whether a record lacks no version: it was complete when it was written, and
 * the store was not restored from an older copy since.
 */
bool software_record_is_complete(const software_record_t *record, int64_t era)
{
	return record->complete && record->era == era;
}

/* Removes the versions that the history of this VM no longer has. */
static bool remove_left(software_record_t *record,
			const software_history_t *history)
{
	bool changed = false;

	for (guint i = record->versions->len; i-- > 0;) {
		const software_version_t *version =
			&g_array_index(record->versions, software_version_t, i);

		if (software_history_has(history, version->service,
					 version->software))
			continue;
		g_array_remove_index(record->versions, i);
		changed = true;
	}
	return changed;
}

/* Adds the versions that servers have now, or all that the history has. */
static bool add_missing(software_record_t *record,
			const software_history_t *history, bool all,
			int64_t now_us)
{
	bool changed = false;

	for (guint i = 0; i < history->versions->len; i++) {
		const software_version_t *version = &g_array_index(
			history->versions, software_version_t, i);

		if ((!all && now_us - version->seen_us > LISTED_US) ||
		    find(record, version->service, version->software) >= 0)
			continue;
		add_version(record, version->service, version->software);
		changed = true;
	}
	return changed;
}

/* Replaces VMs that no longer live by this one. */
static bool update_recorders(software_record_t *record,
			     const software_knowledge_t *knowledge)
{
	for (guint i = record->recorders->len; i-- > 0;) {
		const char *vm = g_ptr_array_index(record->recorders, i);

		if (!g_str_equal(vm, knowledge->vm) &&
		    !knowledge->is_live(knowledge->context, vm))
			g_ptr_array_remove_index(record->recorders, i);
	}
	if (record->recorders->len >= SOFTWARE_RECORDERS ||
	    software_record_has_recorder(record, knowledge->vm))
		return false;
	g_ptr_array_add(record->recorders, g_strdup(knowledge->vm));
	return true;
}

/*
 * Changes a record into what it should be by what this VM knows. Returns whether
 * it has to be written. A version is added when a server has it, and removed when
 * none has had it for so long that no stream of it can go on. Versions that are
 * only remembered are added to a record that is not complete; a complete one lacks
 * them because another VM has removed them.
 */
bool software_record_update(software_record_t *record,
			    const software_knowledge_t *knowledge,
			    int64_t now_us)
{
	const software_history_t *history = knowledge->history;
	bool complete = software_history_is_complete(history, now_us);
	bool was_complete = software_record_is_complete(record, knowledge->era);
	bool changed = record->era != knowledge->era;

	record->era = knowledge->era;
	record->complete = was_complete || complete;
	changed |= record->complete != was_complete;
	if (was_complete && complete)
		changed |= remove_left(record, history);
	changed |= add_missing(record, history, !was_complete, now_us);
	changed |= update_recorders(record, knowledge);
	return changed;
}
