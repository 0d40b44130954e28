#include "process/file.h"

#include <errno.h>
#include <stdio.h>

/*
 * Reads a whole file of at most max_bytes. On success the caller frees *text;
 * otherwise an error is added and *text is NULL. The limit also ends the
 * reading of a file without an end, such as a device.
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
