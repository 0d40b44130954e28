#include "process/object_transfer.h"

/* More requests at a time would fill a socket's buffer with their answers. */
#define PIECES_IN_FLIGHT_MAX 8

#define OBJECT_MAX_BYTES (4 << 20)

/* The read of one object from a peer. */
typedef struct {
	object_transfer_t *transfer;
	char *address;
	uint8_t hash[PEER_HASH_BYTES];
	int64_t deadline_us;
	config_part_done_t done;
	void *context;
	GByteArray *data; /* has the object's length once that is known */
	uint32_t next_offset; /* of the next piece to request */
	uint32_t missing_bytes; /* not received yet */
	bool length_known;
	GHashTable *calls; /* set of piece_call_t in progress, owned */
} object_fetch_t;

/* The RPC call for one piece. */
typedef struct {
	object_fetch_t *fetch;
	uint32_t offset;
	uint32_t call; /* 0: has ended */
} piece_call_t;

/* Ends the calls of a fetch and frees it. */
static void object_fetch_free(object_fetch_t *fetch)
{
	g_queue_remove(&fetch->transfer->fetches, fetch);
	g_hash_table_unref(fetch->calls);
	g_byte_array_unref(fetch->data);
	g_free(fetch->address);
	g_free(fetch);
}

/* Frees the context of a call, which is cancelled if it is in progress. */
static void piece_call_free(gpointer data)
{
	piece_call_t *piece = data;

	if (piece->call)
		rpc_cancel(piece->fetch->transfer->rpc, piece->call);
	g_free(piece);
}

/* Reports a fetch's object, or NULL after a failure, and frees the fetch. */
static void object_fetch_end(object_fetch_t *fetch, bool ok)
{
	GBytes *bytes = ok ? g_bytes_new(fetch->data->data, fetch->data->len)
			   : NULL;

	fetch->done(fetch->context, bytes);
	if (bytes)
		g_bytes_unref(bytes);
	object_fetch_free(fetch);
}

static void request_pieces(object_fetch_t *fetch);

/* Stores a received piece. Returns false if the peer does not hold the object,
 * or if the piece does not fit the object's length or the request.
 */
static bool store_piece(object_fetch_t *fetch, uint32_t offset,
			const peer_part_result *result)
{
	u_int len = result->data.data_len;

	if (!result->found || result->total > OBJECT_MAX_BYTES)
		return false;
	if (!fetch->length_known) {
		fetch->length_known = true;
		fetch->missing_bytes = result->total;
		g_byte_array_set_size(fetch->data, result->total);
	}
	if (result->total != fetch->data->len || offset > result->total ||
	    len != MIN(result->total - offset, PEER_PIECE_MAX))
		return false;
	memcpy(fetch->data->data + offset, result->data.data_val, len);
	fetch->missing_bytes -= len;
	return true;
}

/* Handles the answer for one piece. The first failure ends the fetch. */
static void on_piece_answered(void *context, verdict_t verdict, str_t body,
			      const wire_sender_t *from)
{
	piece_call_t *piece = context;
	object_fetch_t *fetch = piece->fetch;
	uint32_t offset = piece->offset;
	peer_part_result result;
	bool ok = false;

	piece->call = 0;
	g_hash_table_remove(fetch->calls, piece);
	if (verdict.code == VERDICT_OK) {
		ok = rpc_decode(peer_part_result, body, &result) &&
		     store_piece(fetch, offset, &result);
		rpc_free(peer_part_result, &result);
	}
	if (!ok || (fetch->length_known && fetch->missing_bytes == 0))
		object_fetch_end(fetch, ok);
	else
		request_pieces(fetch);
}

/* Requests the next piece. Returns false if the call cannot be sent. */
static bool request_piece(object_fetch_t *fetch)
{
	piece_call_t *piece = g_new0(piece_call_t, 1);
	peer_part call = {.offset = fetch->next_offset};
	wire_buffer_t body;

	memcpy(call.hash, fetch->hash, sizeof(call.hash));
	piece->fetch = fetch;
	piece->offset = fetch->next_offset;
	fetch->next_offset += PEER_PIECE_MAX;
	if (rpc_encode(peer_part, &call, &body))
		piece->call = rpc_send(fetch->transfer->rpc, fetch->address,
				       PEER_PART, rpc_body(&body),
				       fetch->deadline_us, on_piece_answered,
				       piece);
	if (!piece->call) {
		g_free(piece);
		return false;
	}
	g_hash_table_add(fetch->calls, piece);
	return true;
}

/* Requests one piece while the object's length is unknown, then several at a
 * time. Ends the fetch if a request cannot be sent.
 */
static void request_pieces(object_fetch_t *fetch)
{
	guint window = fetch->length_known ? PIECES_IN_FLIGHT_MAX : 1;

	while (g_hash_table_size(fetch->calls) < window &&
	       (!fetch->length_known || fetch->next_offset < fetch->data->len))
		if (!request_piece(fetch)) {
			object_fetch_end(fetch, false);
			return;
		}
}

/* Parses a hash in hexadecimal digits. Returns false if it is malformed. */
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
 * Reads an object from a peer. This is a config_fetch_part_t whose context is
 * an object_transfer_t. Does not check the content against its hash.
 */
void object_transfer_fetch(void *context, const char *address, const char *hash,
			   uint64_t size, int64_t deadline_us,
			   config_part_done_t done, void *done_context)
{
	object_transfer_t *transfer = context;
	object_fetch_t *fetch = g_new0(object_fetch_t, 1);

	fetch->transfer = transfer;
	fetch->address = g_strdup(address);
	fetch->deadline_us = deadline_us;
	fetch->done = done;
	fetch->context = done_context;
	fetch->data = g_byte_array_new();
	fetch->calls = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					     piece_call_free, NULL);
	g_queue_push_tail(&transfer->fetches, fetch);
	if (parse_hash(hash, fetch->hash))
		request_pieces(fetch);
	else
		object_fetch_end(fetch, false);
}

/* Answers a peer with a piece, or with `found` false if this process does not
 * hold the object.
 */
static void answer_piece(object_transfer_t *transfer,
			 const rpc_request_t *request, const peer_part *call)
{
	GBytes *bytes =
		transfer->find(transfer->context, (const uint8_t *)call->hash);
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
		rpc_reply(transfer->rpc, request->call_id, rpc_body(&body));
	if (bytes)
		g_bytes_unref(bytes);
}

/* Handles a peer's request for a piece. */
static void on_piece_requested(void *context, const rpc_request_t *request)
{
	object_transfer_t *transfer = context;
	peer_part call;

	if (rpc_decode(peer_part, request->body, &call))
		answer_piece(transfer, request, &call);
	else
		rpc_reply_error(transfer->rpc, request->call_id,
				WIRE_BAD_ARGUMENTS);
	rpc_free(peer_part, &call);
}

/* Starts answering peers. The RPC socket must outlive
 * object_transfer_finish().
 */
void object_transfer_init(object_transfer_t *transfer, rpc_t *rpc,
			  object_find_fn_t find, void *context)
{
	transfer->rpc = rpc;
	transfer->find = find;
	transfer->context = context;
	g_queue_init(&transfer->fetches);
	rpc_set_handler(rpc, PEER_PART, on_piece_requested, transfer);
}

/* Stops answering peers and ends all fetches without a result. */
void object_transfer_finish(object_transfer_t *transfer)
{
	rpc_set_handler(transfer->rpc, PEER_PART, NULL, NULL);
	while (!g_queue_is_empty(&transfer->fetches))
		object_fetch_end(g_queue_peek_head(&transfer->fetches), false);
}
