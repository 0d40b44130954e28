#include "process/lease.h"

#include <inttypes.h>

#define ROW_MAGIC "gooseberryspur-lease 1"

/* Appends the text of a row. */
void lease_row_print(const lease_row_t *row, GString *out)
{
	g_string_append_printf(out,
			       ROW_MAGIC "\nholder %s\nincarnation %" PRIu64
					 "\nattempt %" PRIu64 "\ntoken %" PRIu64
					 "\nvalidity_ms %" PRId64 "\nheld %d\n",
			       row->holder, row->incarnation, row->attempt,
			       row->token, row->validity_us / CLOCK_US_PER_MS,
			       row->held);
	g_string_append_len(out, row->note.data, (gssize)row->note.len);
}

/* Moves the next line from the text to `line`; returns false when none is left.
 */
static bool read_line(str_t *text, str_t *line)
{
	const char *end = text->len > 0 ? memchr(text->data, '\n', text->len)
					: NULL;

	if (!end)
		return false;
	*line = (str_t){text->data, (size_t)(end - text->data)};
	text->data += line->len + 1;
	text->len -= line->len + 1;
	return true;
}

/* Moves a line "KEY VALUE" from the text and gives the value; returns false
 * when the next line has another key.
 */
static bool read_value(str_t *text, str_t key, str_t *value)
{
	str_t line;

	if (!read_line(text, &line) || !str_has_prefix(line, key) ||
	    line.len <= key.len || line.data[key.len] != ' ')
		return false;
	*value = (str_t){line.data + key.len + 1, line.len - key.len - 1};
	return true;
}

/* As read_value(), for a decimal number of at most max. */
static bool read_number(str_t *text, str_t key, uint64_t max, uint64_t *number)
{
	char digits[24];
	str_t value;
	guint64 parsed;

	if (!read_value(text, key, &value) || value.len >= sizeof(digits))
		return false;
	memcpy(digits, value.data, value.len);
	digits[value.len] = 0;
	if (!g_ascii_string_to_unsigned(digits, 10, 0, max, &parsed, NULL))
		return false;
	*number = parsed;
	return true;
}

/* Parses the text of a row; returns false when it is malformed. The note
 * borrows from the text.
 */
bool lease_row_parse(str_t text, lease_row_t *row)
{
	str_t line;
	str_t holder;
	uint64_t validity_ms;
	uint64_t held;

	if (!read_line(&text, &line) || !str_equal(line, STR(ROW_MAGIC)) ||
	    !read_value(&text, STR("holder"), &holder) ||
	    holder.len >= sizeof(row->holder) ||
	    !read_number(&text, STR("incarnation"), UINT64_MAX,
			 &row->incarnation) ||
	    !read_number(&text, STR("attempt"), UINT64_MAX, &row->attempt) ||
	    !read_number(&text, STR("token"), INT64_MAX, &row->token) ||
	    !read_number(&text, STR("validity_ms"), INT32_MAX, &validity_ms) ||
	    !read_number(&text, STR("held"), 1, &held))
		return false;
	memcpy(row->holder, holder.data, holder.len);
	row->holder[holder.len] = 0;
	row->validity_us = (int64_t)validity_ms * CLOCK_US_PER_MS;
	row->held = held == 1;
	row->note = text;
	return true;
}

/* Sets up a lease that is not held and not wanted. */
void lease_init(lease_t *lease, const char *vm, uint64_t incarnation,
		int64_t now_us)
{
	memset(lease, 0, sizeof(*lease));
	g_strlcpy(lease->vm, vm, sizeof(lease->vm));
	lease->incarnation = incarnation;
	lease->next_call_us = now_us;
	lease->row_text = g_string_new(NULL);
	lease->note = g_string_new(NULL);
	lease->written_text = g_string_new(NULL);
}

/* Frees the memory. The row stays, and a held lease expires. */
void lease_finish(lease_t *lease)
{
	g_string_free(lease->row_text, TRUE);
	g_string_free(lease->note, TRUE);
	g_string_free(lease->written_text, TRUE);
}

/* Sets whether this process should hold the lease; if not, it is released. */
void lease_set_wanted(lease_t *lease, bool wanted, int64_t now_us)
{
	if (wanted == lease->wanted)
		return;
	lease->wanted = wanted;
	lease->next_call_us = now_us;
}

/* Sets the note that the next write stores for a successor. A note longer than
 * LEASE_NOTE_MAX is replaced by an empty one.
 */
void lease_set_note(lease_t *lease, str_t note)
{
	g_string_truncate(lease->note, 0);
	if (note.len <= LEASE_NOTE_MAX)
		g_string_append_len(lease->note, note.data, (gssize)note.len);
}

