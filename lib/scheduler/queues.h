/* queues.h -- the table of queues in force: which requests belong to a queue, and its limits
 *
 * A table holds one version of the configuration.  It is not changed once it is in use; a newer
 * version replaces it as a whole, and an older version never does.  Pure; to be read on the
 * control thread only.
 */
#ifndef SCHEDULER_QUEUES_H
#define SCHEDULER_QUEUES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  char *name;
  char *host;        /* Host header of the requests that belong to the queue */
  char *path_prefix; /* prefix of their paths */
  char *service;     /* the endpoints of this service run its tasks */
  int32_t priority;  /* 0 is the most urgent */
  int32_t attempts_max;
  double stretch_factor; /* a job's objective is its longest chain of work times this factor .. */
  int64_t target_ms;     /* .. plus this time */
  int64_t timeout_ms;    /* 0 means no timeout */
  bool uses_advisor;     /* an external service recommends the endpoints for its steps */
} queue_def_t;

typedef struct
{
  int64_t version;
  GPtrArray *queues; /* queue_def_t, owned */
  int64_t header_bytes_max;
  int64_t body_bytes_max;
  int64_t header_timeout_ms;
  int64_t idle_timeout_ms;
} queues_t;

/* Returns a table without queues, with the default limits for requests. */
queues_t *queues_new (int64_t version);
/* Appends an empty queue, which the table owns, and returns it.  Its strings must be allocated with
 * GLib; the table frees them. */
queue_def_t *queues_add (queues_t *queues);
void queues_free (queues_t *queues);

/* Returns the queue of a request for PATH with the Host header HOST, whose port is ignored: the
 * queue with the longest matching prefix.  *REST is set to the part of PATH after the prefix.
 * Returns NULL, and leaves *REST as it is, if there is no such queue.  REST may be NULL. */
const queue_def_t *
queues_find (const queues_t *queues, const char *host, const char *path, const char **rest);

#endif
