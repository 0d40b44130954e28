/* Passes the calls of other routers to the ledger owner. */
#include "process/owner.h"

static ledger_vm_t sender_of(const rpc_request_t *request)
{
	return (ledger_vm_t){
		.name = str_from(request->from->vm),
		.incarnation = request->from->incarnation,
	};
}

/* Defines a handler that decodes the arguments, calls owner_NAME() and answers.
 */
#define OWNER_HANDLER(name)                                                   \
	static void on_##name(void *context, const rpc_request_t *request)    \
	{                                                                     \
		owner_t *owner = context;                                     \
		peer_##name call;                                             \
		peer_##name##_result result;                                  \
		wire_buffer_t body;                                           \
                                                                              \
		if (!rpc_decode(peer_##name, request->body, &call)) {         \
			rpc_reply_error(owner->rpc, request->call_id,         \
					WIRE_BAD_ARGUMENTS);                  \
		} else {                                                      \
			owner_##name(owner, sender_of(request), &call,        \
				     &result);                                \
			if (rpc_encode(peer_##name##_result, &result, &body)) \
				rpc_reply(owner->rpc, request->call_id,       \
					  rpc_body(&body));                   \
		}                                                             \
		rpc_free(peer_##name, &call);                                 \
	}

OWNER_HANDLER(renew)
OWNER_HANDLER(release)

/* A PEER_RESERVE call that has not been answered. */
typedef struct {
	owner_t *owner;
	uint64_t call_id; /* of the call, for rpc_reply() */
} reserve_call_t;

/* Answers the call and frees the context; a withdrawn call gets no answer. */
static void answer_reserve(void *context, const peer_reserve_result *result)
{
	reserve_call_t *pending = context;
	/* The encoder of XDR takes no pointer to const. */
	peer_reserve_result *copy = (peer_reserve_result *)result;
	wire_buffer_t body;

	if (copy && rpc_encode(peer_reserve_result, copy, &body))
		rpc_reply(pending->owner->rpc, pending->call_id,
			  rpc_body(&body));
	g_free(pending);
}

static void on_reserve(void *context, const rpc_request_t *request)
{
	owner_t *owner = context;
	reserve_call_t *pending;
	peer_reserve call;

	if (!rpc_decode(peer_reserve, request->body, &call)) {
		rpc_reply_error(owner->rpc, request->call_id,
				WIRE_BAD_ARGUMENTS);
	} else {
		pending = g_new0(reserve_call_t, 1);
		pending->owner = owner;
		pending->call_id = request->call_id;
		owner_reserve(owner, sender_of(request), &call, answer_reserve,
			      pending);
	}
	rpc_free(peer_reserve, &call);
}

/* Starts to handle calls of other routers. */
void owner_listen(owner_t *owner)
{
	rpc_set_handler(owner->rpc, PEER_RESERVE, on_reserve, owner);
	rpc_set_handler(owner->rpc, PEER_RENEW, on_renew, owner);
	rpc_set_handler(owner->rpc, PEER_RELEASE, on_release, owner);
}

/* Stops handling calls of other routers. */
void owner_unlisten(owner_t *owner)
{
	rpc_set_handler(owner->rpc, PEER_RESERVE, NULL, NULL);
	rpc_set_handler(owner->rpc, PEER_RENEW, NULL, NULL);
	rpc_set_handler(owner->rpc, PEER_RELEASE, NULL, NULL);
}
