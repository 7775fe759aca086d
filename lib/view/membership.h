/* membership.h -- decisions about the members of this host's data centre
 *
 * Members send each other small beats that echo the last beat of the receiver,
 * so a host knows since when a peer has been in the same view, even if messages
 * are late.  Any traffic counts as a sign of life; a silent member is removed
 * only after another member has confirmed the silence, or when another process
 * answers under its name.  Changes of the view are proposed to the log, where
 * the first record on a base wins.
 *
 * The manner of suspicion (any message is contact, a second opinion before a
 * removal, the identity in the health answer) follows "Geode: membership
 * manager functional specification".
 *
 * Pure: events and times in, actions out; random numbers come from the seed.
 * One thread.
 */
#ifndef VIEW_MEMBERSHIP_H
#define VIEW_MEMBERSHIP_H

#include "view/directory.h"
#include "view/view_msg.h"

typedef struct membership_t membership_t;

typedef struct
{
  int64_t beat_ms;         /* between two beats to each member */
  int64_t foreign_beat_ms; /* between two beats to hosts of other data centres */
  int64_t suspect_ms;      /* silence before a member is doubted */
  int64_t contact_ms;      /* a replica grants this long after its last contact */
  int64_t isolation_ms;    /* a majority goes on this long without log and minority */
  int64_t freeze_ms;       /* a gap between ticks after which contact starts anew */
  int64_t first_view_ms;   /* wait for peers before the first view is proposed */
  int64_t join_ms;         /* joining hosts are gathered this long */
  bool second_opinion;
  bool traffic_is_contact; /* not only beats count as signs of life */
} membership_limits_t;

#define MEMBERSHIP_LIMITS_DEFAULT                                                                  \
  ((membership_limits_t){ 400, 1000, 1500, 2000, 6000, 600, 1500, 300, true, true })

typedef enum
{
  MEMBERSHIP_PEER,       /* MEMBER was met; CONNECTED, HEARD_MS of now */
  MEMBERSHIP_MESSAGE,    /* MSG from FROM */
  MEMBERSHIP_RECORD,     /* OFFSET, AT_MS, DATA, SIZE of the stream of views */
  MEMBERSHIP_CAUGHT_UP,  /* the log was read to its end, asked at HEARD_MS */
  MEMBERSHIP_APPENDED,   /* the platform has answered (OK) or not */
  MEMBERSHIP_SEAT_MOVED, /* VIEW has a new occupant */
  MEMBERSHIP_DRAIN,      /* this host leaves */
  MEMBERSHIP_TICK
} membership_event_kind_t;

typedef struct
{
  membership_event_kind_t kind;
  member_t *member;
  bool connected;
  bool ok;
  int64_t heard_ms;
  const char *from;
  const view_msg_t *msg;
  int64_t offset;
  int64_t at_ms;
  const void *data;
  size_t size;
  view_t *view;
} membership_event_t;

typedef enum
{
  MEMBERSHIP_SEND,     /* MSG to host TO */
  MEMBERSHIP_APPEND,   /* RECORD to the stream of views */
  MEMBERSHIP_VIEW,     /* VIEW is in force, BASE came before it (may be NULL) */
  MEMBERSHIP_PASS_SEAT /* offer this host's seat to host TO */
} membership_action_kind_t;

typedef struct
{
  membership_action_kind_t kind;
  char *to;
  view_msg_t *msg;
  GBytes *record;
  view_t *view;
  view_t *base;
} membership_action_t;

GPtrArray *membership_actions_new (void);

membership_t *
membership_new (member_t *self, const membership_limits_t *limits, uint32_t seed, int64_t now_ms);
void membership_free (membership_t *membership);

void membership_step (membership_t *membership,
                      const membership_event_t *event,
                      int64_t now_ms,
                      GPtrArray *actions);

/* The newest view of DATA_CENTRE, or NULL; valid until the next step. */
view_t *membership_view (const membership_t *membership, const char *data_centre);

/* True if this process is in the newest view of its data centre. */
bool membership_is_member (const membership_t *membership);

/* True if another host of this data centre is connected and stays. */
bool membership_others_stay (const membership_t *membership);

/* Grants are allowed up to this boot time. */
int64_t membership_contact_until_ms (const membership_t *membership, int64_t now_ms);

/* True if this host has read the log's end lately. */
bool membership_log_is_fresh (const membership_t *membership, int64_t now_ms);

#endif
