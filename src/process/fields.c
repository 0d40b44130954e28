#include "process/fields.h"

#include <arpa/inet.h>
#include <inttypes.h>

#define NAME_MAX_BYTES 63
#define SHA256_HEX_DIGITS 64
#define ADDRESS_MAX_BYTES 63

static bool is_name_char(char c)
{
	return g_ascii_islower(c) || g_ascii_isdigit(c) || c == '-' ||
	       c == '_' || c == '.';
}

/* Tells whether a text can name a table entry. */
bool fields_is_name(str_t text)
{
	if (text.len == 0 || text.len > NAME_MAX_BYTES)
		return false;
	if (!g_ascii_isalnum(text.data[0]))
		return false;
	for (size_t i = 0; i < text.len; i++) {
		if (!is_name_char(text.data[i]))
			return false;
	}
	return true;
}

/* Tells whether a text has only lower-case hex digits. */
bool fields_is_hex(str_t text)
{
	for (size_t i = 0; i < text.len; i++) {
		char c = text.data[i];

		if (!g_ascii_isdigit(c) && (c < 'a' || c > 'f'))
			return false;
	}
	return true;
}

static bool is_port(const char *text)
{
	unsigned port = 0;

	if (*text == '0')
		return false;
	for (size_t i = 0; text[i]; i++) {
		if (!g_ascii_isdigit(text[i]) || i >= 5)
			return false;
		port = port * 10 + (unsigned)(text[i] - '0');
	}
	return port >= 1 && port <= 65535;
}

static bool is_host(char *host)
{
	size_t len = strlen(host);
	struct in6_addr v6;
	struct in_addr v4;

	if (host[0] != '[')
		return inet_pton(AF_INET, host, &v4) == 1;
	if (host[len - 1] != ']')
		return false;
	host[len - 1] = '\0';
	return inet_pton(AF_INET6, host + 1, &v6) == 1;
}

/* Tells whether a text is IPv4:port or [IPv6]:port. */
bool fields_is_address(str_t text)
{
	char copy[ADDRESS_MAX_BYTES + 1];
	char *colon;

	if (text.len == 0 || text.len > ADDRESS_MAX_BYTES ||
	    memchr(text.data, '\0', text.len))
		return false;
	memcpy(copy, text.data, text.len);
	copy[text.len] = '\0';
	colon = strrchr(copy, ':');
	if (!colon || colon == copy)
		return false;
	*colon = '\0';
	return is_host(copy) && is_port(colon + 1);
}

static bool is_printable(str_t text)
{
	for (size_t i = 0; i < text.len; i++) {
		if (!g_ascii_isprint(text.data[i]))
			return false;
	}
	return true;
}

/* Edit distance between two words (Levenshtein). */
static size_t edit_distance(str_t a, str_t b)
{
	size_t *row = g_new(size_t, b.len + 1);
	size_t distance;

	for (size_t j = 0; j <= b.len; j++)
		row[j] = j;
	for (size_t i = 1; i <= a.len; i++) {
		size_t diagonal = row[0];

		row[0] = i;
		for (size_t j = 1; j <= b.len; j++) {
			size_t above = row[j];
			size_t cost = a.data[i - 1] != b.data[j - 1];

			row[j] = MIN(MIN(above, row[j - 1]) + 1,
				     diagonal + cost);
			diagonal = above;
		}
	}
	distance = row[b.len];
	g_free(row);
	return distance;
}

/* Returns the known key that needs the fewest edits. */
const char *fields_nearest_key(str_t word, const field_t *fields,
			       size_t n_fields)
{
	const char *nearest = "";
	size_t least = SIZE_MAX;

	word.len = MIN(word.len, NAME_MAX_BYTES);
	for (size_t i = 0; i < n_fields; i++) {
		size_t d = edit_distance(word, str_from(fields[i].key));

		if (d < least) {
			least = d;
			nearest = fields[i].key;
		}
	}
	return nearest;
}

static void add_error(const fields_reader_t *reader, unsigned line,
		      const char *path, str_t key, const char *message)
{
	const char *dot = *path && key.len ? "." : "";
	char *full = g_strdup_printf("%s%s%.*s", path, dot, STR_ARG(key));

	diag_add(reader->diag, reader->file, line, full, "%s", message);
	g_free(full);
}

/*
 * Adds an error about a key of a table. The line is the key's, or the table's
 * when the key is absent.
 */
void fields_error(const fields_reader_t *reader, const toml_node_t *table,
		  const char *path, const char *key, const char *format, ...)
{
	const toml_node_t *node = toml_get(table, key);
	va_list args;
	char *message;

	va_start(args, format);
	message = g_strdup_vprintf(format, args);
	va_end(args);
	add_error(reader, node ? node->line : table->line, path, str_from(key),
		  message);
	g_free(message);
}

