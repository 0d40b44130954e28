/* One serve process reduced to membership and control, for test_control.c:
 * it can be stopped and continued by itself. Prints "listening ADDRESS", then
 * a line "lease TOKEN" or "none" at each change.
 *
 * usage: tool_control --listen IP:PORT --vm NAME --platform IP:PORT
 *                     --state FILE --version N [--peer IP:PORT]
 */
#include <stdio.h>

#include "process/control.h"
#include "process/log.h"

#define REPORT_MS 20
#define MAX_STATE_BYTES (1 << 20)

static char *listen_address;
static char *vm;
static char *platform_address;
static char *state_path;
static char *peer;
static gint64 config_version;

static const GOptionEntry option_entries[] = {
	{"listen", 0, 0, G_OPTION_ARG_STRING, &listen_address, "RPC", "A"},
	{"vm", 0, 0, G_OPTION_ARG_STRING, &vm, "name", "NAME"},
	{"platform", 0, 0, G_OPTION_ARG_STRING, &platform_address, "", "A"},
	{"state", 0, 0, G_OPTION_ARG_STRING, &state_path, "", "FILE"},
	{"version", 0, 0, G_OPTION_ARG_INT64, &config_version, "", "N"},
	{"peer", 0, 0, G_OPTION_ARG_STRING, &peer, "first contact", "A"},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static settings_t settings;
static hlc_t hlc;
static rpc_t rpc;
static fleet_t fleet;
static client_t client;
static platform_t platform;
static control_t control;

static void changed(void *context, const member_t *member,
		    member_state_t before)
{
	if (control.key)
		control_members_changed(&control);
}

static gboolean report(gpointer data)
{
	static uint64_t last = UINT64_MAX;
	clock_source_t clock = clock_boottime();
	uint64_t token = lease_may_send(&control.lease, clock_now(&clock))
				 ? control.lease.token
				 : 0;

	if (token == last)
		return G_SOURCE_CONTINUE;
	last = token;
	if (token)
		printf("lease %" G_GUINT64_FORMAT "\n", token);
	else
		printf("none\n");
	fflush(stdout);
	return G_SOURCE_CONTINUE;
}

static state_t *load_state(void)
{
	state_t *state = NULL;
	char *text = NULL;
	gsize len;
	diag_t diag;

	diag_init(&diag);
	if (g_file_get_contents(state_path, &text, &len, NULL) &&
	    !state_parse(text, len, state_path, &state, &diag)) {
		GString *out = g_string_new(NULL);

		diag_print(&diag, out);
		fputs(out->str, stderr);
		g_string_free(out, TRUE);
	}
	g_free(text);
	diag_finish(&diag);
	return state;
}

static void fill_settings(void)
{
	settings_rpc_key_t key = {1, g_bytes_new("secret", 6)};

	settings.deployment = (char *)"test";
	settings.vm = vm;
	settings.zone = (char *)"za";
	settings.rpc_address = listen_address;
	settings.peers = g_array_new(FALSE, TRUE, sizeof(settings_peer_t));
	settings.keys = g_array_new(FALSE, TRUE, sizeof(key));
	g_array_append_val(settings.keys, key);
	if (peer) {
		settings_peer_t contact = {.address = peer};

		g_array_append_val(settings.peers, contact);
	}
}

int main(int argc, char **argv)
{
	GOptionContext *options = g_option_context_new(NULL);
	fleet_callbacks_t callbacks = {.changed = changed};
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);
	uint8_t manifest[MEMBER_HASH_BYTES] = {0};
	state_t *state;

	g_option_context_add_main_entries(options, option_entries, NULL);
	if (!g_option_context_parse(options, &argc, &argv, NULL))
		return 2;
	state = load_state();
	if (!state)
		return 2;
	state->version = (uint64_t)config_version;
	fill_settings();
	hlc_init(&hlc, clock_realtime());
	log_init(stderr, LOG_WARN, str_from(vm), STR("za"), &hlc);
	if (!rpc_init(&rpc, &settings, clock_boottime(), &hlc, NULL))
		return 1;
	client_init(&client, clock_boottime());
	platform_init(&platform, &client, platform_address,
		      &PLATFORM_SERVE_BUDGET, 1);
	fleet_init(&fleet, &settings, &rpc, clock_boottime(), &callbacks);
	fleet_set_config(&fleet, state->version, manifest);
	control_init(&control, &settings, &fleet, &platform, &client, NULL,
		     NULL);
	control_set_state(&control, state);
	state_unref(state);
	printf("listening %s\n", rpc.address);
	g_timeout_add(REPORT_MS, report, NULL);
	g_main_loop_run(loop);
	return 0;
}
