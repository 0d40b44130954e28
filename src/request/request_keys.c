#include "request/request_keys.h"

#include <inttypes.h>
#include <xxhash.h>

#include "process/counters.h"
#include "process/decide/quarantine_trial.h"
#include "process/log.h"

/* Least Retry-After of a request that is quarantined. */
#define QUARANTINED_RETRY_US (1 * CLOCK_US_PER_S)

/* Appends keys in hexadecimal, with a separator between them. */
void request_keys_append(GString *out, const uint64_t *keys, size_t n,
			 char separator)
{
	for (size_t i = 0; i < n; i++) {
		if (i > 0)
			g_string_append_c(out, separator);
		g_string_append_printf(out, "%" PRIx64, keys[i]);
	}
}

/* Adds bytes to a digest, after their number, so that the same bytes split
 * differently give another digest.
 */
static void add(XXH64_state_t *state, str_t bytes)
{
	(void)XXH64_update(state, &bytes.len, sizeof(bytes.len));
	if (bytes.len > 0)
		(void)XXH64_update(state, bytes.data, bytes.len);
}

/* Adds who sent a request: the credentials, or else the caller's address. */
static void add_caller(XXH64_state_t *state, const exchange_t *exchange)
{
	str_t credentials = http_headers_get(&exchange_head(exchange)->headers,
					     "authorization");
	char *address;

	if (credentials.len > 0) {
		add(state, credentials);
		return;
	}
	address = exchange_caller_address(exchange);
	add(state, str_from(address));
	g_free(address);
}

/* Computes the digests of a whole request, REQUEST_DIGESTS of them: of method,
 * host, target and body, and of these and the caller. The request's ID and its
 * deadline differ between attempts and are left out. No VM may use another seed,
 * as the digests are compared between VMs.
 */
void request_digests(const exchange_t *exchange, uint64_t digests[])
{
	const http_head_t *head = exchange_head(exchange);
	XXH64_state_t *state = XXH64_createState();

	(void)XXH64_reset(state, 0);
	add(state, str_from_gstring(head->method));
	add(state, http_headers_get(&head->headers, "host"));
	add(state, str_from_gstring(head->target));
	add(state, exchange_body(exchange));
	digests[0] = XXH64_digest(state);
	add_caller(state, exchange);
	digests[1] = XXH64_digest(state);
	(void)XXH64_freeState(state);
}

/* Collects the keys of a request: the shared parts of its prompt and the digests
 * of the whole. Returns how many there are, at most REQUEST_KEYS_MAX.
 */
static size_t collect_keys(const relay_request_t *request, uint64_t keys[])
{
	size_t n = request->fields.n_shared_parts;

	memcpy(keys, request->fields.shared_parts, n * sizeof(*keys));
	request_digests(request->exchange, keys + n);
	return n + REQUEST_DIGESTS;
}

/* Logs a request that is let through although a rule holds requests like it. */
static void log_trial(const relay_request_t *request,
		      const quarantine_rule_t *rule)
{
	GString *keys = g_string_new(NULL);

	request_keys_append(keys, rule->keys, rule->n_keys, ',');
	log_event(LOG_WARN, "quarantine_trial",
		  LOG_STR("request", request->fields.id),
		  LOG_CSTR("keys", keys->str),
		  LOG_UINT("servers", rule->servers),
		  LOG_INT("once_sound", rule->once_sound),
		  LOG_UINT("rank", request->relay->quarantine.vm_rank));
	g_string_free(keys, TRUE);
}

/*
 * Returns whether a request must not be sent, because requests like it crash the
 * servers that begin them, and sets when the caller may ask again: then one is let through
 * to see whether they still do. If the request may be that one, because it would be sent
 * now, it may be let through itself. It is not held again until it has lost a server.
 */
bool request_is_quarantined(relay_request_t *request, bool may_try,
			    int64_t *until_us)
{
	relay_t *relay = request->relay;
	int64_t now_us = clock_now(&relay->clock);
	const quarantine_rule_t *rule;
	uint64_t keys[REQUEST_KEYS_MAX];
	size_t n;

	if (request->is_trial || !quarantine_has_evidence(&relay->quarantine))
		return false;
	n = collect_keys(request, keys);
	rule = quarantine_match(&relay->quarantine, keys, n, now_us);
	if (!rule)
		return false;
	if (may_try &&
	    quarantine_take_trial(&relay->quarantine, rule, now_us)) {
		request->is_trial = true;
		counters_add(COUNTER_QUARANTINE_TRIALS, 1);
		log_trial(request, rule);
		return false;
	}
	*until_us = MAX(quarantine_trial_due_us(rule),
			now_us + QUARANTINED_RETRY_US);
	return true;
}

/* Returns a number that identifies a server's process, the same at all VMs. */
uint64_t request_process_number(const server_entry_t *entry)
{
	return XXH64(entry->id, strlen(entry->id), (uint64_t)entry->started_ms);
}

/* Returns a number other than 0 that identifies the version of a server's
 * software, the same at all VMs.
 */
uint64_t request_software_number(const server_entry_t *entry)
{
	return XXH64(entry->software, strlen(entry->software), 0) | 1;
}

/* Records that a server was lost while it began a request. */
void request_record_loss(relay_request_t *request, server_t *server)
{
	relay_t *relay = request->relay;
	uint64_t keys[REQUEST_KEYS_MAX];
	size_t n = collect_keys(request, keys);

	request->is_trial = false;
	quarantine_add_loss(&relay->quarantine, server,
			    request_process_number(&server->entry), keys, n,
			    clock_now(&relay->clock));
	if (relay->on_loss)
		relay->on_loss(relay->context);
}

/* Records that a server has begun a request well. Digests that are on no loss are kept
 * apart: nearly all requests have digests of their own, and these would displace the parts
 * of prompts.
 */
void request_record_sound(const relay_request_t *request)
{
	quarantine_t *quarantine = &request->relay->quarantine;
	int64_t now_us = clock_now(&request->relay->clock);
	uint64_t digests[REQUEST_DIGESTS];

	quarantine_add_sound(quarantine, request->fields.shared_parts,
			     request->fields.n_shared_parts, now_us);
	request_digests(request->exchange, digests);
	for (size_t i = 0; i < REQUEST_DIGESTS; i++) {
		if (quarantine_is_suspect(quarantine, digests[i]))
			quarantine_add_sound(quarantine, &digests[i], 1,
					     now_us);
		else
			quarantine_add_recent(quarantine, digests[i], now_us);
	}
}
