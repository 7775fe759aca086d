/* crew.h -- which hosts are there, and which of them owns each shard of the endpoints
 *
 * A shard is the endpoints of one data centre.  Its owner is the host with the
 * highest claim among those that can be heard; hosts of the same data centre go before
 * others, so that a data centre that is cut off goes on with an owner of its own, and a host that
 * is much stronger than the owner takes over.  Nothing is
 * agreed on: a claim carries a token that grows, endpoints obey the highest token, and
 * whoever hears of a better claim yields.  Two owners at once thus cost time, not
 * correctness.
 *
 * Pure: beats and the time go in, actions come out.  Times are milliseconds of the boot
 * clock but for the wall clock that tokens follow.  Not thread-safe.
 */
#ifndef CREW_CREW_H
#define CREW_CREW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct crew_t crew_t;

#define CREW_CLAIMS_MAX 64

typedef struct
{
  char *shard;
  int64_t token;
} crew_claim_t;

/* What a host says about itself. */
typedef struct
{
  char *host;
  char *data_centre;
  uint64_t incarnation;
  bool ready;    /* may own endpoints and serve callers */
  bool leaving;  /* it is being stopped */
  int32_t power; /* thousandths of a core */
  int64_t config_version;
  uint64_t drain_end; /* its set of drained data centres is complete up to this offset */
  int64_t up_ms;      /* since the sender's start */
  bool reads;         /* it follows the directory of endpoints */
  int64_t next_ms;    /* the next beat to the receiver comes after this at the latest */
  uint64_t epoch;     /* what the receiver must say for the sender to take tasks from it */
  GArray *claims;     /* crew_claim_t */
} crew_beat_t;

void crew_beat_clear (crew_beat_t *beat);

typedef enum
{
  CREW_CLAIMED, /* this host owns SHARD from now on, under TOKEN */
  CREW_YIELDED, /* this host no longer owns SHARD */
  CREW_OWNER,   /* HOST (NULL: nobody) owns SHARD, this host included */
  CREW_LOST,    /* HOST can't be heard any more, or has started anew */
  CREW_DROPPED, /* HOST had lost this one: it has ended all that this host gave it */
  CREW_FOUND    /* HOST is heard for the first time, or again */
} crew_action_kind_t;

typedef struct
{
  crew_action_kind_t kind;
  const char *shard; /* interned */
  const char *host;  /* interned */
  int64_t token;
  int64_t heard_at_ms; /* CREW_LOST: when it was last heard */
  const char *reason;  /* static */
} crew_action_t;

typedef struct
{
  const char *host;
  const char *data_centre;
  uint64_t incarnation;
  int32_t power;
  int64_t resend_ms; /* callers without an answer submit again after this; 0 if it is not known */
  int32_t hubs;      /* of each data centre (roster.h) */
} crew_options_t;

#define CREW_HUBS 4

crew_t *crew_new (const crew_options_t *options, int64_t now_ms);
void crew_free (crew_t *crew);

/* A beat of another host. */
void crew_heard (crew_t *crew, const crew_beat_t *beat, int64_t now_ms, GArray *actions);

/* The connection to HOST broke: it is lost soon unless it is heard again. */
void crew_broken (crew_t *crew, const char *host, int64_t now_ms);

/* HOST exists; it may not be there at present. */
void crew_know (crew_t *crew, const char *host, const char *data_centre, int32_t power);

/* Whether this host should keep a connection to HOST, and how often it should send it beats. */
bool crew_wants_link (const crew_t *crew, const char *host);
int64_t crew_beat_every_ms (const crew_t *crew, const char *host);

/* Whether this host is a hub of its data centre, and whether it should follow the directory of
 * endpoints; others know as much of it as hubs tell them. */
bool crew_is_hub (const crew_t *crew);
bool crew_host_is_hub (const crew_t *crew, const char *host);
bool crew_reads (const crew_t *crew);

/* Whether HOST should be told what changes in the directory of its data centre, which is this
 * host's too: it may have to take over a shard, and does not read. */
bool crew_wants_directory (const crew_t *crew, const char *host);

/* A hub that is heard and can pass a message on to all hosts; NULL if there is none. */
const char *crew_some_hub (const crew_t *crew);

/* There are endpoints in DATA_CENTRE. */
void crew_add_shard (crew_t *crew, const char *data_centre);

void crew_set_ready (crew_t *crew, bool ready);
void crew_leave (crew_t *crew);

/* An endpoint of SHARD obeys a higher token than this host's. */
void
crew_shut_out (crew_t *crew, const char *shard, int64_t now_ms, int64_t wall_ms, GArray *actions);

/* Call every few milliseconds. */
void crew_step (crew_t *crew, int64_t now_ms, int64_t wall_ms, GArray *actions);

/* Whether this process stood still, by the time since the last step: what it believes is
 * old.  Forgets all peers' claims. */
void crew_thawed (crew_t *crew, int64_t now_ms, GArray *actions);

/* Fills BEAT with what this host says to TO; strings belong to the crew, the array is new. */
void crew_beat_for (const crew_t *crew, const char *to, int64_t now_ms, crew_beat_t *beat);

/* What this host must say for HOST to take tasks from it.  HOST changes it whenever it loses this
 * one, so that tasks that a cut has held up are not taken once it ends. */
uint64_t crew_epoch_for (const crew_t *crew, const char *host);

/* Whether HOST, which says EPOCH, may give tasks to this one. */
bool crew_accepts (const crew_t *crew, const char *host, uint64_t epoch);

/* A shard of another data centre without an owner is claimed only by a host that can reach its
 * endpoints: tells that one has answered, or whether that should be found out. */
void crew_reached (crew_t *crew, const char *shard, int64_t now_ms);
bool crew_wants_probe (const crew_t *crew, const char *shard);

int32_t crew_hosts (const crew_t *crew);

/* No host that is heard has been there for much longer than this one: all have started together. */
bool crew_is_new (const crew_t *crew, int64_t now_ms);

/* The host that is heard and has a newer configuration than VERSION, or NULL. */
const char *crew_with_config (const crew_t *crew, int64_t version);

/* The host that is heard and whose set of drained data centres is complete beyond END, or NULL. */
const char *crew_with_drains (const crew_t *crew, uint64_t end);

#endif
