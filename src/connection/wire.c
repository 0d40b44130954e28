#include "connection/wire.h"

#include <glib.h>
#include <rpc/rpc.h>
#include <rpc/rpc_msg.h>

/* Labels of MAC inputs, so that a call's MAC is never valid for a reply. */
#define CALL_LABEL "gooseberryspur call 1"
#define REPLY_LABEL "gooseberryspur reply 1"

/* Offset of the verifier's length in an accepted reply: xid, direction, reply
 * status and verifier flavour come before it.
 */
#define REPLY_VERIFIER_LEN_OFFSET 16
#define XDR_UNIT 4

/* Encodes an object. Returns false when it exceeds PEER_BODY_MAX. */
bool wire_encode_body(xdrproc_t proc, const void *object, wire_buffer_t *body)
{
	XDR xdr;
	bool ok;

	xdrmem_create(&xdr, (char *)body->data, PEER_BODY_MAX, XDR_ENCODE);
	ok = proc(&xdr, (void *)object);
	body->len = ok ? xdr_getpos(&xdr) : 0;
	xdr_destroy(&xdr);
	return ok;
}

/*
 * Decodes an object that the caller has set to zero. Returns false when the
 * body is malformed or longer than the object.
 */
bool wire_decode_body(xdrproc_t proc, str_t body, void *object)
{
	XDR xdr;
	bool ok;

	xdrmem_create(&xdr, (char *)body.data, (u_int)body.len, XDR_DECODE);
	ok = proc(&xdr, object) && xdr_getpos(&xdr) == body.len;
	xdr_destroy(&xdr);
	return ok;
}

static const settings_rpc_key_t *find_key(const wire_keys_t *keys, uint32_t id)
{
	for (guint i = 0; i < keys->keys->len; i++) {
		const settings_rpc_key_t *key =
			&g_array_index(keys->keys, settings_rpc_key_t, i);

		if (key->id == id)
			return key;
	}
	return NULL;
}

static const settings_rpc_key_t *signing_key(const wire_keys_t *keys)
{
	return keys->keys->len > 0
		       ? &g_array_index(keys->keys, settings_rpc_key_t, 0)
		       : NULL;
}

/*
 * Computes the MAC of a datagram whose own MAC at mac_offset counts as zero.
 * The label and the binding (destination address of a call, MAC of the call
 * for a reply) are covered too, each with its length.
 */
static void compute_mac(const settings_rpc_key_t *key, str_t label,
			str_t binding, str_t datagram, size_t mac_offset,
			uint8_t mac[PEER_MAC_BYTES])
{
	static const guchar zeros[PEER_MAC_BYTES];
	const guchar *data = (const guchar *)datagram.data;
	size_t after = mac_offset + PEER_MAC_BYTES;
	gsize secret_len;
	const guchar *secret = g_bytes_get_data(key->secret, &secret_len);
	GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256, secret, secret_len);
	uint32_t lens[2] = {GUINT32_TO_BE((uint32_t)label.len),
			    GUINT32_TO_BE((uint32_t)binding.len)};
	gsize mac_len = PEER_MAC_BYTES;

	g_hmac_update(hmac, (const guchar *)lens, sizeof(lens));
	g_hmac_update(hmac, (const guchar *)label.data, (gssize)label.len);
	g_hmac_update(hmac, (const guchar *)binding.data, (gssize)binding.len);
	g_hmac_update(hmac, data, (gssize)mac_offset);
	g_hmac_update(hmac, zeros, sizeof(zeros));
	g_hmac_update(hmac, data + after, (gssize)(datagram.len - after));
	g_hmac_get_digest(hmac, mac, &mac_len);
	g_hmac_unref(hmac);
}

/* Compares in a time that does not depend on the contents. */
static bool mac_equal(const uint8_t *a, const uint8_t *b)
{
	uint8_t difference = 0;

	for (size_t i = 0; i < PEER_MAC_BYTES; i++)
		difference |= (uint8_t)(a[i] ^ b[i]);
	return difference == 0;
}

static bool append_body(wire_buffer_t *out, str_t body)
{
	if (body.len > PEER_BODY_MAX || body.len % XDR_UNIT != 0 ||
	    out->len + body.len > sizeof(out->data))
		return false;
	if (body.len > 0)
		memcpy(out->data + out->len, body.data, body.len);
	out->len += body.len;
	return true;
}

static str_t buffer_str(const wire_buffer_t *buffer)
{
	return (str_t){(const char *)buffer->data, buffer->len};
}

