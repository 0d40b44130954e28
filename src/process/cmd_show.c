#include <argtable2.h>
#include <inttypes.h>
#include <json-glib/json-glib.h>
#include <stdio.h>

#include "process/apply.h"
#include "process/cmd.h"
#include "process/fields.h"
#include "process/json_text.h"

/* Limit of the whole command. */
#define TIMEOUT_US (5 * CLOCK_US_PER_S)
#define MAX_VMS 64

/* What one VM answers about itself. */
typedef struct {
	const char *address;
	bool has_status; /* the members below are valid */
	unsigned http_status; /* 0: no response */
	char *vm;
	char *zone;
	int64_t version; /* configuration version; -1: none in effect */
} vm_result_t;

/*
 * State of the command: the calls to the platform and to the VMs, and their
 * results.
 */
typedef struct {
	const char *deployment;
	const char *token; /* operator's token for the VMs, or NULL */
	platform_t platform;
	client_t client;
	GMainLoop *loop;
	unsigned calls_in_flight;
	platform_outcome_t row_outcome; /* of reading the row */
	bool row_malformed;
	head_t head; /* of the row, if it was read and is valid */
	vm_result_t vms[MAX_VMS];
	size_t n_vms;
} show_t;

/* Counts the end of a call, and ends the main loop after the last one. */
static void end_call(show_t *show)
{
	if (--show->calls_in_flight == 0)
		g_main_loop_quit(show->loop);
}

/* Takes the platform's answer to the read of the row. */
static void on_row(void *context, const platform_answer_t *answer)
{
	show_t *show = context;
	gsize len;
	const char *text;

	show->row_outcome = answer->outcome;
	if (answer->outcome == PLATFORM_DONE) {
		text = g_bytes_get_data(answer->body, &len);
		show->row_malformed =
			!head_parse(&show->head, (str_t){text, len});
	}
	end_call(show);
}

/* Context of the call to one VM, since the callback gets only one pointer. */
typedef struct {
	show_t *show;
	vm_result_t *result;
} vm_call_t;

/* Takes name, zone and version of a VM from its status, a JSON object. */
static void parse_vm_status(vm_result_t *result, GBytes *body)
{
	JsonParser *parser = json_parser_new();
	gsize len;
	const char *text = g_bytes_get_data(body, &len);
	JsonNode *root = NULL;
	JsonObject *object;

	if (json_text_load(parser, (str_t){text, len}))
		root = json_parser_get_root(parser);
	if (root && JSON_NODE_HOLDS_OBJECT(root)) {
		object = json_node_get_object(root);
		result->vm = g_strdup(
			json_object_get_string_member_with_default(object, "vm",
								   ""));
		result->zone = g_strdup(
			json_object_get_string_member_with_default(object,
								   "zone", ""));
		result->version = json_object_get_int_member_with_default(
			object, "version", -1);
		result->has_status = true;
	}
	g_object_unref(parser);
}

/* Takes the response of one VM and frees the context of the call. */
static void on_vm_status(void *context, const client_response_t *response)
{
	vm_call_t *call = context;
	show_t *show = call->show;

	call->result->http_status = response->status;
	if (response->outcome == CLIENT_ANSWERED && response->status == 200)
		parse_vm_status(call->result, response->body);
	g_free(call);
	end_call(show);
}

/*
 * Requests the status of one VM. If the call cannot be sent, the VM counts as
 * unreachable.
 */
static void request_vm_status(show_t *show, vm_result_t *result,
			      int64_t deadline_us)
{
	SoupMessageHeaders *headers =
		soup_message_headers_new(SOUP_MESSAGE_HEADERS_REQUEST);
	vm_call_t *call = g_new0(vm_call_t, 1);
	client_request_t request = {
		.method = "GET",
		.address = str_from(result->address),
		.path = "/v1/admin/status",
		.headers = headers,
		.deadline_us = deadline_us,
		.on_done = on_vm_status,
		.context = call,
	};

	call->show = show;
	call->result = result;
	if (show->token) {
		char *value = g_strconcat("Bearer ", show->token, NULL);

		soup_message_headers_append(headers, "Authorization", value);
		g_free(value);
	}
	show->calls_in_flight++;
	if (!client_send(&show->client, &request)) {
		show->calls_in_flight--;
		g_free(call);
	}
	soup_message_headers_unref(headers);
}

