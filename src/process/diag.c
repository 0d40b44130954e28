#include "process/diag.h"

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

/* Frees the list and its entries. */
void diag_finish(diag_t *diag)
{
	g_array_unref(diag->entries);
	diag->entries = NULL;
}

/* Replaces control characters, so that an error stays one line whatever the
 * checked file contains.
 */
static void clean_line(char *text)
{
	for (; *text; text++) {
		if (g_ascii_iscntrl(*text))
			*text = '?';
	}
}

/* Adds an error. The strings are copied. */
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
	clean_line(entry.key);
	clean_line(entry.message);
	g_array_append_val(diag->entries, entry);
}

/* Tells whether no error was added. */
bool diag_is_empty(const diag_t *diag)
{
	return diag->entries->len == 0;
}

/* Appends one line "file:line: key: message" for each error. */
void diag_print(const diag_t *diag, GString *out)
{
	for (guint i = 0; i < diag->entries->len; i++) {
		const diag_entry_t *e =
			&g_array_index(diag->entries, diag_entry_t, i);

		g_string_append_printf(out, "%s:%u: %s%s%s\n", e->file, e->line,
				       e->key, *e->key ? ": " : "", e->message);
	}
}
