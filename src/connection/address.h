/* Converts socket addresses from and to the text "IP:port". */
#ifndef CONNECTION_ADDRESS_H
#define CONNECTION_ADDRESS_H

#include <gio/gio.h>
#include <stdbool.h>

GSocketAddress *address_parse(const char *text);
char *address_format(GSocketAddress *address);

#endif
