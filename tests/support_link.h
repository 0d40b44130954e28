/* Links to servers of a test that pass no segment in either direction for a time: the kernel
 * drops what comes to the server's socket, so that nothing is acknowledged.
 */
#ifndef SUPPORT_LINK_H
#define SUPPORT_LINK_H

#include <stdbool.h>

#include "connection/ingress.h"

void support_link_set_socket(int fd, bool up);
void support_link_set(ingress_t *server, bool up);

#endif
