#include "connection/address.h"

#include <string.h>

/* Parses "IP:port", where an IPv6 address stands in brackets. Returns a new
 * reference, or NULL if the text is malformed.
 */
GSocketAddress *address_parse(const char *text)
{
	const char *colon = strrchr(text, ':');
	guint64 port = 0;
	GSocketAddress *address;
	char *host;
	size_t len;

	if (!colon || !g_ascii_string_to_unsigned(colon + 1, 10, 0, G_MAXUINT16,
						  &port, NULL))
		return NULL;
	len = (size_t)(colon - text);
	if (len >= 2 && text[0] == '[' && text[len - 1] == ']')
		host = g_strndup(text + 1, len - 2);
	else
		host = g_strndup(text, len);
	address = g_inet_socket_address_new_from_string(host, (guint)port);
	g_free(host);
	return address;
}

/* Returns the text from which address_parse() reads this address, to be freed
 * with g_free().
 */
char *address_format(GSocketAddress *address)
{
	GInetSocketAddress *inet = G_INET_SOCKET_ADDRESS(address);
	GInetAddress *ip = g_inet_socket_address_get_address(inet);
	char *host = g_inet_address_to_string(ip);
	bool brackets = strchr(host, ':') != NULL;
	char *text = g_strdup_printf(brackets ? "[%s]:%u" : "%s:%u", host,
				     g_inet_socket_address_get_port(inet));

	g_free(host);
	return text;
}
