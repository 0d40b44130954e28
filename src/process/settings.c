#include "process/settings.h"

#include <string.h>

#include "process/fields.h"
#include "process/file.h"

/* Number of hex digits of an RPC secret: 128 to 512 bits. */
#define SECRET_MIN_DIGITS 32
#define SECRET_MAX_DIGITS 128

#define FIELD(name, k, ...)                                       \
	{                                                         \
		.key = #name, .kind = (k),                        \
		.offset = offsetof(settings_t, name), __VA_ARGS__ \
	}
#define TEXT_FIELD(name, k, ...) \
	FIELD(name, k, .as_c_string = true, __VA_ARGS__)

static const char *const log_levels[] = {"debug", "info", "warn", "error",
					 NULL};

static const field_t settings_fields[] = {
	TEXT_FIELD(deployment, FIELD_NAME, .required = true),
	TEXT_FIELD(vm, FIELD_NAME, .required = true),
	TEXT_FIELD(zone, FIELD_NAME, .required = true),
	TEXT_FIELD(callers_address, FIELD_ADDRESS, .required = true),
	TEXT_FIELD(operators_address, FIELD_ADDRESS, .required = true),
	TEXT_FIELD(rpc_address, FIELD_ADDRESS, .required = true),
	TEXT_FIELD(platform_address, FIELD_ADDRESS, .required = false),
	TEXT_FIELD(operator_token_sha256, FIELD_SHA256, .required = true),
	TEXT_FIELD(state_file, FIELD_TEXT, .min = 1, .max = 512),
	TEXT_FIELD(log_file, FIELD_TEXT, .min = 1, .max = 512),
	FIELD(log_level, FIELD_CHOICE, .choices = log_levels,
	      .default_value = LOG_INFO),
	FIELD(drain_notice_ms, FIELD_INTEGER, .max = 600000,
	      .default_value = 5000),
	FIELD(shutdown_limit_ms, FIELD_INTEGER, .max = 3600000,
	      .default_value = 120000),
	TEXT_FIELD(routing_policy, FIELD_NAME, .required = false),
	FIELD(peers, FIELD_TABLES, .required = false),
	FIELD(keys, FIELD_TABLES, .required = true),
};

#define PEER_FIELD(name, k)                                                  \
	{                                                                    \
		.key = #name, .kind = (k),                                   \
		.offset = offsetof(settings_peer_t, name), .required = true, \
		.as_c_string = true                                          \
	}

static const field_t peer_fields[] = {
	PEER_FIELD(vm, FIELD_NAME),
	PEER_FIELD(zone, FIELD_NAME),
	PEER_FIELD(address, FIELD_ADDRESS),
};

typedef struct {
	int64_t id;
	str_t secret;
} key_text_t;

static const field_t key_fields[] = {
	{.key = "id",
	 .kind = FIELD_INTEGER,
	 .offset = offsetof(key_text_t, id),
	 .required = true,
	 .max = UINT32_MAX},
	{.key = "secret",
	 .kind = FIELD_HEX,
	 .offset = offsetof(key_text_t, secret),
	 .required = true,
	 .min = SECRET_MIN_DIGITS,
	 .max = SECRET_MAX_DIGITS},
};

static void clear_peer(gpointer data)
{
	settings_peer_t *peer = data;

	g_free(peer->vm);
	g_free(peer->zone);
	g_free(peer->address);
}

static void clear_key(gpointer data)
{
	settings_rpc_key_t *key = data;

	g_clear_pointer(&key->secret, g_bytes_unref);
}

static GBytes *decode_hex(str_t hex)
{
	guint8 *bytes = g_malloc(hex.len / 2 + 1);

	for (size_t i = 0; i < hex.len / 2; i++)
		bytes[i] = (guint8)(g_ascii_xdigit_value(hex.data[2 * i]) * 16 +
				    g_ascii_xdigit_value(hex.data[2 * i + 1]));
	return g_bytes_new_take(bytes, hex.len / 2);
}

static void check_peer(const fields_reader_t *reader, const toml_node_t *table,
		       const char *path, const settings_t *settings, size_t i)
{
	settings_peer_t *peers = (settings_peer_t *)settings->peers->data;

	if (g_strcmp0(peers[i].vm, settings->vm) == 0)
		fields_error(reader, table, path, "vm",
			     "expected another VM than this one");
	for (size_t j = 0; j < i; j++) {
		if (peers[i].vm && g_strcmp0(peers[i].vm, peers[j].vm) == 0)
			fields_error(reader, table, path, "vm",
				     "expected a unique name, peers[%zu] has "
				     "the same",
				     j);
		if (peers[i].address &&
		    g_strcmp0(peers[i].address, peers[j].address) == 0)
			fields_error(reader, table, path, "address",
				     "expected a unique address, peers[%zu] "
				     "has the same",
				     j);
	}
}

