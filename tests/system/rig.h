/* rig.h -- a small deployment of real processes, with a checker of what must always hold
 *
 * A rig has one platform, and in each of its data centres some endpoints and
 * entry hosts.  Failed expectations are counted and printed, not thrown, so a
 * case runs to its end.  One thread only; calls run on threads of their own.
 */
#ifndef TESTS_SYSTEM_RIG_H
#define TESTS_SYSTEM_RIG_H

#include "tests/system/call.h"
#include "tests/system/job.h"
#include "tests/system/process.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define RIG_DATA_CENTRES_MAX 3

typedef struct
{
  int32_t data_centres; /* 0 stands for 1 */
  int32_t hosts;        /* entry hosts in each data centre; 0 stands for 3 */
  int32_t endpoints;    /* in each data centre; 0 stands for 2 */
  int32_t slots;        /* of each endpoint; 0 stands for 8 */
  const char *settings; /* more members of every host's settings, or NULL */
  const char *limits;   /* the limits list, or NULL for one that never binds */
  bool no_hosts;        /* the case starts the hosts itself */
} rig_options_t;

typedef struct
{
  char *id;
  char *data_centre;
  char *address;
  char *journal; /* file with every start */
  process_t *process;
  const char *state; /* in the platform's list: "live", "leaving", or NULL for absent */
  int32_t slots;
} rig_endpoint_t;

typedef struct
{
  char *id;
  char *data_centre;
  char *caller;
  char *admin;
  char *peer;
  char *settings_file;
  process_t *process; /* NULL before the start and after the end */
  const char *state;
} rig_host_t;

/* One request of one caller. */
typedef struct
{
  job_t *job;
  rig_host_t *host;
  call_t *call;
  bool may_break; /* the case kills the host: the connection may break */
} submission_t;

/* One DELETE of a key. */
typedef struct
{
  char *key;
  const rig_host_t *host;
  call_t *call;
} cancel_t;

typedef struct
{
  rig_options_t options;
  const char *name;
  char *dir;
  char *platform;
  process_t *platform_process;
  GPtrArray *hosts;       /* of rig_host_t */
  GPtrArray *endpoints;   /* of rig_endpoint_t */
  GPtrArray *submissions; /* of submission_t */
  GPtrArray *jobs;        /* of job_t, owned */
  GPtrArray *cancels;     /* of cancel_t */
  int32_t failures;
} rig_t;

/* The folder of the programs. */
void rig_set_programs (const char *dir);
char *rig_program (const char *name); /* g_free */

/* Starts everything, publishes the lists and waits until all hosts are ready. */
rig_t *rig_new (const char *name, const rig_options_t *options);

/* Stops all hosts by SIGTERM, which must end them with status 0, and frees RIG.
 * Returns the number of failures. */
int32_t rig_free (rig_t *rig);

/* Counts and prints a failure. */
void rig_fail (rig_t *rig, const char *format, ...) G_GNUC_PRINTF (2, 3);
/* Does so if OK is false.  Returns OK. */
bool rig_expect (rig_t *rig, bool ok, const char *format, ...) G_GNUC_PRINTF (3, 4);

/* The Nth host or endpoint of data centre DC, from 0. */
rig_host_t *rig_host (rig_t *rig, int32_t dc, int32_t n);
rig_endpoint_t *rig_endpoint (rig_t *rig, int32_t dc, int32_t n);
const char *rig_data_centre (int32_t dc);

/* Adds a host to the list; it is started by rig_start_host (). */
rig_host_t *rig_add_host (rig_t *rig, int32_t dc);
bool rig_start_host (rig_t *rig, rig_host_t *host);
void rig_wait_ready (rig_t *rig, rig_host_t *host);
/* SIGTERM, then waits; a status other than 0 is a failure. */
void rig_stop_host (rig_t *rig, rig_host_t *host);
/* Waits only; the signal has been sent.  A second one would end it at once. */
void rig_await_stop (rig_t *rig, rig_host_t *host);
/* kill -9; requests at this host may break. */
void rig_kill_host (rig_t *rig, rig_host_t *host);
/* Cuts HOST off from (or joins it to) DATA_CENTRE; "" stands for all peers. */
void rig_cut (rig_t *rig, rig_host_t *host, const char *data_centre, bool in, bool out);
/* Cuts data centres A and B off from each other. */
void rig_cut_data_centres (rig_t *rig, int32_t a, int32_t b, bool cut);

/* Starts the platform again at its address, empty, after a kill. */
bool rig_start_platform (rig_t *rig);
/* Sends the list of hosts to the platform. */
void rig_push_hosts (rig_t *rig);

/* Publishes lists given as JSON texts (NULL leaves one out).  Returns the exit
 * status of the tool; *OUTPUT (may be NULL) is what it printed. */
int rig_publish (rig_t *rig, const char *plans, const char *limits, char **output);

void rig_fault_platform (rig_t *rig, const char *fault);
void rig_fault_endpoint (rig_t *rig, rig_endpoint_t *endpoint, const char *fault);

/* Submits JOB (owned by RIG from then on) to HOST. */
submission_t *rig_submit (rig_t *rig, rig_host_t *host, job_t *job);
/* Waits for the whole answer and expects it.  Returns false if it did not come. */
bool rig_expect_complete (rig_t *rig, submission_t *submission);
/* Waits and expects an answer of KIND; RUN may be NULL for either. */
void rig_expect_kind (rig_t *rig, submission_t *submission, const char *kind, const char *run);

/* Sends DELETE for KEY to HOST. */
call_t *rig_cancel (rig_t *rig, rig_host_t *host, const char *key);

/* Waits until at least COUNT starts of KEY were seen; returns false by the guard. */
bool rig_wait_starts (rig_t *rig, const char *key, int32_t count);

/* Waits until CONDITION (DATA) holds; a failure named WHAT by the guard. */
bool rig_until (rig_t *rig, const char *what, bool (*condition) (void *data), void *data);

/* A counter of HOST's metrics, summed over labels that contain LABELS (or NULL). */
int64_t rig_metric (rig_host_t *host, const char *name, const char *labels);
/* HOST's GET /v1/status (json_object_put), or NULL. */
json_object *rig_status (rig_host_t *host);

#endif
