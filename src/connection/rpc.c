#include "connection/rpc_serve.h"

#include "connection/address.h"
#include "process/counters.h"
#include "process/log.h"

/* Wait for a reply before the first retransmission. A round trip between the
 * availability zones of a region takes at most 2 ms; the rest allows for a busy
 * main loop at the peer.
 */
#define RETRANSMIT_FIRST_US (60 * CLOCK_US_PER_MS)
#define RETRANSMIT_MAX_US (1 * CLOCK_US_PER_S)
/* Each wait is lengthened or shortened at random by up to this fraction, so
 * that calls that were lost together are not sent again together.
 */
#define RETRANSMIT_JITTER 0.25
/* Within this time after its start, a process is told by its peers if its
 * incarnation is lower than that of the process before it.
 */
#define RESTART_GRACE_US (60 * CLOCK_US_PER_S)
/* At most this many are received before other sources of the main loop run. */
#define RECEIVE_BATCH_DATAGRAMS 64

/* A call that this process made and that has not ended. */
typedef struct {
	rpc_t *rpc;
	uint32_t xid;
	char *address; /* of the peer, IP:port */
	GSocketAddress *destination; /* NULL: address is not valid */
	wire_buffer_t datagram; /* empty: the call could not be encoded */
	uint8_t mac[PEER_MAC_BYTES];
	int64_t deadline_us;
	int64_t due_us; /* time of the next transmission, or the deadline */
	int64_t wait_us; /* before the next retransmission, without jitter */
	bool sent;
	GSequenceIter *position; /* in rpc->calls_by_due_time */
	rpc_reply_fn_t callback;
	void *context;
} call_t;

/* Takes a call out of the order by due time and frees it. */
static void free_call(gpointer data)
{
	call_t *call = data;

	if (call->position)
		g_sequence_remove(call->position);
	g_clear_object(&call->destination);
	g_free(call->address);
	g_free(call);
}

/* Fills in this process as the sender of a message, with the current time. */
void rpc_fill_sender(rpc_t *rpc, wire_sender_t *sender)
{
	g_strlcpy(sender->vm, rpc->settings->vm, sizeof(sender->vm));
	sender->incarnation = rpc->incarnation;
	sender->time = hlc_now(rpc->hlc);
}

/* Sends a datagram. One that cannot be sent is treated as lost on the way. */
void rpc_send_datagram(rpc_t *rpc, GSocketAddress *destination,
		       const void *data, size_t len)
{
	if (g_socket_send_to(rpc->socket, destination, data, len, NULL, NULL) <
	    0)
		return;
	counters_add(COUNTER_RPC_SENT, 1);
	counters_add(COUNTER_RPC_SENT_BYTES, (int64_t)len);
}

/* Orders calls by due time. */
static gint compare_due(gconstpointer a, gconstpointer b, gpointer data)
{
	const call_t *one = a;
	const call_t *other = b;

	return (one->due_us > other->due_us) - (one->due_us < other->due_us);
}

/* Sets the alarm to the earliest due time, or clears it if none is left. */
static void set_alarm(rpc_t *rpc)
{
	GSequenceIter *first =
		g_sequence_get_begin_iter(rpc->calls_by_due_time);
	const call_t *call;

	if (g_sequence_iter_is_end(first)) {
		alarm_set(&rpc->alarm, -1);
		return;
	}
	call = g_sequence_get(first);
	alarm_set(&rpc->alarm, call->due_us);
}

/* Ends a call: frees it, then calls its callback. */
static void end_call(rpc_t *rpc, call_t *call, verdict_t verdict, str_t body,
		     const wire_sender_t *from)
{
	rpc_reply_fn_t callback = call->callback;
	void *context = call->context;

	g_hash_table_remove(rpc->calls, &call->xid);
	callback(context, verdict, body, from);
}

/* Ends a call whose deadline has passed or that could not be encoded. */
static void expire_call(rpc_t *rpc, call_t *call)
{
	verdict_t verdict;

	if (call->datagram.len == 0) {
		verdict = verdict_make(RUN_NOT_RUN, VERDICT_INTERNAL,
				       "RPC call could not be encoded");
	} else if (!call->sent) {
		verdict = verdict_make(RUN_NOT_RUN, VERDICT_BACKEND_TIMEOUT,
				       "RPC deadline passed before sending");
	} else {
		counters_add(COUNTER_RPC_TIMEOUTS, 1);
		verdict = verdict_make(RUN_MAY_HAVE_RUN,
				       VERDICT_BACKEND_TIMEOUT,
				       "no RPC answer in time");
	}
	end_call(rpc, call, verdict, (str_t){NULL, 0}, NULL);
}

