/* membership.h -- the failure detector and the membership of this host's data centre
 *
 * Members send each other small heartbeats.  Each one echoes the last heartbeat of
 * its receiver.  So a host can tell up to which time a peer was certainly in the
 * same view, even if messages are late: this time is the last contact.  Contact
 * limits how long a replica may grant keys (see membership_contact_until_ms ()).
 *
 * Any traffic from a host shows that it is alive.  A silent member is removed only
 * after another member has confirmed the silence, or at once if another process
 * answers under its host id.  Changes of the view are proposed to the log, where the
 * first record with a given base view takes effect.
 *
 * These rules of suspicion (any message counts, a second member confirms a removal,
 * the health answer carries the identity of the process) follow "Geode: membership
 * manager functional specification".
 *
 * A state machine without I/O: takes events and times, returns actions.  All times
 * are on the boot clock in milliseconds unless stated otherwise.  Random numbers
 * are derived from the seed, so a run can be repeated.  One thread.
 */
#ifndef VIEW_MEMBERSHIP_H
#define VIEW_MEMBERSHIP_H

#include "view/view_directory.h"
#include "view/view_msg.h"

typedef struct membership_t membership_t;

typedef struct
{
  int64_t heartbeat_interval_ms;        /* to each peer of this data centre */
  int64_t remote_heartbeat_interval_ms; /* to one host of another data centre, in turn */
  int64_t suspect_timeout_ms;           /* silence after which a member is suspected */
  int64_t contact_timeout_ms;           /* a replica may grant for this long after contact */
  /* A majority may grant for this long without contact with the log or with all members but
   * one. */
  int64_t isolation_timeout_ms;
  /* A longer gap between ticks is a pause of the process: contact before it does not count. */
  int64_t pause_threshold_ms;
  int64_t first_view_delay_ms; /* wait for peers before the first view is proposed */
  int64_t join_delay_ms; /* wait for more changes, so that hosts that join together need one view */
  bool confirm_suspicion;           /* ask another member before a silent member is removed */
  bool traffic_counts_as_heartbeat; /* any traffic shows that a peer is alive, but is not contact */
} membership_limits_t;

#define MEMBERSHIP_LIMITS_DEFAULT                                                                  \
  ((membership_limits_t){ 400, 1000, 1500, 2000, 6000, 600, 1500, 300, true, true })

typedef enum
{
  MEMBERSHIP_PEER_STATUS, /* MEMBER, whether it is CONNECTED, last traffic from it at AS_OF_MS */
  MEMBERSHIP_MESSAGE,     /* MSG from host FROM */
  MEMBERSHIP_RECORD,      /* OFFSET, RECORDED_AT_MS (wall clock), DATA and SIZE of a view record */
  MEMBERSHIP_STREAM_END,  /* the log was read to its end; the read was sent at AS_OF_MS */
  MEMBERSHIP_APPEND_DONE, /* result of an APPEND action: OK if it succeeded */
  MEMBERSHIP_SLOT_TRANSFERRED, /* VIEW has a slot with a new occupant */
  MEMBERSHIP_DRAIN,            /* this host is about to stop */
  MEMBERSHIP_TICK
} membership_event_kind_t;

/* KIND determines which other fields are used.  The caller keeps all pointers. */
typedef struct
{
  membership_event_kind_t kind;
  member_t *member;
  bool connected;
  bool ok;
  int64_t as_of_ms;
  const char *from;
  const view_msg_t *msg;
  int64_t offset;
  int64_t recorded_at_ms;
  const void *data;
  size_t size;
  view_t *view;
} membership_event_t;

typedef enum
{
  MEMBERSHIP_SEND,         /* send MSG to host TO */
  MEMBERSHIP_APPEND,       /* append RECORD to the stream of view records */
  MEMBERSHIP_VIEW_CHANGED, /* VIEW is the newest of its data centre, BASE the one before */
  MEMBERSHIP_OFFER_SLOT    /* offer this host's slot to host TO */
} membership_action_kind_t;

/* KIND determines which other fields are set.  BASE may be NULL. */
typedef struct
{
  membership_action_kind_t kind;
  char *to;
  view_msg_t *msg;
  GBytes *record;
  view_t *view;
  view_t *base;
} membership_action_t;

/* Returns an empty array that owns its membership_action_t elements. */
GPtrArray *membership_actions_new (void);

/* Returns the state machine of the process SELF, to which it takes a reference.  The
 * caller frees it with membership_free (). */
membership_t *
membership_new (member_t *self, const membership_limits_t *limits, uint32_t seed, int64_t now_ms);
void membership_free (membership_t *membership);

/* Handles EVENT, which the caller keeps, and appends the resulting actions to ACTIONS. */
void membership_step (membership_t *membership,
                      const membership_event_t *event,
                      int64_t now_ms,
                      GPtrArray *actions);

/* Returns the newest view of DATA_CENTRE, or NULL.  Valid until the next step. */
view_t *membership_view (const membership_t *membership, const char *data_centre);

/* Returns true if this process occupies a slot of its data centre's newest view. */
bool membership_is_member (const membership_t *membership);

/* Returns true if another host of this data centre is connected and is not leaving. */
bool membership_has_remaining_peer (const membership_t *membership);

/* Returns the time until which this host may grant keys: contact_timeout_ms after it
 * last read the end of the log or had contact with a majority of its view.  Contact
 * with a majority counts only up to isolation_timeout_ms after the last time at which
 * the host had read the log or had contact with all members but one.  Returns INT64_MIN
 * if this process is no member or has had no such contact. */
int64_t membership_contact_until_ms (const membership_t *membership, int64_t now_ms);

/* Returns true if this host has read the end of the log within the last 4 s. */
bool membership_log_is_fresh (const membership_t *membership, int64_t now_ms);

#endif
