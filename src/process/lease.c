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

/* Takes the next line; returns false at the end of the text. */
static bool take_line(str_t *text, str_t *line)
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

/* Takes a line "KEY VALUE" and gives the value. */
static bool take_value(str_t *text, str_t key, str_t *value)
{
	str_t line;

	if (!take_line(text, &line) || !str_has_prefix(line, key) ||
	    line.len <= key.len || line.data[key.len] != ' ')
		return false;
	*value = (str_t){line.data + key.len + 1, line.len - key.len - 1};
	return true;
}

static bool take_number(str_t *text, str_t key, uint64_t max, uint64_t *number)
{
	char digits[24];
	str_t value;
	guint64 parsed;

	if (!take_value(text, key, &value) || value.len >= sizeof(digits))
		return false;
	memcpy(digits, value.data, value.len);
	digits[value.len] = 0;
	if (!g_ascii_string_to_unsigned(digits, 10, 0, max, &parsed, NULL))
		return false;
	*number = parsed;
	return true;
}

/* Reads the text of a row; returns false when it is malformed. */
bool lease_row_parse(str_t text, lease_row_t *row)
{
	str_t line;
	str_t holder;
	uint64_t validity_ms;
	uint64_t held;

	if (!take_line(&text, &line) || !str_equal(line, STR(ROW_MAGIC)) ||
	    !take_value(&text, STR("holder"), &holder) ||
	    holder.len >= sizeof(row->holder) ||
	    !take_number(&text, STR("incarnation"), UINT64_MAX,
			 &row->incarnation) ||
	    !take_number(&text, STR("attempt"), UINT64_MAX, &row->attempt) ||
	    !take_number(&text, STR("token"), INT64_MAX, &row->token) ||
	    !take_number(&text, STR("validity_ms"), INT32_MAX, &validity_ms) ||
	    !take_number(&text, STR("held"), 1, &held))
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
	lease->next_us = now_us;
	lease->text = g_string_new(NULL);
	lease->note = g_string_new(NULL);
	lease->value = g_string_new(NULL);
}

/* Releases the memory. The row stays; a held lease runs out. */
void lease_finish(lease_t *lease)
{
	g_string_free(lease->text, TRUE);
	g_string_free(lease->note, TRUE);
	g_string_free(lease->value, TRUE);
}

/* Says whether this process is to take and keep the lease, or to give it back.
 */
void lease_set_wanted(lease_t *lease, bool wanted, int64_t now_us)
{
	if (wanted == lease->wanted)
		return;
	lease->wanted = wanted;
	lease->next_us = now_us;
}

/* Sets the note that the next write stores for a successor. A note that is too
 * long is left out.
 */
void lease_set_note(lease_t *lease, str_t note)
{
	g_string_truncate(lease->note, 0);
	if (note.len <= LEASE_NOTE_MAX)
		g_string_append_len(lease->note, note.data, (gssize)note.len);
}

/*
 * Tells whether an order may be sent now. To be asked immediately before each
 * send: a process that was paused finds its lease lapsed.
 */
bool lease_may_send(const lease_t *lease, int64_t now_us)
{
	return lease->holding && now_us >= lease->settled_us &&
	       now_us < lease->deadline_us;
}

/* Stops sending until the row has been read again, as after an engine has
 * refused the token.
 */
void lease_suspend(lease_t *lease, int64_t now_us)
{
	lease->holding = false;
	lease->row_current = false;
	lease->next_us = now_us;
}

/* Writes the row soon, as after a change of the note. */
void lease_renew(lease_t *lease, int64_t now_us)
{
	if (lease->holding)
		lease->next_us = MIN(lease->next_us, now_us);
}

static bool is_own(const lease_t *lease, const lease_row_t *row)
{
	return row->incarnation == lease->incarnation &&
	       strcmp(row->holder, lease->vm) == 0;
}

/* Returns when the attempt's write was sent; 0 when it is not remembered. */
static int64_t attempt_sent_us(const lease_t *lease, uint64_t number)
{
	const lease_attempt_t *attempt =
		&lease->attempts[number % LEASE_ATTEMPTS];

	return attempt->number == number ? attempt->sent_us : 0;
}

/* The row is known to be this process's, by the given attempt. */
static void hold(lease_t *lease, int64_t now_us, uint64_t attempt,
		 uint64_t token)
{
	int64_t sent_us = attempt_sent_us(lease, attempt);

	if (sent_us == 0)
		return;
	/* Orders of the previous holder may be on their way until then. */
	if (token != lease->token && lease->taking)
		lease->settled_us = now_us + LEASE_TAKEOVER_DELAY_US;
	lease->token = token;
	lease->holding = true;
	lease->deadline_us = sent_us + LEASE_VALIDITY_US - LEASE_MARGIN_US;
	lease->next_us = sent_us + LEASE_RENEW_INTERVAL_US;
}

static lease_action_t write_row(lease_t *lease, int64_t now_us, uint64_t token,
				bool held)
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
	g_string_truncate(lease->value, 0);
	lease_row_print(&row, lease->value);
	lease->busy = true;
	lease->releasing = !held;
	/* Sends stop before the row can say that the lease is given back. */
	if (!held)
		lease->holding = false;
	return (lease_action_t){LEASE_WRITE, lease->version, lease->value};
}

static lease_action_t read_row(lease_t *lease)
{
	lease->busy = true;
	return (lease_action_t){LEASE_READ, 0, NULL};
}

