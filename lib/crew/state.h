/* state.h -- the structs behind crew_t; private to lib/crew */
#ifndef CREW_STATE_H
#define CREW_STATE_H

#include "crew/crew.h"
#include "crew/roster.h"

/* Beats between hubs of one data centre, and where the owner of a shard is on one side; and all
 * others, which only tell that a host is there. */
#define BEAT_NEAR_MS 100
#define BEAT_FAR_MS 250
#define BEAT_SLOW_MS 1000

typedef struct
{
  const char *host; /* interned */
  char *data_centre;
  uint64_t incarnation;
  bool ready;
  bool leaving;
  bool alive;
  int32_t power;
  bool reads;
  int64_t next_ms;
  uint64_t epoch;       /* what it must say */
  uint64_t their_epoch; /* what this host must say to it */
  int64_t config_version;
  uint64_t drain_end;
  int64_t heard_at_ms;
  int64_t alive_from_ms;
  int64_t up_from_ms; /* its start */
  GArray *claims;     /* crew_claim_t with interned shards */
} peer_t;

typedef struct
{
  const char *name; /* interned: a data centre */
  bool own;         /* this host claims it */
  int64_t token;    /* of the own claim */
  int64_t claimed_at_ms;
  const char *owner; /* interned host, or NULL */
  uint64_t owner_incarnation;
  int64_t owner_token;
  int64_t vacant_from_ms; /* 0 while there is an owner that stays */
  int64_t pause_until_ms;
  int64_t reclaim_at_ms;   /* 0 unless an endpoint obeys a higher token */
  int64_t jump_ms;         /* by which the next claim is higher */
  int32_t reclaims;        /* in a row */
  int64_t reached_at_ms;   /* an endpoint of it has answered this host */
  int64_t reached_from_ms; /* and has done so since then */
} shard_t;

struct crew_t
{
  const char *host; /* interned */
  char *data_centre;
  uint64_t incarnation;
  int32_t power;
  int64_t resend_ms;
  bool ready;
  bool leaving;
  int64_t started_at_ms;
  int64_t born_at_ms; /* as STARTED_AT_MS, whatever happens later */
  int64_t token_max;  /* the highest ever heard */
  uint64_t epochs;    /* the last that was given out */
  roster_t *roster;
  int64_t rank_due_ms;
  GHashTable *peers;
  GHashTable *shards;
};

crew_action_t *crew_add (GArray *actions, crew_action_kind_t kind, const char *reason);

/* The shard with this name, made if it is new. */
shard_t *crew_find_shard (crew_t *crew, const char *name);
/* NULL if it was never heard, or not for long. */
const peer_t *crew_find_peer (const crew_t *crew, const char *host);

typedef struct
{
  int32_t alive;
  int32_t known;
} crew_count_t;

/* Hosts of DATA_CENTRE (NULL: all), this one included. */
crew_count_t crew_count (const crew_t *crew, const char *data_centre);

/* claims.c: who owns SHARD now, and whether this host should. */
void claim_step (crew_t *crew, shard_t *shard, int64_t now_ms, int64_t wall_ms, GArray *actions);
void claim_yield (shard_t *shard, const char *reason, GArray *actions);

/* links.c: this host owns a shard. */
bool crew_owns_any (const crew_t *crew);

#endif
