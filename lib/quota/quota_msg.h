/* quota_msg.h -- reports and grants, and their encoding as frames
 *
 * A holder sends reports to its allocators, and each allocator answers with
 * grants.  The messages of each type from one host to another are numbered,
 * beginning anew with each incarnation of the sender.  A message lists the
 * entries that have changed since the last message that the receiver has
 * acknowledged, so a lost message only delays the change.
 *
 * No I/O and no state.  Entries own their names.  Times are durations in
 * milliseconds, since clocks of hosts differ.
 */
#ifndef QUOTA_MSG_H
#define QUOTA_MSG_H

#include "wire/frame.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define QUOTA_FRAME_REPORT 70
#define QUOTA_FRAME_GRANT 71

/* Most entries in a message; bounds the memory that decoding allocates. */
#define QUOTA_ENTRIES_MAX 65536

/* State of one limit at the holder. */
typedef struct
{
  char *name;               /* of the limit */
  int64_t in_use;           /* units in use */
  int64_t last_end_in_ms;   /* all units in use end within this time */
  int64_t demand;           /* units that could be used now, including those in use */
  int64_t held;             /* units granted last, by any allocator */
  int64_t held_for_ms;      /* that allocator cannot grant them to others for this time */
  int64_t needed_use_ms;    /* longest time for which tasks need a unit */
  int64_t announced_use_ms; /* largest bound that an allocator has announced */
  int64_t granted_outside;  /* units that the sender, as allocator, has granted to hosts that are
                               not members of its view */
  bool awaiting_grant;      /* no grant has come since the holder chose this allocator */
  bool withdrawn;           /* the holder has chosen another allocator */
} quota_report_entry_t;

typedef struct
{
  uint64_t incarnation;    /* of the sender */
  uint64_t to_incarnation; /* of the receiver as known to the sender; 0 if unknown */
  uint64_t sequence;       /* number of this message */
  uint64_t acked_sequence; /* last number received from the other host */
  int64_t view_id;         /* hash of number and members; 0 in reports to other data centres */
  bool no_departures;      /* the sender knows that no host that has left its view can still have
                              units in use */
  bool leaving;            /* the sender stops and wants no idle units */
  bool saw_departure;      /* the sender knows of a host that left its view recently */
  GArray *entries;         /* quota_report_entry_t or quota_grant_entry_t */
} quota_header_t;

/* Share of one limit for the receiver. */
typedef struct
{
  char *name;               /* of the limit */
  int64_t units;            /* size of the share */
  int64_t max_use_ms;       /* a unit may be acquired only for a use of at most this length */
  int64_t announced_use_ms; /* becomes max_use_ms once a majority has confirmed it */
  bool active;              /* false: the sender is not the active allocator and renews no lease */
} quota_grant_entry_t;

typedef struct
{
  int type; /* QUOTA_FRAME_REPORT or QUOTA_FRAME_GRANT */
  quota_header_t header;
} quota_message_t;

/* Creates a message of TYPE without entries; free it with quota_message_free (). */
quota_message_t *quota_message_new (int type);
void quota_message_free (quota_message_t *message);

/* Encodes MESSAGE as a frame, which the caller owns. */
GBytes *quota_message_encode (const quota_message_t *message);

/* Decodes the frame of READER.  Returns 0 and a message that the caller owns, or
 * ERROR_PROTOCOL if the frame is not valid. */
int quota_message_decode (frame_reader_t *reader, quota_message_t **message);

#endif
