/* cluster.h -- host liveness, and which host owns each shard of the endpoints
 *
 * A shard is the set of endpoints of one data centre.  Its owner is the host with the highest claim
 * among the hosts that can be heard.  Claims of hosts in the shard's data centre take precedence,
 * so that a data centre that is cut off keeps an owner of its own.  A host with much more CPU than
 * the owner takes the shard over.
 *
 * There is no consensus.  A claim carries a token that grows, endpoints obey the highest token, and
 * a host yields when it hears of a better claim.  Two owners at the same time therefore cost time
 * but not correctness.
 *
 * A heartbeat also carries the sender's clock, and returns the newest clock that the sender has
 * received from the receiver.  The receiver thereby knows at which time of its own clock the sender
 * was alive, even if heartbeats wait on a slow link for seconds.  An owner loses a coordinator, and
 * refuses its tasks, if that is too long ago.
 *
 * A heartbeat also carries an epoch, which the receiver must put into its task messages to the
 * sender.  The sender changes the epoch when it has lost the receiver, so that it refuses messages
 * from before.
 *
 * No I/O and no clock: heartbeats and the time go in, actions are appended to a GArray of
 * cluster_action_t.  Times are milliseconds of the boot clock, except wall_ms, the wall clock, from
 * which tokens are derived.  Not thread-safe.
 */
#ifndef CLUSTER_CLUSTER_H
#define CLUSTER_CLUSTER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct cluster_t cluster_t;

/* Most claims in a heartbeat. */
#define CLUSTER_CLAIMS_MAX 64

/* A claim to own a shard. */
typedef struct
{
  char *shard;
  int64_t token;
} cluster_claim_t;

/* The state that a host announces about itself.  The names belong to whoever filled it in:
 * cluster_heartbeat_clear () frees those that cluster_msg_read_heartbeat () has read; those from
 * cluster_make_heartbeat () are borrowed. */
typedef struct
{
  char *host;
  char *data_centre;
  uint64_t incarnation;
  bool ready;             /* the host may own shards and serve callers */
  bool leaving;           /* the host is being stopped */
  int32_t cpu_millicores; /* thousandths of a core */
  int64_t config_version;
  uint64_t drains_end_offset; /* its set of drained data centres is complete up to there */
  int64_t uptime_ms;          /* time since the sender's start */
  bool follows_directory;     /* the host follows the directory of endpoints */
  int64_t interval_ms;        /* longest time until the next heartbeat to the receiver */
  uint64_t expected_epoch;    /* the receiver's task messages must carry this epoch */
  int64_t clock_ms;           /* the sender's clock */
  int64_t echo_ms;            /* newest clock that it has received from the receiver; 0 for none */
  GArray *claims;             /* of cluster_claim_t; NULL means none */
} cluster_heartbeat_t;

/* Frees the contents of HEARTBEAT and zeroes it. */
void cluster_heartbeat_clear (cluster_heartbeat_t *heartbeat);

typedef enum
{
  CLUSTER_CLAIMED,        /* this host owns SHARD from now on, with TOKEN */
  CLUSTER_YIELDED,        /* this host no longer owns SHARD */
  CLUSTER_OWNER_CHANGED,  /* HOST, which may be this one, owns SHARD now; NULL: nobody does */
  CLUSTER_HOST_LOST,      /* HOST is no longer heard, or was restarted */
  CLUSTER_HOST_RESTARTED, /* another process of HOST is heard, since STARTED_AT_MS */
  CLUSTER_EPOCH_CHANGED,  /* HOST had lost this host and has ended all tasks that this host sent */
  CLUSTER_HOST_FOUND      /* HOST is heard for the first time, or again after it was lost */
} cluster_action_kind_t;

typedef struct
{
  cluster_action_kind_t kind;
  const char *shard; /* interned */
  const char *host;  /* interned */
  int64_t token;
  int64_t last_heard_at_ms; /* CLUSTER_HOST_LOST only */
  int64_t alive_at_ms;      /* CLUSTER_HOST_LOST only: as cluster_alive_at_ms () before the loss */
  int64_t started_at_ms;    /* CLUSTER_HOST_RESTARTED, CLUSTER_HOST_FOUND: of its process */
  const char *reason; /* static string; CLUSTER_CLAIMED, CLUSTER_YIELDED and CLUSTER_HOST_LOST */
} cluster_action_t;

typedef struct
{
  const char *host;
  const char *data_centre;
  uint64_t incarnation;
  int32_t cpu_millicores;
  int64_t retransmit_ms; /* callers without an answer submit again after this; 0 if unknown */
  int32_t hubs_per_data_centre; /* see ranking.h */
} cluster_options_t;

/* Two hosts that hear each other again have told each other all that they need to know within this
 * time, also if a connection is replaced meanwhile. */
#define CLUSTER_EXCHANGE_MS 1000

