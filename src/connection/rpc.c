#include "connection/rpc_serve.h"

#include "connection/address.h"
#include "process/counters.h"
#include "process/log.h"

/* First wait for an answer. Zones of one region are within 2 ms both ways; the
 * rest allows for a busy main loop at the peer.
 */
#define RETRANSMIT_FIRST_US (60 * CLOCK_US_PER_MS)
#define RETRANSMIT_MAX_US (1 * CLOCK_US_PER_S)
/* Waits are spread by this part in both directions, so that calls that were
 * lost together are not sent again together.
 */
#define RETRANSMIT_JITTER 0.25
/* A restarted process hears its peers' refusals within this time. */
#define RESTART_US (60 * CLOCK_US_PER_S)
/* Datagrams received before other sources of the main loop get a turn. */
#define RECEIVE_BATCH 64

typedef struct {
	rpc_t *rpc;
	uint32_t xid;
	char *address;
	GSocketAddress *destination;
	wire_buffer_t datagram; /* empty: could not be encoded */
	uint8_t mac[PEER_MAC_BYTES];
	int64_t deadline_us;
	int64_t due_us; /* next transmission or the deadline */
	int64_t wait_us; /* until the next retransmission */
	bool sent;
	GSequenceIter *position; /* in rpc->due */
	rpc_reply_fn_t callback;
	void *context;
} call_t;

static void free_call(gpointer data)
{
	call_t *call = data;

	if (call->position)
		g_sequence_remove(call->position);
	g_clear_object(&call->destination);
	g_free(call->address);
	g_free(call);
}

/* Fills in the own side of a message. */
void rpc_fill_sender(rpc_t *rpc, wire_sender_t *sender)
{
	g_strlcpy(sender->vm, rpc->settings->vm, sizeof(sender->vm));
	sender->incarnation = rpc->incarnation;
	sender->time = hlc_now(rpc->hlc);
}

/* Sends a datagram. One that cannot be sent counts as lost in the network. */
void rpc_send_datagram(rpc_t *rpc, GSocketAddress *destination,
		       const void *data, size_t len)
{
	if (g_socket_send_to(rpc->socket, destination, data, len, NULL, NULL) <
	    0)
		return;
	counters_add(COUNTER_RPC_SENT, 1);
	counters_add(COUNTER_RPC_SENT_BYTES, (int64_t)len);
}

static gint compare_due(gconstpointer a, gconstpointer b, gpointer data)
{
	const call_t *one = a;
	const call_t *other = b;

	return (one->due_us > other->due_us) - (one->due_us < other->due_us);
}

/* Sets the alarm for the first call that is due. */
static void arm_alarm(rpc_t *rpc)
{
	GSequenceIter *first = g_sequence_get_begin_iter(rpc->due);
	const call_t *call;

	if (g_sequence_iter_is_end(first)) {
		alarm_set(&rpc->alarm, -1);
		return;
	}
	call = g_sequence_get(first);
	alarm_set(&rpc->alarm, call->due_us);
}

/* Ends a call: takes it out of the tables, then tells the caller. */
static void end_call(rpc_t *rpc, call_t *call, verdict_t verdict, str_t body,
		     const wire_sender_t *from)
{
	rpc_reply_fn_t callback = call->callback;
	void *context = call->context;

	g_hash_table_remove(rpc->calls, &call->xid);
	callback(context, verdict, body, from);
}

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

/* Sends a call (again) and plans its next step. */
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

static void run_due(void *context)
{
	rpc_t *rpc = context;
	int64_t now_us = clock_now(&rpc->clock);
	GSequenceIter *first = g_sequence_get_begin_iter(rpc->due);

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
		first = g_sequence_get_begin_iter(rpc->due);
	}
	arm_alarm(rpc);
}

/* Counts a datagram that is not accepted. */
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
 * The peer has heard a higher incarnation of this VM. Shortly after the start
 * it comes from before a restart with a clock that went back, and later calls
 * go above it. Later on it belongs to a newer process, as when a suspended VM
 * that was replaced returns.
 */
