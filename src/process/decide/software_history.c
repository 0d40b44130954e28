#include "process/decide/software_history.h"

/* How long callers may ask for the rest of a stream at least. */
#define DEFAULT_KEPT_US (30 * INT64_C(1000000))

/* The history is not complete when the servers were last observed longer ago: the
 * VM may have lost the store, and another version may serve by now.
 */
#define MAX_AGE_US (5 * INT64_C(1000000))

/* Frees what a software_version_t owns, as the elements of an array. */
void software_version_clear(gpointer version)
{
	g_free(((software_version_t *)version)->service);
}

/* Sets up an empty history. */
void software_history_init(software_history_t *history)
{
	*history = (software_history_t){
		.versions =
			g_array_new(FALSE, FALSE, sizeof(software_version_t)),
		.kept_us = DEFAULT_KEPT_US,
	};
	g_array_set_clear_func(history->versions, software_version_clear);
}

/* Frees what the history owns. */
void software_history_finish(software_history_t *history)
{
	g_array_unref(history->versions);
}

/* Removes the versions whose last server left too long ago. */
static void expire(software_history_t *history, int64_t now_us)
{
	for (guint i = history->versions->len; i-- > 0;) {
		const software_version_t *version = &g_array_index(
			history->versions, software_version_t, i);

		if (now_us - version->seen_us > history->kept_us)
			g_array_remove_index_fast(history->versions, i);
	}
}

/* Begins an observation of all servers: each version that one has is added next.
 * After a pause in the observations the history starts anew, as versions may have
 * come and gone.
 */
void software_history_begin(software_history_t *history, int64_t now_us)
{
	bool paused = now_us - history->observed_us > MAX_AGE_US;

	if (history->watched_since_us == 0 || paused)
		history->watched_since_us = now_us;
	if (paused && history->observed_us != 0)
		history->recorded = false;
	history->observed_us = now_us;
	expire(history, now_us);
}

/* Finds a version, or NULL. */
static software_version_t *find(const software_history_t *history,
				const char *service, uint64_t software)
{
	for (guint i = 0; i < history->versions->len; i++) {
		software_version_t *version = &g_array_index(
			history->versions, software_version_t, i);

		if (version->software == software &&
		    g_str_equal(version->service, service))
			return version;
	}
	return NULL;
}

/* Adds a version that a server has now. */
void software_history_add(software_history_t *history, const char *service,
			  uint64_t software, int64_t now_us)
{
	software_version_t *known = find(history, service, software);
	software_version_t version = {.software = software, .seen_us = now_us};

	if (known) {
		known->seen_us = now_us;
		return;
	}
	version.service = g_strdup(service);
	g_array_append_val(history->versions, version);
}

/* Adds a version that earlier VMs have recorded. When its last server left is not
 * known; it is kept from now on.
 */
void software_history_add_recorded(software_history_t *history,
				   const char *service, uint64_t software,
				   int64_t now_us)
{
	if (!find(history, service, software))
		software_history_add(history, service, software, now_us);
}

/* Returns whether a version may have begun a stream that can still go on. */
bool software_history_has(const software_history_t *history,
			  const char *service, uint64_t software)
{
	return find(history, service, software) != NULL;
}

/* Returns whether no version is missing that may have begun a stream whose rest
 * can still be asked for.
 */
bool software_history_is_complete(const software_history_t *history,
				  int64_t now_us)
{
	if (history->watched_since_us == 0 ||
	    now_us - history->observed_us > MAX_AGE_US)
		return false;
	return history->recorded ||
	       now_us - history->watched_since_us >= history->kept_us;
}

/* Ends an observation: all versions are known that the platform's list had at a time. */
void software_history_set_as_of(software_history_t *history, int64_t as_of_us)
{
	history->as_of_us = MAX(history->as_of_us, as_of_us);
}

/* Returns whether no version is missing that may have begun a stream before a time. A
 * server is listed before it begins streams, so that it takes a list from then or later:
 * a VM that is out of touch cannot know which versions have joined since its last one.
 */
bool software_history_covers(const software_history_t *history, int64_t time_us,
			     int64_t now_us)
{
	return history->as_of_us >= time_us &&
	       software_history_is_complete(history, now_us);
}

/* Returns how many versions a service has, or had until a short time ago. */
unsigned software_history_count(const software_history_t *history,
				const char *service)
{
	unsigned n = 0;

	for (guint i = 0; i < history->versions->len; i++)
		n += g_str_equal(g_array_index(history->versions,
					       software_version_t, i)
					 .service,
				 service)
			     ? 1
			     : 0;
	return n;
}

/* Returns the only version of a service, or 0 if it has none or several. */
uint64_t software_history_only(const software_history_t *history,
			       const char *service)
{
	uint64_t only = 0;

	for (guint i = 0; i < history->versions->len; i++) {
		const software_version_t *version = &g_array_index(
			history->versions, software_version_t, i);

		if (!g_str_equal(version->service, service))
			continue;
		if (only != 0)
			return 0;
		only = version->software;
	}
	return only;
}

/* Returns whether some service has several versions. */
bool software_history_is_mixed(const software_history_t *history)
{
	for (guint i = 0; i < history->versions->len; i++) {
		if (software_history_count(history,
					   g_array_index(history->versions,
							 software_version_t, i)
						   .service) > 1)
			return true;
	}
	return false;
}
