/* share_internal.h -- the state behind share.h, for the files of this library
 *
 *   share.c       events, and which messages are due
 *   share_link.c  numbering and leases of the messages between two hosts
 *   share_hold.c  the holder: its share of a limit, and whose grants it takes
 *   share_book.c  the allotter: what each holder of a limit is charged with
 *   share_allot.c the allotter: when it may allot, and how much to whom
 *   share_loan.c  the allotter: units of other data centres
 */
#ifndef SHARE_INTERNAL_H
#define SHARE_INTERNAL_H

#include "share/share.h"
#include "share/share_use.h"

/* Sending times are kept for this many numbers; an older confirmation extends
 * no lease. */
#define SHARE_SENT_KEPT 64
/* Incarnations that were replaced and are not listened to. */
#define SHARE_RETIRED_KEPT 8

/* One direction of the messages between two hosts. */
typedef struct
{
  uint64_t number; /* last sent */
  uint64_t confirmed;
  uint64_t seen; /* last received */
  int64_t sent_at_ms[SHARE_SENT_KEPT];
  int64_t last_sent_ms; /* 0: nothing sent yet */
  bool urgent;
  int64_t urgent_ms; /* when all urgent messages so far have been paid for */
  bool due;          /* an answer is owed */
} share_stream_t;

typedef struct limit_t limit_t;

/* Another host, or this host itself. */
typedef struct
{
  char *host;
  char *data_centre;
  bool remote; /* in another data centre */
  bool self;
  uint64_t incarnation; /* 0 before its first message */
  uint64_t retired[SHARE_RETIRED_KEPT];
  unsigned retired_next;
  int64_t heard_ms;
  int64_t granted_ms;    /* last grant from it */
  int64_t unanswered_ms; /* first report since the last answer; 0 if none */
  bool suspect;
  int64_t suspect_ms;
  share_stream_t up;   /* reports to it, grants from it */
  share_stream_t down; /* grants to it, reports from it */
  int64_t view;        /* of its last report */
  bool steady;         /* what its last report says of departures */
  bool departed;
  bool leaving;
  int64_t vote_until_ms;
  GHashTable *gone; /* limit name to number of the first report that says so */
} link_t;

/* What the last report said of a limit. */
typedef struct
{
  share_report_entry_t sent; /* name unused */
  uint64_t number;
  bool changed;
} report_state_t;

/* This host as the holder of a share of a limit. */
typedef struct
{
  share_use_t use;
  int64_t wanted;
  int64_t use_wanted_ms;
  int64_t units;
  int64_t lease_until_ms;
  int64_t use_ms;
  int64_t told_ms;
  link_t *allotter;  /* host whose grants count */
  bool voted;        /* it has been sent a report since */
  bool answered;     /* it has answered since it was chosen */
  bool granted;      /* it has granted since it was chosen */
  bool active;       /* it allots, by its last grant */
  int64_t vote_ms;   /* no report to it before */
  int64_t active_ms; /* last time it was active, or was chosen */
  report_state_t report;
} hold_t;

/* A holder in the allotter's book. */
typedef struct
{
  link_t *link;
  limit_t *limit;
  int64_t units;       /* granted now */
  uint64_t set_number; /* the grant that first carried them; UINT64_MAX if not sent */
  int64_t prior;       /* granted before and not known to be replaced */
  int64_t prior_until_ms;
  int64_t in_use;
  int64_t in_use_until_ms;
  int64_t known; /* held or in use when it was heard of, for a new allotter */
  int64_t known_until_ms;
  int64_t lent;
  int64_t wanted;
  int64_t use_wanted_ms;
  int64_t told_ms;
  int64_t target;
  bool votes;
  bool counted; /* in the unknown units of this activation */
  bool changed;
  uint64_t sent_number;
} entry_t;

/* Units that a holder may still use that has been replaced or forgotten. */
typedef struct
{
  int64_t units;
  int64_t until_ms;
} orphan_t;

/* Units of another data centre's part. */
typedef struct
{
  char *data_centre;
  link_t *lender;
  int64_t units;
  int64_t lease_until_ms;
  int64_t use_ms;
  bool active;
  int64_t active_ms;
  int64_t in_use; /* charged to this loan */
  report_state_t report;
} loan_t;

/* This host as an allotter of a limit. */
typedef struct
{
  GPtrArray *entries; /* of entry_t */
  GArray *orphans;    /* of orphan_t */
  GPtrArray *loans;   /* of loan_t */
  bool active;
  int64_t active_until_ms; /* a majority follows at least until then */
  int64_t unknown;         /* granted by an earlier allotter to nobody knows whom */
  int64_t unknown_until_ms;
  int64_t use_ms;
  int64_t told_ms;
  int64_t told_at_ms;
  int64_t pool; /* at the last allotment */
  int64_t turn;
  int64_t spread_ms; /* last time idle units were spread */
  bool is_short;     /* a holder wants more than it has */
  bool dirty;        /* to be allotted again */
  bool listed;       /* in `booked` of the host */
} book_t;

struct limit_t
{
  char *name;
  int64_t units;
  int64_t part; /* of this data centre */
  bool starts;
  bool local; /* over this data centre alone */
  bool removed;
  hold_t hold;
  book_t book;
};

