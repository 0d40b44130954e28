#include "process/decide/departures.h"

/* How long a departure is announced, which covers several announcements of a fleet
 * of a hundred VMs.
 */
#define ANNOUNCED_US (3 * INT64_C(1000000))

/* How long other VMs send the server no work after it was read. By then they have
 * read the list themselves, unless they have lost the store.
 */
#define AVOIDED_US (6 * INT64_C(1000000))

/* Most departures that are announced at a time; older ones are dropped. */
#define MAX_DEPARTURES 24

/* Sets up an empty list. */
void departures_init(departures_t *departures)
{
	departures->list = g_array_new(FALSE, FALSE, sizeof(departure_t));
}

/* Frees the list. */
void departures_finish(departures_t *departures)
{
	g_array_unref(departures->list);
}

/* Adds a server, unless it is announced already. */
void departures_add(departures_t *departures, const char *server,
		    int64_t now_us)
{
	departure_t departure = {.read_us = now_us};

	for (guint i = 0; i < departures->list->len; i++) {
		if (g_str_equal(g_array_index(departures->list, departure_t, i)
					.server,
				server))
			return;
	}
	if (departures->list->len >= MAX_DEPARTURES)
		g_array_remove_index(departures->list, 0);
	g_strlcpy(departure.server, server, sizeof(departure.server));
	g_array_append_val(departures->list, departure);
}

/* Forgets a server whose entry is back in the list. */
void departures_cancel(departures_t *departures, const char *server)
{
	for (guint i = 0; i < departures->list->len; i++) {
		const departure_t *departure =
			&g_array_index(departures->list, departure_t, i);

		if (g_str_equal(departure->server, server)) {
			g_array_remove_index(departures->list, i);
			return;
		}
	}
}

/* Returns whether an announcement that a server gets no work until a time may tell of a
 * departure that was read before the server's entry came back.
 */
bool departures_may_be_before(int64_t until_us, int64_t returned_us)
{
	return returned_us != 0 && until_us <= returned_us + AVOIDED_US;
}

/* Appends the servers that are announced to an array of occupancy_unavailable_t, and
 * forgets those that have been announced for long enough.
 */
void departures_append_to(departures_t *departures, GArray *unavailable,
			  int64_t now_us)
{
	while (departures->list->len > 0 &&
	       now_us - g_array_index(departures->list, departure_t, 0).read_us >=
		       ANNOUNCED_US)
		g_array_remove_index(departures->list, 0);
	for (guint i = 0; i < departures->list->len; i++) {
		const departure_t *departure =
			&g_array_index(departures->list, departure_t, i);
		occupancy_unavailable_t item = {.until_us = departure->read_us +
							    AVOIDED_US};

		g_strlcpy(item.server, departure->server, sizeof(item.server));
		g_array_append_val(unavailable, item);
	}
}
