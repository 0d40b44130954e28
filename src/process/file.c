#include "process/file.h"

#include <errno.h>
#include <stdio.h>

/*
 * Reads a whole file. On success *text is freed by the caller; otherwise an
 * error is added. A file that never ends, such as a device, stops at the
 * limit.
 */
bool file_load(const char *path, size_t max_bytes, GString **text, diag_t *diag)
{
	FILE *file = fopen(path, "rbe");
	char buffer[16384];
	size_t n;
	bool failed;

	*text = NULL;
	if (!file) {
		diag_add(diag, path, 0, NULL, "expected a readable file: %s",
			 g_strerror(errno));
		return false;
	}
	*text = g_string_new(NULL);
	while ((n = fread(buffer, 1, sizeof(buffer), file)) > 0) {
		g_string_append_len(*text, buffer, (gssize)n);
		if ((*text)->len > max_bytes)
			break;
	}
	failed = ferror(file);
	fclose(file);
	if (!failed && (*text)->len <= max_bytes)
		return true;
	if (failed)
		diag_add(diag, path, 0, NULL, "expected a readable file");
	else
		diag_add(diag, path, 0, NULL, "expected at most %zu bytes",
			 max_bytes);
	g_string_free(*text, TRUE);
	*text = NULL;
	return false;
}
