/* Table, objects, VM list and rates of the fake platform. */
#ifndef PLATFORM_STORE_H
#define PLATFORM_STORE_H

#include "shared_fake.h"

typedef struct {
	GTree *rows; /* key to row_t */
	GHashTable *objects; /* hash to GBytes */
	int64_t last_version; /* of the whole table, never used twice */
} platform_store_t;

typedef struct {
	int64_t second; /* CLOCK_BOOTTIME */
	int64_t reads;
	int64_t writes;
	int64_t throttled; /* included in reads and writes, as the next */
	int64_t failed; /* during an outage */
} platform_second_t;

typedef struct {
	GArray *seconds; /* of platform_second_t, the past ones */
	platform_second_t now;
	int64_t reads_s;
	int64_t writes_s;
} platform_rates_t;

typedef struct {
	GQueue lists; /* of vm_list_t, oldest first; the head is served */
	int64_t lag_us;
} platform_vms_t;

void platform_store_init(platform_store_t *store);
void platform_get_row(platform_store_t *store, SoupServerMessage *message,
		      const char *key);
void platform_list_rows(platform_store_t *store, SoupServerMessage *message,
			const char *prefix);
void platform_put_row(platform_store_t *store, fake_t *fake,
		      SoupServerMessage *message, const char *key);
void platform_delete_row(platform_store_t *store, fake_t *fake,
			 SoupServerMessage *message, const char *key);
void platform_run_object(platform_store_t *store, fake_t *fake,
			 SoupServerMessage *message, const char *hash);

void platform_rates_init(platform_rates_t *rates, int64_t reads_s,
			 int64_t writes_s);
void platform_rates_count(platform_rates_t *rates, bool is_write);
bool platform_rates_allow(platform_rates_t *rates, bool is_write);
void platform_rates_append(const platform_rates_t *rates, GString *out);

void platform_vms_init(platform_vms_t *vms, int64_t lag_us);
void platform_set_vms(platform_vms_t *vms, SoupServerMessage *message,
		      bool at_once);
void platform_reply_vms(platform_vms_t *vms, SoupServerMessage *message);

#endif