/* Returns why a VM has no status to show. */
static const char *vm_error_text(const vm_result_t *result)
{
	if (result->http_status == 401 || result->http_status == 403)
		return "token refused";
	return result->http_status ? "unexpected response" : "unreachable";
}

/* Prints the version in the store and that of each VM, one line each. */
static void print_text(const show_t *show)
{
	const head_t *head = &show->head;

	if (show->row_outcome == PLATFORM_DONE)
		printf("deployment=%s version=%" PRIu64
		       " author=%s attempt=%s time=%" PRIu64 " manifest=%s\n",
		       head->deployment, head->version, head->author,
		       head->attempt, head->time_s, head->manifest);
	else if (show->row_outcome == PLATFORM_NOT_FOUND)
		printf("deployment=%s version=none\n", show->deployment);
	for (size_t i = 0; i < show->n_vms; i++) {
		const vm_result_t *result = &show->vms[i];

		if (result->has_status)
			printf("vm=%s zone=%s address=%s version=%" PRId64 "\n",
			       result->vm, result->zone, result->address,
			       result->version);
		else
			printf("address=%s error=\"%s\"\n", result->address,
			       vm_error_text(result));
	}
}

/* Adds a string member to the JSON object. */
static void add_string(JsonBuilder *json, const char *key, const char *value)
{
	json_builder_set_member_name(json, key);
	json_builder_add_string_value(json, value);
}

/* Adds an integer member to the JSON object. */
static void add_int(JsonBuilder *json, const char *key, int64_t value)
{
	json_builder_set_member_name(json, key);
	json_builder_add_int_value(json, value);
}

/* Adds the array with the version or error of each VM. */
static void add_vms(const show_t *show, JsonBuilder *json)
{
	json_builder_set_member_name(json, "vms");
	json_builder_begin_array(json);
	for (size_t i = 0; i < show->n_vms; i++) {
		const vm_result_t *result = &show->vms[i];

		json_builder_begin_object(json);
		add_string(json, "address", result->address);
		if (result->has_status) {
			add_string(json, "vm", result->vm);
			add_string(json, "zone", result->zone);
			add_int(json, "version", result->version);
		} else {
			add_string(json, "error", vm_error_text(result));
		}
		json_builder_end_object(json);
	}
	json_builder_end_array(json);
}

/* Prints the version in the store and that of each VM as one JSON object. */
static void print_json(const show_t *show)
{
	JsonBuilder *json = json_builder_new();
	JsonNode *root;
	char *text;

	json_builder_begin_object(json);
	add_string(json, "deployment", show->deployment);
	add_string(json, "platform", platform_outcome_text(show->row_outcome));
	if (show->row_outcome == PLATFORM_DONE) {
		add_int(json, "version", (int64_t)show->head.version);
		add_string(json, "author", show->head.author);
		add_string(json, "attempt", show->head.attempt);
		add_int(json, "time", (int64_t)show->head.time_s);
		add_string(json, "manifest", show->head.manifest);
	}
	add_vms(show, json);
	json_builder_end_object(json);
	root = json_builder_get_root(json);
	text = json_to_string(root, FALSE);
	puts(text);
	g_free(text);
	json_node_unref(root);
	g_object_unref(json);
}

/* Returns the exit code, and prints why the row could not be read. */
static int exit_code(const show_t *show)
{
	if (show->row_malformed) {
		fputs("gooseberryspur show: malformed row\n", stderr);
		return EXIT_CODE_INTERNAL;
	}
	if (show->row_outcome == PLATFORM_REJECTED) {
		fputs("gooseberryspur show: the platform rejected the read\n",
		      stderr);
		return EXIT_CODE_REFUSED;
	}
	if (show->row_outcome != PLATFORM_DONE &&
	    show->row_outcome != PLATFORM_NOT_FOUND) {
		fputs("gooseberryspur show: the platform is unreachable\n",
		      stderr);
		return EXIT_CODE_UNREACHABLE;
	}
	for (size_t i = 0; i < show->n_vms; i++) {
		if (!show->vms[i].has_status)
			return EXIT_CODE_UNREACHABLE;
	}
	return EXIT_CODE_OK;
}