/* Returns a copy that lives as long as the reader's strings. */
str_t fields_copy_text(const fields_reader_t *reader, str_t text)
{
	char *copy = g_string_chunk_insert_len(reader->strings, text.data,
					       (gssize)text.len);

	return (str_t){copy, text.len};
}

/* Number of elements of an array member; 0 when it is absent. */
size_t fields_array_length(const toml_node_t *table, const char *key)
{
	const toml_node_t *array = toml_get(table, key);

	return array && array->kind == TOML_ARRAY ? array->n_children : 0;
}

/* Element of an array member; the index is below fields_array_length(). */
const toml_node_t *fields_array_element(const toml_node_t *table,
					const char *key, size_t index)
{
	return &toml_get(table, key)->children[index];
}

/* Text of what a field expects, freed by the caller. */
static char *expected_text(const field_t *field)
{
	switch (field->kind) {
	case FIELD_NAME:
	case FIELD_REFERENCE:
		return g_strdup("a name of at most 63 lower-case letters, "
				"digits, '-', '_' or '.', starting with a "
				"letter or digit");
	case FIELD_TEXT:
		return g_strdup_printf("%g to %g printable ASCII characters",
				       field->min, field->max);
	case FIELD_ADDRESS:
		return g_strdup("an address IP:port, port 1 to 65535");
	case FIELD_SHA256:
		return g_strdup("64 lower-case hex digits");
	case FIELD_HEX:
		return g_strdup_printf("an even number of %g to %g lower-case "
				       "hex digits",
				       field->min, field->max);
	case FIELD_INTEGER:
	case FIELD_INT:
		return g_strdup_printf("an integer from %" PRId64
				       " to %" PRId64,
				       (int64_t)field->min,
				       (int64_t)field->max);
	case FIELD_REAL:
		return g_strdup_printf("a number from %g to %g", field->min,
				       field->max);
	case FIELD_BOOL:
		return g_strdup("true or false");
	case FIELD_CHOICE: {
		char *list = g_strjoinv("\", \"", (char **)field->choices);
		char *text = g_strdup_printf("one of \"%s\"", list);

		g_free(list);
		return text;
	}
	case FIELD_NAMES:
		return g_strdup("an array of names");
	case FIELD_TABLES:
		return g_strdup("an array of tables");
	case FIELD_TABLE:
		break;
	}
	return g_strdup("a table");
}

static toml_kind_t wanted_kind(const field_t *field)
{
	switch (field->kind) {
	case FIELD_INTEGER:
	case FIELD_INT:
		return TOML_INTEGER;
	case FIELD_REAL:
		return TOML_REAL;
	case FIELD_BOOL:
		return TOML_BOOL;
	case FIELD_NAMES:
	case FIELD_TABLES:
		return TOML_ARRAY;
	case FIELD_TABLE:
		return TOML_TABLE;
	default:
		return TOML_STRING;
	}
}

static int find_choice(const field_t *field, str_t text)
{
	for (int i = 0; field->choices[i]; i++) {
		if (str_equal(str_from(field->choices[i]), text))
			return i;
	}
	return -1;
}

static bool array_is_valid(const field_t *field, const toml_node_t *array)
{
	for (size_t i = 0; i < array->n_children; i++) {
		const toml_node_t *element = &array->children[i];

		if (field->kind == FIELD_TABLES && element->kind != TOML_TABLE)
			return false;
		if (field->kind == FIELD_NAMES &&
		    (element->kind != TOML_STRING ||
		     !fields_is_name(element->string)))
			return false;
	}
	return true;
}

static bool string_is_valid(const field_t *field, str_t text)
{
	bool in_range = (double)text.len >= field->min &&
			(double)text.len <= field->max;

	switch (field->kind) {
	case FIELD_NAME:
	case FIELD_REFERENCE:
		return fields_is_name(text);
	case FIELD_TEXT:
		return in_range && is_printable(text);
	case FIELD_ADDRESS:
		return fields_is_address(text);
	case FIELD_SHA256:
		return text.len == SHA256_HEX_DIGITS && fields_is_hex(text);
	case FIELD_HEX:
		return in_range && text.len % 2 == 0 && fields_is_hex(text);
	case FIELD_CHOICE:
		return find_choice(field, text) >= 0;
	default:
		return false;
	}
}

static bool real_is_valid(const field_t *field, double value)
{
	/* The comparison is false for NaN. */
	return value >= field->min && value <= field->max;
}

