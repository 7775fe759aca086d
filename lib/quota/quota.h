/* quota.h -- limits over many hosts, divided into shares that are leased to hosts
 *
 * A limit is a number of units that may be in use at once over several hosts.
 * The prefix of its name says over which hosts, and what a unit is:
 *
 *   running/PLAN    a running task, over all data centres
 *   starts/PLAN     a start within the last second, over all data centres
 *   slots/ENDPOINT  a running task on the endpoint, over one data centre
 *
 * Every host is a holder: it acquires units from its share of a limit.  A share
 * is granted by an allocator and is valid until its lease expires.  For each
 * limit, one host of each data centre is elected allocator.  A limit over all
 * data centres is divided into fixed parts, one for each data centre.  Idle
 * units of a part are lent to the allocators of other data centres, which act
 * as holders towards the lender.
 *
 * The library is a state machine without clocks, sockets or threads: the caller
 * passes in events and the time, and sends the messages that are returned.
 * Times are in milliseconds on the boot clock of this host.  The clocks of two
 * hosts may differ in rate by one part in QUOTA_CLOCK_MARGIN_DIVISOR.  A quota_t
 * must be used by one thread at a time.
 */
#ifndef QUOTA_QUOTA_H
#define QUOTA_QUOTA_H

#include "quota/quota_msg.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Lease of a share.  The holder counts it from the time at which it sent the
 * report that the grant answers, the allocator from the time at which it sent
 * the grant, so the lease ends at the holder first. */
#define QUOTA_LEASE_MS 1500
/* Lease of a loan between data centres.  It is longer than QUOTA_LEASE_MS, so
 * that the borrower can grant leases on the borrowed units. */
#define QUOTA_LOAN_LEASE_MS 3200
/* A report is also a vote for the allocator that receives it.  The holder votes
 * for no other allocator until this time has passed. */
#define QUOTA_VOTE_MS 900
/* Rate limit of the urgent messages to one host: one per interval, after a burst. */
#define QUOTA_URGENT_INTERVAL_MS 10
#define QUOTA_URGENT_BURST 4
/* Interval of the other reports to a host: with changes, and without. */
#define QUOTA_BUSY_INTERVAL_MS 100
#define QUOTA_IDLE_INTERVAL_MS 250
/* A host that has not answered for this time counts as unreachable. */
#define QUOTA_SUSPECT_TIMEOUT_MS 400
/* A holder leaves an allocator that has had no majority for this time. */
#define QUOTA_ALLOCATOR_TIMEOUT_MS 800
/* Upper bound on how long an allocator may stay active in an old view while it
 * cannot learn of the new one.  A new allocator waits this long. */
#define QUOTA_VIEW_WAIT_MS 2000
/* A start counts as in use for this long: one second and the clock margin of it. */
#define QUOTA_START_USE_MS 1020
/* Initial bound on the time for which a unit may be in use.  Allocators double
 * it when tasks need more. */
#define QUOTA_INITIAL_USE_MS 4000
/* Rotation period: how long the same holder is served first when there are
 * fewer units than holders. */
#define QUOTA_ROTATION_MS 400
/* The part of a data centre divided by this is the reserve that is never lent. */
#define QUOTA_RESERVE_DIVISOR 40
/* Durations measured on another host's clock are extended by one part in this
 * many, because clock rates differ. */
#define QUOTA_CLOCK_MARGIN_DIVISOR 50
/* Number of units of a limit that does not exist. */
#define QUOTA_NO_LIMIT (-1)

/* Safety rules.  Production code uses quota_rules_all; tests switch off one rule
 * at a time to show that the limit is then exceeded. */
typedef struct
{
  bool check_deadline;  /* no unit is acquired after the lease of the share has expired */
  bool successor_waits; /* a new allocator waits for the old view to end and reserves units
                           that others may have granted */
  bool count_in_use;    /* units in use are charged after the lease has expired */
  bool number_messages; /* duplicate and reordered messages are dropped */
} quota_rules_t;

extern const quota_rules_t quota_rules_all;

typedef struct quota_t quota_t;

