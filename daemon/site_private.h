/* site_private.h -- state and internal functions that the files of the site share
 *
 * All functions run on the thread of the event loop.  Times are milliseconds of the boot clock.
 */
#ifndef DAEMON_SITE_PRIVATE_H
#define DAEMON_SITE_PRIVATE_H

#include "base/event.h"
#include "base/traffic.h"
#include "cluster/cluster.h"
#include "drain/drain.h"
#include "executor/executor.h"
#include "executor/executor_msg.h"
#include "executor/removed_entries.h"
#include "scheduler/job_cancellations.h"
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

/* A shard that this host owns, or has yielded less than RETIRED_RETENTION_MS ago. */
typedef struct
{
  site_t *site;
  const char *name; /* interned; the data centre whose endpoints form the shard */
  int64_t token;    /* the fencing token of this host's claim */
  executor_t *executor;
  run_client_t *run_client;
  GArray *actions;    /* executor_action_t */
  bool needs_round;   /* its state has changed since the last round */
  GBytes *last_offer; /* the offer frame that was sent last; NULL if none was */
  int64_t offer_sent_at_ms;
  bool surveyed;             /* executor_is_surveyed () was found under TOKEN */
  int64_t retired_at_ms;     /* when the shard was yielded */
  int64_t returned_by_drain; /* tasks that a drain returned since the last log line about them */
} owned_shard_t;

/* An open connection to another host. */
typedef struct
{
  const char *data_centre; /* interned */
  int64_t opened_at_ms;
  bool reconnecting; /* this host has closed the connection in order to open a new one */
} peer_connection_t;

/* Where another host listens, and when it was dialed last. */
typedef struct
{
  char *address;
  char *data_centre;
  int32_t cpu_millicores;
  int64_t dialed_at_ms; /* 0 if never */
} known_host_t;

/* The end of a task that has not been reported to its coordinator yet. */
typedef struct
{
  const char *coordinator; /* interned */
  executor_task_end_t end;
} pending_task_end_t;

/* Listeners that clients connect to: for callers, and `ready`. */
#define CLIENT_LISTENERS 2

/* What was last logged of the limits of a listener. */
typedef struct
{
  int64_t limit_counts[WEB_LIMIT_COUNT];
  int64_t logged_at_ms; /* 0: never */
  int64_t due_at_ms;    /* no line before */
} client_limits_log_t;

/* A data centre that was out of reach since SINCE_MS, and is reached again; one for each. */
typedef struct
{
  const char *data_centre; /* interned */
  int64_t since_ms;
  int64_t reached_again_ms;
} recovered_t;

struct site_t
{
  platform_settings_t *settings;
  const char *settings_file;
  int64_t settings_stamp; /* changes with the settings file; 0 before the first check */
  const char *host;       /* interned; the name of this host */
  uint64_t incarnation;
  loop_t *loop;
  web_client_t *http_client;
  net_t *net;
  log_client_t *log_client;
  ingress_t *ingress;
  cluster_t *cluster;
  scheduler_t *scheduler;
  queues_t *queues;          /* NULL until a configuration has arrived */
  GBytes *queues_json;       /* the encoded form of QUEUES, as the platform sent it */
  GHashTable *owned_shards;  /* interned shard -> owned_shard_t */
  GPtrArray *retired_shards; /* owned_shard_t, in the order in which they were yielded */
  drains_t *drains;
  GHashTable *running_in_drained; /* interned data centre -> drain_running_t */
  GHashTable *directory;          /* endpoint id -> executor_entry_t */
  removed_entries_t *removed_entries;
  GHashTable *connections;                /* interned host -> peer_connection_t */
  GHashTable *known_hosts;                /* interned host -> known_host_t */
  GHashTable *registrars;                 /* set of interned hosts that answer registrations */
  GArray *cluster_actions;                /* cluster_action_t that have not been carried out */
  GArray *scheduler_actions;              /* likewise, scheduler_action_t */
  job_cancellations_t *job_cancellations; /* its waiters are cancel_waiter_t */
  crash_history_t *crashes;               /* shared by the executors of this host */
  GArray *other_offers; /* executor_offer_t of other shards; valid for one round */
  GArray *task_ends;    /* pending_task_end_t */
  bool store_reachable;
  bool follows_directory; /* whether this host reads the directory of endpoints from the log */
  int64_t directory_followed_since_ms; /* 0 for since its start */
  bool stopping;
  bool running_scheduler_actions; /* they are being carried out */
  int64_t stopping_since_ms;
  int64_t killed_at_ms;    /* the end of the grace period */
  bool listener_closed;    /* no connection of a caller is accepted any more */
  int64_t refreshed_at_ms; /* when the view of the other hosts was last brought up to date */
  int64_t connect_due_ms;
  int64_t config_request_due_ms;
  bool drains_changed; /* the set of drains has changed since the last heartbeat for a change */
  int64_t drain_request_due_ms;
  int64_t drain_report_due_ms;
  int64_t announce_due_ms; /* jobs are announced to other hosts next */
  GPtrArray *relayed;      /* GBytes: announcements of other hosts to pass on */
  GArray *unreached;       /* cluster_unreached_t, as of the last check */
  GArray *recovered;       /* recovered_t */
  int64_t reach_due_ms;    /* checked again then */
  int64_t probe_due_ms;
  int64_t settings_check_due_ms;
  traffic_t traffic; /* since the start */
  traffic_watch_t traffic_watch;
  client_limits_log_t client_limits_logs[CLIENT_LISTENERS];
  int64_t unsent_due_ms; /* when the unsent bytes are read next */
};

