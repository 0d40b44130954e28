#include "process/vms.h"

#include "process/log.h"
#include "request/retry.h"

/* Longest time between two reads. Together with the lag of the list, a backend
 * server that leaves gets no new work after a few seconds. Half of the interval
 * is jitter, so that the reads of the VMs are spread in time.
 */
#define READ_INTERVAL_US (2 * CLOCK_US_PER_S)
#define READ_TIMEOUT_US (1 * CLOCK_US_PER_S)

static gboolean on_timer(gpointer data);

/* Schedules the next read, after half the interval and a random part of the
 * other half.
 */
static void schedule_read(vms_t *vms)
{
	int64_t jitter_us =
		(int64_t)(retry_random(&vms->seed) % (READ_INTERVAL_US / 2));

	vms->timer = g_timeout_add(
		(guint)((READ_INTERVAL_US / 2 + jitter_us) / CLOCK_US_PER_MS),
		on_timer, vms);
}

/* Applies one entry of the list: marks a backend server as leaving or not, or
 * adds an entry VM to members. A backend server is found by its address; an
 * entry VM is listed with its RPC address.
 */
static void apply_entry(vms_t *vms, const platform_vm_t *vm, GArray *members)
{
	member_info_t info = {
		.state = vm->leaving ? MEMBER_LEAVING : MEMBER_ALIVE,
	};
	backend_entry_t *entry =
		backends_find(vms->backends, str_from(vm->address));

	if (entry) {
		backends_set_leaving(entry, LEAVING_SOURCE_VM_LIST,
				     vm->leaving);
		return;
	}
	g_strlcpy(info.vm, vm->name, sizeof(info.vm));
	g_strlcpy(info.zone, vm->zone, sizeof(info.zone));
	g_strlcpy(info.address, vm->address, sizeof(info.address));
	g_array_append_val(members, info);
}

/* Applies the list that was read. A failed read changes nothing. */
static void on_list(void *context, const platform_answer_t *answer)
{
	vms_t *vms = context;
	GArray *members;

	vms->call = NULL;
	if (answer->outcome != PLATFORM_DONE || !answer->vms)
		return;
	members = g_array_new(FALSE, FALSE, sizeof(member_info_t));
	for (guint i = 0; i < answer->vms->len; i++)
		apply_entry(vms, &g_array_index(answer->vms, platform_vm_t, i),
			    members);
	fleet_set_vm_list(vms->fleet, (const member_info_t *)members->data,
			  members->len);
	g_array_unref(members);
}

/* Starts a read unless one is in progress, and schedules the next. */
static gboolean on_timer(gpointer data)
{
	vms_t *vms = data;
	int64_t deadline_us = clock_now(&vms->clock) + READ_TIMEOUT_US;

	if (!vms->call)
		vms->call = platform_list_vms(vms->platform, deadline_us,
					      on_list, vms);
	schedule_read(vms);
	return G_SOURCE_REMOVE;
}

/* Sets up the reader and schedules the first read. The platform, the fleet and
 * the backends must stay valid until vms_finish().
 */
void vms_init(vms_t *vms, platform_t *platform, fleet_t *fleet,
	      backends_t *backends, clock_source_t clock, uint64_t seed)
{
	memset(vms, 0, sizeof(*vms));
	vms->platform = platform;
	vms->fleet = fleet;
	vms->backends = backends;
	vms->clock = clock;
	vms->seed = seed | 1;
	schedule_read(vms);
}

/* Stops reading and cancels a read in progress. */
void vms_finish(vms_t *vms)
{
	g_source_remove(vms->timer);
	if (vms->call)
		platform_cancel(vms->call);
}
