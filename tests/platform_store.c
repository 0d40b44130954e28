#include "platform_store.h"

#include <stdio.h>
#include <string.h>

/* Largest value of a row, section 6.3. */
#define ROW_BYTES_MAX ((size_t)65536)

typedef struct {
	int64_t version;
	char *value;
} row_t;

static void free_row(gpointer data)
{
	row_t *row = data;

	g_free(row->value);
	g_free(row);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer context)
{
	return strcmp(a, b);
}

void platform_store_init(platform_store_t *store)
{
	store->rows = g_tree_new_full(compare_keys, NULL, g_free, free_row);
	store->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       (GDestroyNotify)g_bytes_unref);
	store->last_version = 0;
}

static void set_etag(SoupServerMessage *message, int64_t version)
{
	char etag[32];

	g_snprintf(etag, sizeof(etag), "\"%" G_GINT64_FORMAT "\"", version);
	soup_message_headers_replace(
		soup_server_message_get_response_headers(message), "ETag",
		etag);
}

/* GET /table/KEY */
void platform_get_row(platform_store_t *store, SoupServerMessage *message,
		      const char *key)
{
	const row_t *row = g_tree_lookup(store->rows, key);

	if (!row) {
		fake_reply_error(message, 404, "no such row");
		return;
	}
	set_etag(message, row->version);
	fake_reply_text(message, 200, "text/plain", row->value,
			strlen(row->value));
}

/* GET /table?prefix=P, in order of keys */
void platform_list_rows(platform_store_t *store, SoupServerMessage *message,
			const char *prefix)
{
	JsonArray *rows = json_array_new();
	GTreeNode *node = g_tree_lower_bound(store->rows, prefix);

	while (node && g_str_has_prefix(g_tree_node_key(node), prefix)) {
		const row_t *row = g_tree_node_value(node);

		json_array_add_object_element(
			rows, fake_json("key", "s", g_tree_node_key(node),
					"version", "i", row->version, "value",
					"s", row->value, NULL));
		node = g_tree_node_next(node);
	}
	fake_reply(message, 200, fake_json("rows", "a", rows, NULL));
}

/*
 * Checks If-Match and If-None-Match against a row, which may be NULL.
 * Returns 0 when the write may be done, otherwise the status.
 */
static unsigned check_condition(SoupServerMessage *message, const row_t *row)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(message);
	const char *match = soup_message_headers_get_one(headers, "If-Match");
	const char *none =
		soup_message_headers_get_one(headers, "If-None-Match");
	char etag[32];

	if (match && !none) {
		if (!row)
			return 412;
		g_snprintf(etag, sizeof(etag), "\"%" G_GINT64_FORMAT "\"",
			   row->version);
		return strcmp(match, etag) != 0 ? 412 : 0;
	}
	if (none && !match && !strcmp(none, "*"))
		return row ? 412 : 0;
	return 428;
}

/* Records a write to a row; the version is in `tokens`. */
static void record_write(fake_t *fake, const char *kind, const char *key,
			 int64_t version, unsigned status)
{
	fake_execution_t *execution = fake_execution_start(fake, kind, key, 0);

	execution->tokens = version;
	execution->ran = status == 200;
	fake_execution_end(execution, status == 200 ? "done" : "denied");
}

/* PUT /table/KEY */
void platform_put_row(platform_store_t *store, fake_t *fake,
		      SoupServerMessage *message, const char *key)
{
	const row_t *old = g_tree_lookup(store->rows, key);
	unsigned status = check_condition(message, old);
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	GBytes *bytes = soup_message_body_flatten(body);
	size_t len;
	const char *data = g_bytes_get_data(bytes, &len);
	row_t *row;

	if (!status && len > ROW_BYTES_MAX)
		status = 413;
	if (!status && !g_utf8_validate_len(data ? data : "", len, NULL))
		status = 400;
	if (status) {
		record_write(fake, "put", key, 0, status);
		fake_reply_error(message, status, "not written");
	} else {
		row = g_new0(row_t, 1);
		row->version = ++store->last_version;
		row->value = g_strndup(data ? data : "", len);
		g_tree_replace(store->rows, g_strdup(key), row);
		record_write(fake, "put", key, row->version, 200);
		set_etag(message, row->version);
		fake_reply(message, 200, json_object_new());
	}
	g_bytes_unref(bytes);
}

/* DELETE /table/KEY */
void platform_delete_row(platform_store_t *store, fake_t *fake,
			 SoupServerMessage *message, const char *key)
{
	const row_t *row = g_tree_lookup(store->rows, key);
	unsigned status = check_condition(message, row);

	record_write(fake, "delete", key, row ? row->version : 0,
		     status ? status : 200);
	if (status) {
		fake_reply_error(message, status, "not deleted");
		return;
	}
	g_tree_remove(store->rows, key);
	fake_reply(message, 200, json_object_new());
}

static void put_object(platform_store_t *store, fake_t *fake,
		       SoupServerMessage *message, const char *hash)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	GBytes *bytes = soup_message_body_flatten(body);
	const GBytes *known = g_hash_table_lookup(store->objects, hash);

	if (known && !g_bytes_equal(known, bytes)) {
		record_write(fake, "object", hash, 0, 409);
		fake_reply_error(message, 409, "other content has this hash");
		g_bytes_unref(bytes);
		return;
	}
	record_write(fake, "object", hash, (int64_t)g_bytes_get_size(bytes),
		     200);
	g_hash_table_replace(store->objects, g_strdup(hash), bytes);
	fake_reply(message, 200, json_object_new());
}

/* PUT and GET /objects/HASH. The hash function is the caller's choice. */
void platform_run_object(platform_store_t *store, fake_t *fake,
			 SoupServerMessage *message, const char *hash)
{
	GBytes *object = g_hash_table_lookup(store->objects, hash);
	size_t len;
	const char *data;

	if (!strcmp(soup_server_message_get_method(message), "PUT")) {
		put_object(store, fake, message, hash);
	} else if (!fake_is_get(message)) {
		fake_reply_error(message, 405, "method");
	} else if (!object) {
		fake_reply_error(message, 404, "no such object");
	} else {
		data = g_bytes_get_data(object, &len);
		fake_reply_text(message, 200, "application/octet-stream", data,
				len);
	}
}
