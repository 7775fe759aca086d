/* view.h -- an immutable view: the entry hosts that remember a data centre's keys
 *
 * A view is made of seats.  A seat's name decides by rendezvous hashing which
 * keys it remembers; its occupant is the host process that does so.  A host
 * that enters by a record of the log occupies a seat of its own name.  A host
 * that stops while the log is down passes its seat on, which changes the
 * occupant and the epoch of the seat, but not the view's number or the keys of
 * any seat.
 *
 * Views and members are reference-counted and never change, so they may be
 * shared; the counts are not atomic: one thread only.  Pure.
 */
#ifndef VIEW_VIEW_H
#define VIEW_VIEW_H

#include "wire/frame.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Bounds the seats of a view, so that a set of seats fits a 64-bit mask. */
#define VIEW_SEATS_MAX 64
/* Seats that remember one key. */
#define VIEW_REPLICAS 3

/* One process of an entry host.  A restarted process is another member. */
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
  uint32_t epoch; /* how often the seat was passed on */
  member_t *occupant;
} seat_t;

typedef struct
{
  int32_t refs;
  int32_t count; /* seats, sorted by name */
  int64_t number;
  int64_t change_at_ms; /* wall clock of the platform when the record was written */
  char *data_centre;
  seat_t seats[];
} view_t;

/* Makes a member with copies of the strings and one reference. */
member_t *
member_new (const char *id, uint64_t incarnation, const char *address, const char *data_centre);
member_t *member_ref (member_t *member);
void member_unref (member_t *member); /* NULL is a no-op */

/* True for the same process. */
bool member_equal (const member_t *a, const member_t *b);

void member_put (frame_writer_t *writer, const member_t *member);
/* Returns a new reference, or NULL if the frame is malformed. */
member_t *member_get (frame_reader_t *reader);

/* Makes a view whose seats are named after MEMBERS (member_t pointers; ids must
 * differ, at most VIEW_SEATS_MAX; the rest is left out). */
view_t *
view_new (const char *data_centre, int64_t number, int64_t change_at_ms, const GPtrArray *members);
view_t *view_ref (view_t *view);
void view_unref (view_t *view); /* NULL is a no-op */

/* A copy in which SEAT has OCCUPANT and the epoch EPOCH. */
view_t *view_with_occupant (const view_t *view, int32_t seat, member_t *occupant, uint32_t epoch);

/* The seat that MEMBER (this very process) occupies, or -1. */
int32_t view_seat_of (const view_t *view, const member_t *member);
/* The seat called NAME, or -1. */
int32_t view_seat_named (const view_t *view, const char *name);
/* The seat whose occupant has the host id ID, or -1. */
int32_t view_seat_of_host (const view_t *view, const char *id);

/* The seats that remember KEY, by falling rendezvous weight: min (3, count). */
int32_t view_replicas (const view_t *view, const char *key, int32_t seats[VIEW_REPLICAS]);

/* How many of COUNT form a majority. */
int32_t view_majority (int32_t count);

/* Of two states of the same data centre: higher number first, then the sum of
 * the epochs.  Negative if A is older than B. */
int view_compare (const view_t *a, const view_t *b);

/* The union of the seat epochs of two states of one view number: each seat as
 * in the state with the higher epoch.  Returns a new reference. */
view_t *view_merge (view_t *a, view_t *b);

/* Changes with every change of the number or of an epoch. */
uint64_t view_version (const view_t *view);

void view_put (frame_writer_t *writer, const view_t *view);
/* Returns a new reference, or NULL if the frame is malformed. */
view_t *view_get (frame_reader_t *reader);

#endif