static bool put_call_header(const wire_call_t *call, char *credential,
			    size_t credential_len, wire_buffer_t *out)
{
	char zeros[PEER_MAC_BYTES] = {0};
	struct rpc_msg message = {.rm_xid = call->xid, .rm_direction = CALL};
	XDR xdr;
	bool ok;

	message.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	message.rm_call.cb_prog = PEER_PROGRAM;
	message.rm_call.cb_vers = PEER_VERSION;
	message.rm_call.cb_proc = call->procedure;
	message.rm_call.cb_cred.oa_flavor = PEER_PROGRAM;
	message.rm_call.cb_cred.oa_base = credential;
	message.rm_call.cb_cred.oa_length = (u_int)credential_len;
	message.rm_call.cb_verf.oa_flavor = PEER_PROGRAM;
	message.rm_call.cb_verf.oa_base = zeros;
	message.rm_call.cb_verf.oa_length = sizeof(zeros);
	xdrmem_create(&xdr, (char *)out->data, sizeof(out->data), XDR_ENCODE);
	ok = xdr_callmsg(&xdr, &message);
	out->len = ok ? xdr_getpos(&xdr) : 0;
	xdr_destroy(&xdr);
	return ok;
}

/*
 * Encodes and signs a call. The MAC also covers the destination (IP:port), so
 * that a call captured on its way to one VM is not accepted by another. Fills
 * in call->mac. Returns false when a name or the body is too long or when
 * there is no key.
 */
bool wire_encode_call(const wire_keys_t *keys, const char *destination,
		      wire_call_t *call, wire_buffer_t *out)
{
	const settings_rpc_key_t *key = signing_key(keys);
	wire_buffer_t credential;
	peer_credential fields = {
		.deployment = (char *)keys->deployment,
		.vm = call->sender.vm,
		.incarnation = call->sender.incarnation,
		.sequence = call->sequence,
		.time = call->sender.time,
		.key = key ? key->id : 0,
	};
	size_t mac_offset;

	if (!key ||
	    !wire_encode_body((xdrproc_t)xdr_peer_credential, &fields,
			      &credential) ||
	    credential.len > MAX_AUTH_BYTES ||
	    !put_call_header(call, (char *)credential.data, credential.len,
			     out))
		return false;
	mac_offset = out->len - PEER_MAC_BYTES;
	if (!append_body(out, call->body))
		return false;
	compute_mac(key, STR(CALL_LABEL), str_from(destination),
		    buffer_str(out), mac_offset, call->mac);
	memcpy(out->data + mac_offset, call->mac, PEER_MAC_BYTES);
	return true;
}

/* A decoded call header; the buffers hold the credential and the verifier. */
typedef struct {
	struct rpc_msg message;
	char credential[MAX_AUTH_BYTES];
	char verifier[MAX_AUTH_BYTES];
	size_t len; /* bytes of the header */
} call_header_t;

static bool get_call_header(str_t datagram, call_header_t *header)
{
	struct call_body *body = &header->message.rm_call;
	XDR xdr;
	bool ok;

	memset(header, 0, sizeof(*header));
	body->cb_cred.oa_base = header->credential;
	body->cb_verf.oa_base = header->verifier;
	xdrmem_create(&xdr, (char *)datagram.data, (u_int)datagram.len,
		      XDR_DECODE);
	ok = xdr_callmsg(&xdr, &header->message);
	header->len = ok ? xdr_getpos(&xdr) : 0;
	xdr_destroy(&xdr);
	return ok && header->message.rm_direction == CALL &&
	       body->cb_rpcvers == RPC_MSG_VERSION &&
	       body->cb_prog == PEER_PROGRAM && body->cb_vers == PEER_VERSION &&
	       body->cb_cred.oa_flavor == PEER_PROGRAM &&
	       body->cb_verf.oa_flavor == PEER_PROGRAM &&
	       body->cb_verf.oa_length == PEER_MAC_BYTES;
}

static bool body_fits(str_t datagram, size_t header_len)
{
	return datagram.len <= PEER_DATAGRAM_MAX &&
	       datagram.len >= header_len &&
	       datagram.len - header_len <= PEER_BODY_MAX &&
	       datagram.len % XDR_UNIT == 0;
}

