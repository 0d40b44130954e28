/* Stand-in of the platform's store: rows, transactions under conditions and feeds. */
#ifndef REVIEW_STORE_H
#define REVIEW_STORE_H

int store_start(void);
void store_put(const char *table, const char *key, const char *text);
void store_remove(const char *table, const char *key);

#endif
