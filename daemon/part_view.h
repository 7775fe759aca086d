/* part_view.h -- the view of this host's data centre, and the hosts of others
 *
 * Control thread only.
 */
#ifndef DAEMON_PART_VIEW_H
#define DAEMON_PART_VIEW_H

#include "daemon/part.h"
#include "view/view.h"

/* CONFIG is the configuration part, which carries the "views" stream. */
part_t *part_view_new (daemon_t *daemon, part_t *config);

/* Ids of the live members of this data centre, sorted, this host included.
 * Pointers belong to the part and are valid until the next tick. */
GPtrArray *part_view_members (part_t *part);

/* Number of the view in force; 0 before the first. */
int64_t part_view_number (part_t *part);

/* The newest view of DATA_CENTRE that is known, or NULL; valid until the
 * control thread's next event. */
view_t *part_view_newest (part_t *part, const char *data_centre);

/* This process as a member; belongs to the part. */
member_t *part_view_self (part_t *part);

/* True if this process is in the view in force of its data centre. */
bool part_view_is_member (part_t *part);

/* A replica of this host may grant up to this boot time. */
int64_t part_view_contact_until_ms (part_t *part, int64_t now_ms);

/* What the claim part does for this part. */
typedef struct
{
  /* VIEW of this data centre is in force; BASE came before it, if known. */
  void (*view_changed) (view_t *view, view_t *base, void *data);
  /* The log is down: offer this host's seat to SUCCESSOR. */
  void (*offer_seat) (const char *successor, void *data);
  void *data;
} part_view_listener_t;
void part_view_set_listener (part_t *part, const part_view_listener_t *listener);

/* A seat of this data centre's view was passed on: tells everybody. */
void part_view_announce_seat_transfer (part_t *part, view_t *view);

/* True if another host of this data centre is connected and stays. */
bool part_view_has_remaining_peer (part_t *part);

#endif
