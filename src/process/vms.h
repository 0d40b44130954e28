/* Reads the platform's list of live and leaving VMs at intervals and passes it
 * to the membership and to the backend servers. The list lags behind.
 */
#ifndef PROCESS_VMS_H
#define PROCESS_VMS_H

#include "process/backends.h"
#include "process/fleet.h"
#include "process/platform.h"

/* Reader of the VM list. */
typedef struct {
	platform_t *platform; /* borrowed */
	fleet_t *fleet; /* borrowed */
	backends_t *backends; /* borrowed */
	clock_source_t clock;
	uint64_t seed; /* for jitter */
	platform_call_t *call; /* read in progress; NULL: none */
	guint timer;
} vms_t;

void vms_init(vms_t *vms, platform_t *platform, fleet_t *fleet,
	      backends_t *backends, clock_source_t clock, uint64_t seed);
void vms_finish(vms_t *vms);

#endif
