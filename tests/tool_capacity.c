/*
 * Slopes of memory, bytes and instructions for docs/CAPACITY.md; run by
 * tools/capacity.
 *
 * tool_capacity config ENGINES WORKSPACES  state, manifest, backend servers
 * tool_capacity vms ENTRIES                one reading of the VM list
 * tool_capacity limits ROUTERS WORKSPACES  one round of limit reports
 * tool_capacity members MEMBERS            membership view
 * tool_capacity ledger GRANTS              grants of one engine's ledger
 * tool_capacity rpc COUNT                  sign and check reservations
 * tool_capacity engines PORT COUNT         idle engines on ports of 127.0.0.1
 *
 * All but the last print heap bytes. Instructions are counted by callgrind
 * with the measure_ function as --toggle-collect.
 */
#include <inttypes.h>
#include <malloc.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "connection/rpc.h"
#include "process/backends.h"
#include "process/limit.h"
#include "process/member.h"
#include "process/ledger.h"
#include "process/platform_reply.h"
#include "shared_fake.h"
#include "version/manifest.h"

/* Keeps a function whole, so that callgrind finds it by its name. */
#define OPERATION __attribute__((noipa))

static size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static GString *make_state(unsigned engines, unsigned workspaces)
{
	GString *text = g_string_new(
		"deployment = \"capacity\"\n[[zones]]\nname = \"zone\"\n"
		"[[models]]\nname = \"model\"\nversion = \"1\"\n");

	for (int i = 0; i < 2; i++)
		g_string_append_printf(text,
				       "[[pools]]\nname = \"%s\"\n"
				       "model = \"model\"\nrole = \"%s\"\n"
				       "kv_tokens = 60000\n",
				       i ? "decode" : "prefill",
				       i ? "decode" : "prefill");
	g_string_append(text, "[[services]]\nname = \"service\"\n"
			      "kind = \"model\"\nprefill = \"prefill\"\n"
			      "decode = \"decode\"\n");
	for (unsigned i = 0; i < engines; i++)
		g_string_append_printf(text,
				       "[[backends]]\nname = \"engine-%u\"\n"
				       "address = \"127.1.%u.%u:9\"\n"
				       "zone = \"zone\"\npool = \"%s\"\n",
				       i, i / 250, i % 250 + 1,
				       i % 3 ? "decode" : "prefill");
	for (unsigned i = 0; i < workspaces; i++)
		g_string_append_printf(text,
				       "[[customers]]\nname = \"customer-%u\"\n"
				       "token_sha256 = \"%064x\"\n"
				       "services = [\"service\"]\n"
				       "requests_s = 10\nconcurrency = 10\n",
				       i, i);
	return text;
}

OPERATION bool measure_parse(const GString *text, state_t **state);
bool measure_parse(const GString *text, state_t **state)
{
	diag_t diag;
	bool ok;

	diag_init(&diag);
	ok = state_parse(text->str, text->len, "state", state, &diag);
	diag_finish(&diag);
	return ok;
}

OPERATION void measure_split(manifest_t *manifest, const state_t *state);
void measure_split(manifest_t *manifest, const state_t *state)
{
	manifest_split(manifest, state);
}

static bool assemble(manifest_t *manifest, state_t **state)
{
	diag_t diag;
	bool ok;

	diag_init(&diag);
	ok = manifest_assemble(manifest, state, &diag);
	diag_finish(&diag);
	return ok;
}

/* The first version: all parts are parsed. */
OPERATION bool measure_assemble(manifest_t *manifest, state_t **state);
bool measure_assemble(manifest_t *manifest, state_t **state)
{
	return assemble(manifest, state);
}

/* A later version; parsing its changed part is left out. */
OPERATION bool measure_again(manifest_t *manifest, state_t **state);
bool measure_again(manifest_t *manifest, state_t **state)
{
	return assemble(manifest, state);
}

/* The list is applied a second time, as with every later version. */
OPERATION void measure_apply(backends_t *backends, const state_t *state);
void measure_apply(backends_t *backends, const state_t *state)
{
	backends_apply(backends, state);
}

