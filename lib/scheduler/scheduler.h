/* scheduler.h -- the jobs of one coordinator: assigns their tasks to owners and decides the answers
 *
 * The host that receives a job from its caller is the job's coordinator until the job is answered.
 * The scheduler distributes the tasks over the owners of the shards by the capacity that they
 * offer, moves them to the new owner when a shard changes hands, and answers the job as soon as
 * its outcome is certain: complete, failed after the allowed number of attempts, refused without
 * having run, given up, or cancelled.
 *
 * A caller that has no answer may send its job again, to any host.  All requests of a job at one
 * host wait for the same run.  A job that another host still runs is not started: its request waits
 * for that host's answer (repeats.c).
 *
 * The module is pure: events and the current time go in, and actions (scheduler_action_t) are
 * appended to an array.  Times are milliseconds of the boot clock.  Not thread-safe.  Strings in
 * events are copied; pointers in actions are valid until the next call.
 */
#ifndef SCHEDULER_SCHEDULER_H
#define SCHEDULER_SCHEDULER_H

#include "executor/executor.h"
#include "scheduler/job_status.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct scheduler_t scheduler_t;

typedef struct
{
  const char *id;
  const char *queue;     /* name of its queue; "" if it has none */
  const char *spec;      /* passed to the endpoints as it is */
  const char *service;   /* the endpoints of this service run its tasks */
  int32_t priority;      /* 0 is the most urgent */
  int32_t tasks;         /* number of tasks */
  resources_t need;      /* resources that each task needs */
  int64_t estimate_ms;   /* duration of a task as estimated by the caller */
  double stretch_factor; /* the objective is the estimate times this factor plus TARGET_MS */
  int64_t target_ms;     /* fixed part of the objective */
  int64_t received_at_ms;
  int64_t idle_ms;            /* nothing had come on the caller's connection for this long */
  int64_t deadline_at_ms;     /* nobody waits for the answer after this time */
  bool deadline_from_queue;   /* the caller set no deadline, so that of the queue applies */
  int64_t start_by_ms;        /* refused if no task has started by then; 0 for no limit */
  int32_t attempts_max;       /* the job fails with a task that has failed this often */
  const char *label;          /* required kind or rack of the endpoints; "" for any */
  const char *preferred_rack; /* rack that holds the data; "" for none */
  int32_t spread_max;         /* tasks of a step on one endpoint; 0 for any number */
  void *user_data;            /* passed back with the answer */
} scheduler_job_t;

typedef enum
{
  SCHEDULER_COMPLETE,
  SCHEDULER_FAILED,   /* a task has used up its attempts */
  SCHEDULER_REFUSED,  /* no task has run, and none will */
  SCHEDULER_GIVEN_UP, /* some of its tasks may have run */
  SCHEDULER_CANCELLED /* cancelled by its caller; some of its tasks may have run */
} scheduler_outcome_t;

/* The limit because of which a job ended early. */
typedef enum
{
  SCHEDULER_LIMIT_NONE,
  SCHEDULER_LIMIT_CALLER_WAIT, /* it can't end while its caller waits */
  SCHEDULER_LIMIT_QUEUE_TIME,  /* it can't end within the time that its queue allows, or none of its
                                  tasks has started within it */
  SCHEDULER_LIMIT_ATTEMPTS,    /* a task has used up the attempts that its queue allows, or the
                                  endpoints on which it ran have crashed */
  SCHEDULER_LIMIT_OWNERS,      /* no owner had endpoints for it, or an owner was lost */
  SCHEDULER_LIMIT_DRAINED,     /* every data centre with endpoints for it is drained */
  SCHEDULER_LIMIT_STOPPING,    /* it can't end before this host stops */
  SCHEDULER_LIMIT_CAPACITY,    /* refused on arrival because the backlog is too long */
  SCHEDULER_LIMIT_UNREACHED,   /* another data centre may not know of it */
  SCHEDULER_LIMIT_LAST = SCHEDULER_LIMIT_UNREACHED
} scheduler_limit_t;

/* The size of a job, which is the work that its caller expects, among recent jobs of its queue. */
typedef enum
{
  SCHEDULER_SIZE_USUAL,
  SCHEDULER_SIZE_LARGE,  /* among the largest 30%, but not the largest 10% */
  SCHEDULER_SIZE_LARGEST /* among the largest 10% */
} scheduler_size_class_t;

