/* A caller that sends requests over one kept connection and checks what comes
 * back.
 */
#ifndef SOAK_CALLER_H
#define SOAK_CALLER_H

#include "connection/http_pool.h"
#include "soak_server.h"

typedef enum {
	SOAK_SAFE,
	SOAK_UNSAFE,
	SOAK_STREAM,
	SOAK_RESUMABLE, /* a stream whose rest may be asked for */
	SOAK_KINDS_N,
} soak_kind_t;

typedef struct {
	unsigned sent;
	unsigned served;
	unsigned refused;
	unsigned failed; /* other answers */
	unsigned repeated; /* refused requests that were sent again */
	unsigned broken; /* no whole answer */
	unsigned resumed; /* streams that went on after they had broken off */
	unsigned resumed_at_other_build; /* of these, at a VM of another one */
} soak_counts_t;

typedef struct soak_caller soak_caller_t;

soak_caller_t *soak_caller_new(soak_world_t *world, http_pool_t *pool,
			       soak_counts_t *counts);
void soak_caller_free(soak_caller_t *caller);
bool soak_caller_is_busy(const soak_caller_t *caller);
bool soak_caller_wants_rest(const soak_caller_t *caller);
bool soak_caller_wants_repeat(const soak_caller_t *caller);
void soak_caller_repeat(soak_caller_t *caller, const char *address,
			const char *program);
void soak_caller_ask_for_rest(soak_caller_t *caller, const char *address,
			      const char *program);
void soak_caller_send(soak_caller_t *caller, const char *address,
		      const char *program, soak_kind_t kind,
		      int64_t leave_at_us);

#endif
