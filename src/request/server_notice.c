#include "request/server_notice.h"

#include "process/log.h"

/* Records that a server has said in the answer to a call that it leaves, and lets the
 * other VMs know. `call` names the kind of call in the log.
 */
void server_notice_mark_leaving(relay_t *relay, server_t *server,
				const char *call)
{
	const server_entry_t *entry = &server->entry;

	if (!server_set_mark_leaving(relay->servers, server,
				     clock_now(&relay->clock)))
		return;
	log_event(LOG_INFO, "server_changed", LOG_CSTR("server", entry->id),
		  LOG_CSTR("change", "says_leaving"), LOG_CSTR("call", call),
		  LOG_CSTR("zone", entry->zone),
		  LOG_CSTR("address", entry->address));
	if (relay->on_departure)
		relay->on_departure(relay->context, entry->id);
}

/* Records that a server has asked in the answer to a call for no requests. */
static void record_pause(relay_t *relay, server_t *server, double pause_s,
			 const char *call)
{
	server_set_pause(relay->servers, server, pause_s,
			 clock_now(&relay->clock));
	log_event(LOG_INFO, "server_paused",
		  LOG_CSTR("server", server->entry.id), LOG_CSTR("call", call),
		  LOG_REAL("seconds", pause_s));
}

/* Records what the header fields of an answer say of its server: that it leaves, or wants
 * no requests for a time. An answer with status 421 comes from another server. `call` names
 * the kind of call in the log.
 */
void server_notice_record(relay_t *relay, server_t *server, unsigned status,
			  const response_fields_t *fields, const char *call)
{
	if (status == 421)
		return;
	if (fields->leaving)
		server_notice_mark_leaving(relay, server, call);
	if (fields->pause_s > 0)
		record_pause(relay, server, fields->pause_s, call);
}

/* The same from the head of an answer that is not read otherwise. */
void server_notice_read(relay_t *relay, server_t *server,
			const http_head_t *head, const char *call)
{
	response_fields_t fields;

	response_fields_read(head, &fields);
	server_notice_record(relay, server, head->status, &fields, call);
}
