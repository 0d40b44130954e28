/* Streams from a decode engine to the caller. */
#ifndef REQUEST_STREAM_DECODE_H
#define REQUEST_STREAM_DECODE_H

#include "request/stream.h"

void stream_decode_start(stream_t *stream);

#endif
