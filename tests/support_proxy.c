#include "support_proxy.h"

#include <arpa/inet.h>
#include <gio/gio.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection/address.h"
#include "connection/tcp.h"
#include "process/alarm.h"
#include "support_copies.h"

#define DELAY_US (150 * CLOCK_US_PER_MS)

/* A copy is written at most this long after its request, or after an answer. */
#define MAX_COPY_DELAY_MS 20
#define MAX_IDLE_COPY_DELAY_MS 150

/* Share of the answers after which a copy is written, and of the requests before whose answer one
 * is, where the connection has carried a refusal with the same ID.
 */
#define IDLE_COPIES_PERCENT 10
#define OWN_COPIES_PERCENT 80

typedef struct link link_t;

/* One direction's end of a link. */
typedef struct {
	tcp_t tcp;
	link_t *link;
	GString *held; /* bytes for this end that wait */
	int64_t due_us; /* when held bytes go on */
	bool is_server;
	bool has_ended; /* while the proxy held what came */
	tcp_end_t end;
} end_t;

struct link {
	proxy_t *proxy;
	end_t caller;
	end_t server;
	alarm_t alarm;
	copies_t copies; /* of the server's answers */
	alarm_t copy; /* when one is written */
	bool lost; /* silent for good, although new links work */
};

struct proxy {
	char *address;
	GSocketAddress *target;
	GSource *source;
	int fd;
	proxy_mode_t mode;
	GRand *copies_rand; /* borrowed; NULL: no copies, bytes of any protocol */
	unsigned copies_percent; /* of the requests; 0: none are written */
	proxy_copies_t copies; /* written so far */
	GPtrArray *links; /* of link_t */
};

static const tcp_options_t options = {0};

static void free_link(gpointer data)
{
	link_t *link = data;

	tcp_finish_reset(&link->caller.tcp);
	tcp_finish_reset(&link->server.tcp);
	alarm_finish(&link->alarm);
	alarm_finish(&link->copy);
	copies_finish(&link->copies);
	g_string_free(link->caller.held, TRUE);
	g_string_free(link->server.held, TRUE);
	g_free(link);
}

static void drop(link_t *link)
{
	g_ptr_array_remove_fast(link->proxy->links, link);
}

static bool is_held(const end_t *to)
{
	proxy_mode_t mode = to->link->proxy->mode;

	if (to->link->lost || mode == PROXY_SILENT || mode == PROXY_HOLD)
		return true;
	return mode == PROXY_ONE_WAY && !to->is_server;
}

static void deliver(end_t *to)
{
	if (is_held(to) || to->held->len == 0)
		return;
	tcp_write(&to->tcp, to->held->str, to->held->len);
	g_string_truncate(to->held, 0);
}

/* Sets when a copy of an earlier answer is written, in a share of the cases. */
static void plan_copy(link_t *link, unsigned percent, int max_delay_ms)
{
	GRand *rand = link->proxy->copies_rand;
	int64_t delay_us;

	alarm_set(&link->copy, -1);
	if (link->proxy->copies_percent == 0 ||
	    g_rand_int_range(rand, 0, 100) >= (int)percent)
		return;
	delay_us = g_rand_int_range(rand, 0, max_delay_ms) * CLOCK_US_PER_MS;
	alarm_set(&link->copy, clock_now(&link->copy.clock) + delay_us);
}

/* Writes a copy, unless an answer is on its way. */
static void on_copy(void *context)
{
	link_t *link = context;
	end_t *to = &link->caller;
	char *copy;

	if (link->proxy->mode != PROXY_PASS || is_held(to) ||
	    to->held->len > 0 || link->proxy->copies_percent == 0)
		return;
	copy = copies_draw(&link->copies, link->proxy->copies_rand);
	if (!copy)
		return;
	link->proxy->copies.all++;
	if (copies_has_open_id(&link->copies, copy))
		link->proxy->copies.of_open++;
	g_string_append(to->held, copy);
	g_free(copy);
	deliver(to);
}

static void note_request(link_t *link, const char *data, size_t len)
{
	if (!link->proxy->copies_rand ||
	    !copies_note_request(&link->copies, data, len))
		return;
	if (copies_has_own_refusal(&link->copies))
		plan_copy(link, OWN_COPIES_PERCENT, MAX_COPY_DELAY_MS);
	else
		plan_copy(link, link->proxy->copies_percent, MAX_COPY_DELAY_MS);
}

static void note_answer(link_t *link, const char *data, size_t len)
{
	if (link->proxy->copies_rand &&
	    copies_note_answer(&link->copies, data, len))
		plan_copy(link, IDLE_COPIES_PERCENT, MAX_IDLE_COPY_DELAY_MS);
}

static void on_data(void *context, const char *data, size_t len)
{
	end_t *from = context;
	link_t *link = from->link;
	end_t *to = from->is_server ? &link->caller : &link->server;

	if (from->is_server)
		note_answer(link, data, len);
	else
		note_request(link, data, len);
	g_string_append_len(to->held, data, (gssize)len);
	if (link->proxy->mode != PROXY_DELAY) {
		deliver(to);
		return;
	}
	to->due_us = clock_now(&link->alarm.clock) + DELAY_US;
	alarm_set(&link->alarm, to->due_us);
}

static void on_alarm(void *context)
{
	link_t *link = context;

	deliver(&link->caller);
	deliver(&link->server);
}

