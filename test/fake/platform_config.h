/*
 * The operators' configuration that the stand-in of the users' platform serves.
 * The hosts h.example and the addresses of entries, 127.0.0.51, 127.0.0.52...,
 * need no key; the host k.example does, and the addresses under /k/.
 *
 * Customer "one" has the keys secret-one and secret-N, where N is the number of
 * changes so far, and no quota; "two" has the key secret-two and a quota.
 */
#ifndef PLATFORM_CONFIG_H
#define PLATFORM_CONFIG_H

/* The configuration after this many changes of a key; free it. */
char *platform_config_text(int key_changes);

#endif
