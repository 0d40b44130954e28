#include "request/access.h"

#include "process/clock.h"

#define TIMEOUT_HEADER "X-Request-Timeout-Ms"
#define TRACEPARENT_LEN 55 /* bytes, of the W3C header's version 00 */

/* Returns the SHA-256 of the bearer token as hex digits, or NULL if there is no
 * token. The caller frees it.
 */
static char *hash_bearer_token(SoupMessageHeaders *headers)
{
	const char *value =
		soup_message_headers_get_one(headers, "Authorization");

	if (!value || g_ascii_strncasecmp(value, "Bearer ", 7) != 0 ||
	    !value[7])
		return NULL;
	return g_compute_checksum_for_string(G_CHECKSUM_SHA256, value + 7, -1);
}

/* Compares in a time that does not depend on where the bytes differ, so that
 * the time tells a caller nothing about the expected hash.
 */
static bool equal_constant_time(const char *a, const char *b, size_t len)
{
	unsigned char diff = 0;

	for (size_t i = 0; i < len; i++)
		diff |= (unsigned char)(a[i] ^ b[i]);
	return diff == 0;
}

/* Returns whether the bearer token has the given SHA-256, 64 hex digits. */
bool access_token_matches(const char *sha256, SoupMessageHeaders *headers)
{
	char *hash = hash_bearer_token(headers);
	bool ok = hash && sha256 && strlen(sha256) == 64 &&
		  equal_constant_time(hash, sha256, 64);

	g_free(hash);
	return ok;
}

/*
 * Returns the workspace that owns the bearer token, or NULL with a not-run
 * verdict. `state`, the configuration version, owns the workspace. It is looked
 * up by the token's hash, so that how long the lookup takes reveals nothing
 * about the token.
 */
const workspace_t *access_authenticate(const state_t *state,
				       SoupMessageHeaders *headers,
				       verdict_t *verdict)
{
	char *hash = hash_bearer_token(headers);
	const workspace_t *workspace = hash ? state_find_workspace(state, hash)
					    : NULL;

	if (workspace &&
	    !equal_constant_time(workspace->token_sha256.data, hash, 64))
		workspace = NULL;
	g_free(hash);
	if (!workspace)
		*verdict = verdict_make(RUN_NOT_RUN, VERDICT_UNAUTHORIZED,
					"unknown bearer token");
	return workspace;
}

/*
 * Returns the deadline of a request, on the same clock as `now_us`: the
 * service's limit, or sooner if the caller's header asks for it. A header that
 * is not a number of milliseconds from 1 to one day gives 0 and a not-run
 * verdict.
 */
int64_t access_deadline(SoupMessageHeaders *headers, int64_t now_us,
			int64_t limit_ms, verdict_t *verdict)
{
	const char *value =
		soup_message_headers_get_one(headers, TIMEOUT_HEADER);
	guint64 timeout_ms;

	if (!value)
		return now_us + limit_ms * CLOCK_US_PER_MS;
	if (!g_ascii_string_to_unsigned(value, 10, 1, 86400000, &timeout_ms,
					NULL)) {
		*verdict = verdict_make(RUN_NOT_RUN, VERDICT_BAD_REQUEST,
					TIMEOUT_HEADER
					": expected 1 to 86400000");
		return 0;
	}
	return now_us + MIN((int64_t)timeout_ms, limit_ms) * CLOCK_US_PER_MS;
}

/* Copies a well-formed W3C traceparent header. Otherwise returns false with an
 * empty trace.
 */
bool access_copy_traceparent(SoupMessageHeaders *headers, char trace[56])
{
	const char *value =
		soup_message_headers_get_one(headers, "traceparent");

	trace[0] = '\0';
	if (!value || strlen(value) != TRACEPARENT_LEN)
		return false;
	for (size_t i = 0; i < TRACEPARENT_LEN; i++) {
		bool dash = i == 2 || i == 35 || i == 52;

		if (dash ? value[i] != '-'
			 : !g_ascii_isxdigit(value[i]) ||
				    g_ascii_isupper(value[i]))
			return false;
	}
	memcpy(trace, value, TRACEPARENT_LEN + 1);
	return true;
}
