#include "connection/request_body.h"

#include <string.h>

/* Reserves the memory that a body may need in all. A body that alone is longer than the budget
 * is taken when there is no other one. Returns false if there is no room.
 */
static bool reserve(request_body_t *body)
{
	memory_budget_t *budget = body->budget;
	size_t bytes = body->stated_bytes >= 0 ? (size_t)body->stated_bytes
					       : body->max_bytes;
	bool is_alone;

	if (!budget || bytes <= body->reserved_bytes)
		return true;
	is_alone = budget->used_bytes == 0 && bytes > budget->max_bytes;
	if (!is_alone && !memory_budget_has_room(budget, bytes))
		return false;
	memory_budget_recount(budget, &body->reserved_bytes, bytes);
	return true;
}

/* Begins a body and reserves its length, or the longest that is allowed if it is known at its
 * end only (-1). Small bodies need nothing reserved. Returns false if there is no room; a body
 * of unknown length may then turn out to be small.
 */
bool request_body_begin(request_body_t *body, memory_budget_t *budget,
			int64_t stated_bytes, size_t max_bytes)
{
	request_body_clear(body);
	body->budget = budget;
	body->stated_bytes = stated_bytes;
	body->max_bytes = max_bytes;
	return (stated_bytes >= 0 && stated_bytes <= MEMORY_SMALL_BYTES) ||
	       reserve(body);
}

/* Makes the memory of a body large enough for so many bytes. */
static void allocate(request_body_t *body, size_t len)
{
	size_t wanted = MIN(2 * body->allocated_bytes, body->max_bytes);

	if (len <= body->allocated_bytes)
		return;
	if (body->stated_bytes >= 0)
		wanted = (size_t)body->stated_bytes;
	body->allocated_bytes = MAX(wanted, len);
	body->data = g_realloc(body->data, body->allocated_bytes);
}

/* Appends a piece. Nothing is appended unless it was taken. */
body_result_t request_body_append(request_body_t *body, str_t bytes)
{
	size_t len = body->len + bytes.len;

	if (len > body->max_bytes)
		return BODY_TOO_LARGE;
	if (len > MEMORY_SMALL_BYTES && !reserve(body))
		return BODY_NO_ROOM;
	allocate(body, len);
	memcpy(body->data + body->len, bytes.data, bytes.len);
	body->len = len;
	return BODY_TAKEN;
}

/* Returns a body that is complete, owned by the caller of this function. What it does not need
 * of the memory is given back; the rest stays reserved until request_body_clear().
 */
GBytes *request_body_complete(request_body_t *body)
{
	GBytes *bytes;

	if (body->allocated_bytes > body->len)
		body->data = g_realloc(body->data, body->len);
	if (body->budget)
		memory_budget_recount(body->budget, &body->reserved_bytes,
				      body->len > MEMORY_SMALL_BYTES ? body->len
								     : 0);
	bytes = g_bytes_new_take(body->data, body->len);
	body->data = NULL;
	body->len = 0;
	body->allocated_bytes = 0;
	return bytes;
}

/* Drops a body and gives back what is reserved for it. */
void request_body_clear(request_body_t *body)
{
	if (body->budget)
		memory_budget_recount(body->budget, &body->reserved_bytes, 0);
	g_free(body->data);
	*body = (request_body_t){0};
}
