/* Strings with a length. A str_t borrows its bytes and never owns them. */
#ifndef PROCESS_STR_H
#define PROCESS_STR_H

#include <glib.h>
#include <stdbool.h>
#include <string.h>

/* A string of any bytes. */
typedef struct {
	const char *data; /* not NUL-terminated */
	size_t len; /* bytes */
} str_t;

/* Wraps a string literal. */
#define STR(literal) ((str_t){(literal), sizeof(literal) - 1})

/* Expands to the two arguments of a "%.*s" conversion. */
#define STR_ARG(s) ((int)(s).len), ((s).data ? (s).data : "")

/* Wraps a NUL-terminated string; NULL gives the empty string. */
static inline str_t str_from(const char *text)
{
	return (str_t){text, text ? strlen(text) : 0};
}

/* Wraps the text of a GString. */
static inline str_t str_from_gstring(const GString *text)
{
	return (str_t){text->str, text->len};
}

/* Returns whether two strings have the same bytes. */
static inline bool str_equal(str_t a, str_t b)
{
	return a.len == b.len && (a.len == 0 || !memcmp(a.data, b.data, a.len));
}

/* Returns whether a string starts with a prefix. */
static inline bool str_has_prefix(str_t s, str_t prefix)
{
	return s.len >= prefix.len &&
	       (prefix.len == 0 || !memcmp(s.data, prefix.data, prefix.len));
}

/* Returns a NUL-terminated copy, freed with g_free(). */
static inline char *str_dup(str_t s)
{
	return g_strndup(s.data ? s.data : "", s.len);
}

#endif
