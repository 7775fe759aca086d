/* part_view.h -- membership of this data centre, and the views of the others
 *
 * A view is a numbered list of the member hosts of a data centre; see view/view.h.
 * Control thread only.
 */
#ifndef DAEMON_PART_VIEW_H
#define DAEMON_PART_VIEW_H

#include "daemon/part.h"
#include "view/view.h"

/* CONFIG is the configuration part, through which the log stream "views" is read and
 * written. */
part_t *part_view_new (daemon_t *daemon, part_t *config);

/* The sorted ids of the members in the current view of this data centre, and of this
 * host.  The part owns the array and the strings, which are valid until the next tick. */
GPtrArray *part_view_members (part_t *part);

/* The number of the current view of this data centre; 0 before the first. */
int64_t part_view_number (part_t *part);

/* The newest known view of DATA_CENTRE, or NULL.  It is valid until the control
 * thread's next event. */
view_t *part_view_newest (part_t *part, const char *data_centre);

/* This process as a member, owned by the part. */
member_t *part_view_self (part_t *part);

/* True if this process is a member of the current view of its data centre. */
bool part_view_is_member (part_t *part);

/* The boot time until which the claim replica of this host may grant keys. */
int64_t part_view_contact_until_ms (part_t *part, int64_t now_ms);

/* Callbacks of the claim part; each may be NULL. */
typedef struct
{
  /* VIEW is the new view of this data centre.  BASE is its predecessor, or NULL if unknown. */
  void (*view_changed) (view_t *view, view_t *base, void *data);
  /* This host leaves while the log is unavailable: offer its slot to SUCCESSOR. */
  void (*offer_slot) (const char *successor, void *data);
  void *data;
} part_view_listener_t;
void part_view_set_listener (part_t *part, const part_view_listener_t *listener);

/* Announces VIEW of this data centre, in which a slot was transferred, to all hosts. */
void part_view_announce_slot_transfer (part_t *part, view_t *view);

/* True if another host of this data centre is connected and is not leaving. */
bool part_view_has_remaining_peer (part_t *part);

#endif
