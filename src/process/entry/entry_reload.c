#include "process/entry/entry_reload.h"

#include <sys/stat.h>

#include "process/entry/entry_updates.h"
#include "process/log.h"

#define SETTINGS_CHECK_US (1 * CLOCK_US_PER_S)

static int64_t modified_us(const char *path)
{
	struct stat info;

	if (stat(path, &info) < 0)
		return -1;
	return info.st_mtim.tv_sec * CLOCK_US_PER_S +
	       info.st_mtim.tv_nsec / 1000;
}

/* Takes note of the file that the settings in force come from. */
void entry_record_settings_mtime(entry_t *entry)
{
	entry->settings_mtime_us = modified_us(entry->settings_path);
}

/* Takes over what can change while the process runs. Addresses on which it
 * listens, and its name, hold until the next start.
 */
static void apply_settings(entry_t *entry, entry_settings_t *next)
{
	entry_settings_t *now = &entry->settings;

	now->shutdown_limit_s = next->shutdown_limit_s;
	now->retry_share = next->retry_share;
	now->retry_slack = next->retry_slack;
	now->log_level = next->log_level;
	entry_set_retry_budget(entry);
	if (!g_str_equal(now->store_address, next->store_address)) {
		char *address = now->store_address;

		now->store_address = next->store_address;
		next->store_address = address;
		store_rows_finish(&entry->rows);
		stage_orders_finish(&entry->orders);
		stage_orders_init(&entry->orders, entry->clock,
				  &entry->store_pool, &entry->server_pool,
				  &entry->servers, &entry->occupancy, now->vm,
				  now->store_address);
		entry_follow_store(entry);
	}
}

/* Reads the settings file. One with errors changes nothing. */
void entry_reload(entry_t *entry)
{
	entry_settings_t next;
	diag_t diag;

	entry_record_settings_mtime(entry);
	diag_init(&diag);
	if (entry_settings_load(entry->settings_path, &next, &diag)) {
		apply_settings(entry, &next);
		log_event(LOG_INFO, "settings_reloaded");
	} else {
		GString *text = g_string_new(NULL);

		diag_print(&diag, text);
		log_event(LOG_ERROR, "settings_rejected",
			  LOG_STR("errors", str_from_gstring(text)));
		g_string_free(text, TRUE);
	}
	entry_settings_finish(&next);
	diag_finish(&diag);
}

/* Reads the settings file when it has changed without a signal. */
void entry_reload_if_changed(entry_t *entry, int64_t now_us)
{
	if (now_us < entry->next_settings_check_us)
		return;
	entry->next_settings_check_us = now_us + SETTINGS_CHECK_US;
	if (modified_us(entry->settings_path) != entry->settings_mtime_us)
		entry_reload(entry);
}
