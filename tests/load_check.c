#include "load_check.h"

#include <stdlib.h>
#include <string.h>

/* Hex digits of a prompt's hash in token texts, as in the fake engine. */
#define PROMPT_HASH_DIGITS 12

const char *load_fault_text(load_fault_t fault)
{
	static const char *const texts[] = {
		[LOAD_FAULT_NONE] = "none",
		[LOAD_FAULT_MIXED] = "mixed",
		[LOAD_FAULT_DOUBLED] = "doubled",
		[LOAD_FAULT_MISSING] = "missing",
		[LOAD_FAULT_SHORT] = "short",
		[LOAD_FAULT_GARBLED] = "garbled",
	};

	return texts[fault];
}

void load_check_init(load_check_t *check, const char *prompt, int64_t expected)
{
	check->hash =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, prompt, -1);
	check->hash[PROMPT_HASH_DIGITS] = '\0';
	check->expected = expected;
	check->tokens = 0;
	check->tail = g_string_new(NULL);
	check->fault = LOAD_FAULT_NONE;
}

void load_check_finish(load_check_t *check)
{
	g_free(check->hash);
	g_string_free(check->tail, TRUE);
}

static void note_fault(load_check_t *check, load_fault_t fault)
{
	if (check->fault == LOAD_FAULT_NONE)
		check->fault = fault;
}

/* Checks one token without its space. */
static void check_token(load_check_t *check, const char *token)
{
	const char *colon = strchr(token, ':');
	char *end = NULL;
	int64_t offset;

	offset = colon ? strtoll(colon + 1, &end, 10) : 0;
	if (!colon || end == colon + 1 || *end) {
		note_fault(check, LOAD_FAULT_GARBLED);
		return;
	}
	if ((size_t)(colon - token) != strlen(check->hash) ||
	    strncmp(token, check->hash, strlen(check->hash)) != 0)
		note_fault(check, LOAD_FAULT_MIXED);
	else if (offset < check->tokens)
		note_fault(check, LOAD_FAULT_DOUBLED);
	else if (offset > check->tokens)
		note_fault(check, LOAD_FAULT_MISSING);
	else
		check->tokens++;
}

/* Adds received text. Returns the number of tokens that it completed. */
int64_t load_check_add(load_check_t *check, const char *text)
{
	int64_t n = 0;
	char *space;

	g_string_append(check->tail, text);
	while ((space = strchr(check->tail->str, ' '))) {
		*space = '\0';
		check_token(check, check->tail->str);
		g_string_erase(check->tail, 0, space - check->tail->str + 1);
		n++;
	}
	return n;
}

/* The response was declared complete. Returns whether it is whole and right. */
bool load_check_complete(load_check_t *check)
{
	if (check->tail->len)
		note_fault(check, LOAD_FAULT_GARBLED);
	if (check->tokens < check->expected)
		note_fault(check, LOAD_FAULT_SHORT);
	if (check->tokens > check->expected)
		note_fault(check, LOAD_FAULT_DOUBLED);
	return check->fault == LOAD_FAULT_NONE;
}
