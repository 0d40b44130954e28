/* A bound on the memory that a process takes for what it keeps of messages, whatever their
 * number. A buffer counts with the bytes that it has allocated, whether they are filled or not.
 */
#ifndef PROCESS_MEMORY_BUDGET_H
#define PROCESS_MEMORY_BUDGET_H

#include "process/str.h"

/* So much of each message is kept whatever is kept of others, and a buffer that is empty holds
 * on to no more.
 */
#define MEMORY_SMALL_BYTES 4096

typedef struct memory_budget {
	size_t used_bytes;
	size_t max_bytes;
	/* A larger budget, in which all that is used of this one counts too; NULL: none. Set
	 * by the owner before anything is used.
	 */
	struct memory_budget *whole;
} memory_budget_t;

/* Bytes of one message that are kept until it is complete. */
typedef struct {
	memory_budget_t *budget;
	char *data; /* NULL: nothing is allocated */
	size_t len;
	size_t allocated_bytes; /* all count in the budget */
} kept_buffer_t;

void memory_budget_init(memory_budget_t *budget, size_t max_bytes);
bool memory_budget_has_room(const memory_budget_t *budget, size_t more);
void memory_budget_recount(memory_budget_t *budget, size_t *counted_bytes,
			   size_t bytes);

void memory_empty_buffer(GString **bytes);

void kept_buffer_init(kept_buffer_t *buffer, memory_budget_t *budget);
void kept_buffer_finish(kept_buffer_t *buffer);
bool kept_buffer_reserve(kept_buffer_t *buffer, size_t len);
void kept_buffer_reserve_beyond(kept_buffer_t *buffer, size_t len);
bool kept_buffer_append(kept_buffer_t *buffer, str_t bytes, size_t max_len);
void kept_buffer_clear(kept_buffer_t *buffer);
GBytes *kept_buffer_take(kept_buffer_t *buffer);
str_t kept_buffer_bytes(const kept_buffer_t *buffer);

#endif
