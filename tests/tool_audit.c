/*
 * Audits a load run: reads result files of tool_load, record files of the
 * fakes and, with --from, their GET /record. Exits with 1 when a promise was
 * broken.
 */
#include <libsoup/soup.h>
#include <stdio.h>

#include "shared_audit.h"
#include "shared_fake.h"

#define FETCH_TIMEOUT_S 10

static char **result_paths, **record_paths, **addresses;

static const GOptionEntry option_entries[] = {
	{"results", 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &result_paths,
	 "result file of tool_load, may be repeated", "PATH"},
	{"record", 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &record_paths,
	 "record file of a fake, may be repeated", "PATH"},
	{"from", 0, 0, G_OPTION_ARG_STRING_ARRAY, &addresses,
	 "running fake, may be repeated", "IP:PORT"},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

typedef bool (*add_lines_t)(audit_t *audit, const char *lines);

static bool add_file(audit_t *audit, const char *path, add_lines_t add)
{
	GError *error = NULL;
	char *text;
	bool ok;

	if (!g_file_get_contents(path, &text, NULL, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		return false;
	}
	ok = add(audit, text);
	if (!ok)
		fprintf(stderr, "%s: a line is no JSON object\n", path);
	g_free(text);
	return ok;
}

static bool add_from(audit_t *audit, SoupSession *session, const char *address)
{
	char *uri = g_strdup_printf("http://%s/record", address);
	SoupMessage *message = soup_message_new("GET", uri);
	GError *error = NULL;
	const char *data;
	GBytes *bytes;
	char *text;
	bool ok;

	g_free(uri);
	bytes = soup_session_send_and_read(session, message, NULL, &error);
	g_object_unref(message);
	if (!bytes) {
		fprintf(stderr, "%s: %s\n", address, error->message);
		g_error_free(error);
		return false;
	}
	/* An empty record has no data. */
	data = g_bytes_get_data(bytes, NULL);
	text = g_strndup(data ? data : "", g_bytes_get_size(bytes));
	ok = audit_add_records(audit, text);
	g_free(text);
	g_bytes_unref(bytes);
	return ok;
}

static bool add_all(audit_t *audit)
{
	SoupSession *session = soup_session_new_with_options(
		"timeout", FETCH_TIMEOUT_S, "proxy-resolver", NULL, NULL);
	bool ok = true;

	for (size_t i = 0; result_paths && result_paths[i]; i++)
		ok &= add_file(audit, result_paths[i], audit_add_results);
	for (size_t i = 0; record_paths && record_paths[i]; i++)
		ok &= add_file(audit, record_paths[i], audit_add_records);
	for (size_t i = 0; addresses && addresses[i]; i++)
		ok &= add_from(audit, session, addresses[i]);
	g_object_unref(session);
	return ok;
}

int main(int argc, char **argv)
{
	GString *out = g_string_new(NULL);
	audit_counts_t counts;
	audit_t audit;
	bool ok;

	if (!fake_parse_options(argc, argv, option_entries))
		return 2;
	audit_init(&audit);
	ok = add_all(&audit);
	audit_count(&audit, &counts);
	audit_append(&counts, out);
	fputs(out->str, stdout);
	g_string_free(out, TRUE);
	audit_finish(&audit);
	if (!ok)
		return 2;
	return audit_is_clean(&counts) ? 0 : 1;
}
