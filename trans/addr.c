/*
 * Addresses of servers: IPv4 and a TCP or UDP port.
 */
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "../proto/peer.pb-c.h"
#include "tanagerspool.h"
#include "trans.h"

bool
net_addr_set(net_addr_t *a, const char *ip, int64_t port)
{
	struct in_addr parsed;

	memset(a, 0, sizeof(*a));
	if (port < NET_PORT_MIN || port > NET_PORT_MAX ||
	    uv_inet_pton(AF_INET, ip, &parsed) != 0)
		return false;
	uv_inet_ntop(AF_INET, &parsed, a->ip, sizeof(a->ip));
	a->port = (int32_t)port;
	return true;
}

bool
net_addr_parse(const char *text, net_addr_t *a)
{
	const char *colon = strchr(text, ':');
	char ip[sizeof(a->ip)];
	guint64 port;

	memset(a, 0, sizeof(*a));
	if (colon == NULL || (size_t)(colon - text) >= sizeof(ip) ||
	    !g_ascii_string_to_unsigned(
		colon + 1, 10, NET_PORT_MIN, NET_PORT_MAX, &port, NULL))
		return false;
	g_strlcpy(ip, text, (gsize)(colon - text) + 1);
	return net_addr_set(a, ip, (int64_t)port);
}
