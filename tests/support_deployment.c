#include "support_deployment.h"

#include <arpa/inet.h>
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "support_http.h"
#include "support_vm_process.h"

#define READY_TIMEOUT_MS 20000
#define RPC_SECRET "000102030405060708090a0b0c0d0e0f"

static G_NORETURN void give_up(const char *what)
{
	fprintf(stderr, "deployment: %s\n", what);
	abort();
}

/* Path of the record file of a backend, freed with g_free(). */
char *deployment_record_path(const deployment_t *deployment, const char *role,
			     unsigned index)
{
	return g_strdup_printf("%s/%s-%u.record", deployment->dir, role,
			       index + 1);
}

/* A loopback IP number of this test process alone, so that tests that run side
 * by side cannot take each other's ports.
 */
static in_addr_t own_ip(void)
{
	in_addr_t pid = (in_addr_t)getpid();

	return 0x7f000000 | (1 + (pid >> 15 & 0x7f)) << 16 |
	       (pid >> 7 & 0xff) << 8 | (1 + (pid & 0x7f));
}

/*
 * Returns an address with a port that was free a moment ago. Peers' settings
 * name each other's ports, so these cannot be chosen at the start.
 */
static char *unused_address(int type)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(own_ip()),
	};
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
	char ip[INET_ADDRSTRLEN];

	if (fd < 0 || bind(fd, (struct sockaddr *)&address, len) < 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &len) < 0)
		give_up("no free port");
	close(fd);
	inet_ntop(AF_INET, &address.sin_addr, ip, sizeof(ip));
	return g_strdup_printf("%s:%d", ip, ntohs(address.sin_port));
}

/* Starts an engine at IP:port and returns its address. Its record file outlives
 * a crash.
 */
static char *start_engine(const deployment_t *deployment, process_t *process,
			  const char *role, unsigned index, const char *listen)
{
	const deployment_config_t *config = &deployment->config;
	GPtrArray *args = g_ptr_array_new();
	char *kv = g_strdup_printf("%" G_GINT64_FORMAT, config->kv_tokens);
	char *record = deployment_record_path(deployment, role, index);
	const char *fixed[] = {"--listen",    listen, "--role",	       role,
			       "--kv-tokens", kv,     "--record-file", record};
	char *address;

	for (size_t i = 0; i < G_N_ELEMENTS(fixed); i++)
		g_ptr_array_add(args, (gpointer)fixed[i]);
	for (size_t i = 0; config->engine_args && config->engine_args[i]; i++)
		g_ptr_array_add(args, (gpointer)config->engine_args[i]);
	g_ptr_array_add(args, NULL);
	address = process_start_listening(process, "fake_engine",
					  (const char *const *)args->pdata);
	g_ptr_array_unref(args);
	g_free(kv);
	g_free(record);
	if (!address)
		give_up("fake_engine did not start");
	return address;
}

static char *start_service(const deployment_t *deployment, process_t *process,
			   unsigned index, const char *listen)
{
	char *record = deployment_record_path(deployment, "listing", index);
	const char *const args[] = {"--listen", listen, "--record-file", record,
				    NULL};
	char *address = process_start_listening(process, "fake_service", args);

	g_free(record);
	if (!address)
		give_up("fake_service did not start");
	return address;
}

static char *start_platform(process_t *process)
{
	static const char *const args[] = {"--listen", "127.0.0.1:0", NULL};
	char *address = process_start_listening(process, "fake_platform", args);

	if (!address)
		give_up("fake_platform did not start");
	return address;
}

/* Starts an engine or a service again at its address after it has ended. */
void deployment_restart_backend(deployment_t *deployment,
				deployment_role_t role, unsigned index)
{
	char *address;

	if (role == DEPLOYMENT_PREFILL) {
		process_finish(&deployment->prefill[index]);
		address = start_engine(deployment, &deployment->prefill[index],
				       "prefill", index,
				       deployment->prefill_address[index]);
	} else if (role == DEPLOYMENT_DECODE) {
		process_finish(&deployment->decode[index]);
		address = start_engine(deployment, &deployment->decode[index],
				       "decode", index,
				       deployment->decode_address[index]);
	} else {
		process_finish(&deployment->service[index]);
		address = start_service(deployment, &deployment->service[index],
					index,
					deployment->service_address[index]);
	}
	g_free(address);
}

static unsigned zone_of(const deployment_config_t *config, unsigned index)
{
	return index % MAX(config->zones, 1) + 1;
}

