/* rig.h -- the processes of a soak: a log, endpoints, hosts, and the proxy between them
 *
 * A process of endpoints plays one of them, or ENDPOINTS_EACH of one data centre; faults of
 * endpoints are those of a whole process.
 *
 * Everything listens on loopback addresses; ports follow from a base.  Processes are ended by the
 * ids that were started here, and by no others.
 */
#ifndef SOAK_RIG_H
#define SOAK_RIG_H

#include "tests/port_block.h"
#include "tests/soak/book.h"
#include "tests/soak/plan.h"
#include "tests/soak/proxy.h"

#include <stdbool.h>
#include <sys/types.h>

typedef struct
{
  char *name;
  char *zone;
  pid_t pid;    /* 0 while it is not running */
  int32_t life; /* grows with each start */
  bool paused;
  int32_t held;     /* faults that keep it down */
  const char *told; /* why it ends, once it was told to; "" before */
  int32_t settings; /* how often its settings were changed */
} rig_host_t;

typedef struct
{
  pid_t pid;
  char *zone;
  char *ledger;     /* file */
  long ledger_read; /* bytes of it that are in the book */
  bool paused;
} rig_endpoint_t;

typedef struct
{
  const char *programs; /* directory */
  char *directory;      /* settings, logs and ledgers */
  port_block_t ports;
  int32_t hosts_count;
  int32_t endpoints_count; /* their processes */
  int32_t endpoints_each;  /* 0: one in each process */
  int32_t room;            /* tasks at once on an endpoint; 0: four */
  int32_t seed_hosts;      /* named in all settings; 0: the first host only */
  int32_t zones;
  bool drops_unsent;                  /* as proxy_drop_unsent () */
  double (*cpu_share) (int32_t host); /* of a core, as its settings say; NULL: a quarter */
  rig_host_t *hosts;
  rig_endpoint_t *endpoints;
  pid_t log_pid;
  proxy_t *proxy;
  book_t *book;
  int32_t version; /* of the last configuration */
} rig_t;

/* Starts all and waits until every host is ready.  Returns false if that takes too long. */
bool rig_start (rig_t *rig);
/* Ends all processes; the directory stays if KEEP. */
void rig_stop (rig_t *rig, bool keep);

int rig_caller_port (const rig_t *rig, int32_t host);
bool rig_is_ready (const rig_t *rig, int32_t host);

/* Begins and ends a fault. */
void rig_begin (rig_t *rig, const plan_fault_t *fault);
void rig_end (rig_t *rig, const plan_fault_t *fault);

/* Takes note of processes that have ended, starts hosts that no fault keeps down, and reads what
 * endpoints have run. */
void rig_watch (rig_t *rig);

/* All hosts and endpoints run, and nothing is paused. */
void rig_heal (rig_t *rig);

/* Which endpoints still run something, or have ends that nobody acknowledged; NULL for none.  The
 * caller frees it. */
char *rig_left (rig_t *rig);

/* IP where callers meet the proxy. */
#define RIG_CALLER_IP "127.0.4.1"

#endif
