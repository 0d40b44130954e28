/* Sound servers whose process is stopped for a second or so and goes on, beside changes of
 * the configuration and under callers of all kinds of requests. The kernel acknowledges
 * what comes for the servers meanwhile; when they go on, their timers have run out and
 * requests wait in their buffers. The VMs and the servers are processes of their own.
 */
#ifndef SUPPORT_STOPPED_H
#define SUPPORT_STOPPED_H

#include <stdbool.h>
#include <stddef.h>

/* What is played. */
typedef struct {
	unsigned vms;
	bool cut_vm; /* the last VM reaches no server and passes requests on */
	unsigned stops;
	unsigned stop_ms;
	unsigned after_stop_ms; /* to the next change or the end */
	bool only_some; /* stops six engines of ten, half of the plain servers */
	bool in_series; /* changes also during and after the stop */
	bool hang_up; /* SIGHUP to the VMs beside each change */
	unsigned heartbeat_ms;
	bool rows_lapse; /* after three heartbeat intervals */
	bool few_decodes; /* at the start, so that orders follow */
	unsigned keep_alive_s; /* then servers close, also with bytes unread */
	unsigned slots; /* of a server; 0: it takes all requests */
	unsigned handle_ms; /* life of a prefill result; 0: no limit */
	size_t body_bytes; /* of plain requests */
	int receive_buffer_bytes; /* of the servers; 0: the system's */
	unsigned event_ms;
	unsigned events;
} stopped_case_t;

/* How the requests ended. */
typedef struct {
	unsigned sent, whole, other, wrong;
	unsigned refused; /* 503, not run */
	unsigned refused_later; /* sent when the servers are back for a second */
	unsigned refused_ran, twice;
	unsigned lost; /* run, and cut without a whole answer */
	unsigned cut_unrun; /* closed without an answer, not run */
	unsigned failed_ran, failed_unrun; /* 502 or 504 */
	unsigned orders, closed_unread, passed_on, silent; /* what was played */
} stopped_counts_t;

stopped_counts_t stopped_play(const stopped_case_t *play_case);

#endif
