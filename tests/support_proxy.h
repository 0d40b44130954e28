/* A loopback proxy of one address whose connections can be disturbed. */
#ifndef SUPPORT_PROXY_H
#define SUPPORT_PROXY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum {
	PROXY_PASS,
	PROXY_DELAY, /* bytes arrive late */
	PROXY_SILENT, /* connections stay open, nothing arrives */
	PROXY_ONE_WAY, /* requests arrive, responses do not */
	PROXY_REFUSE, /* open connections are reset, new ones too */
	PROXY_MODES_N, /* the soak draws from those above */
	PROXY_REFUSE_NEW, /* open connections live on, new ones are reset */
	PROXY_HOLD, /* bytes and closes wait, and go on when this ends */
} proxy_mode_t;

/* Copies of answers that were written. */
typedef struct {
	unsigned all;
	unsigned of_open; /* with the ID of the request under way */
} proxy_copies_t;

typedef struct proxy proxy_t;

proxy_t *proxy_new(const char *target);
void proxy_free(proxy_t *proxy);
const char *proxy_address(const proxy_t *proxy);
proxy_mode_t proxy_mode(const proxy_t *proxy);
void proxy_set_mode(proxy_t *proxy, proxy_mode_t mode);
void proxy_set_copies(proxy_t *proxy, GRand *rand, unsigned percent);
proxy_copies_t proxy_copies(const proxy_t *proxy);
const char *proxy_mode_text(proxy_mode_t mode);

#endif
