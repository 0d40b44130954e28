/* Which version of a service's software began each resumable stream.
 *
 * A stream that has broken off goes on only at a server with the version that
 * began it. Its caller may ask any VM for the rest, also after the VM that began
 * it has ended, so the VMs announce to each other what they begin. Pure: no
 * clock, no I/O.
 */
#ifndef PROCESS_STREAM_ORIGINS_H
#define PROCESS_STREAM_ORIGINS_H

#include <stdbool.h>
#include <stdint.h>

#include "process/str.h"

/* Most streams in one announcement. */
#define STREAM_ORIGINS_ANNOUNCED 256

/* One stream. The numbers are the same at all VMs. */
typedef struct {
	uint64_t stream; /* identifies the request that began it */
	uint64_t software; /* identifies the version; not 0 */
	int64_t expires_us;
	int64_t announced_until_us; /* by this VM, to all; 0: not at all */
	bool recorded; /* the platform's store has it */
} stream_origin_t;

/* The streams that are known at one VM. */
typedef struct {
	GHashTable *by_stream; /* number to GList of `in_order` */
	GQueue in_order; /* of stream_origin_t, the one added last at the tail */
} stream_origins_t;

void stream_origins_init(stream_origins_t *origins);
void stream_origins_finish(stream_origins_t *origins);
void stream_origins_put(stream_origins_t *origins,
			const stream_origin_t *origin);
uint64_t stream_origins_find(const stream_origins_t *origins, uint64_t stream,
			     int64_t now_us);
void stream_origins_list_new(const stream_origins_t *origins, GArray *list,
			     int64_t now_us);
void stream_origins_list_all(const stream_origins_t *origins, GArray *list,
			     int64_t now_us);
bool stream_origins_list_unrecorded(stream_origins_t *origins, GArray *list,
				    guint max, int64_t now_us);
void stream_origins_set_unrecorded(stream_origins_t *origins,
				   const GArray *list);
void stream_origins_forget_record(stream_origins_t *origins);
void stream_origins_expire(stream_origins_t *origins, int64_t now_us);

#endif
