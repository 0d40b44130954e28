/* Which of the backend servers whose entries name the same address has it.
 *
 * A server that starts again at its address has a new ID, and its old entry stays in the
 * list until it has lapsed. An entry may also name an address by mistake. So several
 * entries may name one address, in any order: one of them counts as the address's server,
 * and the others get no work for as long as that is so. Pure: no clock, no I/O.
 */
#ifndef PROCESS_SERVER_ADDRESSES_H
#define PROCESS_SERVER_ADDRESSES_H

#include "process/decide/server_set.h"

GHashTable *server_addresses_new(void);
void server_addresses_add(server_set_t *set, server_t *server);
void server_addresses_remove(server_set_t *set, server_t *server);
const server_t *server_addresses_find(const server_set_t *set,
				      const char *address);
bool server_addresses_is_shared(const server_set_t *set,
				const server_t *server);
void server_addresses_update(server_set_t *set, server_t *server);
void server_addresses_update_all(server_set_t *set);

#endif
