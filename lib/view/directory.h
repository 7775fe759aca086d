/* directory.h -- the views of all data centres, folded from the log and from peers
 *
 * The log's stream of views is the only agreement: the first record on a base
 * view wins, at every reader.  A peer's newer state is taken as it is, since
 * the peer has folded the same stream.  Pure; one thread.
 */
#ifndef VIEW_DIRECTORY_H
#define VIEW_DIRECTORY_H

#include "view/view.h"

/* Bounds the past views of a data centre that are kept for hosts that lag. */
#define DIRECTORY_HISTORY 8
/* Bounds records that wait for the state that they build on. */
#define DIRECTORY_PENDING_MAX 256

typedef struct directory_t directory_t;

typedef enum
{
  VIEW_RECORD_CHANGE = FRAME_VIEW_LAST - 1, /* the members that follow a base view */
  VIEW_RECORD_CHECKPOINT = FRAME_VIEW_LAST  /* the state itself, for late readers */
} view_record_kind_t;

/* A record of the stream. */
typedef struct
{
  view_record_kind_t kind;
  char *data_centre;
  int64_t base;       /* CHANGE: number of the view that this one replaces */
  GPtrArray *members; /* CHANGE: member_t */
  view_t *view;       /* CHECKPOINT */
} view_record_t;

GBytes *view_record_change (const char *data_centre, int64_t base, const GPtrArray *members);
GBytes *view_record_checkpoint (const view_t *view);
/* NULL if the bytes are no record. */
view_record_t *view_record_decode (const void *data, size_t size);
void view_record_free (view_record_t *record);

/* Runs when the state of a data centre has changed: VIEW is the newest, BASE
 * the one before it if known. */
typedef void (*directory_changed_t) (view_t *view, view_t *base, void *data);

directory_t *directory_new (directory_changed_t changed, void *data);
void directory_free (directory_t *directory);

/* Takes the record at OFFSET in, written at AT_MS (wall clock of the platform).
 * Returns 0 or ERROR_PROTOCOL. */
int directory_record (directory_t *directory,
                      int64_t offset,
                      int64_t at_ms,
                      const void *data,
                      size_t size);

/* The end of the stream was reached: if there was no record, none is missing. */
void directory_caught_up (directory_t *directory);

/* Takes a state in that a peer knows. */
void directory_learn (directory_t *directory, view_t *view);

/* The newest view of DATA_CENTRE, or NULL; valid until it changes. */
view_t *directory_view (const directory_t *directory, const char *data_centre);

/* The view of DATA_CENTRE with NUMBER, or NULL. */
view_t *directory_past (const directory_t *directory, const char *data_centre, int64_t number);

/* Calls EACH for the newest view of every data centre. */
void
directory_each (const directory_t *directory, void (*each) (view_t *view, void *data), void *data);

/* Two directories with equal states have the same digest. */
uint64_t directory_digest (const directory_t *directory);

#endif