struct share_t
{
  char *host;
  char *data_centre;
  uint64_t incarnation;
  GPtrArray *data_centres;
  share_rules_t rules;
  GPtrArray *limits; /* of limit_t */
  GPtrArray *booked; /* those of `limits` with an entry in their book */
  GHashTable *by_name;
  GPtrArray *links; /* of link_t */
  GHashTable *by_host;
  link_t *self;
  int64_t view; /* identifies number and members; 0 before the first */
  int64_t view_number;
  int64_t view_ms;
  GPtrArray *members;
  GPtrArray *last_members; /* of the view before; NULL if not known */
  int64_t born_ms;         /* first event */
  bool has_joined;         /* a view has followed the first that was seen */
  bool departures_known;   /* every view since the first was seen */
  int64_t first_view_ms;
  int64_t departed_ms; /* last time a member left or was replaced; 0: never */
  int64_t tick_ms;     /* last one */
  bool grown;
  bool leaving; /* this host stops */
};

/* share.c */
/* True if a host that is no member any more may hold units, as far as this host
 * knows. */
bool share_saw_departure (const share_t *share, int64_t now_ms);

/* share_link.c */
link_t *link_get (share_t *share, const char *host, const char *data_centre);
void link_free (void *link);
/* Adds the allowance for clock rates to a duration. */
int64_t with_margin (int64_t duration_ms);
int64_t link_lease_ms (const link_t *link);
/* Takes in the numbers of a message's header.  Returns false if the message is
 * to be dropped. */
bool link_receive (share_t *share,
                   link_t *link,
                   share_stream_t *stream,
                   const share_header_t *header,
                   int64_t now_ms);
/* Numbers a message that is sent now. */
void link_send (share_t *share,
                link_t *link,
                share_stream_t *stream,
                share_message_t *message,
                int64_t now_ms);
/* When the confirmed message was sent; 0 if that is not known. */
int64_t stream_confirmed_ms (const share_stream_t *stream);
bool link_is_reachable (const link_t *link);
/* True if an urgent message may go out now. */
bool stream_may_hurry (const share_stream_t *stream, int64_t now_ms);
bool stream_is_due (const share_stream_t *stream, int64_t now_ms, int64_t pause_ms);

/* share_hold.c */
/* The shortest bound on a use that any allotter sets. */
int64_t least_use_ms (const limit_t *limit);
void hold_init (share_t *share, limit_t *limit);
void hold_clear (hold_t *hold);
void hold_choose (share_t *share, limit_t *limit, bool afresh, int64_t now_ms);
int64_t hold_held (const share_t *share, const hold_t *hold, int64_t now_ms);
bool hold_report (share_t *share,
                  limit_t *limit,
                  link_t *link,
                  share_message_t *message,
                  int64_t now_ms);
/* The allotter LINK was replaced: its successor has granted nothing. */
void hold_forget_grants (limit_t *limit, const link_t *link);
void hold_receive (share_t *share, link_t *link, const share_header_t *header, int64_t now_ms);
/* Appends ENTRY to MESSAGE if it differs from what STATE says was confirmed. */
bool report_put (report_state_t *state,
                 const char *name,
                 const share_report_entry_t *entry,
                 const share_stream_t *stream,
                 share_message_t *message);

/* Tells an allotter that this host has turned to another one. */
bool report_gone (limit_t *limit, link_t *link, share_message_t *message);

/* share_book.c */
void book_init (limit_t *limit);
void book_clear (book_t *book);
/* The entry of LINK's host, made on first use. */
entry_t *book_entry (share_t *share, limit_t *limit, link_t *link);
int64_t entry_charge (const share_t *share, const entry_t *entry, int64_t now_ms);
/* Units that are granted or may be in use, of all holders. */
int64_t book_charge (const share_t *share, limit_t *limit, int64_t now_ms);
/* The part of book_charge () that no member of the view holds. */
int64_t book_lent (const share_t *share, limit_t *limit, int64_t now_ms);
void entry_set_units (const share_t *share, entry_t *entry, int64_t units, int64_t now_ms);
/* The link's host has a new incarnation. */
void book_orphan (share_t *share, limit_t *limit, link_t *link, int64_t now_ms);
void book_receive (share_t *share, link_t *link, const share_header_t *header, int64_t now_ms);
bool
book_grant (share_t *share, limit_t *limit, link_t *link, share_message_t *message, int64_t now_ms);
/* Grants to LINK have lapsed. */
void book_lapse (share_t *share, limit_t *limit, link_t *link, int64_t now_ms);

/* share_allot.c */
void allot_check_active (share_t *share, limit_t *limit, int64_t now_ms);
/* The part of this data centre was PART before. */
void allot_note_part (const share_t *share, limit_t *limit, int64_t part, int64_t now_ms);
/* Divides the pool anew if anything has changed. */
void allot_run (share_t *share, limit_t *limit, int64_t now_ms);

/* share_loan.c */
void loan_free (void *loan);
int64_t loan_part (const share_t *share, const limit_t *limit, const char *data_centre);
int64_t loan_usable (const limit_t *limit, int64_t now_ms);
/* Chooses lenders and says which of them are owed a report. */
void loan_tick (share_t *share, limit_t *limit, int64_t now_ms);
bool loan_report (share_t *share,
                  limit_t *limit,
                  link_t *link,
                  share_message_t *message,
                  int64_t now_ms);
void loan_receive (share_t *share, link_t *link, const share_header_t *header, int64_t now_ms);
void loan_forget_grants (limit_t *limit, const link_t *link);
/* True while reports on a loan from LINK are to be sent. */
bool loan_is_open (const limit_t *limit, const link_t *link, int64_t now_ms);

#endif
