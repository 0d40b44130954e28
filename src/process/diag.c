#include "process/diag.h"

/* Frees the strings of an error. */
static void entry_clear(gpointer data)
{
	diag_entry_t *entry = data;

	g_free(entry->file);
	g_free(entry->key);
	g_free(entry->message);
}

/* Sets up an empty list. */
void diag_init(diag_t *diag)
{
	diag->entries = g_array_new(FALSE, FALSE, sizeof(diag_entry_t));
	g_array_set_clear_func(diag->entries, entry_clear);
}

/* Frees the list and its errors. */
void diag_finish(diag_t *diag)
{
	g_array_unref(diag->entries);
	diag->entries = NULL;
}

/*
 * Replaces control characters by "?", so that an error stays one line whatever
 * the checked file contains.
 */
static void replace_control_chars(char *text)
{
	for (; *text; text++) {
		if (g_ascii_iscntrl(*text))
			*text = '?';
	}
}

/*
 * Adds an error with a printf-style message. The strings are copied; `key` may
 * be NULL.
 */
void diag_add(diag_t *diag, const char *file, unsigned line, const char *key,
	      const char *format, ...)
{
	diag_entry_t entry = {
		.file = g_strdup(file),
		.line = line,
		.key = g_strdup(key ? key : ""),
	};
	va_list args;

	va_start(args, format);
	entry.message = g_strdup_vprintf(format, args);
	va_end(args);
	replace_control_chars(entry.key);
	replace_control_chars(entry.message);
	g_array_append_val(diag->entries, entry);
}

/* Returns whether the list has no errors. */
bool diag_is_empty(const diag_t *diag)
{
	return diag->entries->len == 0;
}

/* Appends a line "file:line: key: message" for each error. */
void diag_print(const diag_t *diag, GString *out)
{
	for (guint i = 0; i < diag->entries->len; i++) {
		const diag_entry_t *entry =
			&g_array_index(diag->entries, diag_entry_t, i);

		g_string_append_printf(out, "%s:%u: %s%s%s\n", entry->file,
				       entry->line, entry->key,
				       *entry->key ? ": " : "", entry->message);
	}
}
