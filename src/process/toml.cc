/*
 * Parses with toml++ and copies its tree to plain C structures. No exception
 * leaves this file, since its callers are C code.
 */
#include "process/toml.h"

#include <exception>

/* Setting of toml++: deepest nesting of arrays and inline tables. */
#define TOML_MAX_NESTED_VALUES 8
#include <toml++/toml.h>

/* Deepest tree that is copied. Settings and desired states need 4 levels. */
static const int max_tree_depth = 16;

/* Returns an allocated copy of a text. */
static str_t copy_text(std::string_view text)
{
	char *copy = g_strndup(text.data(), text.size());

	return str_t{copy, text.size()};
}

/* Frees the key, the value and all children of a node, but not the node. */
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

/* Copies a table with all members. Returns false if the tree is too deep. */
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

/* Copies an array with all elements. Returns false if the tree is too deep. */
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

/* Copies any node. Returns false if the tree is deeper than max_tree_depth. */
static bool copy_node(const toml::node &from, toml_node_t *to, int depth)
{
	to->line = from.source().begin.line;
	if (depth > max_tree_depth)
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

/*
 * Returns whether the text and each of its lines are short enough; adds an
 * error otherwise.
 */
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
 * Parses a text. On success, *root is a table, freed with toml_free().
 * Otherwise *root is NULL and one error is added, with `name` as its file;
 * toml++ stops at the first syntax error.
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
			 max_tree_depth);
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

/* Frees a tree; NULL is allowed. */
extern "C" void toml_free(toml_node_t *root)
{
	if (!root)
		return;
	clear_node(root);
	g_free(root);
}

/*
 * Returns the member of a table with this key, or NULL if there is none or the
 * node is no table.
 */
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

/* Returns the name of a type with its article, for error messages. */
extern "C" const char *toml_kind_text(toml_kind_t kind)
{
	static const char *const texts[] = {"a table",	       "an array",
					    "a string",	       "an integer",
					    "a float",	       "a boolean",
					    "a date or a time"};

	return texts[kind];
}
