#include "support_address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

/* Range of ports. It is below the kernel's range for outgoing connections, so
 * that none of these takes the port of a process that a test restarts.
 */
#define MIN_PORT 12000
#define N_PORTS 18000

/* Returns whether a port of the loopback interface can be bound. */
static bool is_unused(int type, unsigned port)
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

/* Returns "127.0.0.1:PORT" with a port that is unused for TCP and UDP and that
 * this process has not returned yet; freed with g_free(). The first port
 * depends on the process ID, so that tests that run at once rarely pick the
 * same one.
 */
char *unused_address(void)
{
	static unsigned next;

	if (next == 0)
		next = (unsigned)getpid() * 131 % N_PORTS;
	for (;;) {
		unsigned port = MIN_PORT + next++ % N_PORTS;

		if (is_unused(SOCK_STREAM, port) && is_unused(SOCK_DGRAM, port))
			return g_strdup_printf("127.0.0.1:%u", port);
	}
}
