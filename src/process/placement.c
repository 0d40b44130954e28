/* Where a request's calls run, and what their results teach the scheduler. */
#include "process/ticket.h"

static int64_t now_of(const scheduler_t *scheduler)
{
	return clock_now(&scheduler->clock);
}

/* A first prefill that ends too late for the first token is not started; one
 * that is repeated after a failure only has to meet the deadline.
 */
static int64_t finish_by(const scheduler_ticket_t *ticket)
{
	return ticket->prefilled ? ticket->request.deadline_us
				 : ticket_prefill_due(ticket);
}

/* Returns a prefill engine, not `avoid` if there is a choice, or NULL. */
backend_entry_t *scheduler_pick_prefill(scheduler_ticket_t *ticket,
					const backend_entry_t *avoid)
{
	const held_grant_t *held =
		ticket->held_grants->len
			? &g_array_index(ticket->held_grants, held_grant_t, 0)
			: NULL;
	route_prefill_t want = {
		.prompt_tokens = ticket->request.prompt_tokens,
		.prefix = ticket->request.prefix,
		.finish_by_us = finish_by(ticket),
		.decode_zone = held ? str_from(held->entry->zone) : STR(""),
		.except = avoid ? avoid->engine : NULL,
	};
	int64_t now_us = now_of(ticket->scheduler);
	route_pool_t *route = &ticket->prefill_pool->route;
	route_engine_t *engine = route_pick_prefill(route, &want, now_us);

	if (!engine)
		return NULL;
	ticket->prefilled = true;
	ticket->prefill = engine->config.context;
	ticket->prefill_started_us = now_us;
	ticket->prefill_expected_us = route_expected_prefill_us(
		route, engine, want.prompt_tokens, now_us);
	route_request_begin(route, engine, want.prompt_tokens);
	return ticket->prefill;
}

static void note_result(scheduler_t *scheduler, backend_entry_t *entry, bool ok)
{
	if (ok)
		backends_note_success(entry);
	else
		backends_note_failure(entry);
	scheduler_backend_changed(scheduler, entry, false);
}

/* Reports the end of a prefill; computed_tokens excludes cached ones. */
void scheduler_prefill_ended(scheduler_ticket_t *ticket,
			     backend_entry_t *engine, bool ok,
			     int64_t computed_tokens)
{
	int64_t now_us = now_of(ticket->scheduler);
	scheduler_request_t *request = &ticket->request;
	int64_t cached_tokens =
		MAX(request->prompt_tokens - computed_tokens, 0);
	int64_t expected_us = ticket->prefill_expected_us;

	if (ticket->prefill != engine || !engine)
		return;
	ticket->prefill = NULL;
	route_request_end(engine->route, engine->engine,
			  request->prompt_tokens);
	/* What the cache saved was expected to be computed. */
	expected_us -= route_compute_us(engine->route, engine->engine,
					cached_tokens, now_us);
	if (ok && computed_tokens > 0)
		route_record_prefill(engine->route, engine->engine,
				     computed_tokens, MAX(expected_us, 1),
				     now_us - ticket->prefill_started_us,
				     now_us);
	if (ok && request->prefix)
		prefix_on_prefill(&ticket->scheduler->prefix,
				  engine->engine->config.id, request->prefix,
				  cached_tokens);
	note_result(ticket->scheduler, engine, ok);
}

/* Takes one of the engine's transfers; false if all are in use. */
bool scheduler_import_begin(scheduler_ticket_t *ticket, backend_entry_t *engine)
{
	if (!route_transfer_begin(engine->route, engine->engine))
		return false;
	ticket->import = engine;
	return true;
}

/* Gives the transfer back. */
void scheduler_import_ended(scheduler_ticket_t *ticket, backend_entry_t *engine,
			    bool ok)
{
	if (ticket->import == engine) {
		ticket->import = NULL;
		route_transfer_end(engine->route, engine->engine);
	}
	note_result(ticket->scheduler, engine, ok);
}

/* Reports the end of a decode with the tokens that it gave. */
void scheduler_decode_ended(scheduler_ticket_t *ticket, backend_entry_t *engine,
			    bool ok, int64_t tokens, int64_t elapsed_us)
{
	if (ok && tokens > 0 && engine->engine)
		route_record_decode(engine->route, engine->engine, tokens,
				    elapsed_us, now_of(ticket->scheduler));
	note_result(ticket->scheduler, engine, ok);
}