static int run_config(unsigned engines, unsigned workspaces)
{
	GString *text = make_state(engines, workspaces);
	clock_source_t clock = clock_boottime();
	size_t heap[6] = {heap_bytes()};
	client_t client;
	backends_t backends;
	manifest_t manifest;
	state_t *state;
	state_t *first;
	state_t *again;

	if (!measure_parse(text, &state))
		return 1;
	heap[1] = heap_bytes();
	manifest_init(&manifest);
	measure_split(&manifest, state);
	heap[2] = heap_bytes();
	if (!measure_assemble(&manifest, &first))
		return 1;
	heap[3] = heap_bytes();
	if (!measure_again(&manifest, &again))
		return 1;
	heap[4] = heap_bytes();
	client_init(&client, clock);
	backends_init(&backends, &client, clock);
	/* Without a pool they are not polled. */
	for (size_t i = 0; i < again->n_backends; i++)
		again->backends[i].pool = NULL;
	heap[5] = heap_bytes();
	backends_apply(&backends, again);
	printf("text %zu state %zu manifest %zu trees %zu entries %zu\n",
	       text->len, heap[4] - heap[3], heap[2] - heap[1],
	       heap[3] - heap[2] - (heap[4] - heap[3]), heap_bytes() - heap[5]);
	measure_apply(&backends, again);
	return 0;
}

/* Reads the list and finds each entry, as vms.c does. */
OPERATION guint measure_vms(GBytes *list, backends_t *backends);
guint measure_vms(GBytes *list, backends_t *backends)
{
	GArray *vms = platform_reply_vms(list);
	guint found = 0;

	for (guint i = 0; i < vms->len; i++)
		found += !!backends_find(
			backends,
			str_from(g_array_index(vms, platform_vm_t, i).address));
	g_array_unref(vms);
	return found;
}

static int run_vms(unsigned entries)
{
	GString *text = make_state(entries, 1);
	GString *list = g_string_new("{\"vms\":[");
	clock_source_t clock = clock_boottime();
	client_t client;
	backends_t backends;
	state_t *state;

	if (!measure_parse(text, &state))
		return 1;
	client_init(&client, clock);
	backends_init(&backends, &client, clock);
	for (size_t i = 0; i < state->n_backends; i++) {
		const backend_t *backend = &state->backends[i];

		state->backends[i].pool = NULL;
		g_string_append_printf(list,
				       "%s{\"name\":\"%.*s\",\"address\":"
				       "\"%.*s\",\"zone\":\"zone\","
				       "\"state\":\"live\"}",
				       i ? "," : "", STR_ARG(backend->name),
				       STR_ARG(backend->address));
	}
	g_string_append(list, "]}");
	backends_apply(&backends, state);
	printf("text %zu ", list->len);
	printf("found %u\n",
	       measure_vms(g_string_free_to_bytes(list), &backends));
	return 0;
}

/* One round: the reports of all others arrive and the round is completed. */
OPERATION void measure_round(limiter_t *limit, const GArray *usage,
			     unsigned routers, int64_t now_us);
void measure_round(limiter_t *limit, const GArray *usage, unsigned routers,
		   int64_t now_us)
{
	uint64_t round = limit->round;

	for (unsigned i = 1; i < routers; i++)
		limit_receive_report(limit, i, round,
				     (const limit_usage_t *)usage->data,
				     usage->len, now_us);
	limit_tick(limit, now_us);
}

static void count_piece(const limit_usage_t *usage, void *context)
{
	(*(unsigned *)context)++;
}

/* All workspaces are in use at every router. */
static int run_limits(unsigned routers, unsigned workspaces)
{
	GArray *usage = g_array_new(FALSE, FALSE, sizeof(limit_usage_t));
	peer_use uses[PEER_USES_MAX] = {{0}};
	peer_limits piece = {.uses = {PEER_USES_MAX, uses}};
	size_t heap = heap_bytes();
	int64_t now_us = CLOCK_US_PER_S;
	wire_buffer_t body;
	unsigned n = 0;
	int64_t retry_us;
	limiter_t limit;

	limit_init(&limit, routers, 0, now_us);
	for (uint64_t id = 1; id <= workspaces; id++) {
		limit_usage_t use = {id, 1, 1};

		limit_set(&limit, id, (limit_values_t){10, 10}, now_us);
		limit_request_begin(&limit, id, now_us, &retry_us);
		g_array_append_val(usage, use);
	}
	heap = heap_bytes() - heap - workspaces * sizeof(limit_usage_t);
	limit_set_members(&limit, (UINT64_MAX >> (64 - routers)), routers);
	now_us += LIMIT_ROUND_US;
	measure_round(&limit, usage, routers, now_us);
	limit_visit_usage(&limit, limit.round, count_piece, &n);
	if (!rpc_encode(peer_limits, &piece, &body))
		return 1;
	printf("heap %zu uses %u pieces %u body %zu round %" PRIu64 "\n", heap,
	       n, (n + PEER_USES_MAX - 1) / PEER_USES_MAX, body.len,
	       limit.round);
	return 0;
}

