#include "support_address.h"

#include <arpa/inet.h>
#include <fcntl.h>
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

/* Returns a file whose bytes stand for the ports, shared by all tests of a user.
 * It stays open until the process ends.
 */
static int open_ports_file(void)
{
	char *path = g_strdup_printf("%s/gooseberryspur-test-ports-%u",
				     g_get_tmp_dir(), (unsigned)getuid());
	int fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);

	g_assert_true(fd >= 0);
	g_free(path);
	return fd;
}

/* Locks a port for this process until it ends, whether a listener uses the port
 * or not. Returns false when another process has locked it.
 */
static bool lock_port(unsigned port)
{
	static int ports_fd = -1;
	struct flock lock = {
		.l_type = F_WRLCK,
		.l_whence = SEEK_SET,
		.l_start = (off_t)port,
		.l_len = 1,
	};

	if (ports_fd < 0)
		ports_fd = open_ports_file();
	return fcntl(ports_fd, F_SETLK, &lock) == 0;
}

/* Returns "127.0.0.1:PORT" with a port that is unused for TCP and UDP, that this
 * process has not returned yet, and that no other test process returns until
 * this one ends; freed with g_free(). The first port depends on the process ID,
 * so that tests that run at once seldom have to skip many.
 */
char *unused_address(void)
{
	static unsigned next;

	if (next == 0)
		next = (unsigned)getpid() * 131 % N_PORTS;
	for (;;) {
		unsigned port = MIN_PORT + next++ % N_PORTS;

		if (lock_port(port) && is_unused(SOCK_STREAM, port) &&
		    is_unused(SOCK_DGRAM, port))
			return g_strdup_printf("127.0.0.1:%u", port);
	}
}
