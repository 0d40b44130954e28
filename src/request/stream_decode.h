/* Decode stage of a stream: hands the prefill result to a decode engine and
 * passes its events on to the caller. When the stream breaks, it goes on at
 * another engine where the route allows it.
 */
#ifndef REQUEST_STREAM_DECODE_H
#define REQUEST_STREAM_DECODE_H

#include "request/stream.h"

void stream_decode_start(stream_t *stream);
bool stream_decode_send(stream_t *stream);

#endif
