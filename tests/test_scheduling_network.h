/* test_scheduling_network.h -- delivery of orders to endpoints and of messages between hosts */
#ifndef TESTS_TEST_SCHEDULING_NETWORK_H
#define TESTS_TEST_SCHEDULING_NETWORK_H

#include "tests/test_scheduling_endpoint.h"
#include "tests/test_scheduling_link.h"

/* --- orders to endpoints --- */

/* An order of an executor to an endpoint: to start or to stop a run, or to list the runs. */
typedef struct
{
  sim_host_t *host;
  uint64_t incarnation;
  int data_centre;
  uint32_t generation; /* of the executor that sent it */
  sim_endpoint_t *endpoint;
  executor_action_t action; /* owns its copy of the task's id */
  int64_t token;
  bool late;                /* it is carried out long after it was sent */
  int64_t deadline_at_ms;   /* it has no answer once the host's own delay has passed after it */
  int64_t last_event_at_ms; /* of its arrival and that of its answer, so far */
  bool answered;
  bool answer_lost;
  executor_answer_t answer;
  int64_t endpoint_clock_ms;
  run_listing_t listing;
} sim_order_t;

/* The shard whose executor sent ORDER; NULL if the host has been restarted or has yielded it. */
static owned_shard_t *
owner_of_order (const sim_order_t *order)
{
  owned_shard_t *owned = &order->host->owned_shards[order->data_centre];
  bool same = is_up (order->host) && order->host->incarnation == order->incarnation
              && owned->executor != NULL && owned->generation == order->generation;

  return same ? owned : NULL;
}

static void
order_free (sim_order_t *order)
{
  run_listing_clear (&order->listing);
  g_free ((char *) order->action.task);
  g_free (order);
}

static void
deliver_order_answer (simulation_t *sim, sim_order_t *order)
{
  owned_shard_t *owned = owner_of_order (order);
  sim_host_t *host = order->host;

  if (owned == NULL)
    return;
  if (order->action.kind == EXECUTOR_START)
    executor_start_answered (owned->executor, order->action.serial, order->answer,
                             order->endpoint_clock_ms, sim->now_ms, host->executor_actions);
  else if (order->action.kind == EXECUTOR_STOP)
    executor_stop_answered (owned->executor, order->action.serial, order->answer,
                            order->endpoint_clock_ms, sim->now_ms, host->executor_actions);
  else
    executor_poll_answered (owned->executor, order->action.serial, order->answer,
                            order->answer == EXECUTOR_OK ? &order->listing.poll_result : NULL,
                            sim->now_ms, host->executor_actions);
  run_all_actions (host);
}

/* If HOST is frozen, schedules HANDLER again for when its process resumes, and returns true. */
static bool
postpone_while_frozen (simulation_t *sim,
                       const sim_host_t *host,
                       event_handler_t handler,
                       void *data)
{
  if (!is_up (host) || host->frozen_until_ms <= sim->now_ms)
    return false;
  schedule_event (sim, host->frozen_until_ms + 1, handler, data);
  return true;
}

/* Schedules the arrival of ORDER or of its answer. */
static void
schedule_order (simulation_t *sim, int64_t at_ms, event_handler_t handler, sim_order_t *order)
{
  order->last_event_at_ms = MAX (order->last_event_at_ms, at_ms);
  schedule_event (sim, at_ms, handler, order);
}

/* How long HOST itself delays its calls to endpoints. */
static int64_t
own_delay_ms (const sim_host_t *host)
{
  int64_t delay_ms = 0;

  for (int i = 0; i < SIM_DATA_CENTRES; i++)
    if (host->owned_shards[i].executor != NULL)
      delay_ms =
          MAX (delay_ms, executor_own_delay_ms (host->owned_shards[i].executor, host->sim->now_ms));
  return delay_ms;
}

/* Reports EXECUTOR_NO_ANSWER if the order has not been answered. */
static void
order_timeout (simulation_t *sim, void *data)
{
  sim_order_t *order = data;

  if (postpone_while_frozen (sim, order->host, order_timeout, data))
    return;
  int64_t ends_at_ms = order->deadline_at_ms + own_delay_ms (order->host);
  if (!order->answered && sim->now_ms < ends_at_ms)
    {
      schedule_event (sim, ends_at_ms, order_timeout, order);
      return;
    }
  if (!order->answered)
    {
      sim->result.links.unanswered_orders++;
      order->answered = true;
      order->answer = EXECUTOR_NO_ANSWER;
      deliver_order_answer (sim, order);
    }
}