static uint32_t draw(void *context)
{
	return g_rand_int(context);
}

OPERATION size_t measure_tick(members_t *members, int64_t now_us);
size_t measure_tick(members_t *members, int64_t now_us)
{
	member_action_t actions[MEMBER_ACTIONS_MAX];
	member_message_t message;
	size_t n = member_tick(members, now_us, actions);

	member_fill_message(members, "", &message);
	return n;
}

static int run_members(unsigned n)
{
	member_info_t self = {"vm-0", "zone", "127.0.0.1:7000", 1, 0, 0};
	GRand *rand = g_rand_new_with_seed(1);
	size_t heap = heap_bytes();
	member_message_t message = {0};
	members_t members;

	member_init(&members, &self, draw, NULL, rand, CLOCK_US_PER_S);
	for (unsigned i = 1; i < n; i++) {
		message.self = self;
		g_snprintf(message.self.vm, MEMBER_NAME_SIZE, "vm-%u", i);
		g_snprintf(message.self.address, MEMBER_ADDRESS_SIZE,
			   "127.0.%u.%u:7000", i / 250, i % 250 + 1);
		member_receive(&members, CLOCK_US_PER_S, &message);
	}
	printf("heap %zu live %zu\n", heap_bytes() - heap,
	       member_count_live(&members));
	for (int i = 1; i <= 100; i++)
		measure_tick(&members,
			     CLOCK_US_PER_S + i * MEMBER_PROBE_PERIOD_US);
	return 0;
}

OPERATION void measure_grant(ledger_t *ledger, const ledger_grant_t *grant,
			     int64_t now_us);
void measure_grant(ledger_t *ledger, const ledger_grant_t *grant,
		   int64_t now_us)
{
	ledger_reserve(ledger, grant, now_us);
	ledger_renew(ledger, &grant->key, grant->vm, LEDGER_DECODING,
		     grant->deadline_us);
	ledger_release(ledger, &grant->key, grant->vm);
}

OPERATION void measure_expire(ledger_t *ledger, int64_t now_us);
void measure_expire(ledger_t *ledger, int64_t now_us)
{
	ledger_expire(ledger, now_us, NULL, NULL);
}

static int run_ledger(unsigned n)
{
	ledger_t ledger;
	size_t heap = heap_bytes();
	ledger_grant_t grant = {
		.tokens = 1,
		.deadline_us = INT64_MAX,
		.vm = {STR("vm-1"), 1},
	};

	ledger_init(&ledger, INT64_MAX / 2, 0, 1, 0);
	for (unsigned i = 0; i < n; i++) {
		memcpy(grant.key.request, &i, sizeof(i));
		ledger_reserve(&ledger, &grant, CLOCK_US_PER_S);
	}
	printf("heap %zu grants %u\n", heap_bytes() - heap,
	       g_hash_table_size(ledger.grants));
	grant.key.attempt = 1;
	for (unsigned i = 0; i < 1000; i++) {
		memcpy(grant.key.request, &i, sizeof(i));
		measure_grant(&ledger, &grant, CLOCK_US_PER_S);
	}
	for (unsigned i = 0; i < 100; i++)
		measure_expire(&ledger, CLOCK_US_PER_S);
	return 0;
}

OPERATION bool measure_rpc(const wire_keys_t *keys, wire_call_t *call,
			   wire_buffer_t *datagram);
bool measure_rpc(const wire_keys_t *keys, wire_call_t *call,
		 wire_buffer_t *datagram)
{
	const char *to = "127.0.0.1:7000";
	wire_call_t got;

	return wire_encode_call(keys, to, call, datagram) &&
	       wire_decode_call(keys, to,
				(str_t){(char *)datagram->data, datagram->len},
				&got) == WIRE_OK;
}

static int run_rpc(unsigned n)
{
	settings_rpc_key_t key = {1, g_bytes_new_static("secret", 6)};
	GArray *list = g_array_new(FALSE, FALSE, sizeof(key));
	wire_keys_t keys = {"capacity", list};
	wire_call_t call = {.procedure = PEER_RESERVE,
			    .sender = {.vm = "vm-1"}};
	peer_reserve reserve = {0};
	wire_buffer_t body;
	wire_buffer_t datagram = {.len = 0};

	g_array_append_val(list, key);
	if (!rpc_encode(peer_reserve, &reserve, &body))
		return 1;
	call.body = rpc_body(&body);
	for (unsigned i = 0; i < n; i++)
		if (!measure_rpc(&keys, &call, &datagram))
			return 1;
	printf("datagram %zu\n", datagram.len);
	return 0;
}

