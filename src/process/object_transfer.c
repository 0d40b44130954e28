#include "process/object_transfer.h"

/* Pieces asked for at once; more would fill a socket's buffer. */
#define WINDOW 8

#define MAX_OBJECT_BYTES (4 << 20)

typedef struct {
	object_transfer_t *parts;
	char *address;
	uint8_t hash[PEER_HASH_BYTES];
	int64_t deadline_us;
	config_part_done_t done;
	void *context;
	GByteArray *data; /* of the length of the object, once known */
	uint32_t next; /* offset of the next piece to ask for */
	uint32_t missing; /* bytes not received */
	bool length_known;
	GHashTable *calls; /* RPC calls in progress */
} part_fetch_t;

typedef struct {
	part_fetch_t *fetch;
	uint32_t offset;
	uint32_t call;
} piece_t;

static void part_fetch_free(part_fetch_t *fetch)
{
	g_queue_remove(&fetch->parts->fetches, fetch);
	g_hash_table_unref(fetch->calls);
	g_byte_array_unref(fetch->data);
	g_free(fetch->address);
	g_free(fetch);
}

static void piece_free(gpointer data)
{
	piece_t *piece = data;

	if (piece->call)
		rpc_cancel(piece->fetch->parts->rpc, piece->call);
	g_free(piece);
}

static void part_fetch_end(part_fetch_t *fetch, bool ok)
{
	GBytes *bytes = ok ? g_bytes_new(fetch->data->data, fetch->data->len)
			   : NULL;

	fetch->done(fetch->context, bytes);
	if (bytes)
		g_bytes_unref(bytes);
	part_fetch_free(fetch);
}

static void ask_more(part_fetch_t *fetch);

static bool take_piece(part_fetch_t *fetch, uint32_t offset,
		       const peer_part_result *result)
{
	u_int len = result->data.data_len;

	if (!result->found || result->total > MAX_OBJECT_BYTES)
		return false;
	if (!fetch->length_known) {
		fetch->length_known = true;
		fetch->missing = result->total;
		g_byte_array_set_size(fetch->data, result->total);
	}
	if (result->total != fetch->data->len || offset > result->total ||
	    len != MIN(result->total - offset, PEER_PIECE_MAX))
		return false;
	memcpy(fetch->data->data + offset, result->data.data_val, len);
	fetch->missing -= len;
	return true;
}

static void on_piece(void *context, verdict_t verdict, str_t body,
		     const wire_sender_t *from)
{
	piece_t *piece = context;
	part_fetch_t *fetch = piece->fetch;
	uint32_t offset = piece->offset;
	peer_part_result result;
	bool ok = false;

	piece->call = 0;
	g_hash_table_remove(fetch->calls, piece);
	if (verdict.code == VERDICT_OK) {
		ok = rpc_decode(peer_part_result, body, &result) &&
		     take_piece(fetch, offset, &result);
		rpc_free(peer_part_result, &result);
	}
	if (!ok || (fetch->length_known && fetch->missing == 0))
		part_fetch_end(fetch, ok);
	else
		ask_more(fetch);
}

static bool ask_piece(part_fetch_t *fetch)
{
	piece_t *piece = g_new0(piece_t, 1);
	peer_part call = {.offset = fetch->next};
	wire_buffer_t body;

	memcpy(call.hash, fetch->hash, sizeof(call.hash));
	piece->fetch = fetch;
	piece->offset = fetch->next;
	fetch->next += PEER_PIECE_MAX;
	if (rpc_encode(peer_part, &call, &body))
		piece->call = rpc_send(fetch->parts->rpc, fetch->address,
				       PEER_PART, rpc_body(&body),
				       fetch->deadline_us, on_piece, piece);
	if (!piece->call) {
		g_free(piece);
		return false;
	}
	g_hash_table_add(fetch->calls, piece);
	return true;
}

/* Asks for one piece until the length is known, then for several at once. */
static void ask_more(part_fetch_t *fetch)
{
	guint window = fetch->length_known ? WINDOW : 1;

	while (g_hash_table_size(fetch->calls) < window &&
	       (!fetch->length_known || fetch->next < fetch->data->len))
		if (!ask_piece(fetch)) {
			part_fetch_end(fetch, false);
			return;
		}
}

static bool parse_hash(const char *text, uint8_t hash[PEER_HASH_BYTES])
{
	if (strlen(text) != (size_t)2 * PEER_HASH_BYTES)
		return false;
	for (size_t i = 0; i < PEER_HASH_BYTES; i++) {
		int high = g_ascii_xdigit_value(text[2 * i]);
		int low = g_ascii_xdigit_value(text[2 * i + 1]);

		if (high < 0 || low < 0)
			return false;
		hash[i] = (uint8_t)(high * 16 + low);
	}
	return true;
}

/*
 * Reads an object from a peer; a config_fetch_part_t whose context is a
 * object_transfer_t. The content is not checked against its hash here.
 */
void object_transfer_fetch(void *context, const char *address, const char *hash,
			   uint64_t size, int64_t deadline_us,
			   config_part_done_t done, void *done_context)
{
	object_transfer_t *parts = context;
	part_fetch_t *fetch = g_new0(part_fetch_t, 1);

	fetch->parts = parts;
	fetch->address = g_strdup(address);
	fetch->deadline_us = deadline_us;
	fetch->done = done;
	fetch->context = done_context;
	fetch->data = g_byte_array_new();
	fetch->calls = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					     piece_free, NULL);
	g_queue_push_tail(&parts->fetches, fetch);
	if (parse_hash(hash, fetch->hash))
		ask_more(fetch);
	else
		part_fetch_end(fetch, false);
}

static void answer_piece(object_transfer_t *parts, const rpc_request_t *request,
			 const peer_part *call)
{
	GBytes *bytes =
		parts->find(parts->context, (const uint8_t *)call->hash);
	peer_part_result result = {.found = bytes != NULL};
	wire_buffer_t body;
	gsize len = 0;
	const char *data = bytes ? g_bytes_get_data(bytes, &len) : NULL;

	if (bytes && call->offset <= len) {
		result.total = (u_int)len;
		result.data.data_val = (char *)data + call->offset;
		result.data.data_len =
			(u_int)MIN(len - call->offset, (gsize)PEER_PIECE_MAX);
	}
	if (rpc_encode(peer_part_result, &result, &body))
		rpc_answer(parts->rpc, request->token, rpc_body(&body));
	if (bytes)
		g_bytes_unref(bytes);
}

static void on_part(void *context, const rpc_request_t *request)
{
	object_transfer_t *parts = context;
	peer_part call;

	if (rpc_decode(peer_part, request->body, &call))
		answer_piece(parts, request, &call);
	else
		rpc_reject(parts->rpc, request->token, WIRE_BAD_ARGUMENTS);
	rpc_free(peer_part, &call);
}

/* Starts to answer peers; the RPC must outlive object_transfer_finish(). */
void object_transfer_init(object_transfer_t *parts, rpc_t *rpc,
			  object_find_fn_t find, void *context)
{
	parts->rpc = rpc;
	parts->find = find;
	parts->context = context;
	g_queue_init(&parts->fetches);
	rpc_handle(rpc, PEER_PART, on_part, parts);
}

/* Ends all fetches without a result and stops answering. */
void object_transfer_finish(object_transfer_t *parts)
{
	rpc_handle(parts->rpc, PEER_PART, NULL, NULL);
	while (!g_queue_is_empty(&parts->fetches))
		part_fetch_end(g_queue_peek_head(&parts->fetches), false);
}