typedef enum
{
  QUOTA_EVENT_TICK,    /* periodic, about every 50 ms */
  QUOTA_EVENT_MESSAGE, /* host of data_centre sent message */
  QUOTA_EVENT_VIEW,    /* view view_number with members is in force */
  QUOTA_EVENT_LIMIT,   /* limit name has units now, or QUOTA_NO_LIMIT */
  QUOTA_EVENT_PEER,    /* is_reachable of host of data_centre has changed */
  QUOTA_EVENT_LEAVE,   /* this host stops and returns its idle units */
  QUOTA_EVENT_REQUEST  /* report at once the demand that the shares do not cover */
} quota_event_kind_t;

/* Only the fields that the description of the kind names are read.  Strings and
 * MESSAGE are borrowed for the duration of quota_step (). */
typedef struct
{
  quota_event_kind_t kind;
  const char *host;
  const char *data_centre;
  const quota_message_t *message;
  int64_t view_number;
  const GPtrArray *members; /* sorted host ids */
  const char *name;
  int64_t units;
  bool is_reachable;
} quota_event_t;

/* A request to the caller to send message to host.  Host may be this host: the
 * message is then to be passed back as QUOTA_EVENT_MESSAGE. */
typedef struct
{
  char *host;
  quota_message_t *message;
} quota_action_t;

/* Returns an empty list of quota_action_t pointers, which it owns; free it with
 * g_ptr_array_unref (). */
GPtrArray *quota_actions_new (void);

/* Creates the state of HOST.  INCARNATION is not 0 and differs for each process
 * of the host.  DATA_CENTRES has the names of all data centres and must be the
 * same list on every host.  All arguments are copied; free the result with
 * quota_free (). */
quota_t *quota_new (const char *host,
                    const char *data_centre,
                    uint64_t incarnation,
                    const GPtrArray *data_centres,
                    const quota_rules_t *rules);
void quota_free (quota_t *quota);

/* Handles EVENT and appends the messages to be sent to ACTIONS. */
void quota_step (quota_t *quota, const quota_event_t *event, int64_t now_ms, GPtrArray *actions);

/* Acquires one unit of limit NAME for a use that ends at ENDS_AT_MS at the
 * latest.  Returns 0, or ERROR_FULL if the share has no idle unit or does not
 * allow a use of that length.  If there is no such limit, returns 0 without
 * acquiring anything.  NOW_MS must have been read for this call. */
int quota_acquire (quota_t *quota, const char *name, int64_t ends_at_ms, int64_t now_ms);

/* Releases a unit that was acquired with ENDS_AT_MS, before that time.  Does
 * nothing for "starts/": a start counts for its whole time. */
void quota_release (quota_t *quota, const char *name, int64_t ends_at_ms, int64_t now_ms);

/* Returns the units that could be acquired now; INT32_MAX if there is no limit. */
int32_t quota_available (quota_t *quota, const char *name, int64_t now_ms);

/* Sets the number of units that this host could use now, including those in use. */
void quota_set_demand (quota_t *quota, const char *name, int64_t demand);

/* Returns true if more units may be acquired than at the last call. */
bool quota_has_grown (quota_t *quota);

/* Returns true once this host, after QUOTA_EVENT_LEAVE, has no units and uses
 * none, and the allocators have acknowledged that. */
bool quota_has_left (const quota_t *quota, int64_t now_ms);

/* State of a limit as shown by GET /v1/status, where the last three fields are
 * named wanted, allotter and allots. */
typedef struct
{
  const char *name;
  int64_t limit;         /* units over all hosts */
  int64_t held;          /* units of this host's share; 0 after its lease */
  int64_t in_use;        /* units in use by this host */
  int64_t demand;        /* units that this host could use now */
  const char *allocator; /* host id, or NULL; borrowed */
  bool is_allocator;     /* this host is the active allocator */
} quota_status_t;

/* Calls EACH with the state of every limit.  The status is valid during the
 * call only. */
void quota_for_each (quota_t *quota,
                     int64_t now_ms,
                     void (*each) (const quota_status_t *status, void *data),
                     void *data);

#endif
