/*
 * Messages between serve processes, for rpcgen: ONC RPC over UDP, one call in
 * each datagram. A datagram has at most PEER_DATAGRAM_MAX bytes, so that it is
 * not fragmented; PEER_BODY_MAX is what remains after the largest header.
 *
 * The clocks of different VMs cannot be compared, so a message carries the time
 * that remains until a deadline, in milliseconds.
 */
#ifdef RPC_HDR
%/* Generated names do not follow the project's rules for names. */
%#pragma GCC system_header
#endif

/* The limits of datagrams, bodies, names, addresses and pieces are in bytes,
 * those of updates, holds and uses in elements.
 */
const PEER_DATAGRAM_MAX = 1200;
const PEER_BODY_MAX = 952;
const PEER_NAME_MAX = 64;
const PEER_ADDRESS_MAX = 48;
const PEER_MAC_BYTES = 32;
const PEER_HASH_BYTES = 32;
const PEER_REQUEST_BYTES = 16;
const PEER_UPDATES_MAX = 6;
const PEER_HOLDS_MAX = 24;
const PEER_USES_MAX = 48;
const PEER_PIECE_MAX = 896;

/* Credential of a call: the sender and the key that signs. The verifier of a
 * call is the MAC.
 */
struct peer_credential {
	string deployment<PEER_NAME_MAX>;
	string vm<PEER_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned hyper sequence; /* counts the calls of the sender */
	unsigned hyper time; /* hybrid logical clock */
	unsigned int key; /* ID in the settings */
};

/* Verifier of a reply: the sender, the key that signs and the MAC. */
struct peer_verifier {
	string vm<PEER_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned hyper time; /* hybrid logical clock */
	unsigned int key; /* ID in the settings */
	opaque mac[PEER_MAC_BYTES];
};

/* State of a member. Of two updates with equal incarnation and refutation, the
 * one with the higher state holds.
 */
enum peer_state {
	PEER_ALIVE = 0,
	PEER_LEAVING = 1, /* still answers, but gets no new roles */
	PEER_SUSPECT = 2,
	PEER_DEAD = 3,
	PEER_LEFT = 4 /* shut down on purpose */
};

/* The state of a member, as members pass it on. */
struct peer_update {
	string vm<PEER_NAME_MAX>;
	string zone<PEER_NAME_MAX>;
	string address<PEER_ADDRESS_MAX>; /* IP:port of the RPC socket */
	unsigned hyper incarnation;
	unsigned int refutation; /* raised to contradict a suspicion */
	peer_state state;
};

/* Heartbeat: argument and result of PEER_PING. */
struct peer_ping {
	peer_update self;
	unsigned hyper config_version;
	opaque manifest[PEER_HASH_BYTES]; /* hash of the configuration manifest */
	peer_update updates<PEER_UPDATES_MAX>;
};

/* Asks a member to send a PEER_PING to another VM, which the sender of this
 * call could not reach.
 */
struct peer_ping_req {
	string vm<PEER_NAME_MAX>;
	string address<PEER_ADDRESS_MAX>;
	unsigned int timeout_ms;
	peer_ping ping;
};

/* Whether the other VM replied within timeout_ms. */
struct peer_ping_req_result {
	bool reached;
};

/* Decode memory held by one attempt of a request, in tokens. */
struct peer_hold {
	opaque request[PEER_REQUEST_BYTES];
	unsigned int attempt;
	unsigned int tokens;
};

/* Asks the owner of an engine's ledger for decode memory. In all messages, an
 * engine is identified by the 64-bit xxHash of its address.
 */
struct peer_reserve {
	unsigned hyper engine;
	peer_hold hold;
	unsigned int priority;
	unsigned int wait_ms; /* time that the owner may wait for free memory */
};

/* Answer of a ledger owner. */
enum peer_grant_code {
	PEER_GRANTED = 0,
	PEER_FULL = 1, /* not enough free memory */
	PEER_NOT_OWNER = 2, /* the VM does not own the ledger of the engine */
	PEER_STALE = 3 /* a later attempt of the request is known */
};

/* Result of a reservation. */
struct peer_reserve_result {
	peer_grant_code code;
	unsigned hyper owner; /* incarnation of the owner */
	unsigned int valid_ms; /* time until the grant lapses unless renewed */
	unsigned int free_tokens;
	unsigned int credit_tokens; /* lent; can be granted without asking */
	unsigned int retry_ms; /* time to wait before asking again if full */
};

/* Extends holds, and enters them in the ledger of an owner that does not know
 * them.
 */
struct peer_renew {
	unsigned hyper engine;
	unsigned hyper owner; /* incarnation of the owner that granted them */
	unsigned int credit_used; /* tokens granted from the lent ones */
	peer_hold holds<PEER_HOLDS_MAX>;
};

/* Result of a renewal; fields as in peer_reserve_result. */
struct peer_renew_result {
	peer_grant_code code;
	unsigned hyper owner;
	unsigned int valid_ms;
	unsigned int free_tokens;
	unsigned int credit_tokens;
	unsigned int refused; /* bit N: hold N is not extended */
};

/* Ends holds and frees their memory. */
struct peer_release {
	unsigned hyper engine;
	peer_hold holds<PEER_HOLDS_MAX>;
};

/* Result of a release. */
struct peer_release_result {
	peer_grant_code code;
	unsigned int free_tokens;
};

/* Use of one limit of a workspace at the sending router. */
struct peer_use {
	unsigned hyper key; /* limit_id() of workspace and service */
	unsigned int running; /* requests */
	unsigned int demand; /* requests in 1,000 s */
};

/* Piece of the report that a router makes on its use of all limits in a round.
 * A report without any use has one empty piece.
 */
struct peer_limits {
	unsigned hyper round;
	unsigned int piece; /* from 0 */
	unsigned int pieces; /* at most 32 */
	peer_use uses<PEER_USES_MAX>;
};

/* Asks for the piece of a configuration object that starts at an offset. */
struct peer_part {
	opaque hash[PEER_HASH_BYTES]; /* of the object */
	unsigned int offset; /* bytes */
};

/* A piece of a configuration object. */
struct peer_part_result {
	bool found;
	unsigned int total; /* bytes of the object */
	opaque data<PEER_PIECE_MAX>;
};

/* Status of a serve process. */
struct peer_status_result {
	string vm<PEER_NAME_MAX>;
	string zone<PEER_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned hyper config_version;
	opaque manifest[PEER_HASH_BYTES];
	unsigned int config_age_ms;
	unsigned int members_alive;
	unsigned int requests_active;
	unsigned int queued;
	bool platform_up;
	bool leaving;
};

/* The procedures; the program number is in the range for private use. */
program PEER_PROGRAM {
	version PEER_VERSION {
		peer_ping PEER_PING(peer_ping) = 1;
		peer_ping_req_result PEER_PING_REQ(peer_ping_req) = 2;
		peer_reserve_result PEER_RESERVE(peer_reserve) = 3;
		peer_renew_result PEER_RENEW(peer_renew) = 4;
		peer_release_result PEER_RELEASE(peer_release) = 5;
		peer_limits PEER_LIMITS(peer_limits) = 6;
		peer_part_result PEER_PART(peer_part) = 7;
		peer_status_result PEER_STATUS(void) = 8;
	} = 1;
} = 0x20476f73;
