/* queues.c -- the table of queues in force: which requests belong to a queue, and its limits */
#include "scheduler/queues.h"

#include <string.h>

/* Limits that apply unless the configuration sets others. */
#define HEADER_BYTES_MAX 16384
#define BODY_BYTES_MAX 262144
#define HEADER_TIMEOUT_MS 3000
#define IDLE_TIMEOUT_MS 15000

static void
free_queue (void *data)
{
  queue_def_t *queue = data;

  g_free (queue->name);
  g_free (queue->host);
  g_free (queue->path_prefix);
  g_free (queue->service);
  g_free (queue);
}

queues_t *
queues_new (int64_t version)
{
  queues_t *queues = g_new0 (queues_t, 1);

  queues->version = version;
  queues->queues = g_ptr_array_new_with_free_func (free_queue);
  queues->header_bytes_max = HEADER_BYTES_MAX;
  queues->body_bytes_max = BODY_BYTES_MAX;
  queues->header_timeout_ms = HEADER_TIMEOUT_MS;
  queues->idle_timeout_ms = IDLE_TIMEOUT_MS;
  return queues;
}

queue_def_t *
queues_add (queues_t *queues)
{
  queue_def_t *queue = g_new0 (queue_def_t, 1);

  g_ptr_array_add (queues->queues, queue);
  return queue;
}

void
queues_free (queues_t *queues)
{
  if (queues == NULL)
    return;
  g_ptr_array_unref (queues->queues);
  g_free (queues);
}

const queue_def_t *
queues_find (const queues_t *queues, const char *host, const char *path, const char **rest)
{
  const queue_def_t *best = NULL;
  size_t best_length = 0;
  size_t host_length = strcspn (host, ":");

  for (guint i = 0; i < queues->queues->len; i++)
    {
      const queue_def_t *queue = queues->queues->pdata[i];
      size_t length = strlen (queue->path_prefix);
      if (strlen (queue->host) != host_length
          || g_ascii_strncasecmp (queue->host, host, host_length) != 0
          || strncmp (queue->path_prefix, path, length) != 0)
        continue;
      if (best == NULL || length > best_length)
        {
          best = queue;
          best_length = length;
        }
    }
  if (best != NULL && rest != NULL)
    *rest = path + best_length;
  return best;
}
