/* quota_internal.h -- internal state of lib/quota
 *
 *   quota.c           handles events and sends the messages that are due
 *   quota_peer.c      message numbers and reachability of other hosts
 *   quota_holder.c    holder: the share of this host, and the choice of allocator
 *   quota_account.c   allocator: the units that each holder is charged with
 *   quota_allocate.c  allocator: activation, and the division of units
 *   quota_loan.c      allocator: units borrowed from other data centres
 *
 * Times that end in _ms are on the boot clock of this host; those that end in
 * _use_ms are durations.
 */
#ifndef QUOTA_INTERNAL_H
#define QUOTA_INTERNAL_H

#include "quota/quota.h"
#include "quota/quota_use.h"

/* Sending times are kept for this many messages; the acknowledgement of an older
 * message extends no lease. */
#define QUOTA_SENT_TIMES_KEPT 64
/* Number of replaced incarnations whose late messages are recognised. */
#define QUOTA_RETIRED_KEPT 8

/* The messages between this host in one role and another host: those sent, and
 * the answers received. */
typedef struct
{
  uint64_t sent_sequence;                    /* number of the last message sent */
  uint64_t acked_sequence;                   /* last number that the other host has acknowledged */
  uint64_t received_sequence;                /* number of the last message received */
  int64_t sent_at_ms[QUOTA_SENT_TIMES_KEPT]; /* by number modulo QUOTA_SENT_TIMES_KEPT */
  int64_t last_sent_ms;                      /* 0: nothing sent yet */
  bool urgent;                               /* the next message is to be sent at once */
  int64_t urgent_tat_ms; /* rate limit of urgent messages: theoretical arrival time (GCRA) */
  bool reply_due;        /* a message has come that is to be answered */
} quota_stream_t;

typedef struct limit_t limit_t;

/* Another host, or this host itself. */
typedef struct
{
  char *host;
  char *data_centre;
  bool is_remote;                                    /* in another data centre */
  bool is_self;                                      /* this host */
  uint64_t incarnation;                              /* 0 before its first message */
  uint64_t retired_incarnations[QUOTA_RETIRED_KEPT]; /* ring buffer */
  unsigned retired_count;                            /* incarnations stored in it so far */
  int64_t last_heard_ms;                             /* last message of this incarnation */
  int64_t last_grant_ms;                             /* last grant from it */
  int64_t unanswered_since_ms; /* first report sent since its last grant; 0: none */
  bool is_suspected;           /* does not answer, or is reported as unreachable */
  int64_t suspected_at_ms;
  quota_stream_t as_holder;    /* this host is the holder: sends reports, receives grants */
  quota_stream_t as_allocator; /* this host is the allocator: sends grants, receives reports */
  int64_t view_id;             /* this and the next three by its last report */
  bool no_departures;
  bool saw_departure;
  bool leaving;
  int64_t vote_until_ms; /* it votes for no other allocator before this time */
  /* Limits for which this host has left it as allocator: name to the number of
   * the first report that says so, 0 if none was sent yet. */
  GHashTable *withdrawals;
} quota_peer_t;

/* What the last report said of a limit. */
typedef struct
{
  quota_report_entry_t last_sent; /* name unused */
  uint64_t sequence;              /* of the report; 0: none since the allocator was chosen */
  bool changed;                   /* to be sent again */
} report_state_t;

/* This host as the holder of a share of a limit. */
typedef struct
{
  quota_use_t in_use;
  int64_t demand;           /* units that this host could use now */
  int64_t needed_use_ms;    /* longest use that was asked for */
  int64_t granted_units;    /* size of the share */
  int64_t lease_until_ms;   /* the share is valid before this time */
  int64_t max_use_ms;       /* longest use that the allocator allows */
  int64_t announced_use_ms; /* largest bound that an allocator has announced */
  quota_peer_t *allocator;  /* host whose grants are applied; NULL: none yet */
  bool has_voted;           /* a report was sent to it since it was chosen */
  bool has_answered;        /* it has answered since it was chosen */
  bool has_granted;         /* it has granted since it was chosen */
  bool allocator_active;    /* it was active at its last answer */
  int64_t vote_from_ms;     /* no report is sent to it before this time */
  int64_t last_active_ms;   /* last time it was active, or was chosen */
  report_state_t report;
} holder_t;

/* A holder of a limit as seen by the allocator. */
typedef struct
{
  quota_peer_t *peer;
  limit_t *limit;
  int64_t granted_units;     /* size of its share now */
  uint64_t granted_sequence; /* first grant with that size; UINT64_MAX: not sent yet */
  int64_t prior_units;       /* largest earlier share that may still be in use */
  int64_t prior_until_ms;    /* end of the time for which prior_units are charged */
  int64_t in_use;            /* units in use, by its last report */
  int64_t in_use_until_ms;   /* end of the time for which in_use is charged */
  /* What it held or used when it chose this host, until the former allocator may
   * have granted the units to others. */
  int64_t reported_units;
  int64_t reported_until_ms;
  int64_t granted_outside; /* these four as in quota_report_entry_t */
  int64_t demand;
  int64_t needed_use_ms;
  int64_t announced_use_ms;
  int64_t target_units;         /* share that the last division gives it */
  bool is_voter;                /* it has chosen this host as its allocator */
  bool reported_deducted;       /* reported_units is no part of unknown_units of this activation */
  bool grant_changed;           /* a grant is to be sent */
  uint64_t last_grant_sequence; /* last grant that was sent; 0: none */
} account_t;

