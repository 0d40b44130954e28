/* Stand-in of a plain backend server: enters itself in the store, and runs requests. */
#ifndef REVIEW_SERVER_H
#define REVIEW_SERVER_H

#include <stdbool.h>
#include <pthread.h>

#include "http.h"

/* More connections than that are closed at once. */
#define MAX_SERVER_CONNECTIONS 256

/* A backend server. */
typedef struct server server_t;
struct server {
	char id[32];
	char service[32];
	char zone[32];
	int port;
	/* Answers one request. Returns whether the connection goes on. */
	bool (*answer)(server_t *server, conn_t *conn, const message_t *request,
		       unsigned number_on_connection);
	unsigned heartbeats;
	int listener;
	volatile bool down; /* writes no entry and takes no connection */
	pthread_mutex_t lock; /* of what follows */
	int fds[MAX_SERVER_CONNECTIONS]; /* open connections; -1: none */
};

void server_start(server_t *server, const char *id, const char *service,
		  const char *zone);
void server_crash(server_t *server);
bool server_reply(conn_t *conn, const message_t *request, const char *body,
		  size_t len);

#endif