/*
 * Reads the row and the status of all VMs at once, prints the result and
 * returns the exit code.
 */
static int run(show_t *show, const char *platform, const char *platform_token,
	       bool json)
{
	int64_t deadline_us;
	char *key = apply_row_key(show->deployment);
	int code;

	client_init(&show->client, clock_boottime());
	platform_init(&show->platform, &show->client, platform, &APPLY_BUDGET,
		      1);
	platform_set_token(&show->platform, platform_token);
	show->loop = g_main_loop_new(NULL, FALSE);
	deadline_us = clock_now(&show->client.clock) + TIMEOUT_US;
	show->calls_in_flight = 1;
	platform_get(&show->platform, key, deadline_us, on_row, show);
	for (size_t i = 0; i < show->n_vms; i++)
		request_vm_status(show, &show->vms[i], deadline_us);
	g_main_loop_run(show->loop);
	code = exit_code(show);
	if (json)
		print_json(show);
	else
		print_text(show);
	for (size_t i = 0; i < show->n_vms; i++) {
		g_free(show->vms[i].vm);
		g_free(show->vms[i].zone);
	}
	platform_finish(&show->platform);
	client_finish(&show->client);
	g_main_loop_unref(show->loop);
	g_free(key);
	return code;
}

/*
 * Returns whether the addresses and the name are valid; prints an error for
 * the first that is not.
 */
static bool check_arguments(struct arg_str *platform,
			    struct arg_str *deployment, struct arg_str *vms)
{
	if (!fields_is_address(str_from(platform->sval[0]))) {
		fputs("gooseberryspur show: --platform: expected IP:port\n",
		      stderr);
		return false;
	}
	if (!fields_is_name(str_from(deployment->sval[0]))) {
		fputs("gooseberryspur show: --deployment: expected a name\n",
		      stderr);
		return false;
	}
	for (int i = 0; i < vms->count; i++) {
		if (!fields_is_address(str_from(vms->sval[i]))) {
			fputs("gooseberryspur show: --vm: expected IP:port\n",
			      stderr);
			return false;
		}
	}
	return true;
}

/*
 * Shows the version that the platform holds and the version in effect at each
 * named VM. Exit code 4 says that the platform or a VM did not answer.
 */
int cmd_show(int argc, char **argv)
{
	struct arg_str *platform = arg_str1(NULL, "platform", "IP:PORT",
					    "address of the platform");
	struct arg_str *deployment =
		arg_str1(NULL, "deployment", "NAME", "deployment to show");
	struct arg_str *vms = arg_strn(NULL, "vm", "IP:PORT", 0, MAX_VMS,
				       "operators' address of a VM; repeated");
	struct arg_str *token = arg_str0(NULL, "token", "TOKEN",
					 "operator's bearer token for the VMs");
	struct arg_str *platform_token =
		arg_str0(NULL, "platform-token", "TOKEN",
			 "bearer token for the platform");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {platform,	 deployment, vms,  token,
			 platform_token, json,	     help, end};
	int errors = arg_parse(argc, argv, table);
	int code = EXIT_CODE_BAD_INPUT;

	if (help->count) {
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		code = EXIT_CODE_OK;
	} else if (errors) {
		arg_print_errors(stderr, end, "gooseberryspur show");
	} else if (check_arguments(platform, deployment, vms)) {
		show_t *show = g_new0(show_t, 1);

		show->deployment = deployment->sval[0];
		show->token = token->count ? token->sval[0] : NULL;
		show->n_vms = (size_t)vms->count;
		for (size_t i = 0; i < show->n_vms; i++)
			show->vms[i].address = vms->sval[i];
		code = run(show, platform->sval[0],
			   platform_token->count ? platform_token->sval[0]
						 : NULL,
			   json->count > 0);
		g_free(show);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