/* Units that the process of a holder may still use although it was replaced. */
typedef struct
{
  int64_t units;
  int64_t until_ms;
} orphan_t;

/* Units borrowed from the part of another data centre. */
typedef struct
{
  char *data_centre;
  quota_peer_t *lender; /* allocator there; NULL: none yet */
  int64_t units;
  int64_t lease_until_ms;
  int64_t max_use_ms;     /* longest use that the lender allows */
  bool lender_active;     /* the lender was active at its last answer */
  int64_t last_active_ms; /* last time the lender was active, or was chosen */
  int64_t in_use;         /* charged to this loan */
  report_state_t report;
} loan_t;

/* This host as an allocator of a limit. */
typedef struct
{
  GPtrArray *accounts;      /* of account_t */
  GArray *orphans;          /* of orphan_t */
  GPtrArray *loans;         /* of loan_t */
  bool active;              /* this host may grant units */
  int64_t active_until_ms;  /* it has the votes of a majority until then */
  int64_t unknown_units;    /* may have been granted by earlier allocators to unknown holders */
  int64_t unknown_until_ms; /* end of the time for which unknown_units are charged */
  int64_t max_use_ms;       /* longest use that it allows */
  int64_t announced_use_ms; /* becomes max_use_ms once a majority has confirmed it */
  int64_t announced_at_ms;
  int64_t pool_units;     /* units that could be granted at the last division */
  int64_t rotation;       /* number of the rotation period at the last division */
  int64_t last_spread_ms; /* last time idle units were spread evenly */
  bool has_shortage;      /* a holder has more demand than units */
  bool dirty;             /* units are to be divided again */
  bool is_listed;         /* in allocated_limits */
} allocation_t;

struct limit_t
{
  char *name;
  int64_t units;
  int64_t part_units; /* part of this data centre */
  bool counts_starts; /* "starts/": units can't be released early */
  bool is_local;      /* "slots/": over this data centre alone */
  bool removed;       /* not configured here, or no more */
  holder_t holder;
  allocation_t allocation;
};

struct quota_t
{
  char *host;
  char *data_centre;
  uint64_t incarnation;
  GPtrArray *data_centres;
  quota_rules_t rules;
  GPtrArray *limits;           /* of limit_t */
  GPtrArray *allocated_limits; /* those of limits that have an account here */
  GHashTable *limits_by_name;
  GPtrArray *peers; /* of quota_peer_t, this host included */
  GHashTable *peers_by_host;
  quota_peer_t *self;
  int64_t view_id; /* hash of number and members; 0 before the first view */
  int64_t view_number;
  int64_t view_since_ms;
  GPtrArray *members;
  GPtrArray *previous_members; /* of the previous view; NULL if not known */
  int64_t started_at_ms;       /* first event; -1 before it */
  bool saw_second_view;        /* a view has followed the first that was seen */
  bool departures_known;       /* no view came before the first that was seen */
  int64_t first_view_ms;
  int64_t last_departure_ms; /* last time a member left or was replaced; 0: never */
  int64_t last_tick_ms;
  bool has_grown; /* result of quota_has_grown () */
  bool leaving;   /* this host stops */
};

/* quota.c */
/* Returns true if, as far as this host knows, a host that is no longer a member
 * of the view may still have units. */
bool quota_saw_departure (const quota_t *quota, int64_t now_ms);

/* quota_peer.c */
/* Returns the peer HOST, which is created if DATA_CENTRE is not NULL; else NULL. */
quota_peer_t *peer_get (quota_t *quota, const char *host, const char *data_centre);
void peer_free (void *peer);
/* Returns DURATION_MS extended by the allowance for differing clock rates. */
int64_t with_clock_margin (int64_t duration_ms);
/* Lease of the units granted to or by PEER. */
int64_t peer_lease_ms (const quota_peer_t *peer);
/* Updates PEER and STREAM by the header of a received message.  Returns false if
 * the message must be dropped. */
bool peer_receive (quota_t *quota,
                   quota_peer_t *peer,
                   quota_stream_t *stream,
                   const quota_header_t *header,
                   int64_t now_ms);
/* Numbers MESSAGE, which is sent now, and fills in the acknowledgement. */
void peer_send (quota_t *quota,
                quota_peer_t *peer,
                quota_stream_t *stream,
                quota_message_t *message,
                int64_t now_ms);
/* Returns when the last acknowledged message was sent; 0 if that is not known. */
int64_t stream_acked_sent_ms (const quota_stream_t *stream);
bool peer_is_reachable (const quota_peer_t *peer);
/* Returns true if a message is urgent and the rate limit allows to send it now. */
bool stream_may_send_urgent (const quota_stream_t *stream, int64_t now_ms);
bool stream_interval_has_passed (const quota_stream_t *stream, int64_t now_ms, int64_t interval_ms);

