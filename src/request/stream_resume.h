/* Ties a stream to the version of its engine's software, whether this VM goes on
 * with a stream of its own or a caller asks for the rest of one.
 */
#ifndef REQUEST_STREAM_RESUME_H
#define REQUEST_STREAM_RESUME_H

#include "request/stream.h"

bool stream_resume_is_wanted(const stream_t *stream);
void stream_resume_start(stream_t *stream);
void stream_resume_resolve(relay_t *relay);
void stream_resume_record_version(stream_t *stream);

#endif
