/* socket.c -- creates and configures the sockets of lib/wire */
#include "wire/socket.h"

#include "base/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <unistd.h>

/* A connection is closed if sent data is not acknowledged for this time. */
#define UNACKED_TIMEOUT_MS 1000
#define LISTEN_BACKLOG 128

socklen_t
socket_parse_address (const char *address, struct sockaddr_storage *storage)
{
  char *ip = NULL;
  uint16_t port = 0;
  socklen_t size = 0;

  memset (storage, 0, sizeof *storage);
  if (address_split (address, &ip, &port) != 0)
    return 0;
  struct sockaddr_in *v4 = (struct sockaddr_in *) storage;
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *) storage;
  if (inet_pton (AF_INET, ip, &v4->sin_addr) == 1)
    {
      v4->sin_family = AF_INET;
      v4->sin_port = htons (port);
      size = sizeof *v4;
    }
  else if (inet_pton (AF_INET6, ip, &v6->sin6_addr) == 1)
    {
      v6->sin6_family = AF_INET6;
      v6->sin6_port = htons (port);
      size = sizeof *v6;
    }
  g_free (ip);
  return size;
}

void
socket_set_options (int fd)
{
  int enabled = 1;
  unsigned unacked_timeout_ms = UNACKED_TIMEOUT_MS;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_timeout_ms, sizeof unacked_timeout_ms);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled);
}

int
socket_listen (const char *address)
{
  struct sockaddr_storage storage;
  socklen_t size = socket_parse_address (address, &storage);
  int enabled = 1;

  if (size == 0)
    return -1;
  int fd = socket (storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (bind (fd, (struct sockaddr *) &storage, size) != 0 || listen (fd, LISTEN_BACKLOG) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}
