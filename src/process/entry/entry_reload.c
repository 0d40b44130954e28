#include "process/entry/entry_reload.h"

#include <sys/stat.h>

#include "process/entry/entry_updates.h"
#include "process/log.h"

/* Interval between checks whether the settings file has changed. */
#define SETTINGS_CHECK_US (1 * CLOCK_US_PER_S)

/* Returns the file's time of modification; -1 when it cannot be read. */
static int64_t file_mtime_us(const char *path)
{
	struct stat info;

	if (stat(path, &info) < 0)
		return -1;
	return info.st_mtim.tv_sec * CLOCK_US_PER_S +
	       info.st_mtim.tv_nsec / 1000;
}

/* Records the modification time of the settings file that is about to be read
 * or was just read.
 */
void entry_record_settings_mtime(entry_t *entry)
{
	entry->settings_mtime_us = file_mtime_us(entry->settings_path);
}

/* Applies the settings that can change while the process runs. The VM's name,
 * its zone and the addresses on which it listens stay until the next start. A
 * new address of the store is moved out of *next in exchange for the old one;
 * the caller still frees *next.
 */
static void apply_settings(entry_t *entry, entry_settings_t *next)
{
	entry_settings_t *current = &entry->settings;

	current->shutdown_limit_s = next->shutdown_limit_s;
	current->retry_share = next->retry_share;
	current->retry_slack = next->retry_slack;
	current->log_level = next->log_level;
	entry_set_retry_budget(entry);
	if (!g_str_equal(current->store_address, next->store_address)) {
		char *address = current->store_address;

		current->store_address = next->store_address;
		next->store_address = address;
		store_rows_finish(&entry->rows);
		stage_orders_finish(&entry->orders);
		entry_init_orders(entry);
		entry_follow_store(entry);
	}
}

/* Reads and applies the settings file. If it has an error, nothing changes and
 * the errors are logged.
 */
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

/* Reloads the settings when their file has changed, for operators who send no
 * SIGHUP after a change.
 */
void entry_reload_if_changed(entry_t *entry, int64_t now_us)
{
	if (now_us < entry->next_settings_check_us)
		return;
	entry->next_settings_check_us = now_us + SETTINGS_CHECK_US;
	if (file_mtime_us(entry->settings_path) != entry->settings_mtime_us)
		entry_reload(entry);
}
