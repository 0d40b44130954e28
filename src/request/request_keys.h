/* Keys by which requests that are alike are recognised, over VMs and attempts. */
#ifndef REQUEST_REQUEST_KEYS_H
#define REQUEST_REQUEST_KEYS_H

#include "connection/ingress.h"
#include "wire_fields.h"

/* Digests of a whole request: without its caller, and with it. */
#define REQUEST_DIGESTS 2

/* Most keys of one request. */
#define REQUEST_KEYS_MAX (REQUEST_SHARED_PARTS_MAX + REQUEST_DIGESTS)

void request_digests(const exchange_t *exchange, uint64_t digests[]);

#endif
