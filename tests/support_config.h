/* Several configurations in one process, with simulated heartbeats and reads
 * between them and a real platform client each.
 */
#ifndef TESTS_SUPPORT_CONFIG_H
#define TESTS_SUPPORT_CONFIG_H

#include "process/config.h"

#define VMS_SIM_MAX 64

typedef struct vms_sim vms_sim_t;

typedef struct {
	vms_sim_t *sim;
	char name[16];
	char zone[16];
	char address[32];
	platform_t platform;
	config_t config;
	guint heartbeat;
	bool running;
	bool silent; /* answers no peer and hears of none */
	uint64_t version; /* in effect */
	int64_t changed_us;
} vm_t;

struct vms_sim {
	client_t client;
	const char *platform_address;
	GRand *rand;
	vm_t vms[VMS_SIM_MAX];
	size_t n_vms;
	size_t n_zones;
	unsigned open_parts;
	uint64_t part_reads;
};

void vms_sim_init(vms_sim_t *sim, const char *platform_address, size_t n_vms,
		  size_t n_zones);
void vms_sim_start(vms_sim_t *sim, size_t i);
void vms_sim_stop(vms_sim_t *sim, size_t i);
void vms_sim_finish(vms_sim_t *sim);
bool vms_sim_all_at(const vms_sim_t *sim, uint64_t version);
bool vms_sim_wait(vms_sim_t *sim, uint64_t version, int64_t limit_ms);
void vms_sim_run(int64_t ms);

#endif
