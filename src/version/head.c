#include "version/head.h"

#include <inttypes.h>

#include "process/fields.h"
#include "version/lines.h"

#define FORMAT_NAME "gooseberryspur-head"
#define FORMAT_VERSION 1

/* Tells whether a text can name an author: printable, without spaces. */
bool head_is_author(str_t text)
{
	if (text.len == 0 || text.len > HEAD_AUTHOR_BYTES)
		return false;
	for (size_t i = 0; i < text.len; i++) {
		if (!g_ascii_isgraph(text.data[i]))
			return false;
	}
	return true;
}

/* Appends the text of a head. */
void head_print(const head_t *head, GString *out)
{
	g_string_append_printf(out,
			       FORMAT_NAME " %d\n"
					   "deployment %s\n"
					   "version %" PRIu64 "\n"
					   "author %s\n"
					   "attempt %s\n"
					   "time %" PRIu64 "\n"
					   "manifest %s %" PRIu64 "\n",
			       FORMAT_VERSION, head->deployment, head->version,
			       head->author, head->attempt, head->time_s,
			       head->manifest, head->manifest_size);
	for (size_t i = 0; i < head->n_deltas; i++)
		g_string_append_printf(out, "delta %s %s %s %" PRIu64 "\n",
				       head->deltas[i].from, head->deltas[i].to,
				       head->deltas[i].hash,
				       head->deltas[i].size);
	for (size_t i = 0; i < head->n_past; i++)
		g_string_append_printf(out, "past %" PRIu64 " %s %s\n",
				       head->past[i].version,
				       head->past[i].attempt,
				       head->past[i].author);
}

/* Takes the next line if it starts with this word. */
static bool take_line(str_t *text, const char *key, str_t *line)
{
	str_t word;

	return lines_next(text, line) && lines_word(line, &word) &&
	       str_equal(word, str_from(key));
}

static bool take_uint(str_t *text, const char *key, uint64_t *value)
{
	str_t line;

	return take_line(text, key, &line) &&
	       lines_uint(&line, INT64_MAX, value) && line.len == 0;
}

static bool take_deployment(head_t *head, str_t *text)
{
	str_t line;

	if (!take_line(text, "deployment", &line) || !fields_is_name(line))
		return false;
	memcpy(head->deployment, line.data, line.len);
	return true;
}

static bool take_author(head_t *head, str_t *text)
{
	str_t line;

	if (!take_line(text, "author", &line) || !head_is_author(line))
		return false;
	memcpy(head->author, line.data, line.len);
	return true;
}

static bool take_attempt(head_t *head, str_t *text)
{
	str_t line;

	return take_line(text, "attempt", &line) &&
	       lines_hex(&line, HEAD_ATTEMPT_DIGITS, head->attempt) &&
	       line.len == 0;
}

static bool take_manifest(head_t *head, str_t *text)
{
	str_t line;

	return take_line(text, "manifest", &line) &&
	       lines_hex(&line, MANIFEST_HASH_DIGITS, head->manifest) &&
	       lines_uint(&line, MANIFEST_MAX_BYTES, &head->manifest_size) &&
	       line.len == 0;
}

static bool take_delta(head_t *head, str_t line)
{
	head_delta_t *delta = &head->deltas[head->n_deltas];

	if (head->n_deltas == HEAD_DELTAS || head->n_past > 0)
		return false;
	head->n_deltas++;
	return lines_hex(&line, MANIFEST_HASH_DIGITS, delta->from) &&
	       lines_hex(&line, MANIFEST_HASH_DIGITS, delta->to) &&
	       lines_hex(&line, MANIFEST_HASH_DIGITS, delta->hash) &&
	       lines_uint(&line, MANIFEST_MAX_BYTES, &delta->size) &&
	       line.len == 0;
}

static bool take_past(head_t *head, str_t line)
{
	head_past_t *past = &head->past[head->n_past];

	if (head->n_past == HEAD_PAST)
		return false;
	head->n_past++;
	if (!lines_uint(&line, INT64_MAX, &past->version) ||
	    !lines_hex(&line, HEAD_ATTEMPT_DIGITS, past->attempt) ||
	    !head_is_author(line))
		return false;
	memcpy(past->author, line.data, line.len);
	return true;
}

/* Deltas and past versions, in this order. */
static bool take_history(head_t *head, str_t *text)
{
	str_t line, word;

	if (!lines_next(text, &line) || !lines_word(&line, &word))
		return false;
	if (str_equal(word, STR("delta")))
		return take_delta(head, line);
	return str_equal(word, STR("past")) && take_past(head, line);
}

/* Reads a head. Anything else than what head_print() writes is refused. */
bool head_parse(head_t *head, str_t text)
{
	uint64_t format;

	memset(head, 0, sizeof(*head));
	if (text.len > HEAD_MAX_BYTES ||
	    !take_uint(&text, FORMAT_NAME, &format) || format != FORMAT_VERSION)
		return false;
	if (!take_deployment(head, &text) ||
	    !take_uint(&text, "version", &head->version) ||
	    !take_author(head, &text) || !take_attempt(head, &text) ||
	    !take_uint(&text, "time", &head->time_s) ||
	    !take_manifest(head, &text))
		return false;
	while (text.len > 0) {
		if (!take_history(head, &text))
			return false;
	}
	return head->version > 0;
}

/* Adds the newest delta; the oldest one is dropped when there is no room. */
void head_add_delta(head_t *head, const head_delta_t *delta)
{
	if (head->n_deltas == HEAD_DELTAS) {
		memmove(&head->deltas[0], &head->deltas[1],
			(HEAD_DELTAS - 1) * sizeof(head->deltas[0]));
		head->n_deltas--;
	}
	head->deltas[head->n_deltas++] = *delta;
}

/* Adds the newest of the past versions; the oldest one is dropped when there is
 * no room.
 */
void head_add_past(head_t *head, const head_past_t *past)
{
	if (head->n_past == HEAD_PAST) {
		memmove(&head->past[0], &head->past[1],
			(HEAD_PAST - 1) * sizeof(head->past[0]));
		head->n_past--;
	}
	head->past[head->n_past++] = *past;
}

/* Returns what the head says about a past version, or NULL. */
const head_past_t *head_find_past(const head_t *head, uint64_t version)
{
	for (size_t i = 0; i < head->n_past; i++) {
		if (head->past[i].version == version)
			return &head->past[i];
	}
	return NULL;
}

/*
 * Returns the delta to apply next on the way from a manifest to the head's
 * own, or NULL when the chain does not reach back to it.
 */
const head_delta_t *head_find_delta(const head_t *head, const char *from)
{
	/* The newest one first: a state may have returned to an older one. */
	for (size_t i = head->n_deltas; i > 0; i--) {
		if (!strcmp(head->deltas[i - 1].from, from))
			return &head->deltas[i - 1];
	}
	return NULL;
}
