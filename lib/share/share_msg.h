/* share_msg.h -- the two messages of lib/share, and their frames
 *
 * A holder sends reports to the hosts that allot its limits; these answer with
 * grants.  Each direction of a pair is numbered for each incarnation of the
 * sender.  A message lists the entries that have changed since the last number
 * that the other side confirmed, so a lost message costs nothing but time.
 *
 * Pure.  Entries own their names.
 */
#ifndef SHARE_MSG_H
#define SHARE_MSG_H

#include "wire/frame.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SHARE_FRAME_REPORT 70
#define SHARE_FRAME_GRANT 71

/* Bounds what a message can make this host allocate. */
#define SHARE_ENTRIES_MAX 65536

typedef struct
{
  char *name;         /* of the limit */
  int64_t in_use;     /* units */
  int64_t ends_in_ms; /* the last of them ends within this time */
  int64_t wanted;     /* units that could be used now, those in use included */
  int64_t held;       /* units granted last, by any allotter */
  int64_t held_ms;    /* that allotter cannot give them to others for this time */
  int64_t use_ms;     /* longest use of a unit that is wanted */
  int64_t told_ms;    /* longest use that an allotter has announced */
  int64_t lent;       /* units that this host has allotted to hosts outside of the view */
  bool fresh;         /* no grant has come since it turned to this allotter */
  bool gone;          /* this holder has turned to another allotter */
} share_report_entry_t;

typedef struct
{
  uint64_t incarnation;    /* of the sender */
  uint64_t to_incarnation; /* of the receiver as known, or 0 */
  uint64_t number;
  uint64_t confirmed; /* last number received */
  int64_t view;       /* identifies it; 0 from a host of another data centre */
  bool steady;        /* sender knows that nobody left its view for the longest use */
  bool leaving;       /* the sender stops: it wants no idle units */
  bool departed;      /* sender knows that somebody left */
  GArray *entries;    /* share_report_entry_t, or share_grant_entry_t */
} share_header_t;

typedef struct
{
  char *name;
  int64_t units;
  int64_t use_ms;  /* a unit is taken only for a use of at most this length */
  int64_t told_ms; /* announced: will be allowed once a majority knows of it */
  bool active;     /* false: not allotted here now, the share is not renewed */
} share_grant_entry_t;

typedef struct
{
  int type; /* SHARE_FRAME_REPORT or SHARE_FRAME_GRANT */
  share_header_t header;
} share_message_t;

/* A new message without entries; free with share_message_free (). */
share_message_t *share_message_new (int type);
void share_message_free (share_message_t *message);

/* Encodes MESSAGE; the caller owns the frame. */
GBytes *share_message_encode (const share_message_t *message);

/* Decodes the frame of READER.  Returns ERROR_PROTOCOL if it is not valid. */
int share_message_decode (frame_reader_t *reader, share_message_t **message);

#endif