#define SCHEDULER_OWNERS_BYTES 128

typedef enum
{
  SCHEDULER_SUBMIT,    /* send BATCH to HOST */
  SCHEDULER_CANCEL,    /* tell HOST to end batch BATCH_NUMBER */
  SCHEDULER_RELEASE,   /* tell HOST that batch BATCH_NUMBER now belongs to another owner */
  SCHEDULER_ANSWER,    /* answer the caller of a job */
  SCHEDULER_ASK,       /* ask HOST for the status of job JOB_ID */
  SCHEDULER_TELL,      /* tell HOST the STATUS of job JOB_ID */
  SCHEDULER_REGISTER,  /* register job JOB_ID, of which STATUS tells, with HOST */
  SCHEDULER_ASK_OWNER, /* ask HOST whether it has runs of job JOB_ID for HOLDER in SHARD */
  SCHEDULER_NOTE,      /* log FINDING: job JOB_ID was found at HOST, as told AGE_MS ago */
  SCHEDULER_GOES_ON,   /* log that job JOB_ID goes on although it may be sent again */
  SCHEDULER_STARTS     /* log why job JOB_ID may start here although this process, or a cut, is
                          young */
} scheduler_action_kind_t;

/* What follows for a request whose job is, or was, run by another coordinator. */
typedef enum
{
  SCHEDULER_FOUND_COLD,     /* this process has just started: it waits until no run goes on that
                               an earlier process knew of */
  SCHEDULER_FOUND_LATE,     /* it may have been held up: it waits until other hosts have told */
  SCHEDULER_FOUND_OPEN,     /* it waits for the answer of the other host */
  SCHEDULER_FOUND_STOPPING, /* it waits until the runs for the other host have ended */
  SCHEDULER_FOUND_ENDED,    /* it is answered with the outcome at the other host */
  SCHEDULER_FOUND_OVER,     /* the runs for the other host have ended: it runs here */
  SCHEDULER_FOUND_SILENT,   /* the other host does not answer: it waits for replies of the owners */
  SCHEDULER_FOUND_AT_BOTH,  /* both hosts run it; the other one stops */
  SCHEDULER_FOUND_YIELDED   /* both hosts run it; this one stops, and waits for the other */
} scheduler_finding_t;

/* How the time just after the start of a process has ended, in which runs may go on that only
 * earlier processes knew of (cold_start.c). */
typedef enum
{
  COLD_START_NONE,        /* there was none */
  COLD_START_TOLD,        /* a hub that is older has told all jobs that it knows */
  COLD_START_SURVEYED,    /* the owners of all shards have found no such run */
  COLD_START_LEASES_ENDED /* all leases of earlier processes have ended */
} cold_start_t;

