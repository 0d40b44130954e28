/* A desired state as content-addressed parts, so that a small change moves few
 * bytes. docs/configuration.md describes the texts.
 */
#ifndef VERSION_MANIFEST_H
#define VERSION_MANIFEST_H

#include "version/state.h"

#define MANIFEST_HASH_DIGITS 64

/* Parts that backend servers and workspaces are distributed to by a hash of
 * their names. More parts make a change smaller, but a VM that starts reads
 * each of them: see docs/measurements.md.
 */
#define MANIFEST_BUCKETS 256

/* Longest accepted manifest or delta: all parts, 90 bytes each. */
#define MANIFEST_MAX_BYTES 65536

/* A parsed part. Manifests share it, so that a change of one part does not
 * parse the others again: toml++ takes four fifths of the time that a state of
 * 5,200 workspaces and 8,000 backend servers needs.
 */
typedef struct {
	int refs;
	toml_node_t *root;
} part_tree_t;

typedef struct {
	char name[24];
	char hash[MANIFEST_HASH_DIGITS + 1]; /* SHA-256 of the bytes */
	uint64_t size; /* bytes */
	GBytes *bytes; /* NULL while not known */
	part_tree_t *tree; /* of the bytes, NULL until they are parsed */
} manifest_part_t;

typedef struct {
	GArray *parts; /* of manifest_part_t, ordered by name */
} manifest_t;

void manifest_init(manifest_t *manifest);
void manifest_finish(manifest_t *manifest);
void manifest_split(manifest_t *manifest, const state_t *state);
bool manifest_assemble(manifest_t *manifest, state_t **state, diag_t *diag);
void manifest_copy(manifest_t *to, const manifest_t *from);
void manifest_print(const manifest_t *manifest, GString *out);
bool manifest_parse(manifest_t *manifest, str_t text);
void manifest_print_delta(const manifest_t *from, const manifest_t *to,
			  GString *out);
bool manifest_apply_delta(manifest_t *manifest, str_t delta);
manifest_part_t *manifest_find(const manifest_t *manifest, const char *name);
size_t manifest_take_bytes(manifest_t *manifest, const manifest_t *from);
bool manifest_set_bytes(manifest_part_t *part, GBytes *bytes);
void manifest_hash(str_t bytes, char hash[MANIFEST_HASH_DIGITS + 1]);

#endif