static void
order_answer_arrives (simulation_t *sim, void *data)
{
  sim_order_t *order = data;

  if (postpone_while_frozen (sim, order->host, order_answer_arrives, data))
    return;
  if (order->answered || !reaches_endpoint (sim, order->host, order->endpoint))
    return;
  order->answered = true;
  deliver_order_answer (sim, order);
}

static int64_t
order_bytes (const sim_order_t *order)
{
  return order->action.kind == EXECUTOR_START ? START_BYTES : POLL_BYTES;
}

static int64_t
answer_bytes (const sim_order_t *order)
{
  size_t runs = order->listing.poll_result.active_count + order->listing.poll_result.ended_count;

  return ANSWER_BYTES + LISTED_RUN_BYTES * (int64_t) runs;
}

/* The answer to an order reaches the link of the host. */
static void
order_answer_reaches_link (simulation_t *sim, void *data)
{
  sim_order_t *order = data;
  int64_t arrives_ms = link_pass (order->host, LINK_IN, answer_bytes (order));

  if (arrives_ms == sim->now_ms)
    order_answer_arrives (sim, order);
  else
    schedule_order (sim, arrives_ms, order_answer_arrives, order);
}

/* Forgets the ends that ORDER acknowledges.  If it is late, they may be those of a later instance,
 * which no owner has read. */
static void
acknowledge_ends (const simulation_t *sim, sim_endpoint_t *endpoint, const sim_order_t *order)
{
  for (guint i = endpoint->ended_runs->len; i-- > 0;)
    {
      const ended_run_t *end = endpoint->ended_runs->pdata[i];
      sim_job_t *job = job_of_task (sim, end->task);
      if (end->number > order->action.ack_number)
        continue;
      if (job != NULL && !order->late && end->result == RUN_DONE
          && end->ended_at_ms >= job->submitted_at_ms)
        job->done_noted[task_index_of (end->task)] = true;
      trace (sim, end->task, "attempt %d is acknowledged to %s", (int) end->attempt, endpoint->id);
      g_ptr_array_remove_index (endpoint->ended_runs, i);
    }
}

/* The endpoint carries out an order and answers it, unless it is down or can't be reached.  An
 * order names the endpoint by its id, which a later instance has too. */
static void
order_arrives (simulation_t *sim, void *data)
{
  sim_order_t *order = data;
  sim_endpoint_t *endpoint = order->endpoint;

  if (!reaches_endpoint (sim, order->host, endpoint))
    return;
  if (endpoint->down_until_ms != 0 && sim->options->crashed_refuse)
    {
      order->answer =
          order->action.kind == EXECUTOR_START ? EXECUTOR_UNHEALTHY : EXECUTOR_NO_ANSWER;
      schedule_order (sim, sim->now_ms + 1, order_answer_reaches_link, order);
      return;
    }
  if (endpoint->down_until_ms != 0)
    return;
  sim_endpoint_step (sim, endpoint);
  if (order->action.kind == EXECUTOR_START)
    order->answer =
        sim_endpoint_start_run (sim, endpoint, &order->action, order->token, order->late);
  else if (order->action.kind == EXECUTOR_STOP)
    order->answer = sim_endpoint_stop_run (sim, endpoint, &order->action, order->token);
  else if (order->token < endpoint->token)
    order->answer = EXECUTOR_STALE_TOKEN;
  else
    {
      endpoint->token = order->token;
      acknowledge_ends (sim, endpoint, order);
      if (order->action.lease_until_endpoint_ms > 0)
        sim_endpoint_extend_lease (sim, endpoint, order->action.lease_until_endpoint_ms);
      if (order->action.wait_ms > 0 && endpoint->ended_runs->len == 0)
        {
          /* A long poll waits for a run to end: checks again after a tick. */
          order->action.wait_ms = MAX (order->action.wait_ms - TICK_MS, 0);
          order->action.lease_until_endpoint_ms = 0;
          schedule_order (sim, sim->now_ms + TICK_MS, order_arrives, order);
          return;
        }
      run_listing_clear (&order->listing);
      order->listing = sim_endpoint_list_runs (sim, endpoint);
    }
  order->endpoint_clock_ms = sim_endpoint_clock_ms (sim, endpoint);
  if (order->answer_lost)
    return;
  int64_t delay_ms = 1 + random_below (sim, 3);
  if (random_chance (sim, sim->options->late_answers))
    delay_ms += random_below (sim, LATE_ANSWER_MAX_MS);
  schedule_order (sim, sim->now_ms + delay_ms, order_answer_reaches_link, order);
}

