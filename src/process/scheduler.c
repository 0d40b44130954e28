#include "process/scheduler.h"

/* When to come back if no engine is usable. */
#define RETRY_AFTER_US (1 * CLOCK_US_PER_S)

struct scheduler_ticket {
	scheduler_t *scheduler;
	scheduler_request_t request;
	uint32_t reserving; /* attempt that waits for on_reserved, or 0 */
	const backend_entry_t *avoid;
	guint admit_source;
	guint reserve_source;
};

/* Sets up the scheduler; what it is given must outlive it. */
void scheduler_init(scheduler_t *scheduler, backends_t *backends,
		    clock_source_t clock)
{
	scheduler->backends = backends;
	scheduler->clock = clock;
}

/* All tickets must have left. */
void scheduler_finish(scheduler_t *scheduler)
{
	scheduler->backends = NULL;
}

static gboolean on_admit(gpointer data)
{
	scheduler_ticket_t *ticket = data;

	ticket->admit_source = 0;
	ticket->request.on_admitted(ticket->request.context);
	return G_SOURCE_REMOVE;
}

/*
 * Queues a request. Exactly one of on_admitted and on_refused follows, unless
 * the ticket leaves first.
 */
scheduler_ticket_t *scheduler_submit(scheduler_t *scheduler,
				     const scheduler_request_t *request)
{
	scheduler_ticket_t *ticket = g_new0(scheduler_ticket_t, 1);

	ticket->scheduler = scheduler;
	ticket->request = *request;
	ticket->admit_source = g_idle_add(on_admit, ticket);
	return ticket;
}

/* Ends a ticket in any state; its callbacks are not called again. */
void scheduler_leave(scheduler_ticket_t *ticket)
{
	if (!ticket)
		return;
	if (ticket->admit_source)
		g_source_remove(ticket->admit_source);
	if (ticket->reserve_source)
		g_source_remove(ticket->reserve_source);
	g_free(ticket);
}

static gboolean on_reserve(gpointer data)
{
	scheduler_ticket_t *ticket = data;
	backend_entry_t *engine = backends_pick(
		ticket->scheduler->backends,
		ticket->request.service->decode->name, STR(""), ticket->avoid);
	int64_t now_us = clock_now(&ticket->scheduler->clock);

	ticket->reserve_source = 0;
	ticket->request.on_reserved(ticket->request.context, ticket->reserving,
				    engine,
				    engine ? 0 : now_us + RETRY_AFTER_US);
	return G_SOURCE_REMOVE;
}

/*
 * Reserves decode memory for an attempt at an engine other than `avoid` if
 * there is a choice. on_reserved follows once.
 */
void scheduler_reserve(scheduler_ticket_t *ticket, uint32_t attempt,
		       const backend_entry_t *avoid)
{
	ticket->reserving = attempt;
	ticket->avoid = avoid;
	ticket->reserve_source = g_idle_add(on_reserve, ticket);
}

/*
 * Gives a reservation back. after_cancel tells that the engine may hold the
 * memory until its cancellation is confirmed.
 */
void scheduler_release(scheduler_ticket_t *ticket, uint32_t attempt,
		       backend_entry_t *engine, bool after_cancel)
{
}

/* Returns a prefill engine, not `avoid` if there is a choice, or NULL. */
backend_entry_t *scheduler_pick_prefill(scheduler_ticket_t *ticket,
					const backend_entry_t *avoid)
{
	return backends_pick(ticket->scheduler->backends,
			     ticket->request.service->prefill->name, STR(""),
			     avoid);
}

static void note_result(backend_entry_t *engine, bool ok)
{
	if (ok)
		backends_note_success(engine);
	else
		backends_note_failure(engine);
}

/* Reports the end of a prefill; computed_tokens excludes cached ones. */
void scheduler_prefill_ended(scheduler_ticket_t *ticket,
			     backend_entry_t *engine, bool ok,
			     int64_t computed_tokens)
{
	note_result(engine, ok);
}

/* Takes one of the engine's transfers; false if all are in use. */
bool scheduler_import_begin(scheduler_ticket_t *ticket, backend_entry_t *engine)
{
	return true;
}

/* Gives the transfer back. */
void scheduler_import_ended(scheduler_ticket_t *ticket, backend_entry_t *engine,
			    bool ok)
{
	note_result(engine, ok);
}

/* Reports the end of a decode with the tokens that it gave. */
void scheduler_decode_ended(scheduler_ticket_t *ticket, backend_entry_t *engine,
			    bool ok, int64_t tokens, int64_t elapsed_us)
{
	note_result(engine, ok);
}
