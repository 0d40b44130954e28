#include "support_file.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

/* Writes or replaces a file at once, so that a reader finds the old or the new text. Unlike
 * g_file_set_contents(), does not wait until the disk has it: that takes many seconds when other
 * programs write much. Returns false if it cannot be written.
 */
bool support_file_write(const char *path, const char *text)
{
	char *temporary = g_strconcat(path, ".new", NULL);
	FILE *file = g_fopen(temporary, "w");
	size_t len = strlen(text);
	bool ok = file && fwrite(text, 1, len, file) == len;

	if (file)
		ok = fclose(file) == 0 && ok;
	ok = ok && g_rename(temporary, path) == 0;
	g_free(temporary);
	return ok;
}
