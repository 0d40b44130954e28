/* ONC RPC over UDP between the serve processes of a deployment. A call and its
 * reply are one signed datagram each; a call is sent again until its reply or
 * its deadline.
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

/* Encode and decode a body of a type from peer.x. Both return false on failure.
 * rpc_free() frees what a decoded object owns; call it after a failed
 * rpc_decode() too.
 */
#define rpc_encode(type, object, buffer) \
	wire_encode_body((xdrproc_t)xdr_##type, (object), (buffer))
#define rpc_decode(type, body, object)           \
	(memset((object), 0, sizeof(*(object))), \
	 wire_decode_body((xdrproc_t)xdr_##type, (body), (object)))
#define rpc_free(type, object) xdr_free((xdrproc_t)xdr_##type, (char *)(object))

typedef struct rpc rpc_t;

/*
 * Takes the outcome of a call; called once for each call that is not cancelled.
 * If verdict.code is VERDICT_OK, the body is that of the peer's reply.
 * Otherwise the body is empty and verdict.run says whether the peer may have
 * executed the call. from is NULL if no reply came. The arguments are valid
 * during the callback only.
 */
typedef void (*rpc_reply_fn_t)(void *context, verdict_t verdict, str_t body,
			       const wire_sender_t *from);

/* A received call. It is valid during its handler only; a handler that replies
 * after it has returned keeps call_id.
 */
typedef struct {
	uint64_t call_id; /* for rpc_reply() and rpc_reply_error() */
	uint32_t procedure;
	const wire_sender_t *from;
	const char *address; /* IP:port that the call came from */
	str_t body;
} rpc_request_t;

/* Executes a received call. The reply may be sent from here or later. */
typedef void (*rpc_handler_fn_t)(void *context, const rpc_request_t *request);

/* Procedure numbers that can have a handler are below this. */
#define RPC_PROCEDURES 16

/* The handler of one procedure; fn is NULL if there is none. */
typedef struct {
	rpc_handler_fn_t fn;
	void *context;
} rpc_handler_t;

/* The RPC socket of a process, its calls in progress and its handlers. */
struct rpc {
	const settings_t *settings; /* borrowed */
	wire_keys_t keys;
	clock_source_t clock; /* for deadlines */
	hlc_t *hlc; /* borrowed */
	uint64_t incarnation;
	int64_t start_us; /* of the process, on clock */
	bool superseded; /* a newer process uses this VM's name */
	uint64_t last_sequence; /* sequence number of the last call sent */
	uint64_t call_id; /* unused */
	GSocket *socket;
	GSource *receive_source;
	alarm_t alarm; /* for the first of calls_by_due_time */
	char *address; /* IP:port of the bound socket */
	GHashTable *calls; /* xid to call, owned */
	GSequence *calls_by_due_time; /* the same calls, by due_us */
	replay_t replay;
	rpc_handler_t handlers[RPC_PROCEDURES];
};

bool rpc_init(rpc_t *rpc, const settings_t *settings, clock_source_t clock,
	      hlc_t *hlc, GError **error);
void rpc_finish(rpc_t *rpc);
/* rpc_call() is a function of libtirpc, so this has another name. */
uint32_t rpc_send(rpc_t *rpc, const char *address, uint32_t procedure,
		  str_t body, int64_t deadline_us, rpc_reply_fn_t callback,
		  void *context);
void rpc_cancel(rpc_t *rpc, uint32_t xid);
void rpc_set_handler(rpc_t *rpc, uint32_t procedure, rpc_handler_fn_t handler,
		     void *context);
void rpc_reply(rpc_t *rpc, uint64_t call_id, str_t body);
void rpc_reply_error(rpc_t *rpc, uint64_t call_id, wire_result_t result);
void rpc_set_incarnation(rpc_t *rpc, uint64_t incarnation);
str_t rpc_body(const wire_buffer_t *buffer);

#endif