/* Frees an order, long after it has been carried out and answered.  It may have waited for a link
 * until now. */
static void
order_expires (simulation_t *sim, void *data)
{
  sim_order_t *order = data;

  if (order->last_event_at_ms + ORDER_KEPT_MS > sim->now_ms)
    schedule_event (sim, order->last_event_at_ms + ORDER_KEPT_MS, order_expires, order);
  else
    order_free (order);
}

static void
send_order (sim_host_t *host, int data_centre, const executor_action_t *action)
{
  simulation_t *sim = host->sim;
  sim_order_t *order = g_new0 (sim_order_t, 1);

  for (int i = 0; i < SIM_ENDPOINTS; i++)
    if (strcmp (sim->endpoints[i].id, action->endpoint) == 0)
      order->endpoint = &sim->endpoints[i];
  order->host = host;
  order->incarnation = host->incarnation;
  order->data_centre = data_centre;
  order->generation = host->owned_shards[data_centre].generation;
  order->action = *action;
  order->action.task = g_strdup (action->task);
  order->token = host->owned_shards[data_centre].token;
  sim->result.links.orders++;
  int64_t left_ms = link_pass (host, LINK_OUT, order_bytes (order));
  int64_t arrives_ms = left_ms + 1 + random_below (sim, 3);
  int64_t expires_ms = sim->now_ms + 20000;
  if (random_chance (sim, sim->options->late_orders))
    {
      order->late = true;
      order->answer_lost = true;
      arrives_ms = left_ms + 2000 + random_below (sim, 10000);
    }
  else
    order->answer_lost = random_chance (sim, sim->options->lost_answers);
  trace (sim, action->task != NULL ? action->task : "",
         "%s orders %s on %s, attempt %d, arrives at %d%s", host->name,
         action->kind == EXECUTOR_START ? "a start" : "a stop", action->endpoint,
         (int) action->attempt, (int) arrives_ms, order->answer_lost ? ", no answer" : "");
  schedule_order (sim, arrives_ms, order_arrives, order);
  order->deadline_at_ms = sim->now_ms + action->wait_ms + ORDER_TIMEOUT_MS;
  schedule_event (sim, order->deadline_at_ms, order_timeout, order);
  schedule_event (sim, expires_ms, order_expires, order);
}

/* --- messages between hosts --- */

typedef enum
{
  MESSAGE_SUBMIT,
  MESSAGE_CANCEL,
  MESSAGE_BATCH_ENDED,
  MESSAGE_RELEASE,
  MESSAGE_TASK_END,
  MESSAGE_LOSS,
  MESSAGE_JOB_STATUS,
  MESSAGE_JOB_QUERY,
  MESSAGE_RUNS_QUERY,
  MESSAGE_RUNS_OVER,
  MESSAGE_TOLD,
  MESSAGE_TOLD_ACK,
  MESSAGE_REGISTER,
  MESSAGE_REGISTERED,
  MESSAGE_OFFERS,
  MESSAGE_HEARTBEAT
} message_kind_t;

typedef struct
{
  message_kind_t kind;
  sim_host_t *from;
  sim_host_t *to;
  uint64_t from_incarnation;
  uint64_t to_incarnation;
  bool delayed; /* by a slow link, on which it stays after the sender's end */
  char *shard;
  uint64_t epoch;
  executor_batch_t batch;
  GArray *task_indexes; /* of BATCH */
  uint64_t batch_number;
  int32_t task_index;
  char *job;                       /* of MESSAGE_JOB_STATUS to MESSAGE_RUNS_OVER,
                                      MESSAGE_REGISTER and MESSAGE_REGISTERED */
  const sim_host_t *origin;        /* MESSAGE_JOB_STATUS: the host that has the job */
  bool relay;                      /* MESSAGE_JOB_STATUS: the receiver passes it on */
  const char *holder;              /* of the last two of them */
  int64_t token;                   /* of MESSAGE_RUNS_OVER */
  int64_t asked_at_ms;             /* of the last two of them */
  job_status_t job_status;         /* its id is JOB */
  bool confirmed;                  /* MESSAGE_REGISTERED */
  GArray *claims;                  /* MESSAGE_REGISTERED: job_claim_t with interned hosts */
  crash_loss_t loss;               /* its strings belong to the message */
  executor_action_kind_t task_end; /* how the task has ended */
  bool not_run;                    /* none of the tasks of the batch has run */
  GArray *offers;
  GArray *loads;
  int32_t waiting;
  bool surveyed; /* MESSAGE_OFFERS: the shard, under TOKEN */
  cluster_heartbeat_t heartbeat;
} sim_message_t;

