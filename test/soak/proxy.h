/*
 * A loopback TCP proxy with injected network faults: delay, loss of bytes in
 * one or both directions, and resets.
 *
 * Include <uv.h> first.
 */
#ifndef PROXY_H
#define PROXY_H

typedef struct proxy proxy_t;

typedef enum {
	PROXY_PASS,
	PROXY_DELAY,	      /* each chunk is held for delay_ms */
	PROXY_BLACKHOLE,      /* nothing passes, no close is passed on */
	PROXY_DROP_UPSTREAM,  /* what the client sends is dropped */
	PROXY_DROP_DOWNSTREAM /* what the server sends is dropped */
} proxy_mode_t;

/* Listens on ip:port and connects to ip:to_port; NULL if it can't listen. */
proxy_t *proxy_new(uv_loop_t *loop, const char *ip, int port, int to_port);
/* Resets the open connections if the mode so far dropped bytes. */
void proxy_set_mode(proxy_t *p, proxy_mode_t mode, int32_t delay_ms);
/* Resets all open connections. */
void proxy_reset(proxy_t *p);

#endif
