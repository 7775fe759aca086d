/* plan.h -- the faults of a soak as a pure function of its seed
 *
 * A plan is a list of faults with a begin and an end; printed, it can be read, and a part of it can
 * be chosen by the numbers of its faults, so that a failed one can be made smaller.
 */
#ifndef SOAK_PLAN_H
#define SOAK_PLAN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  /* Planned work: nothing may be lost around it. */
  PLAN_STOP_HOST,
  PLAN_HANGUP,
  PLAN_SETTINGS,
  PLAN_CONFIG,
  PLAN_ENDPOINT_LEAVES,
  /* Hosts. */
  PLAN_KILL_HOST,
  PLAN_PAUSE_HOST,
  PLAN_KILL_ALL,
  /* Connections, by the proxy. */
  PLAN_CUT_HOST,    /* from all other hosts */
  PLAN_CUT_ONE_WAY, /* what it sends to other hosts does not arrive */
  PLAN_CUT_ZONE,
  PLAN_DELAY,
  PLAN_RESET,
  PLAN_MUTE, /* open connections go silent for good */
  PLAN_CUT_ENDPOINT,
  PLAN_CUT_LOG, /* from one host */
  PLAN_SLOW_CALLERS,
  /* The log. */
  PLAN_LOG_DOWN,
  PLAN_LOG_SILENT,
  PLAN_LOG_SLOW,
  PLAN_LOG_LOSES,
  PLAN_LOG_FORGETS,
  PLAN_LOG_WIPED,
  /* Endpoints. */
  PLAN_ENDPOINT_FAILS,
  PLAN_ENDPOINT_HANGS,
  PLAN_ENDPOINT_MUTE,
  PLAN_ENDPOINT_LATE,
  PLAN_ENDPOINT_SLOW,
  PLAN_KILL_ENDPOINT,
  PLAN_PAUSE_ENDPOINT,
  /* The operator. */
  PLAN_DRAIN, /* of a data centre */
  /* Under their ids: the target and all endpoints after it, at once; its entry is back at the end.
   */
  PLAN_RESTART_ENDPOINTS,
  /* Only in days of a deployment (tests/deployment). */
  PLAN_BREAK_ZONE, /* a cut that resets connections */
  PLAN_CALLERS_LEAVE,
  PLAN_BREAK_LOG,  /* from one host, with resets */
  PLAN_KILL_TAKER, /* the host whose job started a task last */
  PLAN_KILL_OWNER, /* a host that owns a shard, the first from the target on */
  PLAN_KINDS
} plan_kind_t;

typedef struct
{
  int32_t number;
  plan_kind_t kind;
  int64_t at_ms;    /* from the start of the load */
  int64_t until_ms; /* it is healed */
  int32_t target;   /* host, endpoint or data centre, by kind */
} plan_fault_t;

typedef struct
{
  int32_t hosts;
  int32_t endpoints;
  int32_t zones;
  int64_t length_ms; /* of the time in which faults begin */
} plan_options_t;

/* Faults of SEED, in the order of their begin (plan_fault_t).  One seed in three has planned work
 * only, in series that overlap.  Of the others one in two has a drain, and from seed 20000 on one
 * in two has endpoints that restart.  These are drawn apart and have the last numbers, so that what
 * a seed meant before them stays. */
GArray *plan_new (uint32_t seed, const plan_options_t *options);

const char *plan_name (plan_kind_t kind);
bool plan_is_planned (plan_kind_t kind);

/* One line for each fault; the caller frees it. */
char *plan_text (const GArray *plan);

#endif
