#include "process/orphan.h"

#include "process/log.h"

/* Longer than the membership takes to find a VM dead. */
#define LAPSED_KEPT_US (60 * CLOCK_US_PER_S)

/* A grant that lapsed although its VM was not known to be dead. */
typedef struct {
	char *engine;
	char *vm;
	uint64_t incarnation;
	ledger_key_t key;
	int64_t until_us;
} lapsed_t;

static void lapsed_clear(gpointer data)
{
	lapsed_t *lapsed = data;

	g_free(lapsed->engine);
	g_free(lapsed->vm);
}

/* Sets up an empty list; the canceller must outlive it. */
void orphan_init(orphans_t *orphans, canceller_t *canceller,
		 clock_source_t clock)
{
	orphans->canceller = canceller;
	orphans->clock = clock;
	orphans->lapsed = g_array_new(FALSE, FALSE, sizeof(lapsed_t));
	g_array_set_clear_func(orphans->lapsed, lapsed_clear);
}

/* Frees the list. */
void orphan_finish(orphans_t *orphans)
{
	g_array_unref(orphans->lapsed);
}

static void to_hex(const uint8_t request[LEDGER_REQUEST_ID_BYTES],
		   char text[33])
{
	for (size_t i = 0; i < LEDGER_REQUEST_ID_BYTES; i++)
		g_snprintf(text + 2 * i, 3, "%02x", request[i]);
}

/* Cancels an attempt of a dead VM at an engine. */
void orphan_cancel(orphans_t *orphans, const char *engine, str_t vm,
		   const ledger_key_t *key)
{
	char request[33];

	to_hex(key->request, request);
	log_event(LOG_INFO, "orphan_cancelled", LOG_CSTR("request", request),
		  LOG_UINT("attempt", key->attempt), LOG_CSTR("engine", engine),
		  LOG_STR("dead_vm", vm));
	canceller_add(orphans->canceller, str_from(engine), str_from(request),
		      key->attempt);
}

/*
 * Keeps a grant that was not renewed. Its router may be dead, or only cut off
 * from this VM while its requests still run; its attempts are cancelled once
 * the membership says that it is dead.
 */
void orphan_add_lapsed(orphans_t *orphans, const char *engine,
		       const ledger_grant_t *grant)
{
	lapsed_t lapsed = {
		.engine = g_strdup(engine),
		.vm = str_dup(grant->vm.name),
		.incarnation = grant->vm.incarnation,
		.key = grant->key,
		.until_us = clock_now(&orphans->clock) + LAPSED_KEPT_US,
	};

	g_array_append_val(orphans->lapsed, lapsed);
}

/* Cancels what was kept of a VM that is dead. */
void orphan_cancel_lapsed(orphans_t *orphans, ledger_vm_t dead)
{
	for (guint i = orphans->lapsed->len; i-- > 0;) {
		lapsed_t *lapsed = &g_array_index(orphans->lapsed, lapsed_t, i);

		if (!str_equal(str_from(lapsed->vm), dead.name) ||
		    lapsed->incarnation > dead.incarnation)
			continue;
		orphan_cancel(orphans, lapsed->engine, dead.name, &lapsed->key);
		g_array_remove_index_fast(orphans->lapsed, i);
	}
}

/* Forgets grants whose VM was never found dead. */
void orphan_expire_lapsed(orphans_t *orphans)
{
	int64_t now_us = clock_now(&orphans->clock);

	for (guint i = orphans->lapsed->len; i-- > 0;)
		if (now_us >=
		    g_array_index(orphans->lapsed, lapsed_t, i).until_us)
			g_array_remove_index_fast(orphans->lapsed, i);
}
