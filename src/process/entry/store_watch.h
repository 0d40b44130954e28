/* Follows one table of the platform's store: a full read, then its feed, and a
 * full read again when the store no longer has the feed's history, was
 * unreachable or was restored from an older copy. Such a copy gives out versions
 * again, so those from before and after cannot be compared; the store's era tells
 * them apart.
 */
#ifndef PROCESS_STORE_WATCH_H
#define PROCESS_STORE_WATCH_H

#include "process/entry/store.h"
#include "store_call.h"

/* Callbacks for what a watch reads, and for the state of the store. */
typedef struct {
	/* A full read begins; rows that it does not bring are gone. If
	 * `restored`, it is the first one since the store came back from an
	 * older copy, and may bring rows that were removed before.
	 */
	void (*on_sync_begin)(void *context, bool restored);
	/* A row was read or has changed; it is borrowed. */
	void (*on_row)(void *context, const store_row_t *row);
	/* A full read has ended. `outage` is true if the store was unreachable
	 * before it.
	 */
	void (*on_sync_end)(void *context, bool outage);
	/* The store became unreachable, or reachable again. */
	void (*on_reachable)(void *context, bool reachable);
	/* A read got no answer in time, or is late. Other calls in progress at
	 * the store may be lost as well; the user of the watch calls
	 * store_watch_recheck() for each watch of this store.
	 */
	void (*on_silence)(void *context);
	/* Returns the address of another VM that passes the table's feed on,
	 * borrowed; NULL to read from the store. `store_fails` tells that the
	 * latest read from the store has failed. The callback may be NULL.
	 */
	const char *(*choose_reader)(void *context, bool store_fails);
	/* The VM that was chosen last has not answered, or does not pass the
	 * feed on. The next read goes to the store. May be NULL only if
	 * choose_reader is.
	 */
	void (*on_reader_failed)(void *context);
	/* The answer of another VM tells what it has read of the tables of the
	 * configuration and of this project; it is borrowed. May be NULL.
	 */
	void (*on_newest)(void *context, const store_page_t *answer);
} store_watch_handler_t;

typedef struct store_watch store_watch_t;

typedef struct {
	const char *table; /* borrowed */
	const char *address; /* of the store; borrowed */
	int64_t pause_us; /* between reads of the feed */
	int64_t relayed_pause_us; /* the same while another VM passes it on */
	/* Longest wait of one read for a change. The store may lose the read, or
	 * hold its answer back until then: what is known may be as old as that.
	 */
	int64_t wait_us;
	/* The same while another VM confirms that this one lacks no row; 0: none
	 * ever does.
	 */
	int64_t confirmed_wait_us;
	/* Another watch of the same store, or NULL. While its reads fail, this
	 * watch reads less often; its user calls store_watch_retry() when they
	 * succeed again.
	 */
	const store_watch_t *probe;
	const store_watch_handler_t *handler;
	void *context;
} store_watch_options_t;

struct store_watch {
	store_watch_options_t options;
	store_call_t call;
	alarm_t next_read;
	alarm_t overdue; /* of a read that waits for a change */
	alarm_t unconfirmed; /* until then other VMs have confirmed what is known */
	store_page_t page; /* latest answer; without rows once all are applied */
	bool applying; /* it is decoded */
	guint rows_applied;
	alarm_t next_rows; /* decodes or applies more of them */
	int64_t received_us; /* when the latest read ended */
	clock_source_t clock;
	GString *message; /* the latest request */
	char *from_key; /* where the next page of a full read starts */
	int64_t version; /* the feed goes on from it */
	int64_t sync_version; /* of the first page of a full read */
	int64_t sync_sent_us; /* when its read was sent */
	int64_t era; /* of the store; 0: unknown */
	int64_t sent_us; /* when the latest read was sent */
	int64_t wait_until_us; /* until when it waits for a change */
	int64_t last_ok_us; /* when a read last succeeded */
	int64_t as_of_us; /* what was written before is known: when the latest
			     read from the store itself that succeeded was
			     sent */
	unsigned failures; /* reads that failed in a row */
	uint64_t reads; /* sent to the store so far */
	uint64_t relayed_reads; /* sent to other VMs so far */
	bool synced; /* a full read has ended: the feed is read */
	bool waiting; /* the read in progress may wait for a change */
	bool relayed; /* the latest read is or was answered by another VM */
	int64_t newest_row; /* version of the newest row that was read */
	int64_t known_config; /* version up to which this VM knows of rows of the
				 configuration's table, for the VM that passes
				 the feed on; 0: unknown */
	uint64_t held; /* reads whose answer the store has held back */
	uint64_t overdue_reads; /* reads that were not answered after their wait */
	bool rechecking; /* it replaces one that waited */
	bool outage; /* since the last full read */
	bool restored; /* the store was, since the last full read */
	bool reachable; /* the latest read succeeded */
};

void store_watch_init(store_watch_t *watch, http_pool_t *pool,
		      clock_source_t clock,
		      const store_watch_options_t *options);
void store_watch_finish(store_watch_t *watch);
void store_watch_recheck(store_watch_t *watch);
void store_watch_read_now(store_watch_t *watch);
void store_watch_confirm(store_watch_t *watch, int64_t age_us);
void store_watch_end_confirmation(store_watch_t *watch);
int64_t store_watch_age_us(const store_watch_t *watch);
void store_watch_retry(store_watch_t *watch);
void store_watch_read_all(store_watch_t *watch);

#endif