/*
 * Returns whether an order may be sent now. Call it immediately before each
 * send: a process that was paused then finds its lease expired.
 */
bool lease_may_send(const lease_t *lease, int64_t now_us)
{
	return lease->holding && now_us >= lease->send_from_us &&
	       now_us < lease->deadline_us;
}

/* Forbids sending until the row has been read again, as after an engine has
 * refused the token.
 */
void lease_suspend(lease_t *lease, int64_t now_us)
{
	lease->holding = false;
	lease->row_current = false;
	lease->next_call_us = now_us;
}

/* Makes lease_step() renew a held lease at once, as after a change of the note.
 */
void lease_renew(lease_t *lease, int64_t now_us)
{
	if (lease->holding)
		lease->next_call_us = MIN(lease->next_call_us, now_us);
}

static bool is_own(const lease_t *lease, const lease_row_t *row)
{
	return row->incarnation == lease->incarnation &&
	       strcmp(row->holder, lease->vm) == 0;
}

/* Returns when a write was sent; 0 when its time is no longer kept. */
static int64_t attempt_sent_us(const lease_t *lease, uint64_t number)
{
	const lease_attempt_t *attempt =
		&lease->attempts[number % LEASE_ATTEMPTS];

	return attempt->number == number ? attempt->sent_us : 0;
}

/* Starts or prolongs holding the lease, after the row was found to be that of
 * this process's write number `attempt`.
 */
static void start_holding(lease_t *lease, int64_t now_us, uint64_t attempt,
			  uint64_t token)
{
	int64_t sent_us = attempt_sent_us(lease, attempt);

	if (sent_us == 0)
		return;
	/* Until then, orders of the previous holder may still arrive. */
	if (token != lease->token && lease->taking_over)
		lease->send_from_us = now_us + LEASE_TAKEOVER_DELAY_US;
	lease->token = token;
	lease->holding = true;
	lease->deadline_us = sent_us + LEASE_VALIDITY_US - LEASE_MARGIN_US;
	lease->next_call_us = sent_us + LEASE_RENEW_INTERVAL_US;
}

/* Returns the action that writes the row, with held false to release it. */
static lease_action_t start_write(lease_t *lease, int64_t now_us,
				  uint64_t token, bool held)
{
	lease_row_t row = {
		.incarnation = lease->incarnation,
		.attempt = ++lease->attempt,
		.token = token,
		.validity_us = LEASE_VALIDITY_US,
		.held = held,
		.note = str_from_gstring(lease->note),
	};
	lease_attempt_t *attempt =
		&lease->attempts[lease->attempt % LEASE_ATTEMPTS];

	*attempt = (lease_attempt_t){lease->attempt, now_us};
	g_strlcpy(row.holder, lease->vm, sizeof(row.holder));
	g_string_truncate(lease->written_text, 0);
	lease_row_print(&row, lease->written_text);
	lease->call_in_progress = true;
	lease->releasing = !held;
	/* Sending stops before the row can say that the lease is released. */
	if (!held)
		lease->holding = false;
	return (lease_action_t){LEASE_WRITE, lease->version,
				lease->written_text};
}

static lease_action_t start_read(lease_t *lease)
{
	lease->call_in_progress = true;
	return (lease_action_t){LEASE_READ, 0, NULL};
}

/* Returns when the lease can be taken over, because the row's holder has
 * stopped by then. A malformed row is never taken over, because its token is
 * unknown and the next one must be greater.
 */
static int64_t available_us(const lease_t *lease)
{
	if (lease->row_malformed)
		return INT64_MAX;
	if (lease->version == 0 || !lease->row.held)
		return 0;
	return lease->version_seen_us + lease->row.validity_us;
}

/* Acquires the lease: writes a new row, or one whose holder has stopped. A row
 * of this process keeps its token, because no other process has held the lease
 * since.
 */
static lease_action_t acquire(lease_t *lease, int64_t now_us)
{
	bool own = lease->version != 0 && is_own(lease, &lease->row);

	lease->taking_over = lease->version != 0 && !own;
	return start_write(lease, now_us,
			   own ? lease->row.token : lease->row.token + 1, true);
}

/* Stops holding the lease once the deadline has passed. */
static void check_deadline(lease_t *lease, int64_t now_us)
{
	if (lease->holding && now_us >= lease->deadline_us) {
		lease->holding = false;
		lease->row_current = false;
		lease->next_call_us = now_us;
	}
}

/*
 * Returns the next call to make, if any. The caller reads now_us immediately
 * before this, because the deadline counts from it.
 */
