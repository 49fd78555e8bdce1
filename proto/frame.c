/*
 * Frames, and the proof of the shared key that opens a connection.
 */
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include "peer.pb-c.h"
#include "tanagerspool.h"
#include "proto.h"

#define LENGTH_BYTES 4

G_DEFINE_QUARK(proto_error, proto_error)

GByteArray *
frame_pack(const Ts__Envelope *env)
{
	size_t n = ts__envelope__get_packed_size(env);
	GByteArray *b = g_byte_array_new();

	g_byte_array_set_size(b, (guint)(LENGTH_BYTES + n));
	for (int i = 0; i < LENGTH_BYTES; i++)
		b->data[i] = (uint8_t)(n >> (8 * (LENGTH_BYTES - 1 - i)));
	ts__envelope__pack(env, b->data + LENGTH_BYTES);
	return b;
}

Ts__Envelope *
frame_unpack(GByteArray *buf, GError **err)
{
	Ts__Envelope *env;
	size_t n = 0;

	if (buf->len < LENGTH_BYTES)
		return NULL;
	for (int i = 0; i < LENGTH_BYTES; i++)
		n = n << 8 | buf->data[i];
	if (n > FRAME_MAX_BYTES) {
		g_set_error(err, PROTO_ERROR, PROTO_ERROR_FRAME,
		    "frame of %zu bytes is over the limit", n);
		return NULL;
	}
	if (buf->len < LENGTH_BYTES + n)
		return NULL;
	env = ts__envelope__unpack(NULL, n, buf->data + LENGTH_BYTES);
	if (env == NULL) {
		g_set_error(err, PROTO_ERROR, PROTO_ERROR_FRAME,
		    "frame does not unpack");
		return NULL;
	}
	g_byte_array_remove_range(buf, 0, (guint)(LENGTH_BYTES + n));
	return env;
}

void
hello_mac(const char *key, char role, const uint8_t *first,
    const uint8_t *second, const char *name, int64_t incarnation, uint8_t *mac)
{
	g_autoptr(GByteArray) b = g_byte_array_new();
	unsigned int n = MAC_BYTES;

	g_byte_array_append(b, (const uint8_t *)&role, 1);
	g_byte_array_append(b, first, NONCE_BYTES);
	g_byte_array_append(b, second, NONCE_BYTES);
	for (int i = 0; i < 8; i++) {
		uint8_t x = (uint8_t)((uint64_t)incarnation >> (8 * i));

		g_byte_array_append(b, &x, 1);
	}
	g_byte_array_append(b, (const uint8_t *)name, (guint)strlen(name));
	HMAC(EVP_sha256(), key, (int)strlen(key), b->data, b->len, mac, &n);
}

bool
hello_mac_equal(const ProtobufCBinaryData *mac, const uint8_t *want)
{
	return mac->len == MAC_BYTES &&
	    CRYPTO_memcmp(mac->data, want, MAC_BYTES) == 0;
}

void
token_hash(const char *token, char *hex65)
{
	uint8_t d[SHA256_DIGEST_LENGTH];

	SHA256((const uint8_t *)token, strlen(token), d);
	for (int i = 0; i < SHA256_DIGEST_LENGTH; i++) {
		hex65[2 * i] = "0123456789abcdef"[d[i] >> 4];
		hex65[2 * i + 1] = "0123456789abcdef"[d[i] & 15];
	}
	hex65[64] = '\0';
}
