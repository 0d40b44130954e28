/* In-process stand-in for the platform's store, which answers the calls of its
 * published protocol.
 */
#ifndef SUPPORT_STORE_H
#define SUPPORT_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "connection/ingress.h"

/* A row, or what is left of a removed one. */
typedef struct {
	char *table;
	char *key;
	char *value; /* base64; NULL if the row was removed */
	int64_t version;
} fake_row_t;

/* The store and the faults that a test injects. */
typedef struct {
	ingress_t ingress;
	GPtrArray *rows; /* of fake_row_t, one for each table and key */
	GQueue waiting; /* of feed_t, without an answer yet */
	int64_t version; /* of the last write */
	int64_t history_start_version; /* older feeds get 410 */
	unsigned responses_to_drop; /* writes that get no answer */
	bool busy; /* every call gets status 503 */
	bool silent; /* calls get no answer, also not later */
	bool holds_feeds; /* feeds that begin now hear of no change */
	const char *lost_feeds; /* table whose feeds' answers are lost, or NULL */
	bool garbles_last; /* a row that is malformed follows the others */
	int64_t era; /* stated in each answer; 0: not stated */
} fake_store_t;

void fake_store_start(fake_store_t *store, const char *address);
void fake_store_stop(fake_store_t *store);
void fake_store_put(fake_store_t *store, const char *table, const char *key,
		    const char *text);
int64_t fake_store_row_version(fake_store_t *store, const char *table,
			       const char *key);
char *fake_store_text(fake_store_t *store, const char *table, const char *key);
void fake_store_remove(fake_store_t *store, const char *table, const char *key);
void fake_store_forget_history(fake_store_t *store);
void fake_store_hold_feeds(fake_store_t *store);
void fake_store_restore(fake_store_t *store, int64_t version);

#endif
