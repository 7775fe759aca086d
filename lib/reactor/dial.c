/* dial.c -- addresses and socket options of lib/reactor */
#include "reactor/dial.h"

#include "base/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <string.h>

/* A peer that does not acknowledge for this long is disconnected. */
#define UNACKED_MAX_MS 2000
/* Probes of a connection on which nothing was sent. */
#define PROBE_IDLE_S 2
#define PROBE_GAP_S 1
#define PROBES 2

socklen_t
dial_address (const char *address, struct sockaddr_storage *storage)
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
dial_tune (int fd)
{
  int on = 1;
  int idle_s = PROBE_IDLE_S;
  int gap_s = PROBE_GAP_S;
  int probes = PROBES;
  unsigned unacked_ms = UNACKED_MAX_MS;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms, sizeof unacked_ms);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &gap_s, sizeof gap_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}
