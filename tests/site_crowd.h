/* site_crowd.h -- crowds of badly behaving clients at one host of a rig, and what they cost it
 *
 * A crowd is a number of connections that send and never read.  Sizes are bytes; all functions
 * belong to one thread.
 */
#ifndef TESTS_SITE_CROWD_H
#define TESTS_SITE_CROWD_H

#include "tests/site_rig.h"

#include <stdbool.h>
#include <stdint.h>

/* The timeout of the queue /q/ and of the jobs that a crowd keeps open. */
#define CROWD_QUEUE_TIMEOUT_MS 20000

/* A request of a job whose task is longer than any row; "%" stands for its id. */
#define CROWD_JOB                                                                                  \
  "{\"spec\":\"15000\",\"best_effort\":true,\"phases\":[{\"count\":1,\"cpu_millis\":1000,"         \
  "\"mem_mb\":10,\"estimated_ms\":15000}]}"
#define CROWD_JOB_POST                                                                             \
  "POST /q/% HTTP/1.1\r\nHost: q.example\r\nContent-Type: application/json\r\n"                    \
  "Jaytrail-Deadline-Ms: 20000\r\nContent-Length: 109\r\n\r\n" CROWD_JOB
_Static_assert(sizeof CROWD_JOB - 1 == 109, "Content-Length of CROWD_JOB_POST");

/* The listeners of a host, in the order of their ports. */
typedef enum
{
  CROWD_FRONTEND,
  CROWD_READY,
  CROWD_CONTROL_PLANE
} crowd_listener_t;

typedef struct
{
  const char *name;
  crowd_listener_t listener;
  int connections;
  const char *first;    /* sent once by each; "%" stands for 16 digits that no other has; or NULL */
  const char *repeated; /* sent after it, again and again, as FIRST; or NULL */
  const char *last;     /* sent after BYTES_MAX; or NULL */
  int64_t bytes_max;    /* of FIRST and REPEATED, by each */
} crowd_t;

/* Of the host, while the crowd was there. */
typedef struct
{
  int64_t idle_bytes;     /* resident, before */
  int64_t resident_bytes; /* at most since its start */
  int64_t sent_bytes;     /* by the crowd */
  int64_t log_bytes;      /* standard output and error */
  int limit_lines;        /* events clients_limited of the listener */
  int limits_counted;     /* by the metrics of the listener, all causes; 0 at the control plane */
  int clients_max;        /* connections of callers and at ready that the metrics allow; -1: none */
  int descriptors;        /* at most */
  int channels;           /* sockets and pipes among them, at most */
  int refused;            /* connections of the crowd that the host closed */
  bool lives;             /* the process that was started is still there, after all */
  bool answers;           /* an ordinary request was answered after the crowd had gone */
} crowd_result_t;

/* Plays CROWD at host 0 of a rig with LIMITS: connects, sends until BYTES_MAX or until nothing more
 * is taken, stays, closes, and sends an ordinary request.  Prints a line of figures. */
crowd_result_t crowd_play (const crowd_t *crowd, const site_limits_t *limits);

#endif
