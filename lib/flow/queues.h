/* queues.h -- the queues in force: who may submit where, and what each queue grants
 *
 * One immutable table a version of the configuration; it is replaced as a whole and a version
 * never goes back.  Pure; readers on the control thread only.
 */
#ifndef FLOW_QUEUES_H
#define FLOW_QUEUES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  char *name;
  char *host;       /* of requests that belong to it */
  char *prefix;     /* of their paths */
  char *service;    /* whose endpoints run its tasks */
  int32_t priority; /* 0 is the most urgent */
  int32_t attempts_max;
  double stretch;     /* a job's objective is this times its longest chain of work .. */
  int64_t target_ms;  /* .. and this more */
  int64_t timeout_ms; /* 0 for none */
  bool advised;       /* an outside service says which endpoints may run its steps */
} queue_def_t;

typedef struct
{
  int64_t version;
  GPtrArray *queues; /* queue_def_t */
  int64_t header_bytes_max;
  int64_t body_bytes_max;
  int64_t header_timeout_ms;
  int64_t idle_timeout_ms;
} queues_t;

queues_t *queues_new (int64_t version);
queue_def_t *queues_add (queues_t *queues);
void queues_free (queues_t *queues);

/* The queue of a request with HOST (a port is ignored) for PATH: the one with the longest
 * prefix.  NULL if there is none; else *REST is what follows the prefix. */
const queue_def_t *
queues_find (const queues_t *queues, const char *host, const char *path, const char **rest);

#endif