static void add_backends(GString *state, const deployment_config_t *config,
			 const char *name, const char *key, const char *value,
			 char *const *addresses, unsigned n)
{
	for (unsigned i = 0; i < n; i++)
		g_string_append_printf(state,
				       "[[backends]]\nname = \"%s-%u\"\n"
				       "address = \"%s\"\nzone = \"zone-%u\"\n"
				       "%s = \"%s\"\n\n",
				       name, i + 1, addresses[i],
				       zone_of(config, i), key, value);
}

static void add_pool(GString *state, const deployment_config_t *config,
		     const char *role)
{
	g_string_append_printf(state,
			       "[[pools]]\nname = \"%s\"\nmodel = \"contracts\""
			       "\nrole = \"%s\"\nkv_tokens = %" G_GINT64_FORMAT
			       "\n\n",
			       role, role, config->kv_tokens);
}

static void add_services(GString *state, const deployment_config_t *config)
{
	g_string_append_printf(
		state,
		"[[services]]\nname = \"summaries\"\nkind = \"model\"\n"
		"prefill = \"prefill\"\ndecode = \"decode\"\n"
		"first_token_ms = %" G_GINT64_FORMAT "\n\n",
		config->first_token_ms);
	g_string_append(state,
			"[[services]]\nname = \"listing\"\nkind = \"plain\"\n\n"
			"[[services.routes]]\nmethod = \"POST\"\n"
			"path = \"/reservations\"\nrepeatable = false\n\n"
			"[[services.routes]]\nmethod = \"*\"\npath = \"/\"\n"
			"repeatable = true\n\n");
}

static char *make_state(const deployment_t *deployment)
{
	const deployment_config_t *config = &deployment->config;
	GString *state = g_string_new("deployment = \"test\"\n\n");
	char *hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256,
						   DEPLOYMENT_TOKEN, -1);

	for (unsigned i = 0; i < config->zones; i++)
		g_string_append_printf(
			state, "[[zones]]\nname = \"zone-%u\"\n\n", i + 1);
	g_string_append(state, "[[models]]\nname = \"contracts\"\n"
			       "version = \"1\"\n\n");
	add_pool(state, config, "prefill");
	add_pool(state, config, "decode");
	add_services(state, config);
	add_backends(state, config, "prefill", "pool", "prefill",
		     deployment->prefill_address, config->prefills);
	add_backends(state, config, "decode", "pool", "decode",
		     deployment->decode_address, config->decodes);
	add_backends(state, config, "listing", "service", "listing",
		     deployment->service_address, config->services);
	g_string_append_printf(state,
			       "[[customers]]\nname = \"tenant\"\n"
			       "token_sha256 = \"%s\"\n"
			       "services = [\"summaries\", \"listing\"]\n\n",
			       hash);
	if (config->state_extra)
		g_string_append(state, config->state_extra);
	g_free(hash);
	return g_string_free(state, FALSE);
}

static void write_file(const char *path, const char *text)
{
	if (!g_file_set_contents(path, text, -1, NULL))
		give_up("a file cannot be written");
}

static char *settings_path(const deployment_t *deployment, unsigned index)
{
	return g_strdup_printf("%s/vm-%u.toml", deployment->dir, index + 1);
}

/* Path of a router's log, freed with g_free(). */
char *deployment_log_path(const deployment_t *deployment, unsigned index)
{
	return g_strdup_printf("%s/vm-%u.log", deployment->dir, index + 1);
}

static void add_peers(GString *text, const deployment_t *deployment,
		      unsigned self)
{
	for (unsigned i = 0; i < deployment->config.routers; i++)
		if (i != self)
			g_string_append_printf(
				text,
				"[[peers]]\nvm = \"vm-%u\"\n"
				"zone = \"zone-%u\"\naddress = \"%s\"\n\n",
				i + 1, zone_of(&deployment->config, i),
				deployment->rpc_address[i]);
}

