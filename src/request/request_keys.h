/* Keys by which requests that are alike are recognised, over VMs and attempts,
 * and what is known of the servers that begin such requests.
 */
#ifndef REQUEST_REQUEST_KEYS_H
#define REQUEST_REQUEST_KEYS_H

#include "request/relay.h"

/* Digests of a whole request: without its caller, and with it. */
#define REQUEST_DIGESTS 2

/* Most keys of one request. */
#define REQUEST_KEYS_MAX (REQUEST_SHARED_PARTS_MAX + REQUEST_DIGESTS)

/* Why a request that is quarantined was not sent. */
#define REQUEST_QUARANTINED_REASON \
	"requests like this crash the backend servers"

void request_keys_append(GString *out, const uint64_t *keys, size_t n,
			 char separator);
uint64_t request_process_number(const server_entry_t *entry);
uint64_t request_software_number(const server_entry_t *entry);
void request_digests(const exchange_t *exchange, uint64_t digests[]);
bool request_is_quarantined(relay_request_t *request, bool may_try,
			    int64_t *until_us);
void request_record_loss(relay_request_t *request, server_t *server);
void request_record_sound(const relay_request_t *request);

#endif
