/* Files that tests write while stand-ins and callers run in the same main loop. */
#ifndef TESTS_SUPPORT_FILE_H
#define TESTS_SUPPORT_FILE_H

#include <stdbool.h>

bool support_file_write(const char *path, const char *text);

#endif