/* When the row's holder has stopped, as row_current from here. A row that cannot be
 * read is never taken, because its token is not known and must only rise.
 */
static int64_t free_us(const lease_t *lease)
{
	if (lease->broken)
		return INT64_MAX;
	if (lease->version == 0 || !lease->row.held)
		return 0;
	return lease->version_us + lease->row.validity_us;
}

/* Takes the lease: a new row, or one whose holder has stopped. A row of this
 * process keeps its token, because nobody else held the lease since.
 */
static lease_action_t take(lease_t *lease, int64_t now_us)
{
	bool own = lease->version != 0 && is_own(lease, &lease->row);

	lease->taking = lease->version != 0 && !own;
	return write_row(lease, now_us,
			 own ? lease->row.token : lease->row.token + 1, true);
}

static void lapse(lease_t *lease, int64_t now_us)
{
	if (lease->holding && now_us >= lease->deadline_us) {
		lease->holding = false;
		lease->row_current = false;
		lease->next_us = now_us;
	}
}

/*
 * Returns the next call to make, if any. The time must be taken immediately
 * before, as the deadline counts from it.
 */
lease_action_t lease_step(lease_t *lease, int64_t now_us)
{
	lease_action_t nothing = {LEASE_NOTHING, 0, NULL};

	lapse(lease, now_us);
	if (lease->busy)
		return nothing;
	if (!lease->wanted) {
		/* An uncertain renewal is left to run out. */
		if (lease->holding && lease->row_current)
			return write_row(lease, now_us, lease->token, false);
		return nothing;
	}
	if (now_us < lease->next_us)
		return nothing;
	if (!lease->row_current)
		return read_row(lease);
	if (lease->holding)
		return write_row(lease, now_us, lease->token, true);
	if (!lease->blocked &&
	    (is_own(lease, &lease->row) || now_us >= free_us(lease)))
		return take(lease, now_us);
	return read_row(lease);
}

/* Returns when lease_step() is to be called next; INT64_MAX: after a change. */
int64_t lease_next_us(const lease_t *lease)
{
	int64_t next_us = INT64_MAX;

	if (lease->holding)
		next_us = lease->deadline_us;
	if (!lease->busy && lease->wanted)
		next_us = MIN(next_us, lease->next_us);
	return next_us;
}

static void see_row(lease_t *lease, int64_t now_us, uint64_t version,
		    str_t value)
{
	/* The text is compared too: a row that was deleted by hand and written
	 * again may have an earlier version number.
	 */
	if (version == lease->version &&
	    str_equal(value, str_from_gstring(lease->text)))
		return;
	lease->version = version;
	lease->version_us = now_us;
	lease->broken = false;
	g_string_truncate(lease->text, 0);
	g_string_append_len(lease->text, value.data, (gssize)value.len);
	memset(&lease->row, 0, sizeof(lease->row));
	if (version != 0)
		lease->broken = !lease_row_parse(str_from_gstring(lease->text),
						 &lease->row);
}

/* Takes in the result of LEASE_READ; a missing row has outcome
 * LEASE_CALL_REFUSED.
 */
void lease_on_read(lease_t *lease, int64_t now_us, lease_call_outcome_t outcome,
		   uint64_t version, str_t value)
{
	lease->busy = false;
	lease->next_us = now_us + LEASE_READ_INTERVAL_US;
	if (outcome == LEASE_CALL_REFUSED) {
		version = 0;
		value = (str_t){NULL, 0};
	}
	if (outcome != LEASE_CALL_DONE && outcome != LEASE_CALL_REFUSED)
		return;
	see_row(lease, now_us, version, value);
	lease->row_current = true;
	lease->holding = false;
	if (version != 0 && is_own(lease, &lease->row) && lease->row.held)
		hold(lease, now_us, lease->row.attempt, lease->row.token);
	if (now_us >= lease->deadline_us)
		lease->holding = false;
	/* The row may be free to take at once. */
	if (!lease->holding)
		lease->next_us =
			MIN(lease->next_us, MAX(free_us(lease), now_us));
}

/* The write took effect: the row is what was written. */
static void on_written(lease_t *lease, int64_t now_us, uint64_t version)
{
	see_row(lease, now_us, version, str_from_gstring(lease->value));
	lease->row_current = true;
	if (lease->releasing) {
		lease->next_us = now_us + LEASE_READ_INTERVAL_US;
		return;
	}
	hold(lease, now_us, lease->attempt, lease->row.token);
	lapse(lease, now_us);
}

/* Takes in the result of LEASE_WRITE. */
void lease_on_write(lease_t *lease, int64_t now_us,
		    lease_call_outcome_t outcome, uint64_t version)
{
	lease->busy = false;
	switch (outcome) {
	case LEASE_CALL_DONE:
		on_written(lease, now_us, version);
		break;
	case LEASE_CALL_NOT_SENT:
		lease->next_us = now_us + LEASE_READ_INTERVAL_US;
		break;
	case LEASE_CALL_REFUSED:
		/* Somebody else has written, or an own write that was thought
		 * lost has arrived. Nothing is sent until the row shows which.
		 */
		lease->holding = false;
		lease->row_current = false;
		lease->next_us = now_us;
		break;
	case LEASE_CALL_UNKNOWN:
		/* A holder's earlier deadline stays. */
		lease->row_current = false;
		lease->next_us = now_us;
		break;
	}
}
