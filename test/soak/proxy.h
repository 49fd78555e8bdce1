/*
 * A loopback proxy that delays, silences, cuts one way or resets what passes.
 *
 * Include <uv.h> first.
 */
#ifndef PROXY_H
#define PROXY_H

typedef struct proxy proxy_t;

typedef enum {
	PROXY_PASS,
	PROXY_DELAY,	      /* each piece is held for delay_ms */
	PROXY_BLACKHOLE,      /* nothing passes, nothing is closed */
	PROXY_DROP_UPSTREAM,  /* what the client sends is dropped */
	PROXY_DROP_DOWNSTREAM /* what the server sends is dropped */
} proxy_mode_t;

proxy_t *proxy_new(uv_loop_t *loop, const char *ip, int port, int to_port);
void proxy_set_mode(proxy_t *p, proxy_mode_t mode, int32_t delay_ms);
/* Resets all connections of now. */
void proxy_reset(proxy_t *p);

#endif
