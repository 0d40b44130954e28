#include "support_link.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <linux/filter.h>
#include <sys/socket.h>

#include "connection/ingress_connection.h"

/* Makes the kernel drop all segments that come to a socket, or take them again. A listening
 * socket then opens no connections.
 */
void support_link_set_socket(int fd, bool up)
{
	struct sock_filter drop_all = {.code = BPF_RET | BPF_K, .k = 0};
	struct sock_fprog program = {.len = 1, .filter = &drop_all};
	int unused = 0;

	if (up)
		assert_int_equal(setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER,
					    &unused, sizeof(unused)),
				 0);
	else
		assert_int_equal(setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER,
					    &program, sizeof(program)),
				 0);
}

/* Cuts all links to a server, new connections too, or heals them. */
void support_link_set(ingress_t *server, bool up)
{
	support_link_set_socket(server->fd, up);
	for (GList *link = server->connections.head; link; link = link->next) {
		ingress_connection_t *connection = link->data;

		support_link_set_socket(connection->tcp.fd, up);
	}
}
