#include "process/router.h"

#include <inttypes.h>

/* Writes a request ID, unique over all VMs and incarnations: 32 hex digits. */
void router_make_id(router_t *router, char id[33])
{
	g_snprintf(id, 33, "%016" PRIx64 "%016" PRIx64, router->id_prefix,
		   ++router->id_counter);
}