extern const ingress_ops_t site_ingress_ops;       /* site_jobs.c */
extern const log_client_ops_t site_log_client_ops; /* site_updates.c */

/* site_jobs.c: names in logs and metrics */
extern const char *const outcome_names[]; /* by scheduler_outcome_t */
extern const char *const size_names[];    /* by scheduler_size_class_t */
extern const char *const limit_names[];   /* by scheduler_limit_t */

/* site.c */
/* Returns how many sockets and pipes the process may open. */
int64_t site_sockets_max (const platform_settings_t *settings);
/* Schedules run_all_actions (), which carries out the pending actions of all libraries.  It runs
 * once, after the events that are ready now, however often this is called before. */
void site_schedule_actions (site_t *site);
/* Informs the scheduler of the end of a task of this host's jobs, as HOST has reported it. */
void site_task_ended (site_t *site, const char *host, const executor_task_end_t *end);

/* site_jobs.c: carries out all pending actions of the scheduler, including those that are added
 * meanwhile.  Called from within an action it does nothing: the call under way carries out what was
 * added. */
void site_run_scheduler_actions (site_t *site);

/* site_updates.c */
/* Adds or replaces an entry of the directory, unless a newer one is there.  An entry that names
 * another shard than the one before removes the endpoint; the entry after it counts again. */
void site_apply_entry (site_t *site, const executor_entry_t *entry);
/* Removes endpoint ID from the directory. */
void site_remove_entry (site_t *site, const char *id);
/* Replaces the configuration by DATA, its encoded form, if that is valid and newer.  FROM names the
 * sender in the log.  Returns true if the configuration was replaced. */
bool site_apply_config (site_t *site, const char *data, size_t size, const char *from);
/* Frees an executor_entry_t and its contents. */
void site_free_entry (void *entry);

/* site_owner.c: the shards that this host owns.  Functions that take a shard do nothing if this
 * host does not own it, unless they say otherwise. */
/* Takes over SHARD, or continues with a new TOKEN.  WHY goes to the log, as in owner_yielded (). */
void owner_claimed (site_t *site, const char *shard, int64_t token, const char *why);
void owner_yielded (site_t *site, const char *shard, const char *why);
/* Tells the shards how recent the directory is, and has it read where tasks that may be running
 * wait for that. */
void owner_update_directory (site_t *site, int64_t now_ms);
/* Adds or updates an endpoint in the shard that ENTRY names. */
void owner_set_entry (site_t *site, const executor_entry_t *entry);
void owner_remove_endpoint (site_t *site, const char *id, const char *data_centre);
/* Queues the tasks of BATCH; reports them as EXECUTOR_NOT_OWNED if this host doesn't own SHARD. */
void owner_submit (site_t *site, const char *shard, const executor_batch_t *batch);
/* Cancels BATCH of COORDINATOR in all owned shards because of REASON.  Returns true if none of its
 * tasks started. */
bool owner_cancel (site_t *site, const char *coordinator, uint64_t batch, stop_reason_t reason);
/* Passes the current settings to the executors of all owned shards. */
void owner_update_options (site_t *site);
/* Releases BATCH of COORDINATOR in all owned shards, as executor_release () does. */
void owner_release (site_t *site, const char *coordinator, uint64_t batch);
/* Whether this host is the only owner of SHARD, does not hear HOLDER and knows that no run of JOB
 * is alive there; sets *TOKEN to that of its claim. */
bool owner_has_no_runs (site_t *site,
                        const char *shard,
                        const char *holder,
                        const char *job,
                        int64_t *token);
/* Records that a coordinator was alive at AT_MS. */
void owner_coordinator_heard (site_t *site, const char *coordinator, int64_t at_ms);
/* Ends the batches of a coordinator that is lost and was alive at LAST_HEARD_AT_MS. */
void owner_remove_coordinator (site_t *site, const char *coordinator, int64_t last_heard_at_ms);
/* Runs a scheduling round for each owned shard: for all of them, or, if not ALL, for those whose
 * state has changed.  Returns true if there were any actions. */