typedef struct {
	int64_t calls;
	int64_t bytes; /* of TCP connections, both directions */
	int64_t segments; /* both directions */
} traffic_t;

static traffic_t traffic;

/* Segments that end a connection after the response was sent. */
#define CLOSE_SEGMENTS 3

static bool closes_connection(SoupServerMessage *message)
{
	return soup_message_headers_header_contains(
		soup_server_message_get_request_headers(message), "Connection",
		"close");
}

/* Called when the response has been written. */
static void on_finished(SoupServer *server, SoupServerMessage *message,
			gpointer data)
{
	GSocket *socket = soup_server_message_get_socket(message);
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);
	traffic_t *seen;

	if (!socket || getsockopt(g_socket_get_fd(socket), IPPROTO_TCP,
				  TCP_INFO, &info, &len))
		return;
	seen = g_object_get_data(G_OBJECT(socket), "traffic");
	if (!seen) {
		seen = g_new0(traffic_t, 1);
		g_object_set_data_full(G_OBJECT(socket), "traffic", seen,
				       g_free);
	}
	traffic.calls++;
	traffic.bytes +=
		(int64_t)(info.tcpi_bytes_received + info.tcpi_bytes_sent) -
		seen->bytes;
	traffic.segments += (int64_t)info.tcpi_segs_in + info.tcpi_segs_out -
			    seen->segments;
	seen->bytes =
		(int64_t)(info.tcpi_bytes_received + info.tcpi_bytes_sent);
	seen->segments = (int64_t)info.tcpi_segs_in + info.tcpi_segs_out;
	if (closes_connection(message))
		traffic.segments += CLOSE_SEGMENTS;
}

static void on_call(SoupServer *server, SoupServerMessage *message,
		    const char *path, GHashTable *query, gpointer data)
{
	static const char load[] =
		"{\"role\":\"decode\",\"model\":\"model\",\"version\":\"1\","
		"\"kv_total\":60000,\"kv_used\":31000,\"running\":12,"
		"\"queued\":3,\"age_ms\":120,\"leaving\":false}";
	static const char events[] = "{\"next\":0,\"events\":[]}";
	const char *text = g_str_has_suffix(path, "load") ? load : events;
	char counts[96];

	if (g_str_has_suffix(path, "traffic")) {
		g_snprintf(counts, sizeof(counts),
			   "{\"calls\":%" PRId64 ",\"bytes\":%" PRId64
			   ",\"segments\":%" PRId64 "}",
			   traffic.calls, traffic.bytes, traffic.segments);
		text = counts;
	}
	fake_reply_text(message, 200, "application/json", text, strlen(text));
}

static int run_engines(unsigned port, unsigned count)
{
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);
	SoupServer *server = soup_server_new(NULL, NULL);

	soup_server_add_handler(server, NULL, on_call, NULL, NULL);
	g_signal_connect(server, "request-finished", G_CALLBACK(on_finished),
			 NULL);
	for (unsigned i = 0; i < count; i++) {
		GInetAddress *ip =
			g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
		GSocketAddress *address =
			g_inet_socket_address_new(ip, (guint16)(port + i));

		if (!soup_server_listen(server, address, 0, NULL))
			return 1;
		g_object_unref(address);
		g_object_unref(ip);
	}
	printf("listening\n");
	fflush(stdout);
	g_main_loop_run(loop);
	return 0;
}

int main(int argc, char **argv)
{
	unsigned a = argc > 2 ? (unsigned)strtoul(argv[2], NULL, 10) : 0;
	unsigned b = argc > 3 ? (unsigned)strtoul(argv[3], NULL, 10) : 0;
	str_t what = str_from(argc > 2 ? argv[1] : "");

	if (str_equal(what, STR("config")))
		return run_config(a, b);
	if (str_equal(what, STR("vms")))
		return run_vms(a);
	if (str_equal(what, STR("limits")) && a >= 1 && a <= LIMIT_ROUTERS_MAX)
		return run_limits(a, b);
	if (str_equal(what, STR("members")))
		return run_members(a);
	if (str_equal(what, STR("ledger")))
		return run_ledger(a);
	if (str_equal(what, STR("rpc")))
		return run_rpc(a);
	if (str_equal(what, STR("engines")))
		return run_engines(a, b);
	fputs("usage: tool_capacity config|vms|limits|members|ledger|rpc|"
	      "engines NUMBER [NUMBER]\n",
	      stderr);
	return 2;
}
