/* Datagrams of the RPC between serve processes: encoding, signing and
 * checking. Contains no sockets and reads no clock.
 */
#ifndef CONNECTION_WIRE_H
#define CONNECTION_WIRE_H

#include <stdint.h>

#include "connection/peer.h"
#include "process/settings.h"
#include "process/str.h"

typedef enum {
	WIRE_OK,
	WIRE_MALFORMED, /* does not decode, or another program or version */
	WIRE_OTHER_DEPLOYMENT, /* from another deployment */
	WIRE_BAD_MAC, /* unknown key, or wrongly signed */
} wire_status_t;

/* Result codes of a reply; the numbers are those of ONC RPC (RFC 5531). */
typedef enum {
	WIRE_SUCCESS = 0,
	WIRE_NO_PROCEDURE = 3,
	WIRE_BAD_ARGUMENTS = 4,
	WIRE_INTERNAL = 5,
	WIRE_STALE = 64, /* own number: a higher incarnation is known */
} wire_result_t;

/* An encoded body or datagram. */
typedef struct {
	uint8_t data[PEER_DATAGRAM_MAX] __attribute__((aligned(4)));
	size_t len;
} wire_buffer_t;

/* Deployment and keys; borrowed from the settings. */
typedef struct {
	const char *deployment;
	const GArray *keys; /* of settings_rpc_key_t; the first signs */
} wire_keys_t;

/* Who sent a message, and when. */
typedef struct {
	char vm[PEER_NAME_MAX + 1];
	uint64_t incarnation;
	uint64_t time; /* hybrid logical clock */
} wire_sender_t;

typedef struct {
	uint32_t xid;
	uint32_t procedure;
	uint64_t sequence;
	wire_sender_t sender;
	uint8_t mac[PEER_MAC_BYTES];
	str_t body; /* borrows from the datagram */
} wire_call_t;

typedef struct {
	uint32_t xid;
	wire_result_t result;
	wire_sender_t sender;
	str_t body; /* borrows from the datagram */
} wire_reply_t;

bool wire_encode_body(xdrproc_t proc, const void *object, wire_buffer_t *body);
bool wire_decode_body(xdrproc_t proc, str_t body, void *object);

bool wire_encode_call(const wire_keys_t *keys, const char *destination,
		      wire_call_t *call, wire_buffer_t *out);
wire_status_t wire_decode_call(const wire_keys_t *keys, const char *destination,
			       str_t datagram, wire_call_t *call);
bool wire_encode_reply(const wire_keys_t *keys,
		       const uint8_t call_mac[PEER_MAC_BYTES],
		       const wire_reply_t *reply, wire_buffer_t *out);
wire_status_t wire_decode_reply(const wire_keys_t *keys,
				const uint8_t call_mac[PEER_MAC_BYTES],
				str_t datagram, wire_reply_t *reply);
bool wire_is_reply(str_t datagram, uint32_t *xid);

#endif