/* The wall clock of a host, in milliseconds. */
static int64_t
wall_clock_ms (const sim_host_t *host)
{
  return host->sim->now_ms + host->wall_clock_ahead_ms;
}

static int
data_centre_of_shard (const char *shard)
{
  for (int i = 0; i < SIM_DATA_CENTRES; i++)
    if (strcmp (data_centre_name (i), shard) == 0)
      return i;
  return 0;
}

static void
message_free (sim_message_t *message)
{
  g_free (message->shard);
  g_free (message->job);
  g_free ((char *) message->loss.task);
  g_free ((char *) message->loss.endpoint);
  g_free ((char *) message->batch.job);
  g_free ((char *) message->batch.spec);
  g_free ((char *) message->batch.service);
  if (message->task_indexes != NULL)
    g_array_unref (message->task_indexes);
  if (message->offers != NULL)
    g_array_unref (message->offers);
  if (message->loads != NULL)
    g_array_unref (message->loads);
  if (message->claims != NULL)
    g_array_unref (message->claims);
  cluster_heartbeat_clear (&message->heartbeat);
  g_free (message);
}

static sim_message_t *
message_new (message_kind_t kind, sim_host_t *from, sim_host_t *to)
{
  sim_message_t *message = g_new0 (sim_message_t, 1);

  message->kind = kind;
  message->from = from;
  message->to = to;
  message->from_incarnation = from->incarnation;
  message->to_incarnation = to->incarnation;
  return message;
}

static void send_message (sim_message_t *message);

static void
receive_submit (sim_host_t *host, sim_message_t *message)
{
  owned_shard_t *owned = &host->owned_shards[data_centre_of_shard (message->shard)];

  message->batch.coordinator = message->from->name;
  if (message->from != host
      && !cluster_accepts_tasks (host->cluster, message->from->name, message->epoch,
                                 host->sim->now_ms))
    return;
  if (owned->executor != NULL)
    {
      if (message->from != host)
        executor_coordinator_heard (owned->executor, message->from->name,
                                    cluster_alive_at_ms (host->cluster, message->from->name));
      executor_submit (owned->executor, &message->batch, host->sim->now_ms);
      return;
    }
  for (guint i = 0; i < message->task_indexes->len; i++)
    {
      sim_message_t *end = message_new (MESSAGE_TASK_END, host, message->from);
      end->batch_number = message->batch.batch;
      end->task_index = g_array_index (message->task_indexes, int32_t, i);
      end->task_end = EXECUTOR_NOT_OWNED;
      send_message (end);
    }
}

/* KIND is MESSAGE_RUNS_QUERY or MESSAGE_RUNS_OVER. */
static void
send_runs_message (message_kind_t kind,
                   sim_host_t *from,
                   sim_host_t *to,
                   const char *job,
                   const char *holder,
                   const char *shard,
                   int64_t token,
                   int64_t asked_at_ms)
{
  sim_message_t *message = message_new (kind, from, to);

  message->job = g_strdup (job);
  message->holder = g_intern_string (holder);
  message->shard = g_strdup (shard);
  message->token = token;
  message->asked_at_ms = asked_at_ms;
  send_message (message);
}

/* KIND is MESSAGE_TOLD or MESSAGE_TOLD_ACK. */
static void
send_told (sim_host_t *from, sim_host_t *to, message_kind_t kind, int64_t clock_ms)
{
  sim_message_t *message = message_new (kind, from, to);

  message->asked_at_ms = clock_ms;
  send_message (message);
}

static void
receive_runs_query (sim_host_t *host, const sim_message_t *message)
{
  owned_shard_t *owned = &host->owned_shards[data_centre_of_shard (message->shard)];

  int64_t lost_at_ms = cluster_lost_at_ms (host->cluster, message->holder);
  bool alone = cluster_lost_hosts (host->cluster) <= 1;

  if (owned->executor != NULL && lost_at_ms != INT64_MAX
      && cluster_is_sole_owner (host->cluster, message->shard, host->sim->now_ms)
      && !executor_may_run_job (owned->executor, message->job, lost_at_ms, alone,
                                host->sim->now_ms))
    send_runs_message (MESSAGE_RUNS_OVER, host, message->from, message->job, message->holder,
                       message->shard, owned->token, message->asked_at_ms);
}

