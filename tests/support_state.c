#include "support_state.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

/* Text of a state with this many backend servers and workspaces. */
GString *support_state_text(size_t n_backends, size_t n_workspaces)
{
	GString *text = g_string_new(
		"deployment = \"d\"\n"
		"[[zones]]\nname = \"z\"\n"
		"[[models]]\nname = \"m\"\nversion = \"1\"\n"
		"[[pools]]\nname = \"p\"\nmodel = \"m\"\nrole = \"prefill\"\n"
		"kv_tokens = 5000\n"
		"[[pools]]\nname = \"q\"\nmodel = \"m\"\nrole = \"decode\"\n"
		"kv_tokens = 5000\n"
		"[[services]]\nname = \"text\"\nkind = \"model\"\n"
		"prefill = \"p\"\ndecode = \"q\"\n"
		"[[services]]\nname = \"app\"\nkind = \"plain\"\n"
		"[[services.routes]]\nmethod = \"*\"\npath = \"/\"\n"
		"repeatable = false\n");

	for (size_t i = 0; i < n_backends; i++)
		g_string_append_printf(text,
				       "[[backends]]\nname = \"engine-%zu\"\n"
				       "address = \"127.%zu.%zu.1:9000\"\n"
				       "zone = \"z\"\npool = \"%c\"\n",
				       i, i / 250, i % 250, i % 2 ? 'p' : 'q');
	for (size_t i = 0; i < n_workspaces; i++)
		support_state_add_workspace(text, i, 1.5);
	return text;
}

/* Appends one workspace to the text of a state. */
void support_state_add_workspace(GString *text, size_t i, double requests_s)
{
	char name[32];
	char *hash;

	g_snprintf(name, sizeof(name), "customer-%zu", i);
	hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256, name, -1);
	g_string_append_printf(text,
			       "[[customers]]\nname = \"%s\"\n"
			       "token_sha256 = \"%s\"\n"
			       "services = [\"text\", \"app\"]\n"
			       "requests_s = %g\n",
			       name, hash, requests_s);
	g_free(hash);
}

/* Parses a valid text. */
state_t *support_state_parse(const char *text)
{
	state_t *state;
	diag_t diag;
	GString *errors = g_string_new(NULL);

	diag_init(&diag);
	state_parse(text, strlen(text), "f", &state, &diag);
	diag_print(&diag, errors);
	assert_string_equal(errors->str, "");
	g_string_free(errors, TRUE);
	diag_finish(&diag);
	return state;
}
