/* view.h -- immutable views: the entry hosts that store the keys of a data centre
 *
 * A view is a numbered list of slots.  The name of a slot determines, by
 * rendezvous hashing, which keys it stores; its occupant is the host process
 * that stores them.  A host that joins through a record of the log gets a slot
 * named after itself.  A host that stops while the log is unavailable transfers
 * its slot to another host.  A transfer changes the occupant and increments the
 * epoch of the slot, but changes neither the number of the view nor which keys
 * any slot stores.  A view with given epochs is called a state.
 *
 * Views and members are immutable and reference-counted.  The reference counts
 * are not atomic, so all references must be used in one thread.  No I/O.
 */
#ifndef VIEW_VIEW_H
#define VIEW_VIEW_H

#include "wire/frame.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Maximum number of slots in a view: a set of slots must fit a 64-bit mask. */
#define VIEW_SLOTS_MAX 64
/* Number of slots that store each key. */
#define VIEW_REPLICAS_PER_KEY 3

/* One process of an entry host.  After a restart, the new process is a different member. */
typedef struct
{
  int32_t refs;
  uint64_t incarnation;
  char *id;
  char *address;
  char *data_centre;
} member_t;

typedef struct
{
  char *name;
  uint32_t epoch; /* number of transfers of the slot so far */
  member_t *occupant;
} slot_t;

typedef struct
{
  int32_t refs;
  int32_t count; /* of SLOTS */
  int64_t number;
  int64_t recorded_at_ms; /* platform's wall clock when the log record of this view was written */
  char *data_centre;
  slot_t slots[]; /* sorted by name */
} view_t;

/* Returns a new member with copies of the strings.  The caller owns its only reference. */
member_t *
member_new (const char *id, uint64_t incarnation, const char *address, const char *data_centre);
member_t *member_ref (member_t *member);
void member_unref (member_t *member); /* NULL is a no-op */

/* Returns true if A and B are the same process: same id and incarnation. */
bool member_equal (const member_t *a, const member_t *b);

void member_put (frame_writer_t *writer, const member_t *member);
/* Returns a new reference, or NULL if the frame is malformed. */
member_t *member_get (frame_reader_t *reader);

/* Returns a new view with one slot per element of MEMBERS (member_t pointers with
 * distinct ids), named after the member's id.  Members after the first
 * VIEW_SLOTS_MAX are ignored. */
view_t *
view_new (const char *data_centre, int64_t number, int64_t change_at_ms, const GPtrArray *members);
view_t *view_ref (view_t *view);
void view_unref (view_t *view); /* NULL is a no-op */

/* Returns a new copy of VIEW in which the slot at index SLOT has OCCUPANT and EPOCH. */
view_t *view_with_occupant (const view_t *view, int32_t slot, member_t *occupant, uint32_t epoch);

/* Returns the index of the slot that MEMBER occupies, or -1.  Another incarnation of
 * the same host does not match. */
int32_t view_slot_of_member (const view_t *view, const member_t *member);
/* Returns the index of the slot with NAME, or -1. */
int32_t view_slot_named (const view_t *view, const char *name);
/* Returns the index of the slot whose occupant has the host id ID, in any
 * incarnation, or -1. */
int32_t view_slot_of_host (const view_t *view, const char *id);

/* Writes the indexes of the slots that store KEY to SLOTS, in descending order of
 * rendezvous weight.  Returns how many there are: the smaller of VIEW_REPLICAS_PER_KEY
 * and the number of slots. */
int32_t view_replicas (const view_t *view, const char *key, int32_t slots[VIEW_REPLICAS_PER_KEY]);

/* Returns the smallest number that is a majority of COUNT. */
int32_t view_majority (int32_t count);

/* Orders two states of the same data centre by number, then by the sum of the slot
 * epochs.  Returns a negative value if A is older than B, 0 if they are equal, a
 * positive value otherwise. */
int view_compare (const view_t *a, const view_t *b);

/* Merges two states of the same view: takes each slot from the state in which its
 * epoch is higher.  If the numbers or the slot counts differ, the result is the state
 * with the higher number, or A if the numbers are equal.  Returns a new reference, to A itself if B
 * adds nothing. */
view_t *view_merge (view_t *a, view_t *b);

/* Returns a hash of the number and of all slot epochs. */
uint64_t view_version (const view_t *view);

void view_put (frame_writer_t *writer, const view_t *view);
/* Returns a new reference, or NULL if the frame is malformed. */
view_t *view_get (frame_reader_t *reader);

#endif
