/* A copy of toml++'s tree in plain C structures. No exception leaves this
 * file.
 */
#include "process/toml.h"

#include <exception>

/* Deepest nesting of arrays and inline tables in a text. */
#define TOML_MAX_NESTED_VALUES 8
#include <toml++/toml.h>

/* Deepest tree that is copied; the formats of this project need 4 levels. */
static const int max_depth = 16;

static str_t copy_text(std::string_view text)
{
	char *copy = g_strndup(text.data(), text.size());

	return str_t{copy, text.size()};
}

static void clear_node(toml_node_t *node)
{
	for (size_t i = 0; i < node->n_children; i++)
		clear_node(&node->children[i]);
	g_free(node->children);
	g_free(const_cast<char *>(node->key.data));
	if (node->kind == TOML_STRING)
		g_free(const_cast<char *>(node->string.data));
}

static bool copy_node(const toml::node &from, toml_node_t *to, int depth);

static bool copy_table(const toml::table &from, toml_node_t *to, int depth)
{
	to->kind = TOML_TABLE;
	to->children = g_new0(toml_node_t, from.size());
	for (const auto &member : from) {
		toml_node_t *child = &to->children[to->n_children++];

		if (!copy_node(member.second, child, depth + 1))
			return false;
		child->key = copy_text(member.first.str());
		child->line = member.first.source().begin.line;
	}
	return true;
}

static bool copy_array(const toml::array &from, toml_node_t *to, int depth)
{
	to->kind = TOML_ARRAY;
	to->children = g_new0(toml_node_t, from.size());
	for (const auto &element : from) {
		toml_node_t *child = &to->children[to->n_children++];

		if (!copy_node(element, child, depth + 1))
			return false;
	}
	return true;
}

static bool copy_node(const toml::node &from, toml_node_t *to, int depth)
{
	to->line = from.source().begin.line;
	if (depth > max_depth)
		return false;
	if (from.is_table())
		return copy_table(*from.as_table(), to, depth);
	if (from.is_array())
		return copy_array(*from.as_array(), to, depth);
	if (from.is_string()) {
		to->kind = TOML_STRING;
		to->string = copy_text(from.as_string()->get());
	} else if (from.is_integer()) {
		to->kind = TOML_INTEGER;
		to->integer = from.as_integer()->get();
	} else if (from.is_floating_point()) {
		to->kind = TOML_REAL;
		to->real = from.as_floating_point()->get();
	} else if (from.is_boolean()) {
		to->kind = TOML_BOOL;
		to->boolean = from.as_boolean()->get();
	} else {
		to->kind = TOML_OTHER;
	}
	return true;
}

static bool check_size(const char *text, size_t len, const char *name,
		       diag_t *diag)
{
	unsigned line = 1;
	size_t start = 0;

	if (len > TOML_MAX_BYTES) {
		diag_add(diag, name, 0, NULL, "expected at most %d bytes",
			 TOML_MAX_BYTES);
		return false;
	}
	for (size_t i = 0; i < len; i++) {
		if (text[i] == '\n') {
			line++;
			start = i + 1;
		} else if (i - start >= TOML_MAX_LINE_BYTES) {
			diag_add(diag, name, line, NULL,
				 "expected lines of at most %d bytes",
				 TOML_MAX_LINE_BYTES);
			return false;
		}
	}
	return true;
}

/*
 * Parses a text. On success, *root is a table that is freed with toml_free().
 * Otherwise an error is added, with `name` as its file. toml++ stops at the
 * first syntax error, so there is only one.
 */
extern "C" bool toml_parse(const char *text, size_t len, const char *name,
			   toml_node_t **root, diag_t *diag)
{
	toml_node_t *copy = NULL;

	*root = NULL;
	if (!check_size(text, len, name, diag))
		return false;
	try {
		toml::table table = toml::parse(std::string_view(text, len));

		copy = g_new0(toml_node_t, 1);
		if (copy_node(table, copy, 0)) {
			*root = copy;
			return true;
		}
		diag_add(diag, name, 0, NULL, "expected at most %d levels",
			 max_depth);
	} catch (const toml::parse_error &e) {
		std::string_view reason = e.description();

		diag_add(diag, name, e.source().begin.line, NULL,
			 "expected valid TOML: %.*s", (int)reason.size(),
			 reason.data());
	} catch (const std::exception &e) {
		diag_add(diag, name, 0, NULL, "expected valid TOML: %s",
			 e.what());
	} catch (...) {
		diag_add(diag, name, 0, NULL, "expected valid TOML");
	}
	toml_free(copy);
	return false;
}

/* Frees a tree. NULL is allowed. */
extern "C" void toml_free(toml_node_t *root)
{
	if (!root)
		return;
	clear_node(root);
	g_free(root);
}

/* Returns the member of a table with this key, or NULL. */
extern "C" const toml_node_t *toml_get(const toml_node_t *table,
				       const char *key)
{
	str_t wanted = str_from(key);

	if (table->kind != TOML_TABLE)
		return NULL;
	for (size_t i = 0; i < table->n_children; i++) {
		if (str_equal(table->children[i].key, wanted))
			return &table->children[i];
	}
	return NULL;
}

/* Name of a kind of value, for error messages. */
extern "C" const char *toml_kind_text(toml_kind_t kind)
{
	static const char *const texts[] = {"a table",	       "an array",
					    "a string",	       "an integer",
					    "a float",	       "a boolean",
					    "a date or a time"};

	return texts[kind];
}
