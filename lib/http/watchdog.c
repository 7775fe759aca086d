/* watchdog.c -- ends exchanges whose deadline has passed
 *
 * The thread looks at all watched sockets every PERIOD_MS while there are any,
 * and sleeps while there are none.  A socket is shut down under the lock that
 * watchdog_remove () takes, so that a descriptor is never used after its owner
 * has closed it.
 */
#include "http/watchdog.h"

#include "base/clock.h"
#include "base/sync.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>

#define PERIOD_MS 10
#define ADDRESS_BYTES 64

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static GHashTable *watches; /* set of watch_t */
static GHashTable *claimed; /* set of descriptors */
static GThread *thread;

static void
fire_due (int64_t now_ms)
{
  GHashTableIter iter;
  void *key = NULL;

  g_hash_table_iter_init (&iter, watches);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      watch_t *watch = key;
      if (watch->fired || now_ms < watch->deadline_at_ms)
        continue;
      watch->fired = true;
      shutdown (watch->fd, SHUT_RDWR);
    }
}

static void *
run (void *data)
{
  (void) data;
  pthread_mutex_lock (&lock);
  for (;;)
    {
      if (g_hash_table_size (watches) == 0)
        pthread_cond_wait (&changed, &lock);
      else
        sync_wait_until (&changed, &lock, clock_boot_ms () + PERIOD_MS);
      fire_due (clock_boot_ms ());
    }
  return NULL;
}

/* With the lock held. */
static void
start_once (void)
{
  if (thread != NULL)
    return;
  watches = g_hash_table_new (NULL, NULL);
  claimed = g_hash_table_new (NULL, NULL);
  thread = g_thread_new ("watchdog", run, NULL);
}

void
watchdog_add (watch_t *watch)
{
  watch->fired = false;
  if (watch->fd < 0)
    return;
  pthread_mutex_lock (&lock);
  start_once ();
  g_hash_table_add (watches, watch);
  if (g_hash_table_size (watches) == 1)
    pthread_cond_signal (&changed);
  pthread_mutex_unlock (&lock);
}

bool
watchdog_remove (watch_t *watch)
{
  if (watch->fd < 0)
    return false;
  pthread_mutex_lock (&lock);
  g_hash_table_remove (watches, watch);
  pthread_mutex_unlock (&lock);
  return watch->fired;
}

static bool
is_connected_to (int fd, const char *address)
{
  struct sockaddr_storage peer = { .ss_family = AF_UNSPEC };
  socklen_t size = sizeof peer;
  char ip[INET6_ADDRSTRLEN];
  char text[ADDRESS_BYTES];

  if (getpeername (fd, (struct sockaddr *) &peer, &size) != 0)
    return false;
  const struct sockaddr_in *v4 = (const struct sockaddr_in *) &peer;
  const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *) &peer;
  if (peer.ss_family == AF_INET)
    {
      inet_ntop (AF_INET, &v4->sin_addr, ip, sizeof ip);
      snprintf (text, sizeof text, "%s:%d", ip, ntohs (v4->sin_port));
    }
  else if (peer.ss_family == AF_INET6)
    {
      inet_ntop (AF_INET6, &v6->sin6_addr, ip, sizeof ip);
      snprintf (text, sizeof text, "[%s]:%d", ip, ntohs (v6->sin6_port));
    }
  else
    return false;
  return strcmp (text, address) == 0;
}

int
watchdog_claim_socket (const char *address)
{
  struct rlimit limit = { 0 };
  int found = -1;

  getrlimit (RLIMIT_NOFILE, &limit);
  pthread_mutex_lock (&lock);
  start_once ();
  for (int fd = 0; fd < (int) MIN (limit.rlim_cur, INT16_MAX) && found < 0; fd++)
    if (!g_hash_table_contains (claimed, GINT_TO_POINTER (fd)) && is_connected_to (fd, address))
      found = fd;
  if (found >= 0)
    g_hash_table_add (claimed, GINT_TO_POINTER (found));
  pthread_mutex_unlock (&lock);
  return found;
}

void
watchdog_release_socket (int fd)
{
  if (fd < 0)
    return;
  pthread_mutex_lock (&lock);
  g_hash_table_remove (claimed, GINT_TO_POINTER (fd));
  pthread_mutex_unlock (&lock);
}
