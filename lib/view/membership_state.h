/* membership_state.h -- state of the membership, private to its files */
#ifndef VIEW_MEMBERSHIP_STATE_H
#define VIEW_MEMBERSHIP_STATE_H

#include "view/membership.h"

/* A host that was met. */
typedef struct
{
  member_t *member;
  bool connected;
  bool leaving;
  int64_t met_ms;
  int64_t heard_ms;     /* any traffic, or beats alone */
  int64_t beat_ms;      /* its last beat came in, 0 before the first */
  int64_t beat_view;    /* the view that it reported */
  int64_t echo_ms;      /* SENT_MS of its last beat, on its own clock */
  int64_t contact_ms;   /* since then it has been in our view; our clock */
  int64_t doubted_ms;   /* a second opinion was asked for */
  int64_t confirmed_ms; /* another member confirmed its silence */
  int64_t summary_ms;   /* a summary was sent */
} peer_t;

struct membership_t
{
  member_t *self;
  membership_limits_t limits;
  GRand *random;
  directory_t *directory;
  GHashTable *peers;  /* host id -> peer_t */
  GPtrArray *actions; /* of the step that runs */
  bool draining;
  int64_t started_ms;
  int64_t last_tick_ms;
  int64_t floor_ms; /* contact before the last freeze does not count */
  int64_t view_ms;  /* the newest view was learned */
  int64_t log_ms;   /* the log's end was read, INT64_MIN before */
  int64_t wide_ms;  /* last contact with the log or all members but one */
  int64_t next_beat_ms;
  int64_t next_foreign_ms;
  uint32_t foreign_turn;
  int64_t need_since_ms; /* a change of the view is needed, 0 if not */
  int64_t proposed_ms;   /* a proposal is on its way, 0 if not */
  int64_t stranger_wait_ms;
  int64_t drain_ms;
  int64_t next_checkpoint_ms;
  int64_t offered_ms; /* the seat was offered to SUCCESSOR */
  int64_t next_offer_ms;
  char *successor;
};

view_t *membership_own_view (const membership_t *membership);

/* The peer that is this very process, or NULL. */
peer_t *membership_peer_of (const membership_t *membership, const member_t *member);

bool membership_is_local (const membership_t *membership, const peer_t *peer);

/* Milliseconds since MEMBER gave a sign of life. */
int64_t
membership_silence_ms (const membership_t *membership, const member_t *member, int64_t now_ms);

/* Another process answers under MEMBER's name. */
bool membership_is_replaced (const membership_t *membership, const member_t *member);

void membership_send (membership_t *membership, const char *to, view_msg_t *msg);

/* Suspicion, in suspicion.c: asks for second opinions, gives them. */
void suspicion_tick (membership_t *membership, int64_t now_ms);
void suspicion_doubt (membership_t *membership,
                      const char *from,
                      const view_doubt_t *doubt,
                      int64_t now_ms);
void suspicion_opinion (membership_t *membership, const view_opinion_t *opinion, int64_t now_ms);
bool suspicion_is_lost (const membership_t *membership, const member_t *member, int64_t now_ms);

/* Changes of the view, in proposal.c. */
void proposal_reset (membership_t *membership);
void proposal_tick (membership_t *membership, int64_t now_ms);

#endif
