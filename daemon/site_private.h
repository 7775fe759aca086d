/* site_private.h -- what the files of the site share */
#ifndef DAEMON_SITE_PRIVATE_H
#define DAEMON_SITE_PRIVATE_H

#include "base/event.h"
#include "cluster/cluster.h"
#include "drain/drain.h"
#include "executor/executor.h"
#include "executor/executor_msg.h"
#include "scheduler/scheduler.h"
#include "scheduler/queues.h"
#include "platform/ingress.h"
#include "platform/run_client.h"
#include "platform/settings.h"
#include "platform/log_client.h"
#include "reactor/loop.h"
#include "reactor/web.h"
#include "wire/net.h"

typedef struct site_t site_t;

/* A shard that this host owns. */
typedef struct
{
  site_t *site;
  const char *name; /* interned */
  int64_t token;
  executor_t *fleet;
  run_client_t *orders;
  GArray *actions; /* executor_action_t */
  bool dirty;      /* something happened since its last round */
  GBytes *told;    /* the offer that was sent last */
  int64_t told_at_ms;
  int64_t retired_at_ms; /* it was yielded */
  int64_t sent_away;     /* tasks, since the last line about them */
} owned_t;

/* A host with a connection from this one. */
typedef struct
{
  const char *data_centre; /* interned */
  int64_t beat_due_ms;
  int64_t up_at_ms;
  bool renewing; /* this host has closed it, and dials anew */
} contact_t;

/* Where a host listens, and when it was dialed last. */
typedef struct
{
  char *address;
  char *data_centre;
  int32_t power;
  int64_t dialed_at_ms;
} known_t;

/* An end that is to be told to a coordinator. */
typedef struct
{
  const char *coordinator; /* interned */
  executor_task_end_t end;
} told_end_t;

struct site_t
{
  platform_settings_t *settings;
  const char *file; /* of the settings */
  int64_t file_stamp;
  const char *host; /* interned */
  uint64_t incarnation;
  loop_t *loop;
  webclient_t *client;
  net_t *net;
  log_client_t *store;
  ingress_t *ingress;
  cluster_t *crew;
  scheduler_t *flow;
  queues_t *queues;
  GBytes *queues_data; /* as the platform gave it */
  GHashTable *owned;   /* interned shard -> owned_t */
  GPtrArray *retired;  /* owned_t that were yielded a moment ago */
  drains_t *drains;
  GHashTable *drain_runs; /* interned shard -> drain_runs_t: where it is drained */
  GHashTable *directory;  /* id -> executor_entry_t */
  GHashTable *connected;  /* interned host -> contact_t */
  GHashTable *known;      /* interned host -> known_t */
  GArray *crew_actions;
  GArray *scheduler_actions;
  GArray *elsewhere; /* executor_offer_t, for one round */
  GArray *ends;      /* told_end_t */
  bool store_reachable;
  bool reads; /* the directory of endpoints */
  bool leaving;
  int64_t leaving_from_ms;
  int64_t refreshed_at_ms;
  int64_t links_due_ms;
  int64_t pull_due_ms;
  bool drain_news; /* the set has changed since peers were told of it */
  int64_t drain_pull_due_ms;
  int64_t drain_tell_due_ms;
  int64_t probe_due_ms;
  int64_t watch_due_ms;
};

/* site_jobs.c, site_updates.c */
extern const ingress_ops_t site_ingress_ops;

/* Names for logs and counters, by scheduler_outcome_t and scheduler_size_class_t. */
extern const char *const outcome_names[];
extern const char *const size_names[];
extern const char *const limit_names[]; /* by scheduler_limit_t */
extern const log_client_ops_t site_store_ops;
void site_free_entry (void *entry);

/* site.c: carries out all actions that are due, until nothing is left to do, once the events
 * that are ready now have been taken in. */
void site_pump (site_t *site);
void site_run_flow_actions (site_t *site);
/* Takes in that a task of this coordinator has ended at HOST, as far as HOST is concerned. */
void site_end_task (site_t *site, const char *host, const executor_task_end_t *end);