bool owner_run_rounds (site_t *site, bool all);
/* How long this host itself delays its calls to endpoints. */
int64_t owner_own_delay_ms (const site_t *site, int64_t now_ms);
/* Sends the offers and loads of owned shards to all hosts where they are due. */
void owner_send_offers (site_t *site, int64_t now_ms);
/* Tells all hosts which owned shards are surveyed, as soon as they are. */
void owner_announce_surveyed (site_t *site);
/* Tells HOST, which has just connected, which owned shards are surveyed. */
void owner_send_surveyed (site_t *site, const char *host);
/* Frees an owned_shard_t. */
void owner_free_shard (void *owned);
/* Frees yielded shards whose orders have all been answered. */
void owner_free_retired (site_t *site, int64_t now_ms);
void owner_set_drained (site_t *site, const char *shard, bool drained);

/* site_owner_log.c: what owners log of their shards' tasks and endpoints. */
/* Write a line for ACTION, which an executor has decided, and count it in the metrics. */
void owner_log_event (const executor_action_t *action);
void owner_log_loss (const executor_action_t *action);
void owner_log_start (const executor_action_t *action);
/* For a task that leaves the queue without having started; nothing for other actions. */
void owner_log_waiting_task (const executor_action_t *action);
/* Writes a line for each order to stop among ACTIONS, executor_action_t, before the orders are
 * sent: this process may be killed between the two. */
void owner_log_stops (const GArray *actions, int64_t now_ms);
/* TOKEN counts where SHARD is claimed only. */
void owner_log_shard (event_t event, const char *shard, const char *why, int64_t token);

/* site_cancel.c: cancellations of jobs, whichever host has them */
/* Callbacks of the ingress; see ingress_ops_t. */
void cancel_job (const char *id, int64_t answer_by_ms, void *user_data, void **handle, void *user);
void cancel_forget (void *handle, void *user);
/* Handlers of frames that HOST has sent. */
void cancel_read_request (site_t *site, const char *host, frame_reader_t *reader);
void cancel_read_confirmation (site_t *site, const char *host, frame_reader_t *reader);
/* A connection to HOST was opened. */
void cancel_host_connected (site_t *site, const char *host);
void cancel_tick (site_t *site, int64_t now_ms);

/* site_repeats.c: jobs that callers may send to more than one host */
/* Carry out SCHEDULER_NOTE, SCHEDULER_ASK, SCHEDULER_TELL, SCHEDULER_REGISTER and
 * SCHEDULER_ASK_OWNER. */
void repeats_log (const scheduler_action_t *action);
void repeats_ask (site_t *site, const scheduler_action_t *action);
void repeats_tell (site_t *site, const scheduler_action_t *action);
void repeats_register (site_t *site, const scheduler_action_t *action);
void repeats_ask_owner (site_t *site, const scheduler_action_t *action);
/* Handlers of frames that HOST has sent. */
void repeats_read_statuses (site_t *site, const char *host, frame_reader_t *reader);
void repeats_read_relayed (site_t *site, const char *host, frame_reader_t *reader);
void repeats_read_query (site_t *site, const char *host, frame_reader_t *reader);
void repeats_read_runs_query (site_t *site, const char *host, frame_reader_t *reader);
void repeats_read_runs_over (site_t *site, const char *host, frame_reader_t *reader);
void repeats_read_told (site_t *site, const char *host, frame_reader_t *reader);
void repeats_read_all_told (site_t *site, const char *host, frame_reader_t *reader);
void repeats_read_tell_all (site_t *site, const char *host, frame_reader_t *reader);
void repeats_read_registrar (site_t *site, const char *host, frame_reader_t *reader);
void repeats_read_register (site_t *site, const char *host, frame_reader_t *reader);
void repeats_read_registered (site_t *site, const char *host, frame_reader_t *reader);
void repeats_read_told_ack (site_t *site, const char *host, frame_reader_t *reader);
/* Tells the scheduler which hosts register jobs now. */
void repeats_update_registrars (site_t *site);
/* A connection to HOST was opened. */
void repeats_host_connected (site_t *site, const char *host);
/* HOST, which is interned, was lost: its data centre is told the open jobs of this host again, and,
 * if it is that of this host, the jobs that this one knows. */
void repeats_host_lost (site_t *site, const char *host);
/* Announces jobs where that is due. */
void repeats_tick (site_t *site, int64_t now_ms);

/* site_reach.c: which data centres this host's messages reach */
/* Checks that where it is due, tells the scheduler, and logs EVENT_DATA_CENTRE_UNREACHED and
 * EVENT_DATA_CENTRE_REACHED. */
void reach_tick (site_t *site, int64_t now_ms);