static wire_status_t check_call(const wire_keys_t *keys,
				const char *destination, str_t datagram,
				const call_header_t *header,
				const peer_credential *credential)
{
	const settings_rpc_key_t *key = find_key(keys, credential->key);
	uint8_t mac[PEER_MAC_BYTES];

	if (strcmp(credential->deployment, keys->deployment) != 0)
		return WIRE_OTHER_DEPLOYMENT;
	if (!key)
		return WIRE_BAD_MAC;
	compute_mac(key, STR(CALL_LABEL), str_from(destination), datagram,
		    header->len - PEER_MAC_BYTES, mac);
	return mac_equal(mac, (const uint8_t *)header->verifier) ? WIRE_OK
								 : WIRE_BAD_MAC;
}

/*
 * Decodes and checks a call that was received at the given own address. The
 * body borrows from the datagram.
 */
wire_status_t wire_decode_call(const wire_keys_t *keys, const char *destination,
			       str_t datagram, wire_call_t *call)
{
	call_header_t header;
	peer_credential credential = {0};
	wire_status_t status = WIRE_MALFORMED;

	if (!get_call_header(datagram, &header) ||
	    !body_fits(datagram, header.len))
		return WIRE_MALFORMED;
	if (!wire_decode_body((xdrproc_t)xdr_peer_credential,
			      (str_t){header.credential,
				      header.message.rm_call.cb_cred.oa_length},
			      &credential))
		goto out;
	status = check_call(keys, destination, datagram, &header, &credential);
	if (status != WIRE_OK)
		goto out;
	call->xid = header.message.rm_xid;
	call->procedure = (uint32_t)header.message.rm_call.cb_proc;
	call->sequence = credential.sequence;
	g_strlcpy(call->sender.vm, credential.vm, sizeof(call->sender.vm));
	call->sender.incarnation = credential.incarnation;
	call->sender.time = credential.time;
	memcpy(call->mac, header.verifier, PEER_MAC_BYTES);
	call->body =
		(str_t){datagram.data + header.len, datagram.len - header.len};
out:
	xdr_free((xdrproc_t)xdr_peer_credential, (char *)&credential);
	return status;
}

/* The results follow the header as they are, so the codec adds none. */
static bool_t no_results(XDR *xdr, ...)
{
	return TRUE;
}

static bool put_reply_header(const wire_reply_t *reply, char *verifier,
			     size_t verifier_len, wire_buffer_t *out)
{
	struct rpc_msg message = {.rm_xid = reply->xid, .rm_direction = REPLY};
	XDR xdr;
	bool ok;

	message.rm_reply.rp_stat = MSG_ACCEPTED;
	message.acpted_rply.ar_verf.oa_flavor = PEER_PROGRAM;
	message.acpted_rply.ar_verf.oa_base = verifier;
	message.acpted_rply.ar_verf.oa_length = (u_int)verifier_len;
	message.acpted_rply.ar_stat = (enum accept_stat)reply->result;
	message.acpted_rply.ar_results.proc = no_results;
	xdrmem_create(&xdr, (char *)out->data, sizeof(out->data), XDR_ENCODE);
	ok = xdr_replymsg(&xdr, &message);
	out->len = ok ? xdr_getpos(&xdr) : 0;
	xdr_destroy(&xdr);
	return ok;
}

/*
 * Encodes and signs a reply to the call with the given MAC. Returns false when
 * the body is too long or when there is no key.
 */
bool wire_encode_reply(const wire_keys_t *keys,
		       const uint8_t call_mac[PEER_MAC_BYTES],
		       const wire_reply_t *reply, wire_buffer_t *out)
{
	const settings_rpc_key_t *key = signing_key(keys);
	wire_buffer_t verifier;
	peer_verifier fields = {
		.vm = (char *)reply->sender.vm,
		.incarnation = reply->sender.incarnation,
		.time = reply->sender.time,
		.key = key ? key->id : 0,
	};
	size_t mac_offset;
	uint8_t mac[PEER_MAC_BYTES];

	if (!key ||
	    !wire_encode_body((xdrproc_t)xdr_peer_verifier, &fields,
			      &verifier) ||
	    !put_reply_header(reply, (char *)verifier.data, verifier.len, out))
		return false;
	/* The result code follows the verifier, whose last field is the MAC. */
	mac_offset = out->len - XDR_UNIT - PEER_MAC_BYTES;
	if (!append_body(out, reply->body))
		return false;
	compute_mac(key, STR(REPLY_LABEL),
		    (str_t){(const char *)call_mac, PEER_MAC_BYTES},
		    buffer_str(out), mac_offset, mac);
	memcpy(out->data + mac_offset, mac, PEER_MAC_BYTES);
	return true;
}