typedef struct
{
  scheduler_action_kind_t kind;
  const char *host;   /* interned */
  const char *shard;  /* SCHEDULER_SUBMIT, SCHEDULER_ASK_OWNER; interned */
  const char *holder; /* SCHEDULER_ASK_OWNER; interned */
  uint64_t batch_number;
  stop_reason_t stop_reason;   /* SCHEDULER_CANCEL */
  executor_batch_t batch;      /* SCHEDULER_SUBMIT; its strings belong to the scheduler */
  GArray *task_indexes;        /* SCHEDULER_SUBMIT: int32_t; the receiver of the action unrefs it */
  job_status_t status;         /* SCHEDULER_TELL, SCHEDULER_REGISTER; its id is JOB_ID */
  uint64_t registration;       /* SCHEDULER_REGISTER: which registrars return */
  scheduler_finding_t finding; /* SCHEDULER_NOTE */
  job_evidence_t evidence;     /* SCHEDULER_NOTE: what FINDING rests on */
  int64_t age_ms;              /* SCHEDULER_NOTE; SCHEDULER_GOES_ON: since it was received */
  /* SCHEDULER_GOES_ON, counted from the receipt of the job: */
  int64_t announced_ms; /* when it was announced; negative if it was not */
  int64_t confirmed_ms; /* what was sent before is known in all other data centres */
  int32_t unreached; /* SCHEDULER_GOES_ON, SCHEDULER_STARTS: data centres that are out of reach */
  /* SCHEDULER_STARTS; AGE_MS is that of this process: */
  cold_start_t cold_start; /* how its cold start has ended */
  int64_t waited_ms;       /* since the job was received */
  int64_t idle_ms;         /* as in scheduler_job_t */
  bool limited;            /* it ends before it may be sent again */
  /* The other fields are those of SCHEDULER_ANSWER. */
  bool repeated; /* another request of the job was answered, or it had ended before; then only
                    OUTCOME, USER_DATA, JOB_ID, REASON and RETRY_AFTER_MS are set */
  scheduler_outcome_t outcome;
  void *user_data;    /* NULL if only callers at other hosts wait */
  const char *reason; /* static; NULL if the job is complete */
  scheduler_limit_t limit;
  int64_t retry_after_ms; /* SCHEDULER_REFUSED: when the caller should retry, from now */
  int64_t elapsed_ms;     /* since the job was received */
  int64_t late_by_ms;     /* time after the objective; negative if the answer is in time */
  /* For the log: */
  const char *job_id;       /* valid until the next call */
  const char *queue;        /* valid until the next call */
  int64_t expected_wait_ms; /* wait of a task as forecast on arrival; negative if unknown */
  int64_t report_age_ms;    /* age of the load report behind that forecast; negative if unknown */
  int32_t tasks;
  int64_t estimate_ms;
  scheduler_size_class_t size_class;
  int32_t tasks_left; /* tasks that are not done */
  int32_t handovers;  /* how often a part of the job was moved to another owner, or sent again as
                         tasks that may be running */
  int32_t returned_tasks;              /* tasks that owners gave back to be assigned again */
  char owners[SCHEDULER_OWNERS_BYTES]; /* "HOST:TASKS" for each owner with unfinished tasks */
  task_failure_t failure; /* why a task has failed or was given up, if its owner told */
  int32_t failed_index;   /* of that task */
} scheduler_action_t;

typedef struct
{
  const char *host; /* id of this host */
  const char *data_centre;
  int64_t lease_ms;     /* as in executor_options_t */
  double remote_factor; /* as in executor_options_t */
  /* Of this process.  Its jobs and batches are numbered from here, as an owner may still tell the
   * end of a batch that an earlier process of this host has sent. */
  uint64_t incarnation;
  /* A caller without an answer sends its job again after this time, by its own clock, and a lost
   * coordinator's runs have ended after it.  0: jobs at other hosts are neither told nor asked
   * for. */
  int64_t resubmit_ms;
  int64_t started_at_ms; /* of this process */
  /* No run goes on after this time that only earlier processes knew of; 0 if there was none. */
  int64_t cold_until_ms;
  /* The longest time that a stop takes.  A job that is given up is answered when its runs have had
   * that time to end; 0: at once. */
  int64_t stop_ms;
} scheduler_options_t;

scheduler_t *scheduler_new (const scheduler_options_t *options);
void scheduler_free (scheduler_t *scheduler);

/* Admits a job and assigns its tasks, or refuses it without sending anything if it is nearly
 * certain that it can't be served in time.  The request of a job that is known to have completed,
 * failed or been cancelled (see ended_jobs.h) is answered with that outcome at once.  An id names
 * one job: another request of a job that is open here waits for the same answer, whatever it holds,
 * and that of a job that another host runs waits for that host (repeats.c).  Some of its actions
 * may follow in scheduler_step () only.  Returns the number of the request, for scheduler_abandon
 * (). */
uint64_t scheduler_submit (scheduler_t *scheduler,
                           const scheduler_job_t *job,
                           int64_t now_ms,
                           GArray *actions);

/* The caller of request NUMBER has disconnected.  Ends the tasks of its job without an answer,
 * unless others wait for it, here or at another host.  No-op if the request is unknown. */
void scheduler_abandon (scheduler_t *scheduler, uint64_t number, int64_t now_ms, GArray *actions);

/* HOST, or another one for it, tells the status of one of its jobs.  HOST may be this one, of which
 * a process before this one may have run the job. */
void scheduler_job_told (scheduler_t *scheduler,
                         const char *host,
                         const job_status_t *status,
                         int64_t now_ms,
                         GArray *actions);