/* site_drain.c: which data centres are drained */
/* Callbacks of the store; see log_client_ops_t. */
void drain_on_record (const char *name, uint64_t offset, bool drained, void *user);
void drain_on_list (const drain_t *listed, size_t count, uint64_t end, void *user);
void drain_on_log_read (uint64_t end, void *user);
/* Handlers of frames that HOST has sent. */
void drain_read_set_request (site_t *site, const char *host, frame_reader_t *reader);
void drain_read_set (site_t *site, const char *host, frame_reader_t *reader);
void drain_read_running_tasks (site_t *site, const char *host, frame_reader_t *reader);
/* Sends the set of drains to HOST, unless it is not initialised yet. */
void drain_send_set (site_t *site, const char *host);
/* Requests the set from a host that has a newer one, and reports and logs the tasks of drained
 * shards, where that is due. */
void drain_tick (site_t *site, int64_t now_ms);
/* Called after this process was suspended for SUSPENDED_MS, in which it may have missed a record
 * of the log.  After a long suspension drain_is_current () returns false until the log was read
 * again. */
void drain_process_resumed (site_t *site, int64_t suspended_ms, int64_t now_ms);
bool drain_is_current (const site_t *site);
/* Updates the gauges of drains. */
void drain_update_metrics (site_t *site);
/* Returns the JSON that `jaytrail drains` reads; the caller frees it.  USER is the site. */
char *drain_status_json (void *user);

/* site_metrics.c: counters and latency histograms in the text format of Prometheus */
/* Counts a job that was answered. */
void metrics_count_job (const scheduler_action_t *answer);
/* Counts an event of a task or an endpoint.  ELAPSED_MS is the duration of a run that is done. */
void metrics_count_task_event (event_t event, int64_t elapsed_ms);
/* Counts the start of a task that waited for WAITED_MS.  DOUBTFUL: it is expected to take longer
 * than the time that remains. */
void metrics_count_start (int64_t waited_ms, bool doubtful);
/* Sets the gauges to the present state. */
void metrics_update_gauges (site_t *site, int64_t now_ms);
/* Returns all metrics as text; the caller frees it. */
char *metrics_text (void);

/* site_traffic.c: messages and bytes by kind */
/* Count a frame of FRAME_TYPE; FRAME_BYTES includes its length prefix. */
void traffic_count_sent (site_t *site, int frame_type, size_t frame_bytes);
void traffic_count_received (site_t *site, int frame_type, size_t frame_bytes);
/* Observes the unsent bytes and the lateness of the loop; logs EVENT_TRAFFIC at most once a second.
 * Call it at each tick. */
void traffic_tick (site_t *site, int64_t now_ms);
/* Sets the metrics of traffic to the present state. */
void traffic_update_metrics (site_t *site);

/* site_client_limits.c: what clients hold against their budget */
/* Logs EVENT_CLIENTS_LIMITED if a limit of a listener has acted, at most once in 5 s for each. */
void client_limits_tick (site_t *site, int64_t now_ms);
/* Sets the gauges of what clients hold, and the counters of limits that acted. */
void client_limits_update_metrics (site_t *site);

/* site_peers.c: connections to other hosts.  Functions that send take ownership of FRAME. */
/* Starts to listen, and to connect to the seeds.  Returns 0, or the error code of net_start (). */
int peers_start (site_t *site);
void peers_send (site_t *site, const char *host, GBytes *frame);
void peers_send_all (site_t *site, GBytes *frame);
/* Sends HOST the directory entries of this host's data centre, if it is in that data centre. */
void peers_send_directory (site_t *site, const char *host);
/* Sends a changed entry, or the removal of endpoint ID, to the hosts that need the directory.  Does
 * nothing on a host that does not read the directory itself; an entry must also be of this host's
 * data centre. */
void peers_send_entry (site_t *site, const executor_entry_t *entry);
void peers_send_removal (site_t *site, const char *id);
/* Adds or updates a host that listens at ADDRESS. */
void peers_add_host (site_t *site,
                     const char *host,
                     const char *address,
                     const char *data_centre,
                     int32_t cpu_millicores);
/* Frees a known_host_t. */
void peers_free_host (void *known);
/* Sends HOST the hubs that this host knows, and the first hosts of data centres that are silent, if
 * this host is itself a hub. */
void peers_send_hosts (site_t *site, const char *host);
/* Dials the hosts to which a connection is needed and missing. */
void peers_connect (site_t *site, int64_t now_ms);
/* Opens a connection to HOST, if its address is known and it was not dialed a short time ago. */
void peers_dial (site_t *site, const char *host, int64_t now_ms);
/* Replaces the connection to HOST, which had lost this host, unless the connection is new. */
void peers_reconnect (site_t *site, const char *host);
/* Sends heartbeats that are due; all of them if AT_ONCE, after a change that the others should
 * learn of without delay. */
void peers_send_heartbeats (site_t *site, int64_t now_ms, bool at_once);
void peers_send_heartbeat (site_t *site, const char *host);

#endif