lease_action_t lease_step(lease_t *lease, int64_t now_us)
{
	lease_action_t nothing = {LEASE_NOTHING, 0, NULL};

	check_deadline(lease, now_us);
	if (lease->call_in_progress)
		return nothing;
	if (!lease->wanted) {
		/* After an uncertain renewal the lease is left to expire. */
		if (lease->holding && lease->row_current)
			return start_write(lease, now_us, lease->token, false);
		return nothing;
	}
	if (now_us < lease->next_call_us)
		return nothing;
	if (!lease->row_current)
		return start_read(lease);
	if (lease->holding)
		return start_write(lease, now_us, lease->token, true);
	if (!lease->blocked &&
	    (is_own(lease, &lease->row) || now_us >= available_us(lease)))
		return acquire(lease, now_us);
	return start_read(lease);
}

/* Returns when to call lease_step() next; INT64_MAX: only after another call of
 * this interface.
 */
int64_t lease_next_us(const lease_t *lease)
{
	int64_t next_us = INT64_MAX;

	if (lease->holding)
		next_us = lease->deadline_us;
	if (!lease->call_in_progress && lease->wanted)
		next_us = MIN(next_us, lease->next_call_us);
	return next_us;
}

/* Records the row as read or written, with the time if it has changed. */
static void record_row(lease_t *lease, int64_t now_us, uint64_t version,
		       str_t value)
{
	/* The text is compared too: a row that was deleted by hand and written
	 * again may have an earlier version number.
	 */
	if (version == lease->version &&
	    str_equal(value, str_from_gstring(lease->row_text)))
		return;
	lease->version = version;
	lease->version_seen_us = now_us;
	lease->row_malformed = false;
	g_string_truncate(lease->row_text, 0);
	g_string_append_len(lease->row_text, value.data, (gssize)value.len);
	memset(&lease->row, 0, sizeof(lease->row));
	if (version != 0)
		lease->row_malformed = !lease_row_parse(
			str_from_gstring(lease->row_text), &lease->row);
}

/* Handles the outcome of LEASE_READ, which is LEASE_CALL_REFUSED for a missing
 * row.
 */
void lease_on_read(lease_t *lease, int64_t now_us, lease_call_outcome_t outcome,
		   uint64_t version, str_t value)
{
	lease->call_in_progress = false;
	lease->next_call_us = now_us + LEASE_READ_INTERVAL_US;
	if (outcome == LEASE_CALL_REFUSED) {
		version = 0;
		value = (str_t){NULL, 0};
	}
	if (outcome != LEASE_CALL_DONE && outcome != LEASE_CALL_REFUSED)
		return;
	record_row(lease, now_us, version, value);
	lease->row_current = true;
	lease->holding = false;
	if (version != 0 && is_own(lease, &lease->row) && lease->row.held)
		start_holding(lease, now_us, lease->row.attempt,
			      lease->row.token);
	if (now_us >= lease->deadline_us)
		lease->holding = false;
	/* The lease may be available before the next regular read. */
	if (!lease->holding)
		lease->next_call_us = MIN(lease->next_call_us,
					  MAX(available_us(lease), now_us));
}

/* Handles a write that took effect: the row is what was written. */
static void on_written(lease_t *lease, int64_t now_us, uint64_t version)
{
	record_row(lease, now_us, version,
		   str_from_gstring(lease->written_text));
	lease->row_current = true;
	if (lease->releasing) {
		lease->next_call_us = now_us + LEASE_READ_INTERVAL_US;
		return;
	}
	start_holding(lease, now_us, lease->attempt, lease->row.token);
	check_deadline(lease, now_us);
}

/* Handles the outcome of LEASE_WRITE. */
void lease_on_write(lease_t *lease, int64_t now_us,
		    lease_call_outcome_t outcome, uint64_t version)
{
	lease->call_in_progress = false;
	switch (outcome) {
	case LEASE_CALL_DONE:
		on_written(lease, now_us, version);
		break;
	case LEASE_CALL_NOT_SENT:
		lease->next_call_us = now_us + LEASE_READ_INTERVAL_US;
		break;
	case LEASE_CALL_REFUSED:
		/* Another process has written, or an earlier write of this one
		 * that seemed lost has arrived. Nothing is sent until the row
		 * shows which.
		 */
		lease->holding = false;
		lease->row_current = false;
		lease->next_call_us = now_us;
		break;
	case LEASE_CALL_UNKNOWN:
		/* A holder may send until its earlier deadline. */
		lease->row_current = false;
		lease->next_call_us = now_us;
		break;
	}
}