/* quota_holder.c */
/* Returns the initial bound on a use, which is also the lowest that an allocator
 * sets. */
int64_t initial_max_use_ms (const limit_t *limit);
void holder_init (quota_t *quota, limit_t *limit);
void holder_clear (holder_t *holder);
/* Chooses the allocator if there is none or it is of no use; RESTART begins again
 * with the first candidate. */
void holder_choose_allocator (quota_t *quota, limit_t *limit, bool restart, int64_t now_ms);
/* Returns the size of the share; 0 after its lease. */
int64_t holder_usable_units (const quota_t *quota, const holder_t *holder, int64_t now_ms);
/* Appends to MESSAGE what PEER is to be told of LIMIT.  Returns false if that is
 * nothing. */
bool holder_report (quota_t *quota,
                    limit_t *limit,
                    quota_peer_t *peer,
                    quota_message_t *message,
                    int64_t now_ms);
/* Called when the process of PEER was replaced: the new one has granted nothing. */
void holder_forget_grants (limit_t *limit, const quota_peer_t *peer);
/* Applies a grant message from PEER. */
void
holder_receive (quota_t *quota, quota_peer_t *peer, const quota_header_t *header, int64_t now_ms);
/* Appends ENTRY to MESSAGE unless STATE shows that it was already acknowledged.
 * Returns false if nothing was appended. */
bool report_append (report_state_t *state,
                    const char *name,
                    const quota_report_entry_t *entry,
                    const quota_stream_t *stream,
                    quota_message_t *message);
/* Appends to MESSAGE that this host no longer uses PEER as allocator, until PEER
 * has acknowledged it.  Returns false if nothing was appended. */
bool report_append_withdrawal (limit_t *limit, quota_peer_t *peer, quota_message_t *message);

/* quota_account.c */
void allocation_init (limit_t *limit);
void allocation_clear (allocation_t *allocation);
/* Returns the account of PEER, which is created on first use. */
account_t *account_get (quota_t *quota, limit_t *limit, quota_peer_t *peer);
/* Returns the units that the holder has or may still use. */
int64_t account_charge (const quota_t *quota, const account_t *account, int64_t now_ms);
/* Returns the sum of the charges of all accounts, orphans and unknown units. */
int64_t allocation_charge (const quota_t *quota, limit_t *limit, int64_t now_ms);
/* Returns the part of allocation_charge () that is not charged to accounts of
 * this data centre. */
int64_t allocation_charge_outside (const quota_t *quota, limit_t *limit, int64_t now_ms);
/* Changes the share of a holder; the former share stays charged. */
void account_set_units (const quota_t *quota, account_t *account, int64_t units, int64_t now_ms);
/* Called when the process of PEER was replaced: turns its account into an orphan. */
void allocation_orphan_account (quota_t *quota, limit_t *limit, quota_peer_t *peer, int64_t now_ms);
/* Applies a report message from PEER. */
void allocation_receive (quota_t *quota,
                         quota_peer_t *peer,
                         const quota_header_t *header,
                         int64_t now_ms);
/* Appends the grant for PEER to MESSAGE.  Returns false if there is nothing to
 * send. */
bool allocation_append_grant (quota_t *quota,
                              limit_t *limit,
                              quota_peer_t *peer,
                              quota_message_t *message,
                              int64_t now_ms);
/* Called when the lease of all grants to PEER has expired. */
void allocation_expire_grants (quota_t *quota, limit_t *limit, quota_peer_t *peer, int64_t now_ms);

/* quota_allocate.c */
/* Activates or deactivates this host as the allocator of LIMIT. */
void allocation_check_active (quota_t *quota, limit_t *limit, int64_t now_ms);
/* Called when the part of this data centre, PREVIOUS_PART before, has changed. */
void allocation_part_changed (const quota_t *quota,
                              limit_t *limit,
                              int64_t previous_part,
                              int64_t now_ms);
/* Divides the units again if anything has changed. */
void allocation_run (quota_t *quota, limit_t *limit, int64_t now_ms);

/* quota_loan.c */
void loan_free (void *loan);
/* Returns the units of LIMIT that belong to DATA_CENTRE. */
int64_t data_centre_part (const quota_t *quota, const limit_t *limit, const char *data_centre);
/* Returns the borrowed units that may be granted to holders now. */
int64_t loan_usable_units (const limit_t *limit, int64_t now_ms);
/* Opens loans if units are short, and chooses their lenders. */
void loan_tick (quota_t *quota, limit_t *limit, int64_t now_ms);
/* Like holder_report () and holder_receive (), for loans. */
bool loan_report (quota_t *quota,
                  limit_t *limit,
                  quota_peer_t *peer,
                  quota_message_t *message,
                  int64_t now_ms);
void
loan_receive (quota_t *quota, quota_peer_t *peer, const quota_header_t *header, int64_t now_ms);
void loan_forget_grants (limit_t *limit, const quota_peer_t *peer);
/* Returns true while reports on a loan from PEER are to be sent. */
bool loan_is_open (const limit_t *limit, const quota_peer_t *peer, int64_t now_ms);

#endif