/* Sends a call, or sends it again, and sets its next due time. */
static void transmit_call(rpc_t *rpc, call_t *call, int64_t now_us)
{
	double spread = g_random_double_range(1 - RETRANSMIT_JITTER,
					      1 + RETRANSMIT_JITTER);
	int64_t next_us = now_us + (int64_t)((double)call->wait_us * spread);

	rpc_send_datagram(rpc, call->destination, call->datagram.data,
			  call->datagram.len);
	call->sent = true;
	call->wait_us = MIN(call->wait_us * 2, RETRANSMIT_MAX_US);
	call->due_us = MIN(next_us, call->deadline_us);
}

/* Sends again, or ends, each call that is due. */
static void run_due_calls(void *context)
{
	rpc_t *rpc = context;
	int64_t now_us = clock_now(&rpc->clock);
	GSequenceIter *first =
		g_sequence_get_begin_iter(rpc->calls_by_due_time);

	while (!g_sequence_iter_is_end(first)) {
		call_t *call = g_sequence_get(first);

		if (call->due_us > now_us)
			break;
		if (now_us >= call->deadline_us) {
			expire_call(rpc, call);
		} else {
			transmit_call(rpc, call, now_us);
			g_sequence_sort_changed(call->position, compare_due,
						NULL);
		}
		first = g_sequence_get_begin_iter(rpc->calls_by_due_time);
	}
	set_alarm(rpc);
}

/* Counts and logs a datagram that was not accepted. */
void rpc_count_dropped(wire_status_t status, const char *address)
{
	switch (status) {
	case WIRE_MALFORMED:
		counters_add(COUNTER_RPC_MALFORMED, 1);
		break;
	case WIRE_OTHER_DEPLOYMENT:
	case WIRE_BAD_MAC:
		counters_add(COUNTER_RPC_BAD_MAC, 1);
		break;
	case WIRE_OK:
		return;
	}
	log_event(LOG_DEBUG, "rpc_dropped", LOG_CSTR("address", address),
		  LOG_INT("status", status));
}

/*
 * Handles a reply that says that the peer knows a higher incarnation of this
 * VM, and ends the call. Shortly after the start, that incarnation is one that
 * this VM used before a restart during which its clock went back; a higher one
 * is used from then on. Later, it is that of a newer process, as when a VM was
 * suspended, replaced and resumed.
 */
static void handle_stale_reply(rpc_t *rpc, call_t *call,
			       const wire_reply_t *reply)
{
	uint64_t incarnation;

	if (clock_now(&rpc->clock) - rpc->start_us > RESTART_GRACE_US) {
		rpc->superseded = true;
	} else if (reply->body.len == sizeof(incarnation)) {
		memcpy(&incarnation, reply->body.data, sizeof(incarnation));
		rpc_set_incarnation(rpc, GUINT64_FROM_BE(incarnation) + 1);
	}
	end_call(rpc, call,
		 verdict_make(RUN_NOT_RUN, VERDICT_UNAVAILABLE,
			      "RPC incarnation is stale"),
		 (str_t){NULL, 0}, &reply->sender);
}

/* Verifies a reply and ends its call with the verdict that follows from it. */
static void receive_reply(rpc_t *rpc, const char *address, str_t datagram,
			  uint32_t xid)
{
	call_t *call = g_hash_table_lookup(rpc->calls, &xid);
	wire_reply_t reply;
	wire_status_t status;

	/* A late or repeated reply to a call that has ended is normal. */
	if (!call)
		return;
	/* The MAC binds a reply to its call, so the address that it came from
	 * need not be checked.
	 */
	status = wire_decode_reply(&rpc->keys, call->mac, datagram, &reply);
	if (status != WIRE_OK) {
		rpc_count_dropped(status, address);
		return;
	}
	hlc_receive(rpc->hlc, reply.sender.time);
	if (reply.result == WIRE_SUCCESS)
		end_call(rpc, call, verdict_make(RUN_RAN, VERDICT_OK, NULL),
			 reply.body, &reply.sender);
	else if (reply.result == WIRE_STALE)
		handle_stale_reply(rpc, call, &reply);
	else if (reply.result == WIRE_INTERNAL)
		end_call(rpc, call,
			 verdict_make(RUN_MAY_HAVE_RUN, VERDICT_BACKEND_FAILED,
				      "RPC peer failed"),
			 (str_t){NULL, 0}, &reply.sender);
	else
		end_call(rpc, call,
			 verdict_make(RUN_NOT_RUN, VERDICT_UNAVAILABLE,
				      "RPC peer refused the call"),
			 (str_t){NULL, 0}, &reply.sender);
}

