/* state.h -- the data structures behind scheduler_t and what the files of lib/scheduler share */
#ifndef SCHEDULER_STATE_H
#define SCHEDULER_STATE_H

#include "base/hash.h"
#include "scheduler/admission.h"
#include "scheduler/ended_jobs.h"
#include "scheduler/remote_jobs.h"
#include "scheduler/report_timing.h"
#include "scheduler/scheduler.h"
#include "scheduler/size_history.h"

typedef struct scheduled_job_t scheduled_job_t;

/* Tasks of one job that were sent to one owner together. */
typedef struct
{
  uint64_t number;
  scheduled_job_t *job;
  const char *host;         /* interned */
  const char *shard;        /* interned */
  int64_t token;            /* of the owner's claim on the shard */
  int64_t owner_lost_at_ms; /* last sign of life of the lost HOST, or when it said that it does not
                              own the shard; 0 if neither */
  GArray *open_tasks;       /* int32_t: indexes of the tasks that have not ended */
  bool resent;              /* sent again; HOST may have accepted it the first time */
  bool maybe_running;       /* an earlier owner may have started its tasks */
  int64_t wait_until_ms;    /* MAYBE_RUNNING: the earlier owner's runs are over by then */
  bool cancel_requested;    /* HOST was asked to end it and has not confirmed that yet */
} job_batch_t;

/* A caller that waits for a job at this host. */
typedef struct
{
  uint64_t number;
  scheduled_job_t *job;
  void *user_data;
} job_request_t;

/* An owner has said that it has no run of a job for HOLDER, which it does not hear. */
typedef struct
{
  const char *shard;  /* interned */
  int64_t token;      /* of its claim */
  const char *holder; /* interned */
  int64_t asked_at_ms;
} owner_reply_t;

/* Another host at which callers wait for a job. */
typedef struct
{
  const char *host; /* interned */
  int64_t until_ms; /* they do so until then, unless the host asks again */
} job_follower_t;

struct scheduled_job_t
{
  uint64_t number;
  scheduler_job_t request;  /* of its first request; its strings are copies that the job owns */
  GPtrArray *requests;      /* job_request_t, owned by scheduler_t */
  GArray *followers;        /* job_follower_t */
  bool announced;           /* other hosts were told of it */
  int64_t announced_at_ms;  /* ANNOUNCED: when */
  bool announce_again;      /* its announcement says that it waits, but it runs now */
  bool confirmed;           /* all other data centres have confirmed the announcement, for good */
  GPtrArray *confirmed_by;  /* registrars that have confirmed it; interned */
  GPtrArray *cleared_hosts; /* not heard, and owners have said that they have no run for them;
                               interned */
  uint64_t registration;    /* number of the one that counts, which registrars return */
  int64_t registered_since_ms; /* when that was first sent */
  int64_t register_at_ms;      /* it waits, and is registered again then */
  bool register_again;         /* it runs after it has waited, or anew: registrars should be told */
  bool confirmed_late;         /* it waited, and was confirmed too late, or not: it never starts */
  bool goes_on_logged;         /* SCHEDULER_GOES_ON was appended for it */
  int64_t waits_since_ms; /* it is not run, as another host may run it; 0 if it does not wait */
  int64_t held_until_ms;  /* it waits until then, although no host is known to have it... */
  int64_t told_until_ms;  /* ...and at most until then while others may not have told their jobs */
  const char *holder;     /* it waits: the host that is asked; interned */
  int64_t asked_since_ms; /* HOLDER is asked since then */
  int64_t ask_at_ms;      /* it is asked again then */
  job_evidence_t waited_by; /* it waited until now because of that */
  int64_t ask_owners_at_ms; /* HOLDER is not heard: owners are asked again then */
  GArray *owner_replies;    /* owner_reply_t, one for each shard */
  bool yielded;             /* it was stopped for a later request of it at another host */
  int64_t runs_end_ms;      /* YIELDED: its runs have certainly ended by then */
  placement_target_t aim;   /* its objective and deadline */
  scheduler_size_class_t size_class;
  GArray *unassigned;        /* int32_t: indexes of the tasks that no owner has */
  int64_t no_owner_since_ms; /* no owner has accepted the unassigned tasks since then; 0 if one
                                may */
  GPtrArray *batches;        /* job_batch_t, owned by scheduler_t */
  int32_t tasks_left;        /* tasks that are not done */
  int32_t handovers;         /* as in scheduler_action_t */
  int32_t returned_tasks;    /* as in scheduler_action_t */
  int64_t expected_wait_ms;  /* as forecast on arrival; negative if unknown */
  int64_t report_age_ms;     /* of that forecast; negative if unknown */
  int64_t start_limit_ms;    /* time from arrival within which a task must start; 0 for no limit */
  uint32_t random;           /* the same for all its tasks, so that they go to few owners and
                                the loss of fewer owners can end the job */
  bool was_sent;             /* some of its tasks were sent to an owner */
  bool may_have_run;
  scheduler_limit_t deadline_limit; /* what its deadline stands for */
  bool end_pending;  /* it is answered once the owners have confirmed that its batches have ended */
  bool awaits_stops; /* END_PENDING: its runs are being stopped; it is answered at CONFIRM_BY_MS */
  scheduler_outcome_t outcome;
  const char *reason;
  scheduler_limit_t limit;
  task_failure_t failure; /* as in scheduler_action_t */
  int32_t failed_index;   /* as in scheduler_action_t */
  int64_t confirm_by_ms;  /* END_PENDING: it is answered at this time even without confirmation */
};