static void read_peers(const fields_reader_t *reader, const toml_node_t *root,
		       settings_t *settings)
{
	size_t n = fields_array_length(root, "peers");

	for (size_t i = 0; i < n; i++) {
		const toml_node_t *table =
			fields_array_element(root, "peers", i);
		char *path = g_strdup_printf("peers[%zu]", i);
		settings_peer_t peer = {0};

		if (table->kind == TOML_TABLE) {
			fields_read(reader, table, path, peer_fields,
				    G_N_ELEMENTS(peer_fields), &peer);
			g_array_append_val(settings->peers, peer);
			check_peer(reader, table, path, settings,
				   settings->peers->len - 1);
		}
		g_free(path);
	}
}

static void read_key(const fields_reader_t *reader, const toml_node_t *table,
		     const char *path, settings_t *settings)
{
	key_text_t text = {0};
	settings_rpc_key_t key;

	fields_read(reader, table, path, key_fields, G_N_ELEMENTS(key_fields),
		    &text);
	for (guint i = 0; i < settings->keys->len; i++) {
		if (g_array_index(settings->keys, settings_rpc_key_t, i).id ==
		    (uint32_t)text.id)
			fields_error(reader, table, path, "id",
				     "expected a unique ID, keys[%u] has the "
				     "same",
				     i);
	}
	key.id = (uint32_t)text.id;
	key.secret = decode_hex(text.secret);
	g_array_append_val(settings->keys, key);
}

static void read_keys(const fields_reader_t *reader, const toml_node_t *root,
		      settings_t *settings)
{
	size_t n = fields_array_length(root, "keys");
	const toml_node_t *keys = toml_get(root, "keys");

	for (size_t i = 0; i < n; i++) {
		const toml_node_t *table =
			fields_array_element(root, "keys", i);
		char *path = g_strdup_printf("keys[%zu]", i);

		if (table->kind == TOML_TABLE)
			read_key(reader, table, path, settings);
		g_free(path);
	}
	if (keys && keys->kind == TOML_ARRAY && n == 0)
		fields_error(reader, root, "", "keys",
			     "expected at least one key");
}

/* TCP listeners that share an address could not both start. */
static void check_addresses(const fields_reader_t *reader,
			    const toml_node_t *root, const settings_t *settings)
{
	if (settings->callers_address &&
	    g_strcmp0(settings->callers_address, settings->operators_address) ==
		    0)
		fields_error(reader, root, "", "operators_address",
			     "expected another address than callers_address");
	if (!settings->platform_address && !settings->state_file)
		fields_error(reader, root, "", "platform_address",
			     "missing key, expected platform_address or "
			     "state_file");
}

static void read_root(const fields_reader_t *reader, const toml_node_t *root,
		      settings_t *settings)
{
	fields_read(reader, root, "", settings_fields,
		    G_N_ELEMENTS(settings_fields), settings);
	if (!settings->routing_policy)
		settings->routing_policy = g_strdup("ledger");
	read_peers(reader, root, settings);
	read_keys(reader, root, settings);
	check_addresses(reader, root, settings);
}

/*
 * Parses settings from a text. On failure errors are added and *settings is
 * empty; settings_finish() is allowed in both cases.
 */
bool settings_parse(const char *text, size_t len, const char *name,
		    settings_t *settings, diag_t *diag)
{
	fields_reader_t reader = {.file = name, .diag = diag};
	guint errors_before = diag->entries->len;
	toml_node_t *root;

	memset(settings, 0, sizeof(*settings));
	if (!toml_parse(text, len, name, &root, diag))
		return false;
	settings->peers = g_array_new(FALSE, TRUE, sizeof(settings_peer_t));
	g_array_set_clear_func(settings->peers, clear_peer);
	settings->keys = g_array_new(FALSE, TRUE, sizeof(settings_rpc_key_t));
	g_array_set_clear_func(settings->keys, clear_key);
	reader.strings = g_string_chunk_new(1024);
	read_root(&reader, root, settings);
	g_string_chunk_free(reader.strings);
	toml_free(root);
	if (diag->entries->len == errors_before)
		return true;
	settings_finish(settings);
	return false;
}

/* Reads a settings file, as settings_parse(). */
bool settings_load(const char *path, settings_t *settings, diag_t *diag)
{
	GString *text;
	bool ok;

	memset(settings, 0, sizeof(*settings));
	if (!file_load(path, TOML_MAX_BYTES, &text, diag))
		return false;
	ok = settings_parse(text->str, text->len, path, settings, diag);
	g_string_free(text, TRUE);
	return ok;
}

/* Frees what the settings own. Allowed more than once. */
void settings_finish(settings_t *settings)
{
	g_free(settings->deployment);
	g_free(settings->vm);
	g_free(settings->zone);
	g_free(settings->callers_address);
	g_free(settings->operators_address);
	g_free(settings->rpc_address);
	g_free(settings->platform_address);
	g_free(settings->operator_token_sha256);
	g_free(settings->state_file);
	g_free(settings->log_file);
	g_free(settings->routing_policy);
	g_clear_pointer(&settings->peers, g_array_unref);
	g_clear_pointer(&settings->keys, g_array_unref);
	memset(settings, 0, sizeof(*settings));
}

/* Tells whether a key belongs to the top level of a settings file. */
bool settings_has_key(str_t key)
{
	for (size_t i = 0; i < G_N_ELEMENTS(settings_fields); i++) {
		if (str_equal(str_from(settings_fields[i].key), key))
			return true;
	}
	return false;
}