/* HOST, of which another one has told that it has the job with ID, is not heard here. */
void scheduler_job_unheard (scheduler_t *scheduler, const char *id, const char *host);

/* HOST, at which a caller waits for the job with ID, asks for its status.  While it goes on asking,
 * the job is not ended for want of a caller at this host. */
void scheduler_job_asked (scheduler_t *scheduler,
                          const char *host,
                          const char *id,
                          int64_t now_ms,
                          GArray *actions);

/* The registrars of this host's jobs are HOSTS, names, from now on (job_registry.c): the hubs of
 * its data centre that it hears, itself included if it is one, and at times a witness.  No job
 * starts that too few of them have confirmed, so that none starts while there are none.  NULL, as
 * before the first call: jobs are not registered. */
void scheduler_set_registrars (scheduler_t *scheduler, const GPtrArray *hosts, GArray *actions);

/* From now on QUORUM registrars must have confirmed a job before it starts, REQUIRED (or NULL)
 * among them.  0, as before the first call: a majority. */
void scheduler_set_quorum (scheduler_t *scheduler, guint quorum, const char *required);

/* Registers all open jobs with HOST, which may have lost what it was told. */
void scheduler_register_all (scheduler_t *scheduler, const char *host, GArray *actions);

/* HOST, a registrar, has recorded the job with ID, as registration NUMBER has asked.  To be called
 * after scheduler_job_claimed () for all that it knows of others that have the job. */
void scheduler_job_registered (scheduler_t *scheduler,
                               const char *host,
                               const char *id,
                               uint64_t number,
                               int64_t now_ms,
                               GArray *actions);

/* A registrar knows of another host that has the job with ID, which is registered with it. */
void scheduler_job_claimed (scheduler_t *scheduler,
                            const char *id,
                            const job_claim_t *claim,
                            int64_t now_ms,
                            GArray *actions);

/* HOST is about to start the job of STATUS, and registers it with this host.  Appends to CLAIMS,
 * job_claim_t with interned hosts, what is known of others that have it.  Returns whether this host
 * confirms: not before it knows what earlier processes were told. */
bool scheduler_register (scheduler_t *scheduler,
                         const char *host,
                         const job_status_t *status,
                         int64_t now_ms,
                         GArray *claims);

/* The present registrars, interned names; NULL if jobs are not registered.  Valid until they are
 * set anew. */
const GPtrArray *scheduler_registrars (const scheduler_t *scheduler);

/* Appends to STATUSES, job_status_t, the ends of jobs that only registrars know of, since the last
 * call; they wait while there are no registrars.  Their ids are valid until the next call. */
void scheduler_collect_registered_ends (scheduler_t *scheduler, GArray *statuses);

/* Appends to STATUSES, job_status_t, what other hosts should be told since the last call: jobs that
 * have been open for long enough to be sent again elsewhere, and the ends of these.  Their ids are
 * valid until the next call. */
void scheduler_collect_statuses (scheduler_t *scheduler, int64_t now_ms, GArray *statuses);

/* Calls FUNCTION for each job whose runs may go on for another host, as far as is known, with that
 * host, for RECEIVER, which may not have been told.  What RECEIVER itself had is told as stopped,
 * for the case that its process has just started. */
void scheduler_foreach_remote (const scheduler_t *scheduler,
                               const char *receiver,
                               int64_t now_ms,
                               void (*function) (const char *host,
                                                 const job_status_t *status,
                                                 void *data),
                               void *data);

/* Appends the jobs that other hosts were told and that are open, for a host that may not know. */
void scheduler_append_open (const scheduler_t *scheduler, GArray *statuses);

/* Ends the job with ID, all its requests here, and answers them as cancelled.  Returns false if it
 * is not on this host.  In both cases a later request for it is answered as cancelled. */
bool scheduler_cancel (scheduler_t *scheduler, const char *id, int64_t now_ms, GArray *actions);

/* Calls FUNCTION with the ids of the jobs that were last cancelled, here or elsewhere. */
void scheduler_foreach_cancelled (const scheduler_t *scheduler,
                                  void (*function) (const char *id, void *data),
                                  void *data);

