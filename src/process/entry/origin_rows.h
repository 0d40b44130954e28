/* Keeps in the platform's store which version of its software began each stream, for
 * the time after the loss of all VMs that know it.
 *
 * The VMs that the software record names write what has begun since their last write
 * into a row of its own, so that no row is ever written by two VMs or twice with
 * different contents. All VMs know all streams, so that the cost does not grow with
 * the VMs. The table is not followed: a VM reads it when a caller asks for the rest
 * of a stream that the VM does not know.
 */
#ifndef PROCESS_ORIGIN_ROWS_H
#define PROCESS_ORIGIN_ROWS_H

#include "process/decide/stream_origins.h"
#include "process/entry/store.h"

typedef struct {
	clock_source_t clock;
	stream_origins_t *origins; /* borrowed */
	const char *vm; /* name of this VM; borrowed */
	uint64_t incarnation; /* greater in each later process of the VM */
	uint64_t rows_written; /* by this process */
	GArray *writing; /* of stream_origin_t: in the write in progress */
	GHashTable *expiries; /* key of a row to the time of its removal */
	bool was_recorder;
	store_call_t write_call;
	store_call_t removal_call;
	store_call_t read_call;
	char *from_key; /* where the next page of the read starts */
	int64_t next_write_us;
	int64_t next_removal_us;
	int64_t next_read_us;
	int64_t read_sent_us; /* when the read in progress began; 0: none */
	int64_t read_us; /* begin of the last whole read */
	bool read_wanted;
} origin_rows_t;

void origin_rows_init(origin_rows_t *rows, clock_source_t clock,
		      http_pool_t *pool, stream_origins_t *origins,
		      const char *vm, uint64_t incarnation);
void origin_rows_finish(origin_rows_t *rows);
void origin_rows_want_read(origin_rows_t *rows);
void origin_rows_check(origin_rows_t *rows, const char *store_address,
		       bool is_recorder, bool is_needed, int64_t now_us);

#endif