/* What an owner offers on the endpoints of one service and speed; see executor_offer_t. */
typedef struct
{
  const char *service; /* interned */
  int32_t free_slots;
  int32_t total_slots;
  double duration_ratio; /* duration of a task over the caller's estimate */
} offer_row_t;

typedef struct
{
  const char *name;       /* interned */
  const char *owner;      /* interned, or NULL */
  int64_t token;          /* of the owner's claim */
  int64_t surveyed_token; /* as in scheduler_set_surveyed (); 0 if it was not told */
  GArray *offers;         /* offer_row_t */
  GHashTable *services;   /* set of the interned names that its owners have offered */
  GArray *loads;          /* forecast_load_t, with interned services */
  bool has_loads;         /* the present owner has reported its load */
  report_timing_t timing; /* of the present owner's reports */
  bool drained;
  int32_t waiting_tasks; /* queued at the owner, by its last offer, plus those assigned since */
} shard_t;

/* A message that HOST has not confirmed yet: it must end batch NUMBER (SCHEDULER_CANCEL) or release
 * it to another owner (SCHEDULER_RELEASE). */
typedef struct
{
  scheduler_action_kind_t kind;
  stop_reason_t reason; /* SCHEDULER_CANCEL */
  uint64_t number;
  const char *host; /* interned */
  int64_t resend_at_ms;
  int64_t expires_at_ms; /* not sent again after this time */
} cancellation_t;

struct scheduler_t
{
  const char *host;
  const char *data_centre;
  int64_t lease_ms;
  double remote_factor;
  GHashTable *shard_by_rack;  /* rack -> interned shard */
  GHashTable *jobs;           /* number -> scheduled_job_t, owned */
  GHashTable *batches;        /* number -> job_batch_t, owned */
  GHashTable *shards;         /* interned name -> shard_t, owned */
  GHashTable *drained_shards; /* set of interned names, which may include unknown shards */
  GPtrArray *shard_order;     /* shard_t, in the order in which they became known */
  GRand *rand;
  GHashTable *cancellations; /* number -> cancellation_t, owned */
  ended_jobs_t *ended_jobs;  /* so that repeated requests are answered and not run */
  GHashTable *jobs_by_id;    /* id -> scheduled_job_t */
  GHashTable *requests;      /* number -> job_request_t, owned */
  remote_jobs_t *remote_jobs;
  GPtrArray *registrars;        /* interned hosts; NULL if jobs are not registered */
  guint quorum;                 /* as in scheduler_set_quorum () */
  const char *required;         /* likewise, interned */
  GArray *registered_ends;      /* job_status_t with own ids: ends that registrars should be told */
  GArray *told_registered_ends; /* the same, of the last call that collected them */
  int64_t told_at_ms;           /* as in scheduler_set_told_at () */
  GArray *unreached;            /* scheduler_unreached_t */
  int64_t confirmed_at_ms;      /* as in scheduler_set_confirmed_at () */
  GArray *untold_ends;         /* job_status_t with own ids: ends that other hosts should be told */
  GArray *told_ends;           /* the same, of the last call of scheduler_collect_statuses () */
  int64_t expire_remote_at_ms; /* when REMOTE_JOBS is searched for expired entries next */
  int64_t resubmit_ms;         /* as in scheduler_options_t */
  int64_t started_at_ms;       /* as in scheduler_options_t */
  int64_t cold_until_ms;       /* as in scheduler_options_t; 0 once it is over */
  int64_t stop_ms;             /* as in scheduler_options_t */
  int64_t cold_for_ms;         /* from the start of a process to that time */
  cold_start_t cold_start;     /* how the cold start has ended; COLD_START_NONE before */
  bool shards_listed;          /* as in scheduler_set_shards_listed () */
  size_history_t *size_history;
  GStringChunk *answer_strings; /* of the jobs that were answered since the last step */
  uint64_t last_number;         /* last number that was given to a job or batch */
  int64_t answer_by_ms;         /* this host stops then; INT64_MAX if it is not stopping */
};