/* What an owner reports of one shard. */
typedef struct
{
  const GArray *offers; /* executor_offer_t */
  const GArray *loads;  /* executor_load_t, one for each service; NULL if it has reported no load */
  int32_t waiting_tasks; /* queued there */
} scheduler_report_t;

/* Replaces the report of HOST, as the owner of SHARD, by REPORT, which was received at NOW_MS.
 * Ignored if HOST does not own SHARD.  As long as an owner has not reported any load, tasks are
 * assigned by its number of waiting tasks, and no job is refused because of a backlog. */
void scheduler_set_report (scheduler_t *scheduler,
                           const char *shard,
                           const char *host,
                           const scheduler_report_t *report,
                           int64_t now_ms);

/* Records that endpoints of RACK belong to SHARD. */
void scheduler_set_rack_shard (scheduler_t *scheduler, const char *rack, const char *shard);

/* All racks of the directory have been named since the start of this process. */
void scheduler_set_shards_listed (scheduler_t *scheduler);

/* A hub of this data centre whose own cold start is over has told all jobs that it knows. */
void scheduler_all_told (scheduler_t *scheduler);

/* Whether the cold start of this host is over: it knows what its data centre was told, or no run
 * can go on that only earlier processes knew of. */
bool scheduler_is_warm (scheduler_t *scheduler, int64_t now_ms);

/* The owner of SHARD under the claim with TOKEN has found no run there that goes on from before
 * that claim (executor_is_surveyed ()).  SHARD need not be known. */
void scheduler_set_surveyed (scheduler_t *scheduler, const char *shard, int64_t token);

/* Sets whether the data centre of SHARD is drained.  No task is assigned to a drained data centre.
 * A job is refused at once if every data centre with endpoints for its service is drained. */
void scheduler_set_drained (scheduler_t *scheduler, const char *shard, bool drained);

/* Records that HOST (NULL for nobody) owns SHARD under the claim with TOKEN, and sends the batches
 * of the shard to the new owner. */
void scheduler_set_owner (scheduler_t *scheduler,
                          const char *shard,
                          const char *host,
                          int64_t token,
                          int64_t now_ms,
                          GArray *actions);

/* HOST is not heard; its last sign of life was received at HEARD_AT_MS.  Its own jobs may still
 * run. */
void scheduler_host_lost (scheduler_t *scheduler,
                          const char *host,
                          int64_t heard_at_ms,
                          int64_t now_ms,
                          GArray *actions);

/* Every other host has certainly received what this host sent before TOLD_AT_MS.  To be called
 * before scheduler_set_owner (), scheduler_host_lost () and scheduler_batches_dropped (), which
 * give up jobs for want of that. */
void scheduler_set_told_at (scheduler_t *scheduler, int64_t told_at_ms);

/* A data centre that is out of reach, or was so lately that requests which the cut held up may
 * still arrive: then REACHED_AT_MS is INT64_MAX. */
typedef struct
{
  int64_t reached_at_ms; /* it has certainly received what was sent before */
  int64_t since_ms;      /* it was out of reach by then, unless links are slow */
  bool heard;            /* hosts of it are heard since, and may not have told all their jobs */
} scheduler_unreached_t;

/* A data centre is out of reach.  New jobs must end before they may be sent again there
 * (unannounced.c), and requests that came on connections that had been idle wait (late_requests.c).
 * Holds until scheduler_clear_unreached () is called. */
void scheduler_add_unreached (scheduler_t *scheduler, const scheduler_unreached_t *unreached);
void scheduler_clear_unreached (scheduler_t *scheduler);

/* A host of each other data centre has received what this host sent before CONFIRMED_AT_MS;
 * INT64_MAX if there is none.  A job that was not announced before is given up before it may be
 * sent again (unannounced.c). */
void scheduler_set_confirmed_at (scheduler_t *scheduler, int64_t confirmed_at_ms);

/* Whether a job was announced that not every other data centre has confirmed yet. */
bool scheduler_awaits_confirmation (const scheduler_t *scheduler);

/* The number of open jobs that a host does not certainly know of that has received what was sent
 * before REACHED_AT_MS. */
int32_t scheduler_count_untold (const scheduler_t *scheduler, int64_t reached_at_ms);

/* A process of another host is heard that was started at STARTED_AT_MS.  One before it may have
 * granted leases until then. */
void scheduler_host_found (scheduler_t *scheduler, int64_t started_at_ms);

