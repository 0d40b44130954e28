/* Makes settings of serve processes for tests, without a file. */
#ifndef TESTS_SUPPORT_SETTINGS_H
#define TESTS_SUPPORT_SETTINGS_H

#include "process/settings.h"

void support_settings_init(settings_t *settings, const char *vm,
			   const char *zone);
void support_settings_add_key(settings_t *settings, uint32_t id,
			      const char *secret);
void support_settings_add_peer(settings_t *settings, const char *address);
void support_settings_finish(settings_t *settings);

#endif
