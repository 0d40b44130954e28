/* The head of a configuration version: the small text in the platform's table
 * that names the manifest. It is polled, so it stays small.
 */
#ifndef VERSION_HEAD_H
#define VERSION_HEAD_H

#include "version/manifest.h"

#define HEAD_ATTEMPT_DIGITS 32
#define HEAD_AUTHOR_BYTES 64
#define HEAD_MAX_BYTES 2048

/* Deltas from the preceding manifests. A VM that missed a few versions still
 * follows the chain instead of reading the whole manifest.
 */
#define HEAD_DELTAS 4

/* Earlier versions that a head names, so that an author whose answer was lost
 * learns what became of a version that has already been replaced.
 */
#define HEAD_PAST 4

typedef struct {
	uint64_t version;
	char attempt[HEAD_ATTEMPT_DIGITS + 1];
	char author[HEAD_AUTHOR_BYTES + 1];
} head_past_t;

/* A delta object and the manifests that it leads between. */
typedef struct {
	char from[MANIFEST_HASH_DIGITS + 1];
	char to[MANIFEST_HASH_DIGITS + 1];
	char hash[MANIFEST_HASH_DIGITS + 1];
	uint64_t size;
} head_delta_t;

typedef struct {
	char deployment[64];
	uint64_t version;
	char author[HEAD_AUTHOR_BYTES + 1];
	char attempt[HEAD_ATTEMPT_DIGITS + 1]; /* unique for each submission */
	uint64_t time_s; /* wall clock of the author, for people */
	char manifest[MANIFEST_HASH_DIGITS + 1];
	uint64_t manifest_size;
	head_delta_t deltas[HEAD_DELTAS]; /* oldest first */
	size_t n_deltas;
	head_past_t past[HEAD_PAST]; /* oldest first */
	size_t n_past;
} head_t;

void head_print(const head_t *head, GString *out);
bool head_parse(head_t *head, str_t text);
bool head_is_author(str_t text);
void head_add_delta(head_t *head, const head_delta_t *delta);
void head_add_past(head_t *head, const head_past_t *past);
const head_past_t *head_find_past(const head_t *head, uint64_t version);
const head_delta_t *head_find_delta(const head_t *head, const char *from);

#endif
