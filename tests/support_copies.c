#include "support_copies.h"

#include <string.h>

#define ID_FIELD "\r\nX-Request-Id: "

#define MAX_ANSWER_BYTES 4096
#define MAX_REFUSALS 32

/* Copies of refusals, and copies without the ID of their request. */
#define REFUSALS_PERCENT 75
#define WITHOUT_ID_PERCENT 8

static bool on_head(void *context, http_head_t *head)
{
	return true;
}

static void on_body(void *context, const char *data, size_t len)
{
}

static const http_message_handler_t handler = {
	.on_head = on_head,
	.on_body = on_body,
};

/* Prepares for the answers of a new connection. */
void copies_init(copies_t *copies)
{
	*copies = (copies_t){
		.answer = g_string_new(NULL),
		.refusals = g_ptr_array_new_with_free_func(g_free),
		.request = g_string_new(NULL),
	};
	http_message_init(&copies->message, false, &handler, NULL);
}

/* Frees the answers. */
void copies_finish(copies_t *copies)
{
	http_message_finish(&copies->message);
	g_string_free(copies->answer, TRUE);
	g_free(copies->last);
	g_ptr_array_unref(copies->refusals);
	g_string_free(copies->request, TRUE);
}

/* Takes bytes of a request. Returns whether they begin one. */
bool copies_note_request(copies_t *copies, const char *data, size_t len)
{
	bool begins = !copies->is_open;

	if (begins)
		g_string_truncate(copies->request, 0);
	g_string_append_len(copies->request, data, (gssize)len);
	copies->is_open = true;
	return begins;
}

static void keep_answer(copies_t *copies)
{
	unsigned status = copies->message.head.status;

	if (copies->answer->len > MAX_ANSWER_BYTES)
		return;
	g_free(copies->last);
	copies->last = g_strdup(copies->answer->str);
	if (status != 503 && status != 429 && status != 421)
		return;
	if (copies->refusals->len == MAX_REFUSALS)
		g_ptr_array_remove_index(copies->refusals, 0);
	g_ptr_array_add(copies->refusals, g_strdup(copies->answer->str));
}

/* Takes bytes of an answer. Returns whether an answer is complete now. */
bool copies_note_answer(copies_t *copies, const char *data, size_t len)
{
	bool complete = false;

	while (len > 0 && !copies->is_unknown) {
		size_t used;
		http_feed_t result =
			http_message_feed(&copies->message, data, len, &used);

		g_string_append_len(copies->answer, data, (gssize)used);
		data += used;
		len -= used;
		if (result == HTTP_FEED_MORE)
			break;
		copies->is_unknown = result != HTTP_FEED_DONE;
		if (copies->is_unknown)
			break;
		keep_answer(copies);
		http_message_restart(&copies->message);
		g_string_truncate(copies->answer, 0);
		copies->is_open = false;
		complete = true;
	}
	return complete;
}

/* Returns the ID of an answer; NULL: it has none. */
static char *answer_id(const char *answer)
{
	const char *field = strstr(answer, ID_FIELD);
	const char *id = field ? field + strlen(ID_FIELD) : NULL;
	const char *end = id ? strstr(id, "\r\n") : NULL;

	return end ? g_strndup(id, (gsize)(end - id)) : NULL;
}

static char *without_id(const char *answer)
{
	const char *field = strstr(answer, ID_FIELD);
	const char *rest = strstr(field + strlen(ID_FIELD), "\r\n");

	return g_strdup_printf("%.*s%s", (int)(field - answer), answer, rest);
}

/* Returns whether an answer has the ID of the request under way. */
bool copies_has_open_id(const copies_t *copies, const char *answer)
{
	char *id = copies->is_open ? answer_id(answer) : NULL;
	char *end = g_strdup_printf(": %s\r\n", id ? id : "");
	bool same = id && strstr(copies->request->str, end);

	g_free(end);
	g_free(id);
	return same;
}

/* Returns the refusal that has the ID of the request under way; NULL: there is none. */
static const char *own_refusal(const copies_t *copies)
{
	for (guint i = 0; i < copies->refusals->len; i++) {
		const char *refusal = g_ptr_array_index(copies->refusals, i);

		if (copies_has_open_id(copies, refusal))
			return refusal;
	}
	return NULL;
}

/* Returns whether the connection has carried a refusal of the request under way. */
bool copies_has_own_refusal(const copies_t *copies)
{
	return own_refusal(copies) != NULL;
}

static const char *draw_answer(const copies_t *copies, GRand *rand)
{
	guint refusals = copies->refusals->len;
	const char *own = own_refusal(copies);

	if (own)
		return own;
	if (refusals == 0 || g_rand_int_range(rand, 0, 100) >= REFUSALS_PERCENT)
		return copies->last;
	return g_ptr_array_index(copies->refusals,
				 g_rand_int_range(rand, 0, (gint32)refusals));
}

/* Returns the copy of an earlier answer that a server writes now; NULL: none. Most have the ID
 * of their request.
 */
char *copies_draw(const copies_t *copies, GRand *rand)
{
	bool lacks_id = g_rand_int_range(rand, 0, 100) < WITHOUT_ID_PERCENT;
	const char *answer;
	char *id;

	if (copies->is_unknown || copies->message.started || !copies->last)
		return NULL;
	answer = draw_answer(copies, rand);
	id = answer_id(answer);
	if (!id)
		return lacks_id ? g_strdup(answer) : NULL;
	g_free(id);
	return lacks_id ? without_id(answer) : g_strdup(answer);
}
