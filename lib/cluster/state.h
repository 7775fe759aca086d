/* state.h -- the internal state of cluster_t; private to lib/cluster */
#ifndef CLUSTER_STATE_H
#define CLUSTER_STATE_H

#include "cluster/cluster.h"
#include "cluster/ranking.h"

/* Heartbeat intervals: between hubs of the same data centre; between hubs of different data
 * centres, or if either host owns a shard; and between all others, which only need to know that the
 * host is alive. */
#define HEARTBEAT_LOCAL_MS 100
#define HEARTBEAT_REMOTE_MS 250
#define HEARTBEAT_IDLE_MS 1000

typedef struct
{
  const char *host; /* interned */
  char *data_centre;
  uint64_t incarnation;
  bool ready;
  bool leaving;
  bool alive;
  int32_t cpu_millicores;
  bool follows_directory;
  int64_t interval_ms;
  uint64_t expected_epoch; /* expected in the messages of this peer */
  uint64_t send_epoch;     /* to be sent in messages to this peer */
  int64_t config_version;
  uint64_t drains_end_offset;
  int64_t last_heard_at_ms; /* earlier if its connection broke, so that it is lost soon */
  int64_t heartbeat_at_ms;  /* when its last heartbeat was received */
  int64_t clock_ms;         /* the newest that it has sent */
  int64_t echo_ms; /* the newest clock of this host that it has returned; 0 for none since it
                      was found */
  int64_t frequent_since_ms; /* since when its heartbeats come at a short interval */
  int64_t lost_at_ms;
  int64_t confirmed_ms;        /* it has confirmed to have received what was sent until then */
  int64_t told_before_loss_ms; /* it has received what was sent before, when it was lost last */
  bool resumed;                /* its process was lost and is heard again */
  int64_t alive_since_ms;
  int64_t started_at_ms;
  GArray *claims; /* of cluster_claim_t, with interned shards; empty if not alive */
} peer_t;

typedef struct
{
  const char *name;      /* interned */
  int64_t left_at_ms;    /* when a host of it was removed that had said that it leaves */
  int64_t reached_at_ms; /* such a host has certainly received what was sent before */
} data_centre_t;

typedef struct
{
  const char *name;    /* interned; the data centre's name */
  bool owned;          /* this host has an active claim */
  int64_t claim_token; /* of this host's latest claim */
  int64_t claimed_at_ms;
  const char *owner; /* interned; NULL if none; as last reported by CLUSTER_OWNER_CHANGED */
  uint64_t owner_incarnation;
  int64_t owner_token;
  int64_t vacant_since_ms; /* 0 while it has an owner that is not leaving */
  int64_t no_claim_until_ms;
  int64_t reclaim_at_ms;      /* 0 unless an endpoint obeys a higher token than this host's */
  int64_t token_increment_ms; /* last increment of the token by a reclaim */
  int32_t consecutive_reclaims;
  int64_t last_reached_at_ms; /* when an endpoint of it last answered this host */
  int64_t reached_since_ms;   /* start of the current series of answers */
} shard_t;

typedef struct
{
  int64_t interval_ms; /* as announced */
  int64_t next_due_ms;
  int64_t frequent_since_ms; /* since when the interval is at most HEARTBEAT_REMOTE_MS */
} sent_heartbeat_t;

struct cluster_t
{
  const char *host; /* interned */
  char *data_centre;
  uint64_t incarnation;
  int32_t cpu_millicores;
  int64_t retransmit_ms;
  bool ready;
  bool leaving;
  int64_t observing_since_ms; /* start of the process, or the end of its last suspension */
  int64_t started_at_ms;      /* start of the process */
  int64_t ready_since_ms;     /* when READY was last set */
  int64_t highest_token;      /* highest token issued or heard */
  uint64_t last_epoch;        /* last epoch that was assigned to a peer */
  ranking_t *ranking;
  int32_t hubs_per_data_centre;
  int64_t ranking_due_ms;
  GHashTable *peers;
  GHashTable *shards;
  GHashTable *data_centres; /* interned name -> data_centre_t: those of known hosts, heard or not */
  GHashTable *sent_heartbeats; /* interned host -> sent_heartbeat_t, the last one sent to it */
};

cluster_action_t *
cluster_add_action (GArray *actions, cluster_action_kind_t kind, const char *reason);

/* Returns the shard with this name, which is created if it is unknown. */
shard_t *cluster_find_shard (cluster_t *cluster, const char *name);
/* Returns the data centre with this name, which is added if it is unknown. */
data_centre_t *cluster_find_data_centre (cluster_t *cluster, const char *name);
/* Returns NULL if HOST was never heard, or has been forgotten since. */
const peer_t *cluster_find_peer (const cluster_t *cluster, const char *host);

typedef struct
{
  int32_t alive;
  int32_t known;
} cluster_count_t;

/* Counts all hosts, this one included. */
cluster_count_t cluster_count (const cluster_t *cluster);

/* The same for those of DATA_CENTRE (NULL: of all) whose heartbeats are frequent, or were when they
 * were lost.  Of these, hosts are alive that were heard so short a time ago that a cut since the
 * last heartbeat of a host that was just lost would show.  A host whose heartbeats are rare counts
 * for so long after each. */
cluster_count_t
cluster_count_recent (const cluster_t *cluster, const char *data_centre, int64_t now_ms);

/* The latest time before which PEER has certainly received what this host sent to it. */
int64_t cluster_peer_told_at_ms (const cluster_t *cluster, const peer_t *peer, int64_t now_ms);

/* A lost host is forgotten after this much silence, and no longer counts when a majority of the
 * known hosts is needed.  One that was never heard counts for as long after the start. */
#define CLUSTER_FORGET_AFTER_MS 20000

/* The longest time since the newest clock that a host with frequent heartbeats has returned, and
 * the longest silence of one with rare ones, until it is lost. */
int64_t cluster_echo_limit_ms (const cluster_t *cluster);
int64_t cluster_idle_limit_ms (void);

/* shard_claims.c: updates the owner of SHARD, and claims or yields it if due. */
void shard_claim_step (cluster_t *cluster,
                       shard_t *shard,
                       int64_t now_ms,
                       int64_t wall_ms,
                       GArray *actions);
void shard_claim_yield (shard_t *shard, const char *reason, GArray *actions);

/* shard_claims.c: whether this host hears a majority of the hosts that it knows.  A host that does
 * not is more likely to be cut off itself than to be the only survivor, and its claim would only
 * supersede that of the owner that the others follow.  For a shard of its own data centre (LOCAL) a
 * majority of the hosts of that data centre is enough, so that an isolated data centre keeps an
 * owner.  Hosts whose heartbeats are rare count only for a short time after each: they are taken to
 * be alive long after this host may have been cut off from them. */
bool cluster_hears_majority (const cluster_t *cluster, bool local, int64_t now_ms);

/* topology.c: whether this host owns any shard. */
bool cluster_owns_any_shard (const cluster_t *cluster);

/* topology.c: the interval at which this host should send heartbeats to HOST. */
int64_t cluster_heartbeat_interval_ms (const cluster_t *cluster, const char *host);

#endif