/* The usual number of hubs. */
#define CLUSTER_HUBS_PER_DATA_CENTRE 4

cluster_t *cluster_new (const cluster_options_t *options, int64_t now_ms);
void cluster_free (cluster_t *cluster);

/* Processes a heartbeat of another host. */
void cluster_receive_heartbeat (cluster_t *cluster,
                                const cluster_heartbeat_t *heartbeat,
                                int64_t now_ms,
                                GArray *actions);

/* The connection to HOST broke: the host is lost unless it is heard again shortly. */
void cluster_connection_lost (cluster_t *cluster, const char *host, int64_t now_ms);

/* Adds HOST, which need not be alive, to the known hosts. */
void cluster_add_host (cluster_t *cluster,
                       const char *host,
                       const char *data_centre,
                       int32_t cpu_millicores);

/* Whether this host should keep a connection to HOST. */
bool cluster_needs_connection (const cluster_t *cluster, const char *host);

/* Whether the next heartbeat to HOST is due: at the end of the announced interval, or at once if a
 * shorter interval applies now.  When a host becomes an owner, the heartbeat that is due must be
 * sent to it before any task, as the owner would wait too long for a silent coordinator. */
bool cluster_heartbeat_is_due (const cluster_t *cluster, const char *host, int64_t now_ms);

/* Whether this host, or HOST, is a hub of its data centre (ranking.h). */
bool cluster_is_hub (const cluster_t *cluster);
bool cluster_host_is_hub (const cluster_t *cluster, const char *host);
/* Whether HOST would be a hub if all known hosts were available. */
bool cluster_host_is_first (const cluster_t *cluster, const char *host);

/* Whether this host should follow the directory of endpoints: it owns a shard, or is one of the
 * first hosts of its data centre in the ranking.  Others know only what hubs forward to them. */
bool cluster_follows_directory (const cluster_t *cluster);

/* Whether this host should forward changes of the directory of endpoints to HOST: a hub of the same
 * data centre that does not follow the directory itself but may have to take over the shard. */
bool cluster_host_needs_directory (const cluster_t *cluster, const char *host);

/* The hosts that register this host's jobs (lib/scheduler/job_registry.c), interned. */
typedef struct
{
  GPtrArray *hosts;     /* none: no job may start */
  guint quorum;         /* so many of HOSTS must have confirmed a job */
  const char *required; /* one that must be among them, or NULL */
  bool none_registers;  /* hubs of the data centre are heard, and none of them may be a registrar */
} cluster_registrars_t;

/* Fills REGISTRARS: the hubs of this host's data centre that are heard, itself included if it is
 * one, and a hub of another data centre, the witness, where a host is missing or there are two.  No
 * hosts if this one hears neither a majority of the hosts of its data centre nor one of all hosts:
 * it is rather cut off than left.  Other hosts that are not in the set REGISTERING (NULL: all are)
 * are left out. The caller clears REGISTRARS. */
void cluster_find_registrars (const cluster_t *cluster,
                              GHashTable *registering,
                              int64_t now_ms,
                              cluster_registrars_t *registrars);
void cluster_registrars_clear (cluster_registrars_t *registrars);

/* Returns a hub that is alive and can forward a message to all hosts, or NULL if there is none. */
const char *cluster_find_hub (const cluster_t *cluster);

/* Adds the shard of DATA_CENTRE, which has endpoints. */
void cluster_add_shard (cluster_t *cluster, const char *data_centre);

/* Whether this host may own shards, from NOW_MS on; false at first. */
void cluster_set_ready (cluster_t *cluster, bool ready, int64_t now_ms);
/* This host is being stopped: it claims no further shards, and others take over those it owns. */
void cluster_leave (cluster_t *cluster);

/* An endpoint of SHARD has refused this host's token because it obeys a higher one.  The host
 * claims the shard again with a higher token, or yields it if it does not hear a majority of the
 * hosts. */
void cluster_token_superseded (cluster_t *cluster,
                               const char *shard,
                               int64_t now_ms,
                               int64_t wall_ms,
                               GArray *actions);

/* Detects lost hosts, and updates the owners of the shards.  Call every few milliseconds. */
void cluster_step (cluster_t *cluster, int64_t now_ms, int64_t wall_ms, GArray *actions);

/* The process was suspended for so long that its view of the cluster is outdated.  Yields all
 * shards of this host, and makes no claims until it has listened to heartbeats again. */
void cluster_process_resumed (cluster_t *cluster, int64_t now_ms, GArray *actions);

/* Fills HEARTBEAT with what this host sends to TO, and records that it is sent.  The strings stay
 * the cluster's; the caller unrefs the new array of claims.  config_version and drains_end_offset
 * are 0, for the caller to set. */
