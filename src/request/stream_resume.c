#include "request/stream_resume.h"

#include <xxhash.h>

#include "process/log.h"
#include "request/request_keys.h"

/* Least time after the begin of a stream during which its caller may ask for the
 * rest.
 */
#define MIN_KEPT_US (30 * CLOCK_US_PER_S)

/* How long a stream is in the announcements of the VM that serves it: that covers
 * several of them.
 */
#define ANNOUNCED_US (2 * CLOCK_US_PER_S)

/* Returns whether a request asks for the rest of a stream that another request
 * began.
 */
static bool is_resumption(const relay_request_t *request)
{
	return request->route->resumable &&
	       (request->fields.last_event_id.len > 0 ||
		request->fields.first_attempt_id.len > 0);
}

/* Returns the number of a stream, which the ID of the request that began it
 * gives: the same at all VMs.
 */
static uint64_t stream_number(const relay_request_t *request)
{
	const request_fields_t *fields = &request->fields;
	str_t id = fields->first_attempt_id.len ? fields->first_attempt_id
						: fields->id;

	return XXH64(id.data, id.len, 0);
}

/* Remembers which version a stream is tied to. */
static void put_origin(const relay_request_t *request)
{
	int64_t now_us = clock_now(&request->relay->clock);
	stream_origin_t origin = {
		.stream = stream_number(request),
		.software = request->required_software,
		.expires_us = MAX(request->deadline_us, now_us + MIN_KEPT_US),
		.announced_until_us = now_us + ANNOUNCED_US,
	};

	stream_origins_put(&request->relay->origins, &origin);
}

/* Ties a request for the rest of a stream to the version that began it. Ends the
 * request and returns false if that is not known and could be one of several:
 * events of two versions do not fit together.
 */
bool stream_resume_find_version(stream_t *stream)
{
	relay_request_t *request = &stream->request;
	relay_t *relay = request->relay;
	int64_t now_us = clock_now(&relay->clock);
	bool may_be_any;

	if (!is_resumption(request))
		return true;
	stream->resumed = true;
	stream->urgency.due_us = request->arrived_us; /* before new streams */
	request->required_software = stream_origins_find(
		&relay->origins, stream_number(request), now_us);
	may_be_any = request->required_software == 0 &&
		     server_set_had_versions(relay->servers,
					     request->service->name,
					     now_us - MIN_KEPT_US);
	log_event(LOG_INFO, "resume_requested",
		  LOG_STR("request", request->fields.id),
		  LOG_STR("first_attempt", request->fields.first_attempt_id),
		  LOG_STR("after_event", request->fields.last_event_id),
		  LOG_INT("version_known", request->required_software != 0),
		  LOG_INT("several_versions", may_be_any));
	if (may_be_any) {
		stream_refuse(stream, STREAM_REFUSED_RETRY_US,
			      "the version that began the stream is not known");
		return false;
	}
	if (request->required_software != 0)
		put_origin(request);
	return true;
}

/* Ties a stream to the version of its engine's software when its first events
 * are passed on, and lets all VMs know if callers may ask for the rest.
 */
void stream_resume_record_version(stream_t *stream)
{
	relay_request_t *request = &stream->request;
	relay_t *relay = request->relay;

	if (request->required_software != 0)
		return;
	request->required_software =
		request_software_number(&stream->decode->entry);
	if (!request->route->resumable)
		return;
	put_origin(request);
	if (relay->on_origin)
		relay->on_origin(relay->context);
}
