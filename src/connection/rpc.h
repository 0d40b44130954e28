/* ONC RPC over UDP between serve processes: one call for each datagram, signed
 * calls and replies, retransmission until a deadline.
 */
#ifndef CONNECTION_RPC_H
#define CONNECTION_RPC_H

#include <gio/gio.h>
#include <stdint.h>

#include "connection/peer.h"
#include "connection/replay.h"
#include "connection/wire.h"
#include "process/alarm.h"
#include "process/clock.h"
#include "process/settings.h"
#include "request/verdict.h"

/* Encodes and decodes a body with a function of peer_xdr.c. A decoded object
 * is released with rpc_free(), also after a failed rpc_decode().
 */
#define rpc_encode(type, object, buffer) \
	wire_encode_body((xdrproc_t)xdr_##type, (object), (buffer))
#define rpc_decode(type, body, object)           \
	(memset((object), 0, sizeof(*(object))), \
	 wire_decode_body((xdrproc_t)xdr_##type, (body), (object)))
#define rpc_free(type, object) xdr_free((xdrproc_t)xdr_##type, (char *)(object))

typedef struct rpc rpc_t;

/*
 * Called once for each call. The code is VERDICT_OK when the body is the
 * peer's answer. Otherwise the body is empty and verdict.run says whether the
 * peer may have executed the call. The arguments are valid during the
 * callback only.
 */
typedef void (*rpc_reply_fn_t)(void *context, verdict_t verdict, str_t body,
			       const wire_sender_t *from);

/* A received call. It is valid during the handler only; a handler that answers
 * later keeps the call_id.
 */
typedef struct {
	uint64_t call_id; /* for rpc_reply() and rpc_reply_error() */
	uint32_t procedure;
	const wire_sender_t *from;
	const char *address; /* IP:port that the call came from */
	str_t body;
} rpc_request_t;

typedef void (*rpc_handler_fn_t)(void *context, const rpc_request_t *request);

#define RPC_PROCEDURES 16

typedef struct {
	rpc_handler_fn_t fn;
	void *context;
} rpc_handler_t;

struct rpc {
	const settings_t *settings; /* borrowed */
	wire_keys_t keys;
	clock_source_t clock; /* for deadlines */
	hlc_t *hlc; /* borrowed */
	uint64_t incarnation;
	int64_t start_us;
	bool superseded; /* a newer process has this VM's name */
	uint64_t sequence;
	uint64_t call_id;
	GSocket *socket;
	GSource *receive_source;
	alarm_t alarm; /* for the first call in due */
	char *address; /* IP:port of the bound socket */
	GHashTable *calls; /* xid to call, owned */
	GSequence *due; /* calls by the time of their next step */
	replay_t replay;
	rpc_handler_t handlers[RPC_PROCEDURES];
};

bool rpc_init(rpc_t *rpc, const settings_t *settings, clock_source_t clock,
	      hlc_t *hlc, GError **error);
void rpc_finish(rpc_t *rpc);
/* Not named rpc_call, which is a function of libtirpc. */
uint32_t rpc_send(rpc_t *rpc, const char *address, uint32_t procedure,
		  str_t body, int64_t deadline_us, rpc_reply_fn_t callback,
		  void *context);
void rpc_cancel(rpc_t *rpc, uint32_t call);
void rpc_set_handler(rpc_t *rpc, uint32_t procedure, rpc_handler_fn_t handler,
		     void *context);
void rpc_reply(rpc_t *rpc, uint64_t call_id, str_t body);
void rpc_reply_error(rpc_t *rpc, uint64_t call_id, wire_result_t result);
void rpc_set_incarnation(rpc_t *rpc, uint64_t incarnation);
str_t rpc_body(const wire_buffer_t *buffer);

#endif
