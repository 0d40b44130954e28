/* Parses JSON that others have written. */
#ifndef PROCESS_JSON_TEXT_H
#define PROCESS_JSON_TEXT_H

#include <json-glib/json-glib.h>
#include <stdbool.h>

#include "process/str.h"

bool json_text_load(JsonParser *parser, str_t text);

#endif
