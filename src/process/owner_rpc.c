/* Calls of other routers to the ledger owner. */
#include "process/owner.h"

static ledger_vm_t sender_of(const rpc_request_t *request)
{
	return (ledger_vm_t){
		.name = str_from(request->from->vm),
		.incarnation = request->from->incarnation,
	};
}

/* Each handler decodes the arguments, calls the function and answers. */
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

typedef struct {
	owner_t *owner;
	uint64_t call_id;
} rpc_waiter_t;

static void answer_rpc(void *context, const peer_reserve_result *result)
{
	rpc_waiter_t *waiter = context;
	/* The encoder of XDR takes no pointer to const. */
	peer_reserve_result *copy = (peer_reserve_result *)result;
	wire_buffer_t body;

	if (copy && rpc_encode(peer_reserve_result, copy, &body))
		rpc_reply(waiter->owner->rpc, waiter->call_id, rpc_body(&body));
	g_free(waiter);
}

static void on_reserve(void *context, const rpc_request_t *request)
{
	owner_t *owner = context;
	rpc_waiter_t *waiter;
	peer_reserve call;

	if (!rpc_decode(peer_reserve, request->body, &call)) {
		rpc_reply_error(owner->rpc, request->call_id,
				WIRE_BAD_ARGUMENTS);
	} else {
		waiter = g_new0(rpc_waiter_t, 1);
		waiter->owner = owner;
		waiter->call_id = request->call_id;
		owner_reserve(owner, sender_of(request), &call, answer_rpc,
			      waiter);
	}
	rpc_free(peer_reserve, &call);
}

/* Starts to answer other routers. */
void owner_listen(owner_t *owner)
{
	rpc_set_handler(owner->rpc, PEER_RESERVE, on_reserve, owner);
	rpc_set_handler(owner->rpc, PEER_RENEW, on_renew, owner);
	rpc_set_handler(owner->rpc, PEER_RELEASE, on_release, owner);
}

/* Stops answering. */
void owner_unlisten(owner_t *owner)
{
	rpc_set_handler(owner->rpc, PEER_RESERVE, NULL, NULL);
	rpc_set_handler(owner->rpc, PEER_RENEW, NULL, NULL);
	rpc_set_handler(owner->rpc, PEER_RELEASE, NULL, NULL);
}