/* Counts a received datagram and handles it as a reply or a call. */
static void receive_datagram(rpc_t *rpc, const char *address, str_t datagram)
{
	uint32_t xid;

	counters_add(COUNTER_RPC_RECEIVED, 1);
	counters_add(COUNTER_RPC_RECEIVED_BYTES, (int64_t)datagram.len);
	if (datagram.len > PEER_DATAGRAM_MAX)
		rpc_count_dropped(WIRE_MALFORMED, address);
	else if (wire_is_reply(datagram, &xid))
		receive_reply(rpc, address, datagram, xid);
	else
		rpc_receive_call(rpc, address, datagram);
}

/* Receives the datagrams that wait at the socket, up to a batch. */
static gboolean on_readable(GSocket *socket, GIOCondition condition,
			    gpointer data)
{
	rpc_t *rpc = data;
	/* Larger than allowed, so that a datagram that is too long shows. */
	char buffer[PEER_DATAGRAM_MAX + 4] __attribute__((aligned(4)));

	for (int i = 0; i < RECEIVE_BATCH_DATAGRAMS; i++) {
		GSocketAddress *source = NULL;
		gssize len = g_socket_receive_from(socket, &source, buffer,
						   sizeof(buffer), NULL, NULL);
		char *address;

		if (len < 0 || !source) {
			g_clear_object(&source);
			break;
		}
		address = address_format(source);
		receive_datagram(rpc, address, (str_t){buffer, (size_t)len});
		g_free(address);
		g_object_unref(source);
	}
	return G_SOURCE_CONTINUE;
}

/* Binds the socket to an IP:port and stores the bound address, which differs if
 * the port is 0. Returns false and sets error on failure.
 */
static bool open_socket(rpc_t *rpc, const char *text, GError **error)
{
	GSocketAddress *address = address_parse(text);
	GSocketAddress *bound = NULL;
	bool ok = false;

	if (!address) {
		g_set_error(error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT,
			    "not an IP:port: %s", text);
		return false;
	}
	rpc->socket = g_socket_new(g_socket_address_get_family(address),
				   G_SOCKET_TYPE_DATAGRAM,
				   G_SOCKET_PROTOCOL_UDP, error);
	if (!rpc->socket)
		goto out;
	g_socket_set_blocking(rpc->socket, FALSE);
	if (!g_socket_bind(rpc->socket, address, FALSE, error))
		goto out;
	bound = g_socket_get_local_address(rpc->socket, error);
	if (!bound)
		goto out;
	rpc->address = address_format(bound);
	ok = true;
out:
	g_clear_object(&bound);
	g_clear_object(&address);
	return ok;
}

/*
 * Opens the socket at settings->rpc_address and receives in the thread-default
 * main context. The settings and the hybrid logical clock (HLC) are borrowed;
 * clock measures deadlines. The address must be the one that peers send to,
 * because they sign it with each call; a port of 0 is replaced by the bound
 * one. The incarnation is the HLC time of the start. Returns false and sets
 * error on failure; rpc_finish() must be called even then.
 */
bool rpc_init(rpc_t *rpc, const settings_t *settings, clock_source_t clock,
	      hlc_t *hlc, GError **error)
{
	GMainContext *context = g_main_context_get_thread_default();

	memset(rpc, 0, sizeof(*rpc));
	rpc->settings = settings;
	rpc->keys = (wire_keys_t){settings->deployment, settings->keys};
	rpc->clock = clock;
	rpc->hlc = hlc;
	rpc->incarnation = hlc_now(hlc);
	rpc->start_us = clock_now(&clock);
	replay_init(&rpc->replay);
	rpc->calls_by_due_time = g_sequence_new(NULL);
	rpc->calls =
		g_hash_table_new_full(g_int_hash, g_int_equal, NULL, free_call);
	if (!open_socket(rpc, settings->rpc_address, error))
		return false;
	rpc->receive_source =
		g_socket_create_source(rpc->socket, G_IO_IN, NULL);
	g_source_set_callback(rpc->receive_source, G_SOURCE_FUNC(on_readable),
			      rpc, NULL);
	g_source_attach(rpc->receive_source, context);
	alarm_init(&rpc->alarm, clock, run_due_calls, rpc);
	return true;
}