/* An end that closes in order: what is held goes on first. */
static void pass_end(end_t *from)
{
	link_t *link = from->link;
	end_t *to = from->is_server ? &link->caller : &link->server;

	deliver(to);
	if (from->end == TCP_END_EOF && !is_held(to))
		tcp_finish(&to->tcp);
	drop(link);
}

static void on_end(void *context, tcp_end_t end)
{
	end_t *from = context;

	from->has_ended = true;
	from->end = end;
	if (from->link->proxy->mode != PROXY_HOLD)
		pass_end(from);
}

static const tcp_handler_t handler = {
	.on_data = on_data,
	.on_end = on_end,
};

static void accept_link(proxy_t *proxy, int fd)
{
	link_t *link = g_new0(link_t, 1);

	link->proxy = proxy;
	link->caller.link = link;
	link->caller.held = g_string_new(NULL);
	link->server.link = link;
	link->server.held = g_string_new(NULL);
	link->server.is_server = true;
	alarm_init(&link->alarm, clock_boottime(), on_alarm, link);
	copies_init(&link->copies);
	alarm_init(&link->copy, clock_boottime(), on_copy, link);
	g_ptr_array_add(proxy->links, link);
	tcp_adopt(&link->caller.tcp, fd, &options, &handler, &link->caller);
	if (!tcp_connect(&link->server.tcp, proxy->target, &options, &handler,
			 &link->server) ||
	    proxy->mode == PROXY_REFUSE || proxy->mode == PROXY_REFUSE_NEW)
		drop(link);
}

static gboolean on_acceptable(gint fd, GIOCondition condition, gpointer data)
{
	int accepted;

	while ((accepted = accept4(fd, NULL, NULL,
				   SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
		accept_link(data, accepted);
	return G_SOURCE_CONTINUE;
}

/* Listens on a free port of the loopback address. */
proxy_t *proxy_new(const char *target)
{
	proxy_t *proxy = g_new0(proxy_t, 1);
	struct sockaddr_in any = {.sin_family = AF_INET};
	socklen_t len = sizeof(any);

	any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	proxy->target = address_parse(target);
	proxy->links = g_ptr_array_new_with_free_func(free_link);
	proxy->fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	g_assert_true(bind(proxy->fd, (struct sockaddr *)&any, len) == 0);
	g_assert_true(listen(proxy->fd, 256) == 0);
	g_assert_true(getsockname(proxy->fd, (struct sockaddr *)&any, &len) ==
		      0);
	proxy->address = g_strdup_printf("127.0.0.1:%u", ntohs(any.sin_port));
	proxy->source = g_unix_fd_source_new(proxy->fd, G_IO_IN);
	g_source_set_callback(proxy->source, G_SOURCE_FUNC(on_acceptable),
			      proxy, NULL);
	g_source_attach(proxy->source, NULL);
	return proxy;
}

/* Closes the proxy and its connections. */
void proxy_free(proxy_t *proxy)
{
	g_source_destroy(proxy->source);
	g_source_unref(proxy->source);
	close(proxy->fd);
	g_ptr_array_unref(proxy->links);
	g_object_unref(proxy->target);
	g_free(proxy->address);
	g_free(proxy);
}

/* Where the proxy listens. */
const char *proxy_address(const proxy_t *proxy)
{
	return proxy->address;
}

/* Passes on what was held, and the ends. */
static void release(proxy_t *proxy)
{
	for (guint i = proxy->links->len; i > 0; i--) {
		link_t *link = g_ptr_array_index(proxy->links, i - 1);

		deliver(&link->caller);
		deliver(&link->server);
		if (link->server.has_ended)
			pass_end(&link->server);
		else if (link->caller.has_ended)
			pass_end(&link->caller);
	}
}

/* How the connections are disturbed. */
proxy_mode_t proxy_mode(const proxy_t *proxy)
{
	return proxy->mode;
}

/*
 * Disturbs the connections, or ends that. Connections that were silent stay so
 * for good; only new ones work again.
 */
void proxy_set_mode(proxy_t *proxy, proxy_mode_t mode)
{
	bool held = proxy->mode == PROXY_HOLD;

	for (guint i = 0; i < proxy->links->len; i++) {
		link_t *link = g_ptr_array_index(proxy->links, i);

		if (proxy->mode == PROXY_SILENT || proxy->mode == PROXY_ONE_WAY)
			link->lost = true;
	}
	proxy->mode = mode;
	if (held && mode != PROXY_HOLD)
		release(proxy);
	if (mode == PROXY_REFUSE)
		g_ptr_array_set_size(proxy->links, 0);
}

/* Lets the server write copies of earlier answers of a connection, before a share of its answers
 * and after some of them, or ends that (0). `rand` is borrowed. The first call comes before the
 * first connection.
 */
void proxy_set_copies(proxy_t *proxy, GRand *rand, unsigned percent)
{
	proxy->copies_rand = rand;
	proxy->copies_percent = percent;
}

/* Returns how many copies were written. */
proxy_copies_t proxy_copies(const proxy_t *proxy)
{
	return proxy->copies;
}

/* Name of a mode, for the report. */
const char *proxy_mode_text(proxy_mode_t mode)
{
	static const char *const texts[] = {
		[PROXY_PASS] = "pass",	   [PROXY_DELAY] = "delay",
		[PROXY_SILENT] = "silent", [PROXY_ONE_WAY] = "one_way",
		[PROXY_REFUSE] = "refuse", [PROXY_REFUSE_NEW] = "refuse_new",
		[PROXY_HOLD] = "hold",
	};

	return texts[mode];
}