/* assign.c: assigns the unassigned tasks of JOB to owners.  Tasks for which there is no owner stay
 * unassigned. */
void
assign_job_tasks (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions);

/* assign.c: creates an empty batch of JOB for the owner of SHARD, and appends the action that sends
 * a batch. */
job_batch_t *assign_new_batch (scheduler_t *scheduler, scheduled_job_t *job, const shard_t *shard);
void assign_send_batch (const scheduled_job_t *job, const job_batch_t *batch, GArray *actions);

/* slots.c: true if tasks may be assigned to SHARD. */
bool slots_shard_accepts_tasks (const shard_t *shard);

/* slots.c: true if OFFER has slots for tasks of JOB, free or not. */
bool slots_serve_job (const offer_row_t *offer, const scheduled_job_t *job);

/* slots.c: the factor by which tasks of JOB take longer in SHARD if its data are elsewhere. */
double slots_remote_factor (const scheduler_t *scheduler,
                            const shard_t *shard,
                            const scheduled_job_t *job);

/* slots.c: expected duration of a task of JOB on a slot with the duration ratio RATIO. */
int64_t slots_expected_run_ms (double ratio, const scheduled_job_t *job);

/* slots.c: true if a task of JOB should start on a slot with the duration ratio RATIO rather than
 * wait for the best that BEST_OUTCOME names. */
bool slots_are_acceptable (double ratio,
                           const scheduled_job_t *job,
                           const placement_best_t *best_outcome,
                           int64_t now_ms);

/* The slots of one shard for a job, free or not. */
typedef struct
{
  int32_t total;
  int32_t acceptable;
  double total_speed; /* sum of 1 / duration ratio over the acceptable slots */
  double min_ratio;
} slot_summary_t;

/* slots.c: counts the slots of SHARD for JOB.  All of them are acceptable if BEST_OUTCOME is NULL;
 * else those that a task should accept rather than wait for the best that BEST_OUTCOME names. */
slot_summary_t slots_summarise (const scheduler_t *scheduler,
                                const shard_t *shard,
                                const scheduled_job_t *job,
                                const placement_best_t *best_outcome,
                                int64_t now_ms);

/* forecast_job.c: returns the shard whose owner a task of JOB that finds no free slot should go to,
 * and adds the task to the load of that owner.  NULL if there is none, or if an owner that could
 * run the task has not reported its load. */
shard_t *forecast_job_choose_owner (scheduler_t *scheduler,
                                    const scheduled_job_t *job,
                                    const placement_best_t *best_outcome,
                                    int64_t now_ms);

/* forecast_job.c: decides whether the new JOB is admitted, and records the forecast in it. */
admission_t forecast_job_admit (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms);

/* forecast_job.c: after how many milliseconds the caller of the refused JOB should retry. */
int64_t
forecast_job_retry_after_ms (scheduler_t *scheduler, const scheduled_job_t *job, int64_t now_ms);

/* timeouts.c: why JOB must end by its deadline; static. */
const char *scheduler_deadline_reason (const scheduled_job_t *job);

/* timeouts.c: true if too little time is left for JOB, however fast its endpoints are. */
bool scheduler_cannot_finish (const scheduled_job_t *job, int64_t now_ms);

/* cancellations.c: tell the owner of BATCH to end it because of REASON, or that it belongs to
 * another owner now. */
void cancellations_cancel (scheduler_t *scheduler,
                           const job_batch_t *batch,
                           stop_reason_t reason,
                           int64_t now_ms,
                           GArray *actions);
void cancellations_release (scheduler_t *scheduler,
                            const job_batch_t *batch,
                            int64_t now_ms,
                            GArray *actions);
