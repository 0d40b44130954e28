/* Reading of the usual event of a decode stream without a JSON parser. */
#ifndef CONNECTION_TOKEN_H
#define CONNECTION_TOKEN_H

#include "connection/engine.h"

bool token_event_parse_fast(str_t data, engine_token_t *token);

#endif
