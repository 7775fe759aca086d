/* membership_state.h -- internals of the membership
 *
 * Private to membership.c, suspicion.c and proposal.c.  Times are on this host's boot
 * clock unless stated otherwise.
 */
#ifndef VIEW_MEMBERSHIP_STATE_H
#define VIEW_MEMBERSHIP_STATE_H

#include "view/membership.h"

/* A host that was connected at some time, or a member of the view.  Times are 0 if there
 * was no such event. */
typedef struct
{
  member_t *member;
  bool connected;
  bool leaving;
  int64_t first_seen_ms;
  int64_t last_heard_ms;        /* any traffic, or heartbeats only, by the limits */
  int64_t last_heartbeat_ms;    /* its last heartbeat was received */
  int64_t reported_view_number; /* from its last heartbeat */
  int64_t peer_sent_ms;         /* latest SENT_MS of its heartbeats, on its own clock */
  int64_t last_contact_ms;      /* latest echo from it while it was in this host's view */
  int64_t query_sent_ms;        /* another member was asked about its silence */
  int64_t silence_confirmed_ms; /* another member confirmed its silence; 0 if refuted */
  int64_t summary_sent_ms;      /* a summary was last sent to it, on a differing digest */
} peer_t;

struct membership_t
{
  member_t *self;
  membership_limits_t limits;
  GRand *random;
  view_directory_t *directory;
  GHashTable *peers;  /* host id -> peer_t */
  GPtrArray *actions; /* output of the current step, NULL between steps */
  bool draining;
  int64_t process_start_ms;
  int64_t last_tick_ms;
  int64_t contact_valid_from_ms; /* start or end of last pause; earlier contact is ignored */
  int64_t view_learned_ms;       /* this host learned its newest view */
  int64_t log_read_ms;           /* the log's end was last read; INT64_MIN if never */
  int64_t last_not_isolated_ms;  /* last contact with the log or with all members but one */
  int64_t next_heartbeat_ms;
  int64_t next_remote_heartbeat_ms;
  uint32_t remote_heartbeat_count;
  int64_t change_needed_since_ms; /* a new view is needed; 0 if not; set anew, with a random delay,
                                     by a proposal */
  int64_t last_proposal_ms;       /* last proposal or failed append; 0 after a change of the view */
  int64_t self_proposal_delay_ms;
  int64_t drain_started_ms;
  int64_t next_checkpoint_ms;
  int64_t successor_chosen_ms; /* SUCCESSOR was chosen, or none was found */
  int64_t next_offer_ms;
  char *successor; /* host that is offered this host's slot, or NULL */
};

/* Returns the newest view of this data centre, or NULL. */
view_t *membership_own_view (const membership_t *membership);

/* Returns the peer that is the same process as MEMBER, or NULL. */
peer_t *membership_find_peer (const membership_t *membership, const member_t *member);

/* Returns true if PEER is in this host's data centre. */
bool membership_peer_is_local (const membership_t *membership, const peer_t *peer);

/* Returns the time since MEMBER was last heard, since this host's last pause, or, for an
 * unknown member, since the view was learned: the shortest of these.  0 for this host. */
int64_t
membership_silence_ms (const membership_t *membership, const member_t *member, int64_t now_ms);

/* Returns true if another process is known to run under MEMBER's host id. */
bool membership_member_is_replaced (const membership_t *membership, const member_t *member);

/* Adds an action that sends MSG to host TO.  Takes ownership of MSG. */
void membership_send (membership_t *membership, const char *to, view_msg_t *msg);

/* Failure detection, in suspicion.c.  A tick asks other members about silent ones; ON_QUERY
 * answers such a query, ON_REPLY records the answer. */
void suspicion_tick (membership_t *membership, int64_t now_ms);
void suspicion_on_query (membership_t *membership,
                         const char *from,
                         const view_suspicion_query_t *query,
                         int64_t now_ms);
void
suspicion_on_reply (membership_t *membership, const view_suspicion_reply_t *reply, int64_t now_ms);
bool
suspicion_member_failed (const membership_t *membership, const member_t *member, int64_t now_ms);

/* Proposals of a new view, in proposal.c.  RESET records that no change is needed. */
void proposal_reset (membership_t *membership);
void proposal_tick (membership_t *membership, int64_t now_ms);

#endif