/* Sends all messages again that are due and not confirmed yet. */
void cancellations_resend (scheduler_t *scheduler, int64_t now_ms, GArray *actions);

/* job_end.c: puts the answer of JOB, which is given up, off until its runs have had the time to
 * stop: its caller may send it again as soon as it reads the answer.  Returns false if it may be
 * answered at once. */
bool scheduler_await_stops (const scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms);

/* job_end.c: owners confirm a cancellation within this time; a job does not wait longer for it. */
#define SCHEDULER_CONFIRM_TIMEOUT_MS 60

/* job_end.c: ends JOB before it is complete.  If it is refused, but its owners must first confirm
 * that none of its tasks has run, the answer follows later.  REASON must be a static string. */
void scheduler_end_job (scheduler_t *scheduler,
                        scheduled_job_t *job,
                        scheduler_outcome_t outcome,
                        scheduler_limit_t limit,
                        const char *reason,
                        int64_t now_ms,
                        GArray *actions);
void scheduler_refuse_job (scheduler_t *scheduler,
                           scheduled_job_t *job,
                           scheduler_limit_t limit,
                           const char *reason,
                           int64_t now_ms,
                           GArray *actions);

/* job_end.c: answers JOB with its outcome, and frees it. */
void scheduler_answer_job (scheduler_t *scheduler,
                           scheduled_job_t *job,
                           int64_t now_ms,
                           GArray *actions);

/* job_end.c: tells the owners of JOB to end its batches because of REASON. */
void scheduler_cancel_batches (scheduler_t *scheduler,
                               scheduled_job_t *job,
                               stop_reason_t reason,
                               int64_t now_ms,
                               GArray *actions);

/* job_end.c: ends JOB, for which nobody waits any more, and frees it. */
void
scheduler_drop_job (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions);

/* job_end.c: removes and frees all batches of JOB. */
void scheduler_remove_batches (scheduler_t *scheduler, scheduled_job_t *job);

/* job_end.c: frees JOB without an answer. */
void scheduler_remove_job (scheduler_t *scheduler, scheduled_job_t *job);

/* scheduler.c: starts the new JOB, or one that has waited; it may be refused. */
void
scheduler_start_job (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions);

/* repeats.c: a request of JOB waits at this host; returns its number. */
uint64_t repeats_add_request (scheduler_t *scheduler, scheduled_job_t *job, void *user_data);

/* repeats.c: makes the new JOB wait if its tasks may be running for another coordinator.  Returns
 * whether it waits. */
bool repeats_wait (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions);

/* job_registry.c: registers the new JOB, and makes it wait until a quorum of the registrars has
 * confirmed it.  Returns whether it waits. */
bool
job_registry_wait (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions);

/* job_registry.c: whether a quorum of the registrars has confirmed JOB, or had before it was sent.
 */
bool job_registry_is_confirmed (const scheduler_t *scheduler,
                                const scheduled_job_t *job,
                                int64_t now_ms);

/* job_registry.c: registers JOB, which waits, again if that is due: with those that have not
 * confirmed it, or, if another host has it, with all, which may know more of that host by now.
 * Nothing is due in a cold start, in which no job starts. */
void job_registry_step (scheduler_t *scheduler,
                        scheduled_job_t *job,
                        bool is_elsewhere,
                        int64_t now_ms,
                        GArray *actions);

/* job_registry.c: tells the registrars once that JOB runs here although another host had it, or
 * that its tasks start anew: they tell which other host runs it. */
void job_registry_step_running (scheduler_t *scheduler, scheduled_job_t *job, GArray *actions);

/* job_registry.c: JOB has ended with STATUS, which the registrars should be told. */
void job_registry_add_end (scheduler_t *scheduler, const job_status_t *status);

/* repeats.c: asks, goes on waiting, or starts JOB, which waits. */
void repeats_step_waiting (scheduler_t *scheduler,
                           scheduled_job_t *job,
                           int64_t now_ms,
                           GArray *actions);

/* repeats.c: JOB_STATUS_OPEN if JOB, which is open, runs, and owners may start none of its tasks
 * anew; else JOB_STATUS_WAITING. */
job_status_kind_t repeats_open_kind (const scheduled_job_t *job);

/* repeats.c: whether a caller waits for JOB, here or at another host. */
bool repeats_is_wanted (const scheduled_job_t *job, int64_t now_ms);

/* repeats.c: JOB ends with OUTCOME; tells its followers, and remembers its runs if they may go on.
 */
