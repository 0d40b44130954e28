/* Chooses engines for the calls of a request and records their results. */
#include "process/ticket.h"

/* Returns the time of the scheduler's clock. */
static int64_t now_of(const scheduler_t *scheduler)
{
	return clock_now(&scheduler->clock);
}

/* Returns the time by which the next prefill has to end. The first prefill has
 * to end in time for the first token; one that is repeated after a failure
 * only has to meet the deadline.
 */
static int64_t prefill_end_by(const scheduler_ticket_t *ticket)
{
	return ticket->prefilled ? ticket->request.deadline_us
				 : ticket_prefill_due(ticket);
}

/* Chooses a prefill engine other than `avoid` and counts the prefill as started
 * on it. Returns NULL if there is none that would end in time.
 */
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
		.finish_by_us = prefill_end_by(ticket),
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

/* Records whether a call to a backend server has succeeded, which decides
 * whether the server counts as healthy.
 */
static void record_result(scheduler_t *scheduler, backend_entry_t *entry,
			  bool ok)
{
	if (ok)
		backends_note_success(entry);
	else
		backends_note_failure(entry);
	scheduler_backend_changed(scheduler, entry, false);
}

/* Ends a prefill and records its result. computed_tokens are the prompt tokens
 * that the engine computed, without cached ones. Ignored unless the ticket has
 * a prefill in progress on this engine.
 */
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
	/* The expected time included the tokens that were cached. */
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
	record_result(ticket->scheduler, engine, ok);
}

/* Starts a transfer of a KV cache to a decode engine. Returns false if as many
 * as allowed are in progress.
 */
bool scheduler_import_begin(scheduler_ticket_t *ticket, backend_entry_t *engine)
{
	if (!route_transfer_begin(engine->route, engine->engine))
		return false;
	ticket->import = engine;
	return true;
}

/* Ends a transfer, if one is in progress on this engine, and records its
 * result.
 */
void scheduler_import_ended(scheduler_ticket_t *ticket, backend_entry_t *engine,
			    bool ok)
{
	if (ticket->import == engine) {
		ticket->import = NULL;
		route_transfer_end(engine->route, engine->engine);
	}
	record_result(ticket->scheduler, engine, ok);
}

/* Records the result of a decode, with its output tokens and the time they
 * took.
 */
void scheduler_decode_ended(scheduler_ticket_t *ticket, backend_entry_t *engine,
			    bool ok, int64_t tokens, int64_t elapsed_us)
{
	if (ok && tokens > 0 && engine->engine)
		route_record_decode(engine->route, engine->engine, tokens,
				    elapsed_us, now_of(ticket->scheduler));
	record_result(ticket->scheduler, engine, ok);
}
