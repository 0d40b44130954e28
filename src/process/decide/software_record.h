/* The record of all versions of their software that servers have had, which the VMs
 * keep in the platform's store for VMs that start after all others were lost, and
 * which VMs write there which version began each stream.
 *
 * It holds for one era of the store: a record that comes back with an older copy of
 * the store may lack versions, and is not complete. Pure: no clock, no I/O.
 */
#ifndef PROCESS_SOFTWARE_RECORD_H
#define PROCESS_SOFTWARE_RECORD_H

#include "process/decide/software_history.h"

/* How many VMs write which version began each stream. */
#define SOFTWARE_RECORDERS 2

typedef struct {
	int64_t era; /* of the store, when it was written; 0: not stated */
	bool complete; /* it lacks no version */
	GPtrArray *recorders; /* names of VMs */
	GArray *versions; /* of software_version_t; without a time */
} software_record_t;

/* What a VM knows when it decides what the record should be. */
typedef struct {
	const software_history_t *history;
	int64_t era; /* of the store */
	const char *vm; /* this one */
	bool (*is_live)(void *context, const char *vm);
	void *context;
} software_knowledge_t;

void software_record_init(software_record_t *record);
void software_record_init_copy(software_record_t *record,
			       const software_record_t *other);
void software_record_finish(software_record_t *record);
bool software_record_parse(software_record_t *record, str_t text);
void software_record_format(const software_record_t *record, GString *text);
bool software_record_has_recorder(const software_record_t *record,
				  const char *vm);
void software_record_add_to(const software_record_t *record,
			    software_history_t *history, int64_t now_us);
bool software_record_is_complete(const software_record_t *record, int64_t era);
bool software_record_update(software_record_t *record,
			    const software_knowledge_t *knowledge,
			    int64_t now_us);

#endif