static void hear_stale(rpc_t *rpc, call_t *call, const wire_reply_t *reply)
{
	uint64_t incarnation;

	if (clock_now(&rpc->clock) - rpc->start_us > RESTART_US) {
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

static void receive_reply(rpc_t *rpc, const char *address, str_t datagram,
			  uint32_t xid)
{
	call_t *call = g_hash_table_lookup(rpc->calls, &xid);
	wire_reply_t reply;
	wire_status_t status;

	/* A late or repeated answer to a call that has ended is normal. */
	if (!call)
		return;
	/* An answer is bound to its call by the MAC, not by the address it
	 * comes from.
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
		hear_stale(rpc, call, &reply);
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

static gboolean receive(GSocket *socket, GIOCondition condition, gpointer data)
{
	rpc_t *rpc = data;
	/* One byte more than allowed shows that a datagram is too long. */
	char buffer[PEER_DATAGRAM_MAX + 4] __attribute__((aligned(4)));

	for (int i = 0; i < RECEIVE_BATCH; i++) {
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

/* Binds the socket and stores its address, whose port may have been 0. */
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
 * main context. The settings and the HLC are borrowed. The address must be the
 * one that peers use, because it is part of what they sign; a port of 0 is
 * replaced by the bound one. The incarnation is the HLC time of the start. On
 * failure rpc_finish() must still be called.
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
	rpc->due = g_sequence_new(NULL);
	rpc->calls =
		g_hash_table_new_full(g_int_hash, g_int_equal, NULL, free_call);
	if (!open_socket(rpc, settings->rpc_address, error))
		return false;
	rpc->receive_source =
		g_socket_create_source(rpc->socket, G_IO_IN, NULL);
	g_source_set_callback(rpc->receive_source, G_SOURCE_FUNC(receive), rpc,
			      NULL);
	g_source_attach(rpc->receive_source, context);
	alarm_init(&rpc->alarm, clock, run_due, rpc);
	return true;
}

/*
 * Closes the socket. Callbacks of calls that have not ended are not called.
 * Must not be called from a callback or handler.
 */
void rpc_finish(rpc_t *rpc)
{
	if (rpc->receive_source)
		g_source_destroy(rpc->receive_source);
	g_clear_pointer(&rpc->receive_source, g_source_unref);
	alarm_finish(&rpc->alarm);
	g_clear_pointer(&rpc->calls, g_hash_table_unref);
	g_clear_pointer(&rpc->due, g_sequence_free);
	replay_finish(&rpc->replay);
	g_clear_object(&rpc->socket);
	g_clear_pointer(&rpc->address, g_free);
}

/* Numbers a call; returns an xid that no call in progress has. */
static uint32_t next_xid(rpc_t *rpc)
{
	uint32_t xid;

	do {
		xid = (uint32_t)++rpc->sequence;
	} while (xid == 0 || g_hash_table_contains(rpc->calls, &xid));
	return xid;
}

static void encode_call(rpc_t *rpc, call_t *call, uint32_t procedure,
			str_t body)
{
	wire_call_t message = {
		.xid = call->xid,
		.procedure = procedure,
		.sequence = rpc->sequence,
		.body = body,
	};

	rpc_fill_sender(rpc, &message.sender);
	if (!call->destination || !wire_encode_call(&rpc->keys, call->address,
						    &message, &call->datagram))
		call->datagram.len = 0;
	memcpy(call->mac, message.mac, sizeof(call->mac));
}

/*
 * Sends a call to a peer (IP:port) and repeats it with growing waits until the
 * answer or the deadline (microseconds on the clock given to rpc_init()). The
 * callback is called exactly once, never from within this function. Returns
 * the call's number for rpc_cancel().
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
	call->position =
		g_sequence_insert_sorted(rpc->due, call, compare_due, NULL);
	g_hash_table_insert(rpc->calls, &call->xid, call);
	arm_alarm(rpc);
	return call->xid;
}

/* Ends a call without calling its callback; the peer may still execute it. */
void rpc_cancel(rpc_t *rpc, uint32_t call)
{
	g_hash_table_remove(rpc->calls, &call);
}

/* Raises the incarnation that calls and answers carry; it is never lowered. */
void rpc_set_incarnation(rpc_t *rpc, uint64_t incarnation)
{
	rpc->incarnation = MAX(rpc->incarnation, incarnation);
}

/* Returns the bytes of an encoded body. */
str_t rpc_body(const wire_buffer_t *buffer)
{
	return (str_t){(const char *)buffer->data, buffer->len};
}
