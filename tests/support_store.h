/* Stand-in of the platform's store, which speaks its published calls. */
#ifndef SUPPORT_STORE_H
#define SUPPORT_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "connection/ingress.h"

typedef struct {
	char *table;
	char *key;
	char *value; /* base64; NULL: removed */
	int64_t version;
} fake_row_t;

typedef struct {
	ingress_t ingress;
	GPtrArray *rows; /* of fake_row_t, one for each table and key */
	GQueue waiting; /* of feed_t */
	int64_t version;
	int64_t history_start_version; /* feeds from before are told to start over */
	unsigned responses_to_drop; /* so many writes are done without an answer */
	bool busy; /* each call is refused */
} fake_store_t;

void fake_store_start(fake_store_t *store, const char *address);
void fake_store_stop(fake_store_t *store);
void fake_store_put(fake_store_t *store, const char *table, const char *key,
		    const char *text);
int64_t fake_store_row_version(fake_store_t *store, const char *table,
			       const char *key);
void fake_store_remove(fake_store_t *store, const char *table, const char *key);
void fake_store_forget_history(fake_store_t *store);

#endif
