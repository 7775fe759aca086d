/* address.h -- parses addresses of the form IP:port
 *
 * The functions keep no state and may be called from any thread.
 */
#ifndef BASE_ADDRESS_H
#define BASE_ADDRESS_H

#include <stdint.h>

/* Splits "IP:port".  IP is an IPv4 address or an IPv6 address in brackets, and
 * the port is from 1 to 65535.  Returns 0 on success and stores the address in
 * *IP, which the caller frees (g_free), and the port in *PORT; either pointer
 * may be NULL.  Returns ERROR_BAD_REQUEST if ADDRESS is malformed. */
int address_split (const char *address, char **ip, uint16_t *port);

#endif
