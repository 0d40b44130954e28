/* Reads the usual event of a decode stream, which holds one token, without a
 * JSON parser: most events of a long answer have the same simple form.
 */
#ifndef CONNECTION_TOKEN_H
#define CONNECTION_TOKEN_H

#include "connection/engine.h"

bool token_event_parse_fast(str_t data, engine_token_t *token);

#endif
