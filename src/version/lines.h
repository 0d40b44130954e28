/* Strict reading of line-based text: words are separated by one space. */
#ifndef VERSION_LINES_H
#define VERSION_LINES_H

#include <stdint.h>

#include "process/str.h"

bool lines_next(str_t *text, str_t *line);
bool lines_word(str_t *line, str_t *word);
bool lines_uint(str_t *line, uint64_t max, uint64_t *value);
bool lines_hex(str_t *line, size_t digits, char *value);

#endif