/* site_owner.c */
void owner_claimed (site_t *site, const char *shard, int64_t token, const char *why);
void owner_yielded (site_t *site, const char *shard, const char *why);
void owner_entry (site_t *site, const executor_entry_t *entry);
void owner_gone (site_t *site, const char *id, const char *data_centre);
void owner_submit (site_t *site, const char *shard, const executor_batch_t *batch);
/* Ends BATCH of COORDINATOR wherever it is.  Returns true if nothing of it started. */
bool owner_cancel (site_t *site, const char *coordinator, uint64_t batch);
void owner_set_bounds (site_t *site);
void owner_release (site_t *site, const char *coordinator, uint64_t batch);
void owner_drop_coordinator (site_t *site, const char *coordinator);
/* Rounds of all fleets.  Returns true if anything was done. */
bool owner_rounds (site_t *site, bool all);
void owner_tell_offers (site_t *site, int64_t now_ms);
void owner_free (void *owned);
void owner_free_retired (site_t *site, int64_t now_ms);

void owner_set_drained (site_t *site, const char *shard, bool drained);

/* site_drain.c: which data centres are drained.  The first three take in what the log says. */
void drain_record (const char *name, uint64_t offset, bool drained, void *user);
void drain_listed (const drain_t *listed, size_t count, uint64_t end, void *user);
void drain_read (uint64_t end, void *user);
/* What another host says. */
void drain_read_pull (site_t *site, const char *host, frame_reader_t *reader);
void drain_read_set (site_t *site, const char *host, frame_reader_t *reader);
void drain_read_runs (site_t *site, const char *host, frame_reader_t *reader);
/* Tells HOST the set, if it is known. */
void drain_tell (site_t *site, const char *host);
/* Asks a host that knows more, tells how many tasks still run, writes what is due to be logged. */
void drain_tick (site_t *site, int64_t now_ms);
/* This host stood still for STILL_MS: it may have missed a record.  Returns false, from
 * drain_is_settled (), until the log was asked again. */
void drain_thawed (site_t *site, int64_t still_ms, int64_t now_ms);
bool drain_is_settled (const site_t *site);
void drain_metrics (site_t *site);
/* The page of `jaytrail drains`. */
char *drain_page (void *user);

/* site_metrics.c: counters and latency histograms, served in the usual text format. */
void metrics_job (const scheduler_action_t *answer);
void metrics_task (event_t event, int64_t elapsed_ms);
/* DOUBTFUL: the task is expected to take longer than the time that is left. */
void metrics_wait (int64_t waited_ms, bool doubtful);
void metrics_state (site_t *site, int64_t now_ms);
/* Text of all; the caller frees it. */
char *metrics_text (void);

/* site_peers.c */
int peers_start (site_t *site);
void peers_send (site_t *site, const char *host, GBytes *frame);
void peers_send_all (site_t *site, GBytes *frame);
/* Tells a host of the own data centre which endpoints are there, or that ENTRY has changed, or that
 * endpoint ID is gone. */
void peers_tell_directory (site_t *site, const char *host);
void peers_tell_entry (site_t *site, const executor_entry_t *entry);
void peers_tell_gone (site_t *site, const char *id);
/* A host exists and listens at ADDRESS. */
void peers_know (site_t *site,
                 const char *host,
                 const char *address,
                 const char *data_centre,
                 int32_t power);
void peers_free_known (void *known);
/* Tells HOST of the hubs that this host knows. */
void peers_tell_roster (site_t *site, const char *host);
/* Dials the hosts that this one should be connected to. */
void peers_keep_links (site_t *site, int64_t now_ms);
/* HOST had lost this one: dials it anew, unless that has just been done. */
void peers_renew (site_t *site, const char *host);
/* JOB is cancelled: tells all hosts. */
void peers_forget_job (site_t *site, const char *job);
/* Takes in an entry of the directory, or that endpoint ID is gone from it. */
void site_take_entry (site_t *site, const executor_entry_t *entry);
void site_drop_entry (site_t *site, const char *id);
void peers_beat (site_t *site, int64_t now_ms, bool at_once);
void peers_beat_host (site_t *site, const char *host);
/* Takes over a configuration if it is newer.  Returns true if it was. */
bool site_take_config (site_t *site, const char *data, size_t size, const char *from);

#endif