void repeats_job_ends (scheduler_t *scheduler,
                       const scheduled_job_t *job,
                       scheduler_outcome_t outcome,
                       int64_t now_ms,
                       GArray *actions);

/* A host that may run a job that waits here, and the owners if that host is not heard, are asked at
 * this interval. */
#define REPEATS_ASK_INTERVAL_MS 200

/* unannounced.c: whether the runs of JOB, which is open, must end as it may soon be sent again to a
 * data centre that may not know of it. */
bool
unannounced_must_end (const scheduler_t *scheduler, const scheduled_job_t *job, int64_t now_ms);

/* unannounced.c: whether all other data centres have confirmed that they were told of JOB. */
bool unannounced_is_confirmed (const scheduler_t *scheduler, const scheduled_job_t *job);

/* Sets confirmed_late of JOB, which waits, if that is so. */
void unannounced_step_waiting (const scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms);

/* unannounced.c: the new JOB, or one that has waited, must end before it may be sent again to a
 * data centre that is out of reach now, and may have run there. */
void unannounced_limit_deadline (const scheduler_t *scheduler, scheduled_job_t *job);

/* unannounced.c: the number of data centres that are out of reach. */
int32_t unannounced_count_unreached (const scheduler_t *scheduler);

/* unannounced.c: appends SCHEDULER_GOES_ON once JOB is so old that its runs would have ended if
 * they had to. */
void
unannounced_log (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions);

/* owners.c: returns the shard with this name, which is created if it is unknown. */
shard_t *scheduler_find_shard (scheduler_t *scheduler, const char *name);

/* cold_start.c: makes the new JOB wait if this process has just started.  Returns whether it
 * waits. */
bool
cold_start_wait (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions);

/* cold_start.c: appends SCHEDULER_STARTS if JOB, which starts, rests on what is known of a young
 * process or a cut. */
void cold_start_log (scheduler_t *scheduler,
                     const scheduled_job_t *job,
                     int64_t now_ms,
                     GArray *actions);

/* late_requests.c: makes the new JOB wait if a cut may have held up its request.  Returns whether
 * it waits. */
bool
late_request_wait (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions);

/* late_requests.c: whether JOB, which waits, must not start yet although no host is known to have
 * it. */
bool
late_request_is_held (const scheduler_t *scheduler, const scheduled_job_t *job, int64_t now_ms);

/* restarts.c: gives up those jobs of BATCHES, whose tasks would start anew, that another host may
 * have taken, and removes their batches from BATCHES.  OWNER_LOST_US: their owner had lost this
 * host. */
void restarts_give_up (scheduler_t *scheduler,
                       GPtrArray *batches,
                       bool owner_lost_us,
                       int64_t now_ms,
                       GArray *actions);

/* repeats.c: appends an action of KIND about the job with ID at HOST. */
scheduler_action_t *repeats_add_action (scheduler_t *scheduler,
                                        scheduler_action_kind_t kind,
                                        const char *host,
                                        const char *id,
                                        GArray *actions);

/* lost_host.c: whether all runs of JOB for the host of REMOTE, which is not heard, have certainly
 * ended. */
bool lost_host_runs_are_over (const scheduler_t *scheduler,
                              const scheduled_job_t *job,
                              const remote_job_t *remote,
                              int64_t now_ms);

/* lost_host.c: asks the owners whether they have runs of JOB for that host, if that is due. */
void lost_host_ask_owners (scheduler_t *scheduler,
                           scheduled_job_t *job,
                           const remote_job_t *remote,
                           int64_t now_ms,
                           GArray *actions);

/* owners.c: the time within which the runs of a coordinator end after its process has ended. */
int64_t scheduler_runs_end_ms (const scheduler_t *scheduler);

/* repeats.c: forgets what other hosts have told, where its time is over. */
void repeats_expire (scheduler_t *scheduler, int64_t now_ms);

/* scheduler.c: JOB must end by UNTIL_MS because of LIMIT. */
void scheduler_limit_deadline (scheduled_job_t *job, int64_t until_ms, scheduler_limit_t limit);

/* scheduler.c: appends an empty action, which is valid until the next one is appended. */
scheduler_action_t *scheduler_add_action (GArray *actions, scheduler_action_kind_t kind);

/* scheduler.c: removes and frees BATCH, whose tasks have ended or belong to another batch. */
void scheduler_remove_batch (scheduler_t *scheduler, job_batch_t *batch);

#endif
