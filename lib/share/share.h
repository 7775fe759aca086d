/* share.h -- limits as shares with deadlines: holder and allotter of one host
 *
 * A limit is a number of units that may be in use at once over all hosts.  Its
 * name says over which hosts and what a unit is:
 *
 *   running/PLAN    a running task, over all data centres
 *   starts/PLAN     a start within the last second, over all data centres
 *   slots/ENDPOINT  a running task on the endpoint, over its data centre
 *
 * Each host is a holder: it takes units out of its share, which an allotter
 * has granted until a deadline.  For each limit one host of the data centre is
 * the allotter.  A limit over all data centres is divided into fixed parts,
 * one for each data centre; what is idle in one part is lent to allotters of
 * other data centres, which are holders there.
 *
 * Pure: no clocks, sockets or threads.  Times are on the boot clock of this
 * host, and clocks of hosts may differ in rate by SHARE_CLOCK_MARGIN.  One
 * thread at a time.
 */
#ifndef SHARE_SHARE_H
#define SHARE_SHARE_H

#include "share/share_msg.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A holder counts its share's deadline from when it sent the report, the
 * allotter from when it sent the grant. */
#define SHARE_LEASE_MS 1500
/* A data centre's loan outlives the leases that its allotter gives under it. */
#define SHARE_LOAN_LEASE_MS 3200
/* A report is a vote for the allotter; the holder votes for no other before
 * this time has passed. */
#define SHARE_VOTE_MS 900
/* Urgent messages to a host: one in this time, after a burst. */
#define SHARE_URGENT_MS 10
#define SHARE_URGENT_BURST 4
/* Time between other messages to a host: with changes, and idle. */
#define SHARE_BUSY_MS 100
#define SHARE_IDLE_MS 250
/* Without an answer for this time a host counts as unreachable, */
#define SHARE_SUSPECT_MS 400
/* and an allotter that a majority does not follow is left after this. */
#define SHARE_PATIENCE_MS 800
/* Bounds how long an allotter may go on in an old view that is out of reach. */
#define SHARE_VIEW_WAIT_MS 2000
/* A start counts for this long, a little more than a second. */
#define SHARE_START_USE_MS 1020
/* Longest use of a unit allowed at first; it doubles when tasks need more. */
#define SHARE_USE_MS 4000
/* How long a holder stays first when units are fewer than holders. */
#define SHARE_TURN_MS 400
/* One part in this many of a data centre's own part is never lent. */
#define SHARE_RESERVE_DIVISOR 40
/* Allowance for clock rates: one part in this many. */
#define SHARE_CLOCK_MARGIN 50
#define SHARE_NO_LIMIT (-1)

/* Safety rules; each is off only in tests that show what it prevents. */
typedef struct
{
  bool check_deadline;  /* no unit is taken after the share's deadline */
  bool successor_waits; /* a new allotter allows for grants that it can't know */
  bool count_in_use;    /* units in use count past the share's deadline */
  bool number_messages; /* messages that were overtaken or doubled are dropped */
} share_rules_t;

extern const share_rules_t share_rules_all;

typedef struct share_t share_t;

typedef enum
{
  SHARE_EVENT_TICK,    /* time has passed: every 50 ms or so */
  SHARE_EVENT_MESSAGE, /* HOST of DATA_CENTRE sent MESSAGE */
  SHARE_EVENT_VIEW,    /* view NUMBER with MEMBERS is in force */
  SHARE_EVENT_LIMIT,   /* limit NAME is now UNITS, or SHARE_NO_LIMIT */
  SHARE_EVENT_PEER,    /* HOST of DATA_CENTRE became reachable, or not (UP) */
  SHARE_EVENT_LEAVE,   /* this host stops: it gives back what it does not use */
  SHARE_EVENT_ASK      /* send what the demands lack now */
} share_event_kind_t;

typedef struct
{
  share_event_kind_t kind;
  const char *host;
  const char *data_centre;
  const share_message_t *message;
  int64_t number;
  const GPtrArray *members; /* sorted host ids */
  const char *name;
  int64_t units;
  bool up;
} share_event_t;

/* Send MESSAGE to HOST. */
typedef struct
{
  char *host;
  share_message_t *message;
} share_action_t;

/* An empty list of actions; free with g_ptr_array_unref (). */
GPtrArray *share_actions_new (void);

/* DATA_CENTRES are the names of all data centres, the same list on every host;
 * strings are copied. */
share_t *share_new (const char *host,
                    const char *data_centre,
                    uint64_t incarnation,
                    const GPtrArray *data_centres,
                    const share_rules_t *rules);
void share_unref (share_t *share);

/* Takes in EVENT and appends share_action_t pointers to ACTIONS. */
void share_step (share_t *share, const share_event_t *event, int64_t now_ms, GPtrArray *actions);

/* Takes one unit of limit NAME that ends at ENDS_AT_MS at the latest.  Returns
 * 0, or ERROR_FULL.  A name without a limit is not limited.  NOW_MS must have
 * been read for this call. */
int share_take (share_t *share, const char *name, int64_t ends_at_ms, int64_t now_ms);

/* Gives back a unit before its end; no-op for "starts/". */
void share_give (share_t *share, const char *name, int64_t ends_at_ms, int64_t now_ms);

/* Units that could be taken now; INT32_MAX if not limited. */
int32_t share_available (share_t *share, const char *name, int64_t now_ms);

/* Says how many units this host could use now, those in use included. */
void share_set_demand (share_t *share, const char *name, int64_t wanted);

/* True if a share has grown since the last call. */
bool share_has_grown (share_t *share);

/* True once this host, after SHARE_EVENT_LEAVE, holds and uses nothing and the
 * allotters have confirmed it. */
bool share_has_left (const share_t *share, int64_t now_ms);

/* What GET /v1/status shows of a limit. */
typedef struct
{
  const char *name;
  int64_t limit;  /* over all hosts */
  int64_t held;   /* this host's unexpired share */
  int64_t in_use; /* by this host */
  int64_t wanted;
  const char *allotter; /* host id, or NULL */
  bool allots;          /* this host is the allotter now */
} share_status_t;

void share_each (share_t *share,
                 int64_t now_ms,
                 void (*each) (const share_status_t *status, void *data),
                 void *data);

#endif
