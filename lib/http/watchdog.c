/* watchdog.c -- enforces the deadlines of HTTP exchanges
 *
 * The thread checks all entries every CHECK_PERIOD_MS, and sleeps while there are none.
 * A socket is shut down under the lock that watchdog_remove () takes, so that a
 * descriptor is never used after its owner has closed it.
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

#define CHECK_PERIOD_MS 10
#define ADDRESS_BYTES 64

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static GHashTable *entries;     /* set of watchdog_entry_t */
static GHashTable *claimed_fds; /* set of file descriptors */
static GThread *thread;

static void
shut_down_expired (int64_t now_ms)
{
  GHashTableIter iter;
  void *key = NULL;

  g_hash_table_iter_init (&iter, entries);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      watchdog_entry_t *entry = key;
      if (entry->timed_out || now_ms < entry->deadline_at_ms)
        continue;
      entry->timed_out = true;
      shutdown (entry->fd, SHUT_RDWR);
    }
}

static void *
watchdog_run (void *data)
{
  (void) data;
  pthread_mutex_lock (&lock);
  for (;;)
    {
      if (g_hash_table_size (entries) == 0)
        pthread_cond_wait (&changed, &lock);
      else
        sync_wait_until (&changed, &lock, clock_boot_ms () + CHECK_PERIOD_MS);
      shut_down_expired (clock_boot_ms ());
    }
  return NULL;
}

/* Called with the lock held. */
static void
start_thread_once (void)
{
  if (thread != NULL)
    return;
  entries = g_hash_table_new (NULL, NULL);
  claimed_fds = g_hash_table_new (NULL, NULL);
  thread = g_thread_new ("watchdog", watchdog_run, NULL);
}

void
watchdog_add (watchdog_entry_t *entry)
{
  entry->timed_out = false;
  if (entry->fd < 0)
    return;
  pthread_mutex_lock (&lock);
  start_thread_once ();
  g_hash_table_add (entries, entry);
  if (g_hash_table_size (entries) == 1)
    pthread_cond_signal (&changed);
  pthread_mutex_unlock (&lock);
}

bool
watchdog_remove (watchdog_entry_t *entry)
{
  if (entry->fd < 0)
    return false;
  pthread_mutex_lock (&lock);
  g_hash_table_remove (entries, entry);
  pthread_mutex_unlock (&lock);
  return entry->timed_out;
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
  start_thread_once ();
  for (int fd = 0; fd < (int) MIN (limit.rlim_cur, INT16_MAX) && found < 0; fd++)
    if (!g_hash_table_contains (claimed_fds, GINT_TO_POINTER (fd)) && is_connected_to (fd, address))
      found = fd;
  if (found >= 0)
    g_hash_table_add (claimed_fds, GINT_TO_POINTER (found));
  pthread_mutex_unlock (&lock);
  return found;
}

void
watchdog_release_socket (int fd)
{
  if (fd < 0)
    return;
  pthread_mutex_lock (&lock);
  g_hash_table_remove (claimed_fds, GINT_TO_POINTER (fd));
  pthread_mutex_unlock (&lock);
}
