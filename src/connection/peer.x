/*
 * Messages between serve processes: ONC RPC over UDP, one call for each
 * datagram. A datagram has at most PEER_DATAGRAM_MAX bytes, so that it is not
 * fragmented; PEER_BODY_MAX is what remains after the largest header.
 *
 * Clocks of different VMs are not comparable, so the messages carry the
 * remaining time in milliseconds where a deadline is meant.
 */
#ifdef RPC_HDR
%/* Generated names do not follow the project's rules for names. */
%#pragma GCC system_header
#endif

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

/* Body of the call's credential; the call's verifier is the MAC. */
struct peer_credential {
	string deployment<PEER_NAME_MAX>;
	string vm<PEER_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned hyper sequence;
	unsigned hyper time; /* hybrid logical clock */
	unsigned int key;
};

/* Body of the reply's verifier. */
struct peer_verifier {
	string vm<PEER_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned hyper time; /* hybrid logical clock */
	unsigned int key;
	opaque mac[PEER_MAC_BYTES];
};

enum peer_state {
	PEER_ALIVE = 0,
	PEER_LEAVING = 1,
	PEER_SUSPECT = 2,
	PEER_DEAD = 3,
	PEER_LEFT = 4
};

/* What one member says about another. */
struct peer_update {
	string vm<PEER_NAME_MAX>;
	string zone<PEER_NAME_MAX>;
	string address<PEER_ADDRESS_MAX>;
	unsigned hyper incarnation;
	unsigned int refutation;
	peer_state state;
};

/* Heartbeat: argument and result of PING. */
struct peer_ping {
	peer_update self;
	unsigned hyper config_version;
	opaque manifest[PEER_HASH_BYTES];
	peer_update updates<PEER_UPDATES_MAX>;
};

struct peer_ping_req {
	string vm<PEER_NAME_MAX>;
	string address<PEER_ADDRESS_MAX>;
	unsigned int timeout_ms;
	peer_ping ping;
};

struct peer_ping_req_result {
	bool reached;
};

/* Decode memory held by one attempt of a request, in tokens. */
struct peer_hold {
	opaque request[PEER_REQUEST_BYTES];
	unsigned int attempt;
	unsigned int tokens;
};

/* Engines are named by the 64-bit xxhash of their address. */
struct peer_reserve {
	unsigned hyper engine;
	peer_hold hold;
	unsigned int priority;
	unsigned int wait_ms; /* how long the caller waits for a grant */
};

enum peer_grant_code {
	PEER_GRANTED = 0,
	PEER_FULL = 1,
	PEER_NOT_OWNER = 2,
	PEER_STALE = 3 /* a later attempt of the request is known */
};

struct peer_reserve_result {
	peer_grant_code code;
	unsigned hyper owner; /* incarnation of the owner */
	unsigned int valid_ms;
	unsigned int free_tokens;
	unsigned int credit_tokens; /* may be used without asking */
	unsigned int retry_ms;
};

/* Extends holds, and restores them at an owner that does not know them. */
struct peer_renew {
	unsigned hyper engine;
	unsigned hyper owner;
	unsigned int credit_used;
	peer_hold holds<PEER_HOLDS_MAX>;
};

struct peer_renew_result {
	peer_grant_code code;
	unsigned hyper owner;
	unsigned int valid_ms;
	unsigned int free_tokens;
	unsigned int credit_tokens;
	unsigned int refused; /* bit N: hold N is not extended */
};

struct peer_release {
	unsigned hyper engine;
	peer_hold holds<PEER_HOLDS_MAX>;
};

struct peer_release_result {
	peer_grant_code code;
	unsigned int free_tokens;
};

/* Use of a limit by the sender. */
struct peer_use {
	unsigned hyper key; /* limit_id() of workspace and service */
	unsigned int running;
	unsigned int demand; /* requests in 1,000 s */
};

/* Piece of a report of one round; a report without use has one empty piece. */
struct peer_limits {
	unsigned hyper round;
	unsigned int piece; /* from 0 */
	unsigned int pieces; /* at most 32 */
	peer_use uses<PEER_USES_MAX>;
};

/* A piece of a configuration object. */
struct peer_part {
	opaque hash[PEER_HASH_BYTES];
	unsigned int offset;
};

struct peer_part_result {
	bool found;
	unsigned int total;
	opaque data<PEER_PIECE_MAX>;
};

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
