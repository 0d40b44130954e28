#include "connection/rpc_serve.h"

#include "connection/address.h"
#include "process/counters.h"
#include "process/log.h"

/* Sets the handler of a procedure; NULL removes it. */
void rpc_set_handler(rpc_t *rpc, uint32_t procedure, rpc_handler_fn_t handler,
		     void *context)
{
	g_return_if_fail(procedure < RPC_PROCEDURES);
	rpc->handlers[procedure] = (rpc_handler_t){handler, context};
}

static void send_answer(rpc_t *rpc, const replay_entry_t *entry)
{
	GSocketAddress *destination = address_parse(entry->address);
	gsize len;
	const void *data = g_bytes_get_data(entry->answer, &len);

	if (destination)
		rpc_send_datagram(rpc, destination, data, len);
	g_clear_object(&destination);
}

static void finish_request(rpc_t *rpc, uint64_t call_id, wire_result_t result,
			   str_t body)
{
	replay_entry_t *entry = replay_find(&rpc->replay, call_id);
	wire_reply_t reply = {.result = result, .body = body};
	wire_buffer_t datagram;

	/* Only the first answer counts. */
	if (!entry || entry->answered)
		return;
	entry->answered = true;
	reply.xid = entry->xid;
	rpc_fill_sender(rpc, &reply.sender);
	if (!wire_encode_reply(&rpc->keys, entry->call_mac, &reply, &datagram))
		return;
	entry->answer = g_bytes_new(datagram.data, datagram.len);
	send_answer(rpc, entry);
}

/*
 * Answers a received call, in its handler or later. Nothing is sent when the
 * call has been answered or has left the cache; the caller then repeats or
 * gives up.
 */
void rpc_reply(rpc_t *rpc, uint64_t call_id, str_t body)
{
	finish_request(rpc, call_id, WIRE_SUCCESS, body);
}

/* Answers a received call with an error and no body. */
void rpc_reply_error(rpc_t *rpc, uint64_t call_id, wire_result_t result)
{
	finish_request(rpc, call_id, result, (str_t){NULL, 0});
}

static void run_handler(rpc_t *rpc, const wire_call_t *call,
			const replay_entry_t *entry)
{
	rpc_request_t request = {
		.call_id = entry->call_id,
		.procedure = call->procedure,
		.from = &call->sender,
		.address = entry->address,
		.body = call->body,
	};
	const rpc_handler_t *handler = call->procedure < RPC_PROCEDURES
					       ? &rpc->handlers[call->procedure]
					       : NULL;

	if (handler && handler->fn)
		handler->fn(handler->context, &request);
	else
		rpc_reply_error(rpc, entry->call_id, WIRE_NO_PROCEDURE);
}

/* Tells a sender which incarnation it has to exceed. */
static void send_stale(rpc_t *rpc, const char *address, const wire_call_t *call)
{
	uint64_t incarnation = GUINT64_TO_BE(
		replay_incarnation(&rpc->replay, call->sender.vm));
	wire_reply_t reply = {.xid = call->xid, .result = WIRE_STALE};
	GSocketAddress *destination = address_parse(address);
	wire_buffer_t datagram;

	reply.body = (str_t){(const char *)&incarnation, sizeof(incarnation)};
	rpc_fill_sender(rpc, &reply.sender);
	if (destination &&
	    wire_encode_reply(&rpc->keys, call->mac, &reply, &datagram))
		rpc_send_datagram(rpc, destination, datagram.data,
				  datagram.len);
	g_clear_object(&destination);
}

/* Checks a received call and runs its handler, or answers it again. */
void rpc_receive_call(rpc_t *rpc, const char *address, str_t datagram)
{
	wire_call_t call;
	replay_entry_t *entry;
	wire_status_t status =
		wire_decode_call(&rpc->keys, rpc->address, datagram, &call);

	if (status != WIRE_OK) {
		rpc_count_dropped(status, address);
		return;
	}
	switch (replay_check(&rpc->replay, &call, address, hlc_now(rpc->hlc),
			     &entry)) {
	case REPLAY_NEW:
		hlc_receive(rpc->hlc, call.sender.time);
		run_handler(rpc, &call, entry);
		break;
	case REPLAY_ANSWERED:
		send_answer(rpc, entry);
		break;
	case REPLAY_IN_PROGRESS:
		break;
	case REPLAY_STALE:
		send_stale(rpc, address, &call);
		counters_add(COUNTER_RPC_REPLAYED, 1);
		break;
	case REPLAY_REFUSED:
		counters_add(COUNTER_RPC_REPLAYED, 1);
		log_event(LOG_DEBUG, "rpc_replayed",
			  LOG_CSTR("address", address),
			  LOG_CSTR("from", call.sender.vm));
		break;
	}
}
