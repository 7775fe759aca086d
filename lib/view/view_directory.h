/* view_directory.h -- the current views of all data centres
 *
 * The directory is computed from the log's stream of view records and from states
 * received from peers.  The log alone decides the sequence of views: of the change
 * records with the same base view, the first one in the log takes effect, at every
 * reader.  A newer state from a peer is accepted without a check, because the peer
 * has computed it from the same stream.
 *
 * No I/O.  One thread.
 */
#ifndef VIEW_VIEW_DIRECTORY_H
#define VIEW_VIEW_DIRECTORY_H

#include "view/view.h"

/* Maximum number of views kept per data centre.  The older ones are for hosts that
 * have not yet learned the newest view. */
#define VIEW_DIRECTORY_HISTORY_MAX 8
/* Maximum number of change records that wait until their base view is known.  Beyond
 * it, the oldest one is discarded. */
#define VIEW_DIRECTORY_PENDING_MAX 256

typedef struct view_directory_t view_directory_t;

typedef enum
{
  VIEW_RECORD_CHANGE = FRAME_VIEW_LAST - 1, /* replaces the members of a base view */
  VIEW_RECORD_CHECKPOINT = FRAME_VIEW_LAST  /* a whole state, if earlier records are missing */
} view_record_kind_t;

/* A decoded record of the stream.  Owns its fields. */
typedef struct
{
  view_record_kind_t kind;
  char *data_centre;
  int64_t base_number; /* CHANGE: number of the view that is replaced; 0 for none */
  GPtrArray *members;  /* CHANGE: member_t */
  view_t *view;        /* CHECKPOINT */
} view_record_t;

/* Encode a record, which the caller owns.  BASE_NUMBER is 0 for the first view. */
GBytes *view_record_change (const char *data_centre, int64_t base_number, const GPtrArray *members);
GBytes *view_record_checkpoint (const view_t *view);
/* Returns a record that the caller frees, or NULL if DATA is not a valid record. */
view_record_t *view_record_decode (const void *data, size_t size);
/* Frees RECORD, which must not be NULL, and all that it owns. */
void view_record_free (view_record_t *record);

/* Called when the state of a data centre has changed.  VIEW is its newest view, BASE
 * the view with the number before it, or NULL if that is not known. */
typedef void (*view_directory_changed_t) (view_t *view, view_t *base, void *data);

/* Returns an empty directory that calls CHANGED with DATA.  The caller frees it. */
view_directory_t *view_directory_new (view_directory_changed_t changed, void *data);
void view_directory_free (view_directory_t *directory);

/* Applies the record at OFFSET of the stream, written at RECORDED_AT_MS by the
 * platform's wall clock.  Records must arrive in the order of the log.  Returns 0, or
 * ERROR_PROTOCOL if the record is malformed. */
int view_directory_apply_record (view_directory_t *directory,
                                 int64_t offset,
                                 int64_t recorded_at_ms,
                                 const void *data,
                                 size_t size);

/* Reports that the end of the stream was read.  If there was no record up to then, the
 * stream is known to be empty, so that a first view may be applied. */
void view_directory_stream_end (view_directory_t *directory);

/* Merges VIEW, a state from a checkpoint or a peer, into the directory. */
void view_directory_merge (view_directory_t *directory, view_t *view);

/* Returns the newest view of DATA_CENTRE, or NULL.  The directory owns it: it is valid
 * until the next call that may change the directory. */
view_t *view_directory_newest (const view_directory_t *directory, const char *data_centre);

/* Returns the view of DATA_CENTRE with NUMBER, or NULL if it is not kept.  Ownership as
 * above. */
view_t *
view_directory_find (const view_directory_t *directory, const char *data_centre, int64_t number);

/* Calls EACH with the newest view of every data centre, in no particular order. */
void view_directory_foreach (const view_directory_t *directory,
                             void (*each) (view_t *view, void *data),
                             void *data);

/* Returns a hash of the newest states.  Directories with equal states have equal
 * digests. */
uint64_t view_directory_digest (const view_directory_t *directory);

#endif