static bool value_is_valid(const field_t *field, const toml_node_t *value)
{
	if (field->kind == FIELD_REAL && value->kind == TOML_INTEGER)
		return real_is_valid(field, (double)value->integer);
	if (value->kind != wanted_kind(field))
		return false;
	switch (value->kind) {
	case TOML_STRING:
		return string_is_valid(field, value->string);
	case TOML_INTEGER:
		return value->integer >= (int64_t)field->min &&
		       value->integer <= (int64_t)field->max;
	case TOML_REAL:
		return real_is_valid(field, value->real);
	case TOML_ARRAY:
		return array_is_valid(field, value);
	default:
		return true;
	}
}

static void store_string(const fields_reader_t *reader, const field_t *field,
			 str_t text, void *member)
{
	if (field->as_c_string)
		*(char **)member = str_dup(text);
	else
		*(str_t *)member = fields_copy_text(reader, text);
}

static void store_value(const fields_reader_t *reader, const field_t *field,
			const toml_node_t *value, void *target)
{
	void *member = (char *)target + field->offset;

	switch (field->kind) {
	case FIELD_NAME:
	case FIELD_TEXT:
	case FIELD_ADDRESS:
	case FIELD_SHA256:
	case FIELD_HEX:
		store_string(reader, field, value->string, member);
		break;
	case FIELD_INTEGER:
		*(int64_t *)member = value->integer;
		break;
	case FIELD_INT:
		*(int *)member = (int)value->integer;
		break;
	case FIELD_REAL:
		*(double *)member = value->kind == TOML_INTEGER
					    ? (double)value->integer
					    : value->real;
		break;
	case FIELD_BOOL:
		*(bool *)member = value->boolean;
		break;
	case FIELD_CHOICE:
		*(int *)member = find_choice(field, value->string);
		break;
	default:
		break;
	}
}

static void store_initial(const field_t *field, void *target)
{
	void *member = (char *)target + field->offset;

	switch (field->kind) {
	case FIELD_INTEGER:
		*(int64_t *)member = (int64_t)field->default_value;
		break;
	case FIELD_REAL:
		*(double *)member = field->default_value;
		break;
	case FIELD_BOOL:
		*(bool *)member = field->default_value != 0;
		break;
	case FIELD_INT:
	case FIELD_CHOICE:
		*(int *)member = (int)field->default_value;
		break;
	default:
		break;
	}
}

static void read_field(const fields_reader_t *reader, const toml_node_t *table,
		       const char *path, const field_t *field,
		       const toml_node_t *value, void *target)
{
	char *expected;

	if (value && value_is_valid(field, value)) {
		store_value(reader, field, value, target);
		return;
	}
	store_initial(field, target);
	if (!value && !field->required)
		return;
	expected = expected_text(field);
	if (!value)
		fields_error(reader, table, path, field->key,
			     "missing key, expected %s", expected);
	else if (value->kind != wanted_kind(field))
		fields_error(reader, table, path, field->key,
			     "expected %s, found %s", expected,
			     toml_kind_text(value->kind));
	else
		fields_error(reader, table, path, field->key, "expected %s",
			     expected);
	g_free(expected);
}

/* Index of the field with this key, or n_fields. */
static size_t find_field(str_t key, const field_t *fields, size_t n_fields)
{
	for (size_t i = 0; i < n_fields; i++) {
		/* The key of a field is NUL-terminated, the other one not. */
		if (key.len && !strncmp(fields[i].key, key.data, key.len) &&
		    fields[i].key[key.len] == '\0')
			return i;
	}
	return n_fields;
}

static void add_unknown(const fields_reader_t *reader, const toml_node_t *node,
			const char *path, const field_t *fields,
			size_t n_fields)
{
	char *message = g_strdup_printf(
		"unknown key, the nearest known key is \"%s\"",
		fields_nearest_key(node->key, fields, n_fields));

	add_error(reader, node->line, path, node->key, message);
	g_free(message);
}

/*
 * Reads the members of a table into a structure. Every unknown key, missing
 * key and invalid value is added as an error; members without a valid value
 * get their default_value value. `path` is the table's own dotted path.
 */
void fields_read(const fields_reader_t *reader, const toml_node_t *table,
		 const char *path, const field_t *fields, size_t n_fields,
		 void *target)
{
	const toml_node_t *values[FIELDS_MAX] = {0};

	g_assert(n_fields <= FIELDS_MAX);
	for (size_t i = 0; i < table->n_children; i++) {
		const toml_node_t *child = &table->children[i];
		size_t field = find_field(child->key, fields, n_fields);

		if (field < n_fields)
			values[field] = child;
		else
			add_unknown(reader, child, path, fields, n_fields);
	}
	for (size_t i = 0; i < n_fields; i++)
		read_field(reader, table, path, &fields[i], values[i], target);
}
