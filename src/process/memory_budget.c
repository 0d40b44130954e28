#include "process/memory_budget.h"

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
	buffer->budget = budget;
	buffer->bytes = g_string_new(NULL);
	buffer->counted_bytes = 0;
}

/* Frees a buffer. */
void kept_buffer_finish(kept_buffer_t *buffer)
{
	memory_budget_recount(buffer->budget, &buffer->counted_bytes, 0);
	g_string_free(buffer->bytes, TRUE);
}

/* Returns the bytes that a buffer has to allocate anew for `len` more: GString takes the next
 * power of two.
 */
static size_t growth_for(const kept_buffer_t *buffer, size_t len)
{
	size_t wanted = buffer->bytes->len + len + 1;
	size_t allocated = 1;

	if (wanted <= buffer->bytes->allocated_len)
		return 0;
	while (allocated < wanted)
		allocated *= 2;
	return allocated - buffer->counted_bytes;
}

/* Appends bytes. Returns false, and appends nothing, if the message would become longer than
 * `max_len` bytes or what is kept of all would pass the budget.
 */
bool kept_buffer_append(kept_buffer_t *buffer, str_t bytes, size_t max_len)
{
	size_t len = buffer->bytes->len + bytes.len;

	if (len > max_len)
		return false;
	if (len > MEMORY_SMALL_BYTES &&
	    !memory_budget_has_room(buffer->budget,
				    growth_for(buffer, bytes.len)))
		return false;
	g_string_append_len(buffer->bytes, bytes.data, (gssize)bytes.len);
	memory_budget_recount(buffer->budget, &buffer->counted_bytes,
			      buffer->bytes->allocated_len);
	return true;
}

/* Drops all bytes, and the memory of a large message. */
void kept_buffer_clear(kept_buffer_t *buffer)
{
	memory_budget_recount(buffer->budget, &buffer->counted_bytes, 0);
	memory_empty_buffer(&buffer->bytes);
}

/* Returns the bytes, borrowed until the buffer is changed. */
str_t kept_buffer_bytes(const kept_buffer_t *buffer)
{
	return str_from_gstring(buffer->bytes);
}