/*
 * Closes the socket and frees all calls without calling their callbacks. Must
 * not be called from a callback or handler.
 */
void rpc_finish(rpc_t *rpc)
{
	if (rpc->receive_source)
		g_source_destroy(rpc->receive_source);
	g_clear_pointer(&rpc->receive_source, g_source_unref);
	alarm_finish(&rpc->alarm);
	g_clear_pointer(&rpc->calls, g_hash_table_unref);
	g_clear_pointer(&rpc->calls_by_due_time, g_sequence_free);
	replay_finish(&rpc->replay);
	g_clear_object(&rpc->socket);
	g_clear_pointer(&rpc->address, g_free);
}

/* Takes the next sequence number, and returns its low 32 bits as xid. Numbers
 * whose xid is 0 or in use by a call in progress are skipped.
 */
static uint32_t next_xid(rpc_t *rpc)
{
	uint32_t xid;

	do {
		xid = (uint32_t)++rpc->last_sequence;
	} while (xid == 0 || g_hash_table_contains(rpc->calls, &xid));
	return xid;
}

/* Encodes and signs a call. Leaves its datagram empty on failure. */
static void encode_call(rpc_t *rpc, call_t *call, uint32_t procedure,
			str_t body)
{
	wire_call_t message = {
		.xid = call->xid,
		.procedure = procedure,
		.sequence = rpc->last_sequence,
		.body = body,
	};

	rpc_fill_sender(rpc, &message.sender);
	if (!call->destination || !wire_encode_call(&rpc->keys, call->address,
						    &message, &call->datagram))
		call->datagram.len = 0;
	memcpy(call->mac, message.mac, sizeof(call->mac));
}

/*
 * Sends a call to a peer (IP:port), and again after growing waits until the
 * reply or the deadline (microseconds on the clock given to rpc_init()). The
 * callback is called once unless the call is cancelled, and never from within
 * this function; it also gets a failure to encode the call. Returns the call's
 * xid for rpc_cancel().
 */
uint32_t rpc_send(rpc_t *rpc, const char *address, uint32_t procedure,
		  str_t body, int64_t deadline_us, rpc_reply_fn_t callback,
		  void *context)
{
	int64_t now_us = clock_now(&rpc->clock);
	call_t *call = g_new0(call_t, 1);

	call->rpc = rpc;
	call->xid = next_xid(rpc);
	call->address = g_strdup(address);
	call->destination = address_parse(address);
	call->deadline_us = deadline_us;
	call->wait_us = RETRANSMIT_FIRST_US;
	call->callback = callback;
	call->context = context;
	encode_call(rpc, call, procedure, body);
	if (call->datagram.len == 0)
		call->deadline_us = now_us;
	if (now_us < call->deadline_us)
		transmit_call(rpc, call, now_us);
	else
		call->due_us = now_us;
	call->position = g_sequence_insert_sorted(rpc->calls_by_due_time, call,
						  compare_due, NULL);
	g_hash_table_insert(rpc->calls, &call->xid, call);
	set_alarm(rpc);
	return call->xid;
}

/* Ends a call without calling its callback; the peer may still execute it. Does
 * nothing if the call has ended.
 */
void rpc_cancel(rpc_t *rpc, uint32_t xid)
{
	g_hash_table_remove(rpc->calls, &xid);
}

/* Raises the incarnation that calls and replies carry; it is never lowered. */
void rpc_set_incarnation(rpc_t *rpc, uint64_t incarnation)
{
	rpc->incarnation = MAX(rpc->incarnation, incarnation);
}

/* Returns the bytes of an encoded body, borrowed from the buffer. */
str_t rpc_body(const wire_buffer_t *buffer)
{
	return (str_t){(const char *)buffer->data, buffer->len};
}
