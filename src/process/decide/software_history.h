/* Which versions of their software the servers of each service have, or had until
 * a short time ago.
 *
 * It tells which versions may have begun a stream whose caller can still ask for
 * the rest. A VM that has just started cannot have seen a version that left before;
 * its history is complete once it has watched the servers for long enough, or once
 * a record that earlier VMs have kept was added. Pure: no clock, no I/O.
 */
#ifndef PROCESS_SOFTWARE_HISTORY_H
#define PROCESS_SOFTWARE_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "process/str.h"

/* A version of a service's software. */
typedef struct {
	char *service;
	uint64_t software; /* identifies the version; not 0 */
	int64_t seen_us; /* when a server last had it */
} software_version_t;

typedef struct {
	GArray *versions; /* of software_version_t */
	int64_t kept_us; /* how long a version is kept after its last server:
			    as long as callers may ask for the rest of a
			    stream */
	int64_t watched_since_us; /* 0: the servers are not known yet */
	int64_t observed_us; /* when the servers were last observed */
	int64_t as_of_us; /* the versions that the platform's list had then are
			     all known */
	bool recorded; /* a complete record of earlier VMs was added */
} software_history_t;

void software_version_clear(gpointer version);

void software_history_init(software_history_t *history);
void software_history_finish(software_history_t *history);
void software_history_begin(software_history_t *history, int64_t now_us);
void software_history_add(software_history_t *history, const char *service,
			  uint64_t software, int64_t now_us);
void software_history_add_recorded(software_history_t *history,
				   const char *service, uint64_t software,
				   int64_t now_us);
bool software_history_has(const software_history_t *history,
			  const char *service, uint64_t software);
bool software_history_is_complete(const software_history_t *history,
				  int64_t now_us);
void software_history_set_as_of(software_history_t *history, int64_t as_of_us);
bool software_history_covers(const software_history_t *history, int64_t time_us,
			     int64_t now_us);
unsigned software_history_count(const software_history_t *history,
				const char *service);
uint64_t software_history_only(const software_history_t *history,
			       const char *service);
bool software_history_is_mixed(const software_history_t *history);

#endif