void cluster_make_heartbeat (cluster_t *cluster,
                             const char *to,
                             int64_t now_ms,
                             cluster_heartbeat_t *heartbeat);

/* The epoch that task messages to HOST must carry; 0 if HOST is unknown.  HOST changes the epoch
 * each time it loses this host, so that tasks that were delayed by a network partition are refused
 * when it ends. */
uint64_t cluster_send_epoch (const cluster_t *cluster, const char *host);

/* Whether task messages of HOST that carry EPOCH are accepted: HOST is alive, EPOCH is the one that
 * this host expects of it, the interval that HOST has announced is short enough for an owner to
 * notice its loss before callers submit its jobs again, and HOST has recently returned a clock. */
bool
cluster_accepts_tasks (const cluster_t *cluster, const char *host, uint64_t epoch, int64_t now_ms);

/* When HOST was lost; 0 if it was never heard or has been forgotten, INT64_MAX if it is heard or is
 * this host. */
int64_t cluster_lost_at_ms (const cluster_t *cluster, const char *host);

/* The number of hosts that were lost and are not forgotten. */
int32_t cluster_lost_hosts (const cluster_t *cluster);

/* Whether this host owns SHARD so that no other host can go on owning it: it is in the shard's data
 * centre, hears a majority, and no endpoint is known to obey a higher token.  An owner that can't
 * be heard yields once an endpoint refuses its token. */
bool cluster_is_sole_owner (const cluster_t *cluster, const char *shard, int64_t now_ms);

/* A host claims an unowned shard of another data centre only if it can reach the shard's
 * endpoints.  cluster_shard_reached () records that one of them has answered;
 * cluster_needs_probe () tells whether the caller should probe one to find out. */
void cluster_shard_reached (cluster_t *cluster, const char *shard, int64_t now_ms);
bool cluster_needs_probe (const cluster_t *cluster, const char *shard);

/* The latest time at which HOST was certainly alive: when this host sent the newest clock that HOST
 * has returned, or, while heartbeats are too rare for that, when the last one arrived.  0 if HOST
 * is unknown. */
int64_t cluster_alive_at_ms (const cluster_t *cluster, const char *host);

/* The latest time before which every host that is known has certainly received what this host sent
 * to it.  NOW_MS if no other host is known. */
int64_t cluster_told_at_ms (const cluster_t *cluster, int64_t now_ms);

/* The data centres of hosts that were lost and are not forgotten, as a set of interned names: such
 * a host may be out of reach from here alone.  The caller unrefs it. */
GHashTable *cluster_missed_data_centres (const cluster_t *cluster);

/* The other data centres that count (cluster_confirmed_at_ms ()) and none of whose hosts is heard,
 * as a set of interned names.  The caller unrefs it. */
GHashTable *cluster_silent_data_centres (const cluster_t *cluster, int64_t now_ms);

/* HOST, which was being stopped, has answered all callers and its process ends. */
void cluster_host_ended (cluster_t *cluster, const char *host);

/* HOST has received all that this host sent it until CLOCK_MS, by this host's clock. */
void cluster_confirmed (cluster_t *cluster, const char *host, int64_t clock_ms, int64_t now_ms);

/* The latest time before which a host of each other data centre has confirmed to have received what
 * this host sent (cluster_confirmed ()).  INT64_MAX if no other data centre is known, or if callers
 * don't submit again.  One whose hosts are known, but none of which is heard, counts for some time
 * after the start, and after those that were heard have been stopped, unless all have ended. */
int64_t cluster_confirmed_at_ms (const cluster_t *cluster, int64_t now_ms);

/* A data centre none of whose hosts has for some time shown that messages of this host arrive. */
typedef struct
{
  const char *data_centre; /* interned */
  int64_t reached_at_ms;   /* one of its hosts has certainly received what was sent before */
  int64_t since_ms;        /* it was out of reach by then, unless links are slow: a further proof
                              would have come */
  bool heard;              /* a heartbeat of one of its hosts has arrived here since then */
} cluster_unreached_t;

/* Appends to UNREACHED, cluster_unreached_t, the other data centres that are not reached.  One that
 * is cut off is found out before the callers of its jobs may submit them again. */
void cluster_append_unreached (const cluster_t *cluster, int64_t now_ms, GArray *unreached);

/* The number of hosts that are alive, this one included. */
int32_t cluster_alive_hosts (const cluster_t *cluster);

/* Whether this host and all hosts that are alive have started within the last few seconds. */
bool cluster_started_together (const cluster_t *cluster, int64_t now_ms);

/* Returns a host that is alive and has a newer configuration than VERSION, or NULL. */
const char *cluster_find_newer_config (const cluster_t *cluster, int64_t version);

/* Returns a host that is alive and whose set of drained data centres is complete beyond END, or
 * NULL. */
const char *cluster_find_newer_drains (const cluster_t *cluster, uint64_t end);

#endif
