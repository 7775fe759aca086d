/* config_poll.c -- threads for requests to the platform: log reads, host lists and appends */
#include "daemon/config_poll.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/queue.h"
#include "settings/settings.h"

#include <pthread.h>

/* How long the platform may hold a read while the log has no new records.  Must be shorter
 * than the answer timeout in config/relay.h, so that an idle log does not look unreachable. */
#define LOG_LONG_POLL_MS 700
#define HOSTS_POLL_INTERVAL_MS 500
/* Long lists are polled less often: the interval grows by 1 ms for each
 * HOSTS_POLL_BYTES_PER_MS bytes. */
#define HOSTS_POLL_BYTES_PER_MS 2048
/* After this time the list is requested again, from another address of the platform. */
#define HOSTS_POLL_TIMEOUT_MS 4000
#define APPEND_THREADS 2

typedef enum
{
  POLL_IDLE,
  POLL_REQUESTED,
  POLL_RUNNING /* until the result is handled and the delay before the next request has passed */
} poll_state_t;

struct config_poll_t
{
  daemon_t *daemon;
  char *stream;
  config_poll_done_t done;
  void *data;
  platform_client_t *client;
  pthread_mutex_t mutex;
  pthread_cond_t request_posted;
  poll_state_t state;
  int64_t position;
  /* The last list of hosts that was read.  Used by the polling thread only. */
  GBytes *hosts_body;
  uint64_t hosts_digest;
};

/* A result that is passed to the control thread. */
typedef struct
{
  config_poll_t *poll;
  config_poll_result_t result;
  bool idle_on_delivery; /* no delay follows: the poll becomes idle with the delivery */
} delivery_t;

static platform_client_t *
client_new (daemon_t *daemon, const char *purpose, guint index)
{
  const settings_t *settings = daemon_settings (daemon);
  char **addresses = g_new0 (char *, settings->platform->len + 1);
  for (guint i = 0; i < settings->platform->len; i++)
    addresses[i] = settings->platform->pdata[i];
  uint32_t seed =
      (uint32_t) (hash_rendezvous (purpose, daemon_host_id (daemon)) ^ daemon_incarnation (daemon))
      + index;
  platform_client_t *client =
      platform_client_new ((const char *const *) addresses, daemon_data_centre (daemon), seed);
  g_free (addresses);
  return client;
}

static void
set_idle (config_poll_t *poll)
{
  pthread_mutex_lock (&poll->mutex);
  poll->state = POLL_IDLE;
  pthread_mutex_unlock (&poll->mutex);
}

static void
deliver (void *data)
{
  delivery_t *delivery = data;
  /* Set before the call, so that DONE can start the next read of the stream at once. */
  if (delivery->idle_on_delivery)
    set_idle (delivery->poll);
  delivery->poll->done (&delivery->result, delivery->poll->data);
  log_batch_free (delivery->result.batch);
  if (delivery->result.hosts)
    g_ptr_array_unref (delivery->result.hosts);
  g_free (delivery);
}

/* Reads and parses the list of hosts.  Runs on the polling thread, because parsing
 * thousands of hosts takes tens of milliseconds.  A response that equals the previous one
 * is not parsed again. */
static int
poll_hosts (config_poll_t *poll, uint64_t current_digest, config_poll_result_t *result)
{
  GBytes *body = NULL;
  int error = platform_fetch_hosts (poll->client, HOSTS_POLL_TIMEOUT_MS, &body);
  if (error < 0)
    return error;
  bool same = poll->hosts_body && poll->hosts_digest == current_digest
              && g_bytes_equal (poll->hosts_body, body);
  g_clear_pointer (&poll->hosts_body, g_bytes_unref);
  poll->hosts_body = body;
  result->hosts_digest = current_digest;
  if (same)
    return 0;
  gsize size = 0;
  const void *data = g_bytes_get_data (body, &size);
  int32_t skipped = 0;
  error = hosts_parse (data, size, &result->hosts, &skipped);
  if (error < 0)
    {
      log_warning ("config", "Rejected a malformed list of hosts from the platform.", NULL);
      g_clear_pointer (&poll->hosts_body, g_bytes_unref);
      return error;
    }
  if (skipped > 0)
    log_warning ("config", "Skipped invalid entries in the list of hosts.", NULL);
  poll->hosts_digest = hosts_list_digest (result->hosts);
  result->hosts_digest = poll->hosts_digest;
  if (poll->hosts_digest == current_digest)
    g_clear_pointer (&result->hosts, g_ptr_array_unref);
  return 0;
}