/* Another process of HOST is heard, which was started at STARTED_AT_MS: the one before has ended.
 */
void scheduler_host_restarted (scheduler_t *scheduler, const char *host, int64_t started_at_ms);

/* The owner of SHARD by TOKEN, which was asked at ASKED_AT_MS, does not hear HOLDER and has no run
 * of the job with ID. */
void scheduler_runs_over (scheduler_t *scheduler,
                          const char *id,
                          const char *holder,
                          const char *shard,
                          int64_t token,
                          int64_t asked_at_ms);

/* Sends all open batches to HOST again, because messages to or from it may have been lost. */
void scheduler_resend_batches (scheduler_t *scheduler, const char *host, GArray *actions);

/* HOST counted this host as lost and has dropped the batches of this host: sends them again, as
 * tasks that may be running. */
void scheduler_batches_dropped (scheduler_t *scheduler,
                                const char *host,
                                int64_t now_ms,
                                GArray *actions);

/* Gives up all jobs, because this host was suspended for so long that owners have dropped its
 * batches.  REASON must be a static string. */
void
scheduler_give_up_all (scheduler_t *scheduler, const char *reason, int64_t now_ms, GArray *actions);

/* This host stops: every job must be answered by ANSWER_BY_MS.  Those that have not ended by then
 * are refused or given up, and a new job that can't end by then is refused at once. */
void scheduler_stop (scheduler_t *scheduler, int64_t answer_by_ms);

/* How a task has ended at an owner. */
typedef enum
{
  SCHEDULER_TASK_DONE,
  SCHEDULER_TASK_FAILED,    /* it has used up its attempts, or has crashed its endpoints */
  SCHEDULER_TASK_RETURNED,  /* it never started, and is no longer queued there */
  SCHEDULER_TASK_EXPIRED,   /* it never started, and can't end before its deadline */
  SCHEDULER_TASK_UNSTARTED, /* it never started within its queue's time */
  SCHEDULER_TASK_OVERDUE,   /* it may have run, and can't end before its deadline */
  SCHEDULER_TASK_NOT_OWNED, /* HOST does not own the shard, and does not know the task */
  SCHEDULER_TASK_VACATED    /* it may have run, none of its runs is left, and HOST won't start it */
} scheduler_task_end_t;

/* Returns the end of a task for HOW, an action from EXECUTOR_DONE to EXECUTOR_RETURNED_AFTER_RUN of
 * its owner. */
scheduler_task_end_t scheduler_task_end_of (executor_action_kind_t how);

/* HOST tells why task INDEX of batch NUMBER, whose end follows, has failed or was given up. */
void scheduler_note_failure (scheduler_t *scheduler,
                             const char *host,
                             uint64_t number,
                             int32_t index,
                             const task_failure_t *failure);

/* Task INDEX of batch NUMBER has ended at HOST. */
void scheduler_task_ended (scheduler_t *scheduler,
                           const char *host,
                           uint64_t number,
                           int32_t index,
                           scheduler_task_end_t how,
                           int64_t now_ms,
                           GArray *actions);

/* HOST confirms that it has ended batch NUMBER, or has released it to another owner.  NEVER_STARTED
 * is true if none of its tasks has run there. */
void scheduler_batch_end_confirmed (scheduler_t *scheduler,
                                    const char *host,
                                    uint64_t number,
                                    bool never_started,
                                    int64_t now_ms,
                                    GArray *actions);

/* Assigns tasks that have no owner, answers jobs that can't end or whose time is over, and repeats
 * unconfirmed messages.  Call it after other events and every few milliseconds. */
void scheduler_step (scheduler_t *scheduler, int64_t now_ms, GArray *actions);

/* Appends the offers of the owners of all shards but SHARD, as executor_offer_t, without those of
 * owners whose next report is overdue. */
void scheduler_append_other_offers (const scheduler_t *scheduler,
                                    const char *shard,
                                    int64_t now_ms,
                                    GArray *offers);

/* Returns the number of jobs that are not answered yet. */
int32_t scheduler_job_count (const scheduler_t *scheduler);

/* True if some owner has endpoints, be its data centre drained or not. */
bool scheduler_has_offers (const scheduler_t *scheduler);

#endif
