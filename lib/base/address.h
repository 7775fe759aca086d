/* address.h -- addresses as IP:port; pure, any thread */
#ifndef BASE_ADDRESS_H
#define BASE_ADDRESS_H

#include <stdint.h>

/* Splits "IP:port" (IPv4, or [IPv6]; the port from 1 to 65535).  Returns 0 and
 * sets *IP (g_free) and *PORT, each of which may be NULL, or
 * ERROR_BAD_REQUEST. */
int address_split (const char *address, char **ip, uint16_t *port);

#endif