static void
receive_task_end (sim_host_t *host, const sim_message_t *message)
{
  scheduler_task_ended (host->scheduler, message->from->name, message->batch_number,
                        message->task_index, scheduler_task_end_of (message->task_end),
                        host->sim->now_ms, host->scheduler_actions);
}

static void
receive_cancel (sim_host_t *host, const sim_message_t *message)
{
  sim_message_t *reply = message_new (MESSAGE_BATCH_ENDED, host, message->from);

  reply->batch_number = message->batch_number;
  for (int i = 0; i < SIM_DATA_CENTRES; i++)
    if (host->owned_shards[i].executor != NULL)
      reply->not_run |= executor_cancel (host->owned_shards[i].executor, message->from->name,
                                         message->batch_number, STOP_UNKNOWN, host->sim->now_ms,
                                         host->executor_actions);
  send_message (reply);
}

static void
receive_release (sim_host_t *host, const sim_message_t *message)
{
  sim_message_t *reply = message_new (MESSAGE_BATCH_ENDED, host, message->from);

  reply->batch_number = message->batch_number;
  for (int i = 0; i < SIM_DATA_CENTRES; i++)
    if (host->owned_shards[i].executor != NULL)
      executor_release (host->owned_shards[i].executor, message->from->name, message->batch_number,
                        host->sim->now_ms);
  send_message (reply);
}

static void
record_coordinator_heard (sim_host_t *host, const char *coordinator)
{
  run_all_actions (host);
  for (int i = 0; i < SIM_DATA_CENTRES; i++)
    if (host->owned_shards[i].executor != NULL)
      executor_coordinator_heard (host->owned_shards[i].executor, coordinator,
                                  cluster_alive_at_ms (host->cluster, coordinator));
}

/* Tells TO a status of a job that ORIGIN has.  With RELAY, TO tells the other hosts of its data
 * centre. */
static void
send_job_status (sim_host_t *from,
                 sim_host_t *to,
                 const sim_host_t *origin,
                 bool relay,
                 const job_status_t *status)
{
  sim_message_t *message = message_new (MESSAGE_JOB_STATUS, from, to);

  message->job = g_strdup (status->id);
  message->job_status = *status;
  message->job_status.id = message->job;
  message->origin = origin;
  message->relay = relay;
  send_message (message);
}

static void
receive_job_status (sim_host_t *host, const sim_message_t *message)
{
  simulation_t *sim = host->sim;

  trace (sim, message->job, "%s is told by %s that %s has it: %d", host->name, message->from->name,
         message->origin->name, (int) message->job_status.kind);
  for (int i = 0; message->relay && i < SIM_HOSTS; i++)
    if (i != host->index && sim->hosts[i].data_centre == host->data_centre)
      send_job_status (host, &sim->hosts[i], message->origin, false, &message->job_status);
  scheduler_job_told (host->scheduler, message->origin->name, &message->job_status, sim->now_ms,
                      host->scheduler_actions);
}

/* FROM registers a job with TO. */
static void
send_registration (sim_host_t *from, sim_host_t *to, const job_status_t *status)
{
  sim_message_t *message = message_new (MESSAGE_REGISTER, from, to);

  message->job = g_strdup (status->id);
  message->job_status = *status;
  message->job_status.id = message->job;
  send_message (message);
}

static void
receive_registration (sim_host_t *host, const sim_message_t *message)
{
  sim_message_t *reply = message_new (MESSAGE_REGISTERED, host, message->from);

  reply->job = g_strdup (message->job);
  reply->claims = g_array_new (FALSE, FALSE, sizeof (job_claim_t));
  reply->confirmed = scheduler_register (host->scheduler, message->from->name, &message->job_status,
                                         host->sim->now_ms, reply->claims);
  trace (host->sim, message->job, "%s registers it with %s: %d, %s, %d others", message->from->name,
         host->name, (int) message->job_status.kind, reply->confirmed ? "confirmed" : "cold",
         (int) reply->claims->len);
  send_message (reply);
}

