/* An entry VM's process that runs in the test's own main loop, and backend
 * servers for it.
 */
#ifndef SUPPORT_ENTRY_H
#define SUPPORT_ENTRY_H

#include "process/entry/entry.h"
#include "support_store.h"

typedef struct {
	entry_t entry;
	char *folder; /* of the settings file */
	char *path;
} support_entry_t;

void support_entry_start(support_entry_t *vm, const char *name,
			 const char *store_address);
void support_entry_restart(support_entry_t *vm, const char *name,
			   const char *store_address);
void support_entry_stop(support_entry_t *vm);
char *support_server_start(ingress_t *ingress, fake_store_t *store,
			   const char *id, const char *fields,
			   const ingress_handler_t *handler, void *context);
const char *support_entry_address(const support_entry_t *vm);

#endif
