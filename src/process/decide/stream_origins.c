#include "process/decide/stream_origins.h"

/* Most streams that are remembered; the one added first is dropped. */
#define MAX_ORIGINS 65536

/* A stream that is kept for so much longer than before is recorded again. */
#define EXTENSION_US (5 * INT64_C(1000000))

/* Sets up an empty table. */
void stream_origins_init(stream_origins_t *origins)
{
	origins->by_stream = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&origins->in_order);
}

/* Frees what the table owns. */
void stream_origins_finish(stream_origins_t *origins)
{
	g_hash_table_unref(origins->by_stream);
	g_queue_clear_full(&origins->in_order, g_free);
}

/* Removes one stream. */
static void remove_link(stream_origins_t *origins, GList *link)
{
	stream_origin_t *origin = link->data;

	g_hash_table_remove(origins->by_stream, &origin->stream);
	g_queue_delete_link(&origins->in_order, link);
	g_free(origin);
}

/* Adds a stream. Of one that is known already the version stays, and it is kept
 * for the longer of both times.
 */
void stream_origins_put(stream_origins_t *origins,
			const stream_origin_t *origin)
{
	GList *link = g_hash_table_lookup(origins->by_stream, &origin->stream);
	stream_origin_t *known;

	if (link) {
		known = link->data;
		if (origin->expires_us > known->expires_us + EXTENSION_US)
			known->recorded = false;
		known->recorded |= origin->recorded;
		known->expires_us = MAX(known->expires_us, origin->expires_us);
		known->announced_until_us = MAX(known->announced_until_us,
						origin->announced_until_us);
		return;
	}
	if (origins->in_order.length >= MAX_ORIGINS)
		remove_link(origins, origins->in_order.head);
	known = g_new(stream_origin_t, 1);
	*known = *origin;
	g_queue_push_tail(&origins->in_order, known);
	g_hash_table_insert(origins->by_stream, &known->stream,
			    origins->in_order.tail);
}

/* Returns the version that began a stream, or 0 if it is not known. */
uint64_t stream_origins_find(const stream_origins_t *origins, uint64_t stream,
			     int64_t now_us)
{
	const GList *link = g_hash_table_lookup(origins->by_stream, &stream);
	const stream_origin_t *origin = link ? link->data : NULL;

	return origin && origin->expires_us > now_us ? origin->software : 0;
}

/* Replaces the contents of an array of stream_origin_t by the streams that all
 * VMs are to learn of now, those added last first, at most
 * STREAM_ORIGINS_ANNOUNCED of them.
 */
void stream_origins_list_new(const stream_origins_t *origins, GArray *list,
			     int64_t now_us)
{
	g_array_set_size(list, 0);
	for (const GList *link = origins->in_order.tail;
	     link && list->len < STREAM_ORIGINS_ANNOUNCED; link = link->prev) {
		const stream_origin_t *origin = link->data;

		if (origin->announced_until_us > now_us)
			g_array_append_vals(list, origin, 1);
	}
}

/* The same with all known streams, for a VM that knows none. */
void stream_origins_list_all(const stream_origins_t *origins, GArray *list,
			     int64_t now_us)
{
	g_array_set_size(list, 0);
	for (const GList *link = origins->in_order.tail;
	     link && list->len < STREAM_ORIGINS_ANNOUNCED; link = link->prev) {
		const stream_origin_t *origin = link->data;

		if (origin->expires_us > now_us)
			g_array_append_vals(list, origin, 1);
	}
}

/* Replaces the contents of an array of stream_origin_t by streams that the store
 * lacks, at most `max`, and takes them for recorded. Returns whether there are any.
 */
bool stream_origins_list_unrecorded(stream_origins_t *origins, GArray *list,
				    guint max, int64_t now_us)
{
	g_array_set_size(list, 0);
	for (GList *link = origins->in_order.head; link && list->len < max;
	     link = link->next) {
		stream_origin_t *origin = link->data;

		if (origin->recorded || origin->expires_us <= now_us)
			continue;
		origin->recorded = true;
		g_array_append_vals(list, origin, 1);
	}
	return list->len > 0;
}

/* Takes streams for not recorded, as the write of them failed. */
void stream_origins_set_unrecorded(stream_origins_t *origins,
				   const GArray *list)
{
	for (guint i = 0; i < list->len; i++) {
		const GList *link = g_hash_table_lookup(
			origins->by_stream,
			&g_array_index(list, stream_origin_t, i).stream);

		if (link)
			((stream_origin_t *)link->data)->recorded = false;
	}
}

/* Takes all streams for not recorded, as the store was restored from an older copy.
 */
void stream_origins_forget_record(stream_origins_t *origins)
{
	for (const GList *link = origins->in_order.head; link;
	     link = link->next)
		((stream_origin_t *)link->data)->recorded = false;
}

/* Removes the streams that have expired. */
void stream_origins_expire(stream_origins_t *origins, int64_t now_us)
{
	GList *link = origins->in_order.head;

	while (link) {
		GList *next = link->next;
		const stream_origin_t *origin = link->data;

		if (origin->expires_us <= now_us)
			remove_link(origins, link);
		link = next;
	}
}
