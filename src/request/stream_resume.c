#include "request/stream_resume.h"

#include <xxhash.h>

#include "process/log.h"
#include "request/peer_call.h"
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

/* A VM that has not read the server list for so long since the request came passes the
 * request on to a VM that may have.
 */
#define LIST_WAIT_US (300 * CLOCK_US_PER_MS)

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
 * it is the only one that can have begun it, by a list of the servers that was read since
 * the request came. Returns whether the stream can go on with that: not while the list
 * that this VM knows is older than the first server with the version.
 */
static bool find_version(relay_request_t *request, int64_t now_us)
{
	const relay_t *relay = request->relay;
	const software_history_t *history = &relay->software;
	const char *service = request->service->name;

	request->required_software = stream_origins_find(
		&relay->origins, stream_number(request), now_us);
	if (request->required_software == 0 &&
	    software_history_covers(history, request->arrived_us, now_us))
		request->required_software =
			software_history_only(history, service);
	if (request->required_software == 0)
		return false;
	return software_history_has(history, service,
				    request->required_software) ||
	       history->as_of_us >= request->arrived_us;
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

	log_event(LOG_INFO, event, LOG_STR("request", request->fields.id),
		  LOG_STR("first_attempt", request->fields.first_attempt_id),
		  LOG_STR("after_event", request->fields.last_event_id),
		  LOG_INT("version_known", request->required_software != 0),
		  LOG_UINT("versions",
			   software_history_count(&relay->software,
						  request->service->name)),
		  LOG_INT("history_complete",
			  software_history_covers(&relay->software,
						  request->arrived_us, now_us)),
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
 * be learned here. One that another VM has passed on has waited there already.
 */
static bool has_waited_enough(const stream_t *stream, int64_t now_us)
{
	const relay_request_t *request = &stream->request;
	int64_t waited_us = now_us - request->arrived_us;

	if (request->relay->origins_read_us > request->arrived_us)
		return request->from_peer || waited_us >= ANNOUNCEMENT_WAIT_US;
	return waited_us >= (request->from_peer ? LIST_WAIT_US : READ_WAIT_US);
}

/* Returns whether this VM seems to be out of touch with the store: it has read no list
 * of the servers since the stream came.
 */
static bool is_out_of_touch(const stream_t *stream, int64_t now_us)
{
	const relay_request_t *request = &stream->request;

	return now_us - request->arrived_us >= LIST_WAIT_US &&
	       request->relay->software.as_of_us < request->arrived_us;
}

/* Passes a stream on to another VM, which may know its version. True when the stream
 * was freed with that.
 */
static bool pass_on(stream_t *stream)
{
	if (!peer_call_start(&stream->request))
		return false;
	log_requested(stream, "resume_passed_on");
	stream_finish(stream);
	return true;
}

/* Refuses a stream whose version was not learned in time. */
static void refuse(stream_t *stream)
{
	log_requested(stream, "resume_refused");
	stream_refuse(
		stream, STREAM_REFUSED_RETRY_US,
		stream->request.required_software != 0
			? "the version that began the stream is not listed"
			: "the version that began the stream is not known");
}

/* Lets a stream go on if its version is known by now. If not, another VM is asked when
 * this one is out of touch or has waited in vain; else it waits on.
 */
static void resolve(stream_t *stream, int64_t now_us)
{
	relay_t *relay = stream->request.relay;

	if (find_version(&stream->request, now_us)) {
		g_queue_remove(&relay->unresolved, stream);
		queue_resolved(stream);
		return;
	}
	if (is_out_of_touch(stream, now_us) && pass_on(stream))
		return;
	if (!has_waited_enough(stream, now_us))
		return;
	if (!pass_on(stream))
		refuse(stream);
}

/* Lets the streams go on whose version is known by now, and refuses or passes on those
 * for which it was not learned in time.
 */
void stream_resume_resolve(relay_t *relay)
{
	int64_t now_us = clock_now(&relay->clock);
	GList *link = relay->unresolved.head;

	if (link && relay->on_unresolved)
		relay->on_unresolved(relay->context);
	while (link) {
		stream_t *stream = link->data;

		link = link->next;
		resolve(stream, now_us);
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