typedef struct {
	struct rpc_msg message;
	char verifier[MAX_AUTH_BYTES];
	size_t len; /* bytes of the header */
} reply_header_t;

static bool get_reply_header(str_t datagram, reply_header_t *header)
{
	struct rpc_msg *message = &header->message;
	XDR xdr;
	bool ok;

	memset(header, 0, sizeof(*header));
	message->acpted_rply.ar_verf.oa_base = header->verifier;
	message->acpted_rply.ar_results.proc = no_results;
	xdrmem_create(&xdr, (char *)datagram.data, (u_int)datagram.len,
		      XDR_DECODE);
	ok = wire_is_reply(datagram, NULL) && xdr_replymsg(&xdr, message);
	header->len = ok ? xdr_getpos(&xdr) : 0;
	xdr_destroy(&xdr);
	return ok && message->rm_direction == REPLY &&
	       message->rm_reply.rp_stat == MSG_ACCEPTED &&
	       message->acpted_rply.ar_verf.oa_flavor == PEER_PROGRAM;
}

static bool is_known_result(int result)
{
	return result == WIRE_SUCCESS || result == WIRE_NO_PROCEDURE ||
	       result == WIRE_BAD_ARGUMENTS || result == WIRE_INTERNAL ||
	       result == WIRE_STALE;
}

static wire_status_t check_reply(const wire_keys_t *keys,
				 const uint8_t *call_mac, str_t datagram,
				 const reply_header_t *header,
				 const peer_verifier *verifier)
{
	const settings_rpc_key_t *key = find_key(keys, verifier->key);
	size_t verifier_len = header->message.acpted_rply.ar_verf.oa_length;
	size_t mac_offset = REPLY_VERIFIER_LEN_OFFSET + XDR_UNIT +
			    verifier_len - PEER_MAC_BYTES;
	uint8_t mac[PEER_MAC_BYTES];

	if (!key)
		return WIRE_BAD_MAC;
	compute_mac(key, STR(REPLY_LABEL),
		    (str_t){(const char *)call_mac, PEER_MAC_BYTES}, datagram,
		    mac_offset, mac);
	return mac_equal(mac, (const uint8_t *)verifier->mac) ? WIRE_OK
							      : WIRE_BAD_MAC;
}

/*
 * Decodes and checks a reply to the call with the given MAC. The body borrows
 * from the datagram.
 */
wire_status_t wire_decode_reply(const wire_keys_t *keys,
				const uint8_t call_mac[PEER_MAC_BYTES],
				str_t datagram, wire_reply_t *reply)
{
	reply_header_t header;
	peer_verifier verifier = {0};
	wire_status_t status = WIRE_MALFORMED;

	if (!get_reply_header(datagram, &header) ||
	    !body_fits(datagram, header.len) ||
	    !is_known_result((int)header.message.acpted_rply.ar_stat))
		return WIRE_MALFORMED;
	if (!wire_decode_body(
		    (xdrproc_t)xdr_peer_verifier,
		    (str_t){header.verifier,
			    header.message.acpted_rply.ar_verf.oa_length},
		    &verifier))
		goto out;
	status = check_reply(keys, call_mac, datagram, &header, &verifier);
	if (status != WIRE_OK)
		goto out;
	reply->xid = header.message.rm_xid;
	reply->result = (wire_result_t)header.message.acpted_rply.ar_stat;
	g_strlcpy(reply->sender.vm, verifier.vm, sizeof(reply->sender.vm));
	reply->sender.incarnation = verifier.incarnation;
	reply->sender.time = verifier.time;
	reply->body =
		(str_t){datagram.data + header.len, datagram.len - header.len};
out:
	xdr_free((xdrproc_t)xdr_peer_verifier, (char *)&verifier);
	return status;
}

static uint32_t read_uint32(const char *data)
{
	uint32_t value;

	memcpy(&value, data, sizeof(value));
	return GUINT32_FROM_BE(value);
}

/* Tells whether a datagram is an RPC reply; stores its xid unless NULL. */
bool wire_is_reply(str_t datagram, uint32_t *xid)
{
	if (datagram.len < sizeof(uint32_t) * 2 ||
	    read_uint32(datagram.data + sizeof(uint32_t)) != REPLY)
		return false;
	if (xid)
		*xid = read_uint32(datagram.data);
	return true;
}
