#include "support_address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

/* Below the range that the kernel takes for outgoing connections, so that a
 * restarted process finds its port free.
 */
#define FIRST_PORT 12000
#define PORTS 18000

static bool is_free(int type, unsigned port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
	bool ok;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ok = bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
	close(fd);
	return ok;
}

/* Returns "127.0.0.1:PORT" with a port that is free for TCP and UDP, and that
 * this process has not returned before.
 */
char *unused_address(void)
{
	static unsigned next;

	if (next == 0)
		next = (unsigned)getpid() * 131 % PORTS;
	for (;;) {
		unsigned port = FIRST_PORT + next++ % PORTS;

		if (is_free(SOCK_STREAM, port) && is_free(SOCK_DGRAM, port))
			return g_strdup_printf("127.0.0.1:%u", port);
	}
}
