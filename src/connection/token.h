/* Reading of the usual event of a decode stream without a JSON parser. */
#ifndef CONNECTION_TOKEN_H
#define CONNECTION_TOKEN_H

#include "connection/engine.h"

bool token_parse_plain(str_t data, engine_token_t *token);

#endif
