/* Goes on with a stream at another decode engine, after one that has not run it or has lost it. */
#ifndef REQUEST_STREAM_FAILOVER_H
#define REQUEST_STREAM_FAILOVER_H

#include "request/stream.h"

#define STREAM_BROKE_OFF_REASON "the decode engine's stream broke off"

bool stream_failover_resume(stream_t *stream, call_end_t end, run_status_t run);
bool stream_failover_after_refusal(stream_t *stream, call_end_t end);

#endif