static void write_settings(const deployment_t *deployment, unsigned index)
{
	const deployment_config_t *config = &deployment->config;
	GString *text = g_string_new("deployment = \"test\"\n");
	char *hash = g_compute_checksum_for_string(
		G_CHECKSUM_SHA256, DEPLOYMENT_OPERATOR_TOKEN, -1);
	char *path = settings_path(deployment, index);
	char *log = deployment_log_path(deployment, index);

	g_string_append_printf(
		text,
		"vm = \"vm-%u\"\nzone = \"zone-%u\"\n"
		"callers_address = \"%s\"\noperators_address = \"%s\"\n"
		"rpc_address = \"%s\"\noperator_token_sha256 = \"%s\"\n"
		"log_file = \"%s\"\nlog_level = \"debug\"\n"
		"drain_notice_ms = %" G_GINT64_FORMAT "\n"
		"shutdown_limit_ms = %" G_GINT64_FORMAT "\n",
		index + 1, zone_of(config, index),
		deployment->callers_address[index],
		deployment->operators_address[index],
		deployment->rpc_address[index], hash, log,
		config->drain_notice_ms, config->shutdown_limit_ms);
	if (config->platform)
		g_string_append_printf(text, "platform_address = \"%s\"\n",
				       deployment->platform_address);
	if (!config->platform || config->state_file_too)
		g_string_append_printf(text, "state_file = \"%s\"\n",
				       deployment->state_path);
	if (config->policy)
		g_string_append_printf(text, "routing_policy = \"%s\"\n",
				       config->policy);
	g_string_append(text,
			"\n[[keys]]\nid = 1\nsecret = \"" RPC_SECRET "\"\n\n");
	add_peers(text, deployment, index);
	write_file(path, text->str);
	g_string_free(text, TRUE);
	g_free(hash);
	g_free(path);
	g_free(log);
}

/* Starts or restarts a serve process and waits until it is ready. */
void deployment_start_router(deployment_t *deployment, unsigned index)
{
	char *path = settings_path(deployment, index);
	const char *const args[] = {"serve", "--settings", path, NULL};
	process_t *process = &deployment->router[index];
	const char *program = g_getenv(VM_PROGRAM_VARIABLE);
	char *rest;

	if (!process_start(process, program ? program : "gooseberryspur", args,
			   NULL))
		give_up("gooseberryspur cannot be started");
	rest = process_wait_line(process, "ready", READY_TIMEOUT_MS);
	if (!rest)
		give_up("gooseberryspur did not become ready");
	g_free(rest);
	g_free(path);
}

/* Ends a serve process if it still runs. */
void deployment_stop_router(deployment_t *deployment, unsigned index)
{
	process_t *process = &deployment->router[index];

	if (!process->output)
		return;
	process_signal(process, SIGKILL);
	process_wait_end(process, READY_TIMEOUT_MS);
	process_finish(process);
}

/* Runs the apply command and returns its exit code; base may be NULL. */
int deployment_apply(const deployment_t *deployment, const char *path,
		     const char *base)
{
	const char *const args[] = {"apply",
				    path,
				    "--platform",
				    deployment->platform_address,
				    base ? "--base" : NULL,
				    base,
				    NULL};
	process_t process;
	int code = -1;

	if (!process_start(&process, "gooseberryspur", args, NULL))
		give_up("gooseberryspur cannot be started");
	if (process_wait_end(&process, READY_TIMEOUT_MS) &&
	    WIFEXITED(process.status))
		code = WEXITSTATUS(process.status);
	process_finish(&process);
	return code;
}

/* Waits until a serve process has a configuration in effect. */
void deployment_wait_ready(const deployment_t *deployment, unsigned index)
{
	gint64 end_us =
		g_get_monotonic_time() + (gint64)READY_TIMEOUT_MS * 1000;
	unsigned status = 0;

	while (status != 200) {
		http_answer_t answer = http_get(
			deployment->operators_address[index], "/readyz");

		status = answer.status;
		http_answer_finish(&answer);
		if (g_get_monotonic_time() > end_us)
			give_up("gooseberryspur has no configuration");
	}
}

static void start_fakes(deployment_t *deployment)
{
	const deployment_config_t *config = &deployment->config;
	struct in_addr ip = {.s_addr = htonl(own_ip())};
	char text[INET_ADDRSTRLEN];
	char *any;

	/* Outgoing connections have the address 127.0.0.1, so that a backend
	 * that is restarted finds its port free.
	 */
	inet_ntop(AF_INET, &ip, text, sizeof(text));
	any = g_strdup_printf("%s:0", text);
	for (unsigned i = 0; i < config->prefills; i++)
		deployment->prefill_address[i] = start_engine(
			deployment, &deployment->prefill[i], "prefill", i, any);
	for (unsigned i = 0; i < config->decodes; i++)
		deployment->decode_address[i] = start_engine(
			deployment, &deployment->decode[i], "decode", i, any);
	for (unsigned i = 0; i < config->services; i++)
		deployment->service_address[i] = start_service(
			deployment, &deployment->service[i], i, any);
	if (config->platform)
		deployment->platform_address =
			start_platform(&deployment->platform);
	g_free(any);
}