static void
receive_registered (sim_host_t *host, const sim_message_t *message)
{
  int64_t now_ms = host->sim->now_ms;

  for (guint i = 0; i < message->claims->len; i++)
    {
      const job_claim_t *claim = &g_array_index (message->claims, job_claim_t, i);
      trace (host->sim, message->job, "%s is told by %s that %s has it: %d%s", host->name,
             message->from->name, claim->host, (int) claim->kind,
             claim->unheard ? ", unheard" : "");
      scheduler_job_claimed (host->scheduler, message->job, claim, now_ms, host->scheduler_actions);
    }
  if (message->confirmed)
    scheduler_job_registered (host->scheduler, message->from->name, message->job, now_ms,
                              host->scheduler_actions);
}

static void message_arrives (simulation_t *sim, void *data);

/* When the cuts between two hosts end that last now. */
static int64_t
cut_ends_at_ms (const simulation_t *sim, const sim_host_t *from, const sim_host_t *to)
{
  int64_t until_ms = MAX (from->cut_until_ms, to->cut_until_ms);

  if (from->data_centre != to->data_centre)
    until_ms = MAX (until_ms, MAX (sim->data_centre_cut_until_ms[from->data_centre],
                                   sim->data_centre_cut_until_ms[to->data_centre]));
  if (is_link_cut (from, to))
    until_ms = MAX (until_ms, link_between (from, to)->cut_until_ms);
  return until_ms;
}

/* With cuts_delay_messages, schedules MESSAGE for the end of the cut between its hosts, and returns
 * true if there is a cut.  Delayed messages keep their order, also if one cut follows another:
 * those that come while others wait wait with them. */
static bool
delay_until_cut_ends (simulation_t *sim, sim_message_t *message)
{
  sim_host_t *from = message->from;
  const sim_host_t *to = message->to;
  int64_t *held_until_ms = &from->held_until_ms[to->index];

  if (!sim->options->cuts_delay_messages || from == to || !is_up (from) || !is_up (to))
    return false;
  if (*held_until_ms <= sim->now_ms && !hosts_connected (sim, from, to))
    *held_until_ms = cut_ends_at_ms (sim, from, to) + 1;
  if (*held_until_ms <= sim->now_ms)
    return false;
  schedule_event (sim, *held_until_ms, message_arrives, message);
  return true;
}

/* Whether MESSAGE was delayed and its sender has ended meanwhile, and not started again. */
static bool
outlives (const sim_message_t *message)
{
  return message->delayed && !is_up (message->from)
         && message->from->incarnation == message->from_incarnation;
}

static void
message_arrives (simulation_t *sim, void *data)
{
  sim_message_t *message = data;
  sim_host_t *host = message->to;

  if (postpone_while_frozen (sim, host, message_arrives, data)
      || delay_until_cut_ends (sim, message))
    return;
  bool arrives =
      is_up (host) && host->incarnation == message->to_incarnation
      && (message->from == host || receives_from (sim, host, message->from) || outlives (message));
  if (arrives)
    {
      switch (message->kind)
        {
        case MESSAGE_SUBMIT:
          receive_submit (host, message);
          break;
        case MESSAGE_CANCEL:
          receive_cancel (host, message);
          break;
        case MESSAGE_RELEASE:
          receive_release (host, message);
          break;
        case MESSAGE_BATCH_ENDED:
          scheduler_batch_end_confirmed (host->scheduler, message->from->name,
                                         message->batch_number, message->not_run, sim->now_ms,
                                         host->scheduler_actions);
          break;
        case MESSAGE_TASK_END:
          receive_task_end (host, message);
          break;
        case MESSAGE_LOSS:
          crash_history_merge (host->crashes, &message->loss, sim->now_ms);
          break;
        case MESSAGE_JOB_STATUS:
          receive_job_status (host, message);
          break;
        case MESSAGE_JOB_QUERY:
          scheduler_job_asked (host->scheduler, message->from->name, message->job, sim->now_ms,
                               host->scheduler_actions);
          break;
        case MESSAGE_RUNS_QUERY:
          receive_runs_query (host, message);
          break;
        case MESSAGE_RUNS_OVER:
          scheduler_runs_over (host->scheduler, message->job, message->holder, message->shard,
                               message->token, message->asked_at_ms);
          break;
        case MESSAGE_TOLD:
          send_told (host, message->from, MESSAGE_TOLD_ACK, message->asked_at_ms);
          break;
        case MESSAGE_TOLD_ACK:
          cluster_confirmed (host->cluster, message->from->name, message->asked_at_ms, sim->now_ms);
          break;
        case MESSAGE_REGISTER:
          receive_registration (host, message);
          break;
        case MESSAGE_REGISTERED:
          receive_registered (host, message);
          break;
        case MESSAGE_OFFERS:
          scheduler_set_report (
              host->scheduler, message->shard, message->from->name,
              &(scheduler_report_t){ message->offers, message->loads, message->waiting },
              sim->now_ms);
          if (message->surveyed)
            scheduler_set_surveyed (host->scheduler, message->shard, message->token);
          break;
        case MESSAGE_HEARTBEAT:
        default:
          cluster_receive_heartbeat (host->cluster, &message->heartbeat, sim->now_ms,
                                     host->cluster_actions);
          cluster_step (host->cluster, sim->now_ms, wall_clock_ms (host), host->cluster_actions);
          record_coordinator_heard (host, message->from->name);
          break;
        }
      run_all_actions (host);
    }
  else if (message->kind == MESSAGE_JOB_STATUS || message->kind == MESSAGE_REGISTER)
    {
      trace (sim, message->job, "%s is not told of it by %s", host->name, message->from->name);
      message->from->has_lost_statuses[host->index] = true;
    }
  message_free (message);
}