static void
poll_once (config_poll_t *poll, int64_t position, config_poll_result_t *result)
{
  result->sent_at_ms = clock_boot_ms ();
  if (poll->stream)
    result->result = platform_read (poll->client, poll->stream, position, LOG_LONG_POLL_MS,
                                    LOG_LONG_POLL_MS + PLATFORM_TIMEOUT_MS, &result->batch);
  else
    result->result = poll_hosts (poll, (uint64_t) position, result);
}

static int64_t
hosts_poll_delay_ms (const config_poll_t *poll)
{
  gsize size = poll->hosts_body ? g_bytes_get_size (poll->hosts_body) : 0;
  return HOSTS_POLL_INTERVAL_MS + (int64_t) size / HOSTS_POLL_BYTES_PER_MS;
}

static int64_t
wait_for_request (config_poll_t *poll)
{
  pthread_mutex_lock (&poll->mutex);
  while (poll->state != POLL_REQUESTED)
    pthread_cond_wait (&poll->request_posted, &poll->mutex);
  poll->state = POLL_RUNNING;
  int64_t position = poll->position;
  pthread_mutex_unlock (&poll->mutex);
  return position;
}

static gpointer
poll_main (gpointer data)
{
  config_poll_t *poll = data;
  for (;;)
    {
      int64_t position = wait_for_request (poll);
      delivery_t *delivery = g_new0 (delivery_t, 1);
      delivery->poll = poll;
      poll_once (poll, position, &delivery->result);
      int64_t wait_ms = platform_retry_delay_ms (poll->client);
      if (poll->stream == NULL)
        wait_ms = MAX (wait_ms, hosts_poll_delay_ms (poll));
      delivery->idle_on_delivery = wait_ms == 0;
      daemon_post (poll->daemon, deliver, delivery);
      if (wait_ms == 0)
        continue;
      clock_sleep_ms (wait_ms);
      set_idle (poll);
    }
  return NULL;
}

config_poll_t *
config_poll_new (daemon_t *daemon, const char *stream, config_poll_done_t done, void *data)
{
  config_poll_t *poll = g_new0 (config_poll_t, 1);
  poll->daemon = daemon;
  poll->stream = g_strdup (stream);
  poll->done = done;
  poll->data = data;
  poll->client = client_new (daemon, stream ? stream : "hosts", 0);
  pthread_mutex_init (&poll->mutex, NULL);
  pthread_cond_init (&poll->request_posted, NULL);
  g_thread_unref (g_thread_new ("poll", poll_main, poll));
  return poll;
}

bool
config_poll_start (config_poll_t *poll, int64_t position)
{
  pthread_mutex_lock (&poll->mutex);
  bool start = poll->state == POLL_IDLE;
  if (start)
    {
      poll->state = POLL_REQUESTED;
      poll->position = position;
      pthread_cond_signal (&poll->request_posted);
    }
  pthread_mutex_unlock (&poll->mutex);
  return start;
}

struct config_append_t
{
  daemon_t *daemon;
  pool_t *pool;
  queue_t *clients; /* idle clients; in total one for each thread */
};

typedef struct
{
  config_append_t *append;
  char *stream;
  GBytes *data;
  void (*done) (int result, int64_t offset, void *user);
  void *user;
  int result;
  int64_t offset;
} append_job_t;

static void
append_done (void *data)
{
  append_job_t *job = data;
  if (job->done)
    job->done (job->result, job->offset, job->user);
  g_bytes_unref (job->data);
  g_free (job->stream);
  g_free (job);
}

static void
append_run (void *data, void *user)
{
  append_job_t *job = data;
  config_append_t *append = user;
  platform_client_t *client = queue_pop (append->clients, 0);
  /* There is one client for each thread of the pool. */
  g_assert (client != NULL);
  gsize size = 0;
  const void *bytes = g_bytes_get_data (job->data, &size);
  job->result =
      platform_append (client, job->stream, bytes, size, PLATFORM_TIMEOUT_MS, &job->offset);
  queue_push (append->clients, client);
  daemon_post (append->daemon, append_done, job);
}

config_append_t *
config_append_new (daemon_t *daemon)
{
  config_append_t *append = g_new0 (config_append_t, 1);
  append->daemon = daemon;
  append->clients = queue_new ();
  for (guint i = 0; i < APPEND_THREADS; i++)
    queue_push (append->clients, client_new (daemon, "append", i));
  append->pool = pool_new (append_run, append, APPEND_THREADS);
  return append;
}

void
config_append_start (config_append_t *append,
                     const char *stream,
                     const void *data,
                     size_t size,
                     void (*done) (int result, int64_t offset, void *user),
                     void *user)
{
  append_job_t *job = g_new0 (append_job_t, 1);
  job->append = append;
  job->stream = g_strdup (stream);
  job->data = g_bytes_new (data, size);
  job->done = done;
  job->user = user;
  pool_push (append->pool, job);
}
