/* tcp.c -- TCP addresses and socket options */
#include "reactor/tcp.h"

#include "base/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <string.h>

/* A connection is closed when sent data stays unacknowledged for this long. */
#define UNACKED_TIMEOUT_MS 2000
/* Keep-alive probes detect an unreachable peer on a connection without traffic. */
#define KEEPALIVE_IDLE_S 2
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2

socklen_t
tcp_parse_address (const char *address, struct sockaddr_storage *storage)
{
  struct sockaddr_in *v4 = (struct sockaddr_in *) storage;
  char *ip = NULL;
  uint16_t port = 0;
  bool valid = false;

  memset (storage, 0, sizeof *storage);
  if (address_split (address, &ip, &port) == 0)
    valid = inet_pton (AF_INET, ip, &v4->sin_addr) == 1;
  v4->sin_family = AF_INET;
  v4->sin_port = htons (port);
  g_free (ip);
  return valid ? sizeof *v4 : 0;
}

void
tcp_set_options (int fd)
{
  int on = 1;
  int idle_s = KEEPALIVE_IDLE_S;
  int interval_s = KEEPALIVE_INTERVAL_S;
  int probes = KEEPALIVE_PROBES;
  unsigned unacked_ms = UNACKED_TIMEOUT_MS;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms, sizeof unacked_ms);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}