static int64_t
message_bytes (const sim_message_t *message)
{
  static const int64_t bytes[] = {
    [MESSAGE_SUBMIT] = BATCH_BYTES,       [MESSAGE_CANCEL] = REPORT_BYTES,
    [MESSAGE_BATCH_ENDED] = REPORT_BYTES, [MESSAGE_RELEASE] = REPORT_BYTES,
    [MESSAGE_TASK_END] = REPORT_BYTES,    [MESSAGE_LOSS] = REPORT_BYTES,
    [MESSAGE_JOB_STATUS] = REPORT_BYTES,  [MESSAGE_JOB_QUERY] = REPORT_BYTES,
    [MESSAGE_RUNS_QUERY] = REPORT_BYTES,  [MESSAGE_RUNS_OVER] = REPORT_BYTES,
    [MESSAGE_TOLD] = REPORT_BYTES,        [MESSAGE_TOLD_ACK] = REPORT_BYTES,
    [MESSAGE_REGISTER] = REPORT_BYTES,    [MESSAGE_REGISTERED] = REPORT_BYTES,
    [MESSAGE_OFFERS] = OFFERS_BYTES,      [MESSAGE_HEARTBEAT] = HEARTBEAT_BYTES,
  };

  return bytes[message->kind];
}

/* MESSAGE reaches the link of its receiver. */
static void
message_reaches_link (simulation_t *sim, void *data)
{
  sim_message_t *message = data;
  int64_t arrives_ms = link_pass (message->to, LINK_IN, message_bytes (message));

  if (arrives_ms == sim->now_ms)
    message_arrives (sim, message);
  else
    schedule_event (sim, arrives_ms, message_arrives, message);
}

/* The delay of the messages of HOST grows while its link is slow, and shrinks afterwards. */
static void
update_link_delay (sim_host_t *host)
{
  int64_t change_ms = host->sim->now_ms < host->link_slow_until_ms ? TICK_MS : -TICK_MS;

  host->link_delay_ms = CLAMP (host->link_delay_ms + change_ms, 0, LINK_DELAY_MAX_MS);
}

/* Sends MESSAGE and takes ownership of it.  Messages from one host to another arrive in the order
 * in which they were sent. */
static void
send_message (sim_message_t *message)
{
  sim_host_t *from = message->from;
  simulation_t *sim = from->sim;
  int64_t *last_arrival_ms = &from->last_arrival_ms[message->to->index];
  bool remote = from != message->to;
  int64_t left_ms = remote ? link_pass (from, LINK_OUT, message_bytes (message)) : sim->now_ms;
  int64_t delay_ms = remote ? 1 + from->link_delay_ms : 0;

  message->delayed = remote && from->link_delay_ms > 0;
  *last_arrival_ms = MAX (*last_arrival_ms, left_ms + delay_ms);
  schedule_event (sim, *last_arrival_ms, remote ? message_reaches_link : message_arrives, message);
}

static sim_host_t *
host_named (simulation_t *sim, const char *name)
{
  for (int i = 0; i < SIM_HOSTS; i++)
    if (strcmp (sim->hosts[i].name, name) == 0)
      return &sim->hosts[i];
  return NULL;
}

#endif
