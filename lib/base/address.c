/* address.c -- parses addresses of the form IP:port */
#include "base/address.h"

#include "base/error.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

int
address_split (const char *address, char **ip, uint16_t *port)
{
  const char *colon = strrchr (address, ':');
  guint64 number = 0;

  if (colon == NULL || colon == address
      || !g_ascii_string_to_unsigned (colon + 1, 10, 1, UINT16_MAX, &number, NULL))
    return ERROR_BAD_REQUEST;
  size_t length = (size_t) (colon - address);
  bool bracketed = address[0] == '[' && colon[-1] == ']' && length > 2;
  char *host = bracketed ? g_strndup (address + 1, length - 2) : g_strndup (address, length);
  bool valid = g_hostname_is_ip_address (host) && (bracketed || strchr (host, ':') == NULL);
  if (!valid)
    {
      g_free (host);
      return ERROR_BAD_REQUEST;
    }
  if (ip != NULL)
    *ip = host;
  else
    g_free (host);
  if (port != NULL)
    *port = (uint16_t) number;
  return 0;
}