static bool is_chosen(const deployment_t *deployment, unsigned n,
		      const char *address)
{
	for (unsigned i = 0; i < n; i++)
		if (!strcmp(deployment->callers_address[i], address) ||
		    !strcmp(deployment->operators_address[i], address) ||
		    !strcmp(deployment->rpc_address[i], address))
			return true;
	return false;
}

/* A free address that none of the first n routers has. A port that was closed
 * a moment ago may be handed out again.
 */
static char *choose_address(const deployment_t *deployment, unsigned n,
			    int type)
{
	char *address = unused_address(type);

	while (is_chosen(deployment, n, address)) {
		g_free(address);
		address = unused_address(type);
	}
	return address;
}

static void choose_addresses(deployment_t *deployment)
{
	for (unsigned i = 0; i < deployment->config.routers; i++) {
		char *callers = choose_address(deployment, i, SOCK_STREAM);
		char *operators = choose_address(deployment, i, SOCK_STREAM);

		while (!strcmp(callers, operators)) {
			g_free(operators);
			operators = choose_address(deployment, i, SOCK_STREAM);
		}
		deployment->callers_address[i] = callers;
		deployment->operators_address[i] = operators;
		deployment->rpc_address[i] =
			choose_address(deployment, i, SOCK_DGRAM);
	}
}

/* Starts everything; a failure ends the test program with a message. */
void deployment_start(deployment_t *deployment,
		      const deployment_config_t *config)
{
	char *text;

	memset(deployment, 0, sizeof(*deployment));
	deployment->config = *config;
	if (!deployment->config.zones)
		deployment->config.zones = 1;
	if (!deployment->config.kv_tokens)
		deployment->config.kv_tokens = 60000;
	if (!deployment->config.first_token_ms)
		deployment->config.first_token_ms = 5000;
	if (!deployment->config.shutdown_limit_ms)
		deployment->config.shutdown_limit_ms = 5000;
	if (!deployment->config.drain_notice_ms)
		deployment->config.drain_notice_ms = 100;
	deployment->dir = g_dir_make_tmp("gooseberryspur-XXXXXX", NULL);
	if (!deployment->dir)
		give_up("no temporary directory");
	start_fakes(deployment);
	deployment->state_path =
		g_strdup_printf("%s/state.toml", deployment->dir);
	text = make_state(deployment);
	write_file(deployment->state_path, text);
	g_free(text);
	if (config->platform && !config->state_file_too &&
	    deployment_apply(deployment, deployment->state_path, "0") != 0)
		give_up("the state was not accepted");
	choose_addresses(deployment);
	for (unsigned i = 0; i < deployment->config.routers; i++) {
		write_settings(deployment, i);
		deployment_start_router(deployment, i);
	}
	for (unsigned i = 0; i < deployment->config.routers; i++)
		deployment_wait_ready(deployment, i);
}

static void stop_process(process_t *process)
{
	if (!process->output)
		return;
	/* A test may have stopped it with SIGSTOP. */
	process_signal(process, SIGCONT);
	process_signal(process, SIGKILL);
	process_wait_end(process, READY_TIMEOUT_MS);
	process_finish(process);
}

static void remove_dir(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *file = g_build_filename(path, name, NULL);

		g_unlink(file);
		g_free(file);
	}
	if (dir)
		g_dir_close(dir);
	g_rmdir(path);
}

/* Ends all processes and removes the temporary directory. */
void deployment_finish(deployment_t *deployment)
{
	for (unsigned i = 0; i < DEPLOYMENT_MAX; i++) {
		stop_process(&deployment->router[i]);
		stop_process(&deployment->prefill[i]);
		stop_process(&deployment->decode[i]);
		stop_process(&deployment->service[i]);
		g_free(deployment->prefill_address[i]);
		g_free(deployment->decode_address[i]);
		g_free(deployment->service_address[i]);
		g_free(deployment->callers_address[i]);
		g_free(deployment->operators_address[i]);
		g_free(deployment->rpc_address[i]);
	}
	stop_process(&deployment->platform);
	g_free(deployment->platform_address);
	g_free(deployment->state_path);
	remove_dir(deployment->dir);
	g_free(deployment->dir);
}

/* Text of a router's log so far, freed with g_free(). */
char *deployment_log(const deployment_t *deployment, unsigned index)
{
	char *path = deployment_log_path(deployment, index);
	char *text = NULL;

	g_file_get_contents(path, &text, NULL, NULL);
	g_free(path);
	return text ? text : g_strdup("");
}
