#include "request/request_keys.h"

#include <xxhash.h>

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
