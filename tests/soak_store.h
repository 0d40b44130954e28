/* Stand-in of the platform's store, which speaks its published calls. */
#ifndef SOAK_STORE_H
#define SOAK_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "connection/ingress.h"

typedef struct {
	char *table;
	char *key;
	char *value; /* base64; NULL: removed */
	int64_t version;
} soak_row_t;

typedef struct {
	ingress_t ingress;
	GPtrArray *rows; /* of soak_row_t, one for each table and key */
	GQueue waiting; /* of feed_t */
	int64_t version;
	int64_t history_from; /* feeds from before are told to start over */
	unsigned lose_answers; /* so many writes are done without an answer */
	bool busy; /* each call is refused */
} soak_store_t;

void soak_store_start(soak_store_t *store, const char *address);
void soak_store_stop(soak_store_t *store);
void soak_store_put(soak_store_t *store, const char *table, const char *key,
		    const char *text);
void soak_store_remove(soak_store_t *store, const char *table, const char *key);
void soak_store_forget_history(soak_store_t *store);

#endif
