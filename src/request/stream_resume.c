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

/* How long the rest of a stream waits for the version that began the stream: until
 * the store was asked for it and a lost announcement has been repeated, and at most
 * so long when the store does not answer.
 */
#define ANNOUNCEMENT_WAIT_US (500 * CLOCK_US_PER_MS)
#define READ_WAIT_US (1000 * CLOCK_US_PER_MS)

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

/* Returns whether a stream is the rest of one that another request began. */
bool stream_resume_is_wanted(const stream_t *stream)
{
	const relay_request_t *request = &stream->request;

	return request->route->resumable &&
	       (request->fields.last_event_id.len > 0 ||
		request->fields.first_attempt_id.len > 0);
}

/* Finds the version that began a stream: it was announced or read from the store, or
 * it is the only one that can have begun it. Returns whether it is known.
 */
static bool find_version(relay_request_t *request, int64_t now_us)
{
	const relay_t *relay = request->relay;

	request->required_software = stream_origins_find(
		&relay->origins, stream_number(request), now_us);
	if (request->required_software == 0 &&
	    software_history_is_complete(&relay->software, now_us))
		request->required_software = software_history_only(
			&relay->software, request->service->name);
	return request->required_software != 0;
}

/* Lets a stream whose version is known wait for admission. */
static void queue_resolved(stream_t *stream)
{
	put_origin(&stream->request);
	stream->state = STREAM_WAITING;
	g_queue_push_tail(&stream->request.relay->waiting, stream);
}

static void log_requested(const stream_t *stream, const char *event)
{
	const relay_request_t *request = &stream->request;
	const relay_t *relay = request->relay;
	int64_t now_us = clock_now(&relay->clock);

	log_event(
		LOG_INFO, event, LOG_STR("request", request->fields.id),
		LOG_STR("first_attempt", request->fields.first_attempt_id),
		LOG_STR("after_event", request->fields.last_event_id),
		LOG_INT("version_known", request->required_software != 0),
		LOG_UINT("versions",
			 software_history_count(&relay->software,
						request->service->name)),
		LOG_INT("history_complete",
			software_history_is_complete(&relay->software, now_us)),
		LOG_INT("stored_read",
			relay->origins_read_us > request->arrived_us),
		LOG_INT("after_ms",
			(now_us - request->arrived_us) / CLOCK_US_PER_MS));
}

/* Starts the rest of a stream. It goes to the version that began the stream; events
 * of two versions do not fit together. While that is not known it waits.
 */
void stream_resume_start(stream_t *stream)
{
	relay_request_t *request = &stream->request;
	relay_t *relay = request->relay;
	bool known = find_version(request, clock_now(&relay->clock));

	stream->resumed = true;
	stream->urgency.due_us = request->arrived_us; /* before new streams */
	log_requested(stream, "resume_requested");
	if (known) {
		queue_resolved(stream);
		return;
	}
	stream->state = STREAM_UNRESOLVED;
	g_queue_push_tail(&relay->unresolved, stream);
	if (relay->on_unresolved)
		relay->on_unresolved(relay->context);
}

/* Returns whether a stream has waited for its version for as long as that can still
 * be learned.
 */
static bool has_waited_enough(const stream_t *stream, int64_t now_us)
{
	const relay_request_t *request = &stream->request;
	int64_t waited_us = now_us - request->arrived_us;

	if (request->relay->origins_read_us > request->arrived_us)
		return waited_us >= ANNOUNCEMENT_WAIT_US;
	return waited_us >= READ_WAIT_US;
}

/* Lets the streams go on whose version is known by now, and refuses those for which
 * it was not learned in time.
 */
void stream_resume_resolve(relay_t *relay)
{
	int64_t now_us = clock_now(&relay->clock);
	GList *link = relay->unresolved.head;

	while (link) {
		stream_t *stream = link->data;
		GList *next = link->next;

		if (find_version(&stream->request, now_us)) {
			g_queue_delete_link(&relay->unresolved, link);
			queue_resolved(stream);
		} else if (has_waited_enough(stream, now_us)) {
			log_requested(stream, "resume_refused");
			stream_refuse(stream, STREAM_REFUSED_RETRY_US,
				      "the version that began the stream is "
				      "not known");
		}
		link = next;
	}
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
