#include "process/memory_budget.h"

#include <string.h>

/* What a buffer allocates at first. */
#define FIRST_BYTES 64

/* Sets up a budget of which nothing is used. */
void memory_budget_init(memory_budget_t *budget, size_t max_bytes)
{
	budget->used_bytes = 0;
	budget->max_bytes = max_bytes;
	budget->whole = NULL;
}

/* Returns whether `more` bytes may be allocated. */
bool memory_budget_has_room(const memory_budget_t *budget, size_t more)
{
	for (; budget; budget = budget->whole) {
		if (budget->used_bytes > budget->max_bytes ||
		    more > budget->max_bytes - budget->used_bytes)
			return false;
	}
	return true;
}

/* Counts `bytes` for what was counted with `*counted_bytes` up to now, also beyond the bound. */
void memory_budget_recount(memory_budget_t *budget, size_t *counted_bytes,
			   size_t bytes)
{
	for (; budget; budget = budget->whole)
		budget->used_bytes += bytes - *counted_bytes;
	*counted_bytes = bytes;
}

/* Drops the bytes of a buffer, and its memory if it is large. */
void memory_empty_buffer(GString **bytes)
{
	if ((*bytes)->allocated_len <= MEMORY_SMALL_BYTES) {
		g_string_truncate(*bytes, 0);
		return;
	}
	g_string_free(*bytes, TRUE);
	*bytes = g_string_new(NULL);
}

/* Sets up an empty buffer, which counts nothing. */
void kept_buffer_init(kept_buffer_t *buffer, memory_budget_t *budget)
{
	*buffer = (kept_buffer_t){.budget = budget};
}

/* Frees a buffer. */
void kept_buffer_finish(kept_buffer_t *buffer)
{
	kept_buffer_clear(buffer);
}

/* Makes a buffer large enough for `len` bytes in all, also beyond the bound of its budget, which
 * counts them from now on.
 */
void kept_buffer_reserve_beyond(kept_buffer_t *buffer, size_t len)
{
	if (len <= buffer->allocated_bytes)
		return;
	buffer->data = g_realloc(buffer->data, len);
	memory_budget_recount(buffer->budget, &buffer->allocated_bytes, len);
}

/* The same if the budget has room for it. Returns false, and changes nothing, if not. */
bool kept_buffer_reserve(kept_buffer_t *buffer, size_t len)
{
	if (len > buffer->allocated_bytes &&
	    !memory_budget_has_room(buffer->budget,
				    len - buffer->allocated_bytes))
		return false;
	kept_buffer_reserve_beyond(buffer, len);
	return true;
}

/* Returns the bytes that a buffer is to have allocated for `len`: the next power of two, so that
 * a long message is copied a few times only.
 */
static size_t wanted_bytes(const kept_buffer_t *buffer, size_t len)
{
	size_t wanted = FIRST_BYTES;

	if (len <= buffer->allocated_bytes)
		return buffer->allocated_bytes;
	while (wanted < len)
		wanted *= 2;
	return wanted;
}

/* Appends bytes. Returns false, and appends nothing, if the message would become longer than
 * `max_len` bytes or what is kept of all would pass the budget.
 */
bool kept_buffer_append(kept_buffer_t *buffer, str_t bytes, size_t max_len)
{
	size_t len = buffer->len + bytes.len;
	size_t wanted = wanted_bytes(buffer, len);

	if (len > max_len)
		return false;
	if (len <= MEMORY_SMALL_BYTES)
		kept_buffer_reserve_beyond(buffer, wanted);
	else if (!kept_buffer_reserve(buffer, wanted))
		return false;
	if (bytes.len > 0)
		memcpy(buffer->data + buffer->len, bytes.data, bytes.len);
	buffer->len = len;
	return true;
}

/* Drops all bytes and gives their memory back. */
void kept_buffer_clear(kept_buffer_t *buffer)
{
	memory_budget_recount(buffer->budget, &buffer->allocated_bytes, 0);
	g_free(buffer->data);
	kept_buffer_init(buffer, buffer->budget);
}

/* Frees bytes that were taken from a buffer, and what they count. */
static void free_taken(gpointer data)
{
	kept_buffer_t *taken = data;

	kept_buffer_finish(taken);
	g_free(taken);
}

/* Takes the bytes out of a buffer, which is empty then. They count in the budget, which has to
 * outlive them, until the last reference to them is dropped. Memory that they do not need is
 * given back.
 */
GBytes *kept_buffer_take(kept_buffer_t *buffer)
{
	kept_buffer_t *taken;

	if (buffer->len == 0) {
		kept_buffer_clear(buffer);
		return g_bytes_new(NULL, 0);
	}
	if (buffer->allocated_bytes > buffer->len) {
		buffer->data = g_realloc(buffer->data, buffer->len);
		memory_budget_recount(buffer->budget, &buffer->allocated_bytes,
				      buffer->len);
	}
	taken = g_new(kept_buffer_t, 1);
	*taken = *buffer;
	kept_buffer_init(buffer, buffer->budget);
	return g_bytes_new_with_free_func(taken->data, taken->len, free_taken,
					  taken);
}

/* Returns the bytes, borrowed until the buffer is changed. */
str_t kept_buffer_bytes(const kept_buffer_t *buffer)
{
	return buffer->len > 0 ? (str_t){buffer->data, buffer->len} : STR("");
}
