/* test_job_registry_orders.c -- jobs that are registered, in all orders in which messages arrive
 *
 * Hosts receive requests of one job, and all hosts exchange the messages of the registry and those
 * of jobs that another host has.  Messages from one host to another arrive in the order in which
 * they were sent; all orders of deliveries to one host are played, but only one of those that
 * differ in the order of deliveries to different hosts (sleep sets). */
#include "scheduler/scheduler.h"
#include "tests/test_scheduler_job.h"
#include "tests/test_scheduler_report.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>

#define ID "00000000000000a1"
#define RESUBMIT_MS 1300
#define CALLER_WAIT_MS 6000
#define RECEIVED_AT_MS 1000
#define STEP_MS 25
/* A registration that was not confirmed is sent again after this. */
#define RETRY_MS 50
#define SETTLED_MS 2500
#define ENDS_INTERVAL_MS 200
/* After all messages have arrived, owners say that they have no run this much later. */
#define OWNERS_REPLY_MS 500

#define HOSTS_MAX 5
#define CHANNELS (HOSTS_MAX * HOSTS_MAX)

/* Events: the delivery of the next message of a channel, FROM * HOSTS_MAX + TO, and these. */
#define SUBMIT_EVENT(host) (CHANNELS + (host))
#define LOSS_EVENT(host)                                                                           \
  (CHANNELS + HOSTS_MAX + (host))             /* the host loses the one that was killed */
#define TIME_EVENT (CHANNELS + 2 * HOSTS_MAX) /* RETRY_MS pass */
#define KILL_EVENT (TIME_EVENT + 1)           /* the first host is killed */
#define LEAVE_EVENT (TIME_EVENT + 2)          /* the caller of the first host leaves */
#define ENDS_EVENT (TIME_EVENT + 3)           /* it tells the registrars the end */
#define EVENTS_MAX (ENDS_EVENT + 1)

/* What happens to the first host, or to its caller, at any time after its request. */
typedef enum
{
  NO_FAULT,
  KILLED,               /* it is killed; the second request comes after that */
  KILLED_WITH_MESSAGES, /* and what it has sent and has not arrived is lost with it */
  COMES_AGAIN           /* its caller leaves, and comes again to the same host */
} fault_t;

typedef struct
{
  const char *name;
  const char *hosts[HOSTS_MAX]; /* the first ones receive requests */
  int requests;                 /* how many of them */
  const char *registrars;
  int time_events; /* how often RETRY_MS pass while messages are on their way */
  fault_t fault;
} model_row_t;

static const model_row_t rows[] = {
  { "one registrar", { "h", "i", "r" }, 2, "r", 1, NO_FAULT },
  { "one registrar, the greater one first", { "i", "h", "r" }, 2, "r", 1, NO_FAULT },
  { "both are the registrars", { "h", "i" }, 2, "h i", 2, NO_FAULT },
  { "one is the registrar", { "h", "i" }, 2, "i", 2, NO_FAULT },
  { "two others", { "h", "i", "q", "r" }, 2, "q r", 0, NO_FAULT },
  { "both and another one", { "h", "i", "r" }, 2, "h i r", 0, NO_FAULT },
  { "one and another one", { "h", "i", "r" }, 2, "h r", 0, NO_FAULT },
  { "three others", { "h", "i", "q", "r", "s" }, 2, "q r s", 0, NO_FAULT },
  { "three requests, one registrar", { "g", "h", "i", "r" }, 3, "r", 0, NO_FAULT },
  { "killed, one registrar", { "h", "i", "r" }, 2, "r", 1, KILLED },
  { "killed, messages are lost, one registrar",
    { "h", "i", "r" },
    2,
    "r",
    1,
    KILLED_WITH_MESSAGES },
  { "killed, both are the registrars", { "h", "i" }, 2, "h i", 1, KILLED_WITH_MESSAGES },
  { "killed, both and another one", { "h", "i", "r" }, 2, "h i r", 0, KILLED_WITH_MESSAGES },
  { "killed, two others", { "h", "i", "q", "r" }, 2, "q r", 0, KILLED_WITH_MESSAGES },
  { "killed, three others", { "h", "i", "q", "r", "s" }, 2, "q r s", 0, KILLED_WITH_MESSAGES },
  { "comes again, one registrar", { "h", "i", "r" }, 2, "r", 0, COMES_AGAIN },
  { "comes again, the other one is the registrar", { "h", "i" }, 2, "i", 1, COMES_AGAIN },
  { "comes again, both are the registrars", { "h", "i" }, 2, "h i", 0, COMES_AGAIN },
};

typedef enum
{
  MESSAGE_REGISTER,
  MESSAGE_REGISTERED,
  MESSAGE_ASK,
  MESSAGE_TELL
} kind_t;

typedef struct
{
  kind_t kind;
  job_status_t status; /* REGISTER, TELL */
  bool confirmed;
  uint64_t number; /* REGISTERED */
  GArray *claims;  /* REGISTERED */
} message_t;

typedef struct
{
  const model_row_t *row;
  int hosts;
  int64_t now_ms;
  scheduler_t *schedulers[HOSTS_MAX];
  GArray *actions[HOSTS_MAX];
  GQueue *channels[CHANNELS];
  bool submitted[HOSTS_MAX];
  uint64_t number;                /* of the request at the first host */
  int64_t runs_end_ms[HOSTS_MAX]; /* of each host; 0 before a start, INT64_MAX while it runs */
  uint64_t batches[HOSTS_MAX];    /* the last one that each host has sent */
  bool left;
  bool ends_told;
  bool knows_loss[HOSTS_MAX];
  bool killed;
  bool owners_reply;
  int time_events;
  bool two_run; /* a host has started the job while runs of another one could go on */
} model_t;

static void
message_free (void *data)
{
  message_t *message = data;

  if (message->claims != NULL)
    g_array_unref (message->claims);
  g_free (message);
}

static int
index_of (const model_t *model, const char *name)
{
  for (int i = 0; i < model->hosts; i++)
    if (g_str_equal (model->row->hosts[i], name))
      return i;
  return -1;
}

static bool
is_up (const model_t *model, int host)
{
  return !(model->killed && host == 0);
}

static void
send (model_t *model, int from, int to, const message_t *message)
{
  if (is_up (model, to))
    g_queue_push_tail (model->channels[from * HOSTS_MAX + to],
                       g_memdup2 (message, sizeof *message));
  else if (message->claims != NULL)
    g_array_unref (message->claims);
}

/* A start is right if no run of another host may go on.  Those of one that was killed are over once
 * the owners say so. */
static void
note_start (model_t *model, int host)
{
  for (int i = 0; i < model->hosts; i++)
    if (i != host && model->now_ms < model->runs_end_ms[i]
        && (is_up (model, i) || !model->owners_reply))
      model->two_run = true;
  model->runs_end_ms[host] = INT64_MAX;
}

static void
carry_out (model_t *model, int host)
{
  GArray *actions = model->actions[host];

  for (guint i = 0; i < actions->len; i++)
    {
      const scheduler_action_t *action = &g_array_index (actions, scheduler_action_t, i);
      message_t message = { .status = action->status };
      message.status.id = ID;
      if (action->task_indexes != NULL)
        g_array_unref (action->task_indexes);
      if (action->kind == SCHEDULER_SUBMIT)
        note_start (model, host);
      if (action->kind == SCHEDULER_SUBMIT)
        model->batches[host] = action->batch_number;
      /* Cancellations are sent again until they are confirmed. */
      if (action->kind == SCHEDULER_CANCEL && action->batch_number == model->batches[host]
          && model->runs_end_ms[host] == INT64_MAX)
        model->runs_end_ms[host] = model->now_ms + RESUBMIT_MS;
      if (action->kind == SCHEDULER_ASK_OWNER && model->owners_reply)
        scheduler_runs_over (model->schedulers[host], ID, action->holder, action->shard, 1,
                             model->now_ms);
      if (action->kind == SCHEDULER_REGISTER)
        {
          message.kind = MESSAGE_REGISTER;
          message.number = action->registration;
        }
      else if (action->kind == SCHEDULER_ASK)
        message.kind = MESSAGE_ASK;
      else if (action->kind == SCHEDULER_TELL)
        message.kind = MESSAGE_TELL;
      else
        continue;
      send (model, host, index_of (model, action->host), &message);
    }
  g_array_set_size (actions, 0);
}

static void
set_registrars (model_t *model, int host)
{
  char **names = g_strsplit (model->row->registrars, " ", -1);
  GPtrArray *registrars = g_ptr_array_new ();

  for (int i = 0; names[i] != NULL; i++)
    if (!model->knows_loss[host] || !g_str_equal (names[i], model->row->hosts[0]))
      g_ptr_array_add (registrars, names[i]);
  scheduler_set_registrars (model->schedulers[host], registrars, model->actions[host]);
  g_ptr_array_unref (registrars);
  g_strfreev (names);
  carry_out (model, host);
}

static model_t *
model_new (const model_row_t *row)
{
  model_t *model = g_new0 (model_t, 1);

  model->row = row;
  model->now_ms = RECEIVED_AT_MS;
  while (model->hosts < HOSTS_MAX && row->hosts[model->hosts] != NULL)
    model->hosts++;
  for (int i = 0; i < CHANNELS; i++)
    model->channels[i] = g_queue_new ();
  for (int i = 0; i < model->hosts; i++)
    {
      model->actions[i] = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      model->schedulers[i] =
          new_scheduler_of (row->hosts[i], RESUBMIT_MS, RECEIVED_AT_MS, model->actions[i]);
      set_registrars (model, i);
    }
  return model;
}

static void
model_free (model_t *model)
{
  for (int i = 0; i < CHANNELS; i++)
    g_queue_free_full (model->channels[i], message_free);
  for (int i = 0; i < model->hosts; i++)
    {
      scheduler_free (model->schedulers[i]);
      g_array_unref (model->actions[i]);
    }
  g_free (model);
}

static void
submit (model_t *model, int host)
{
  scheduler_job_t job = test_job (ID, model->now_ms, CALLER_WAIT_MS);

  job.user_data = model;
  model->submitted[host] = true;
  uint64_t number =
      scheduler_submit (model->schedulers[host], &job, model->now_ms, model->actions[host]);
  if (host == 0)
    model->number = number;
}

/* The caller of the first host leaves it. */
static void
leave (model_t *model)
{
  model->left = true;
  model->submitted[0] = false;
  scheduler_abandon (model->schedulers[0], model->number, model->now_ms, model->actions[0]);
}

/* HOST tells the registrars the ends of its jobs, as it does every 200 ms. */
static void
tell_ends (model_t *model, int host)
{
  GArray *ends = g_array_new (FALSE, FALSE, sizeof (job_status_t));
  char **names = g_strsplit (model->row->registrars, " ", -1);

  scheduler_collect_registered_ends (model->schedulers[host], ends);
  for (guint i = 0; i < ends->len; i++)
    for (int k = 0; names[k] != NULL; k++)
      {
        message_t message = { .kind = MESSAGE_TELL };
        int to = index_of (model, names[k]);
        message.status = g_array_index (ends, job_status_t, i);
        message.status.id = ID;
        if (to != host)
          send (model, host, to, &message);
      }
  g_strfreev (names);
  g_array_unref (ends);
}

static void
deliver (model_t *model, int channel)
{
  int from = channel / HOSTS_MAX;
  int to = channel % HOSTS_MAX;
  const char *sender = model->row->hosts[from];
  scheduler_t *scheduler = model->schedulers[to];
  message_t *message = g_queue_pop_head (model->channels[channel]);

  if (message->kind == MESSAGE_REGISTER)
    {
      message_t reply = { .kind = MESSAGE_REGISTERED,
                          .number = message->number,
                          .claims = g_array_new (FALSE, FALSE, sizeof (job_claim_t)) };
      reply.confirmed =
          scheduler_register (scheduler, sender, &message->status, model->now_ms, reply.claims);
      send (model, to, from, &reply);
    }
  else if (message->kind == MESSAGE_REGISTERED)
    {
      for (guint i = 0; i < message->claims->len; i++)
        scheduler_job_claimed (scheduler, ID, &g_array_index (message->claims, job_claim_t, i),
                               model->now_ms, model->actions[to]);
      if (message->confirmed)
        scheduler_job_registered (scheduler, sender, ID, message->number, model->now_ms,
                                  model->actions[to]);
    }
  else if (message->kind == MESSAGE_ASK)
    scheduler_job_asked (scheduler, sender, ID, model->now_ms, model->actions[to]);
  else
    scheduler_job_told (scheduler, sender, &message->status, model->now_ms, model->actions[to]);
  message_free (message);
}

static void
pass_time (model_t *model, int64_t ms)
{
  model->now_ms += ms;
  for (int i = 0; i < model->hosts; i++)
    if (is_up (model, i))
      {
        scheduler_step (model->schedulers[i], model->now_ms, model->actions[i]);
        carry_out (model, i);
      }
}

static void
kill_first (model_t *model)
{
  model->killed = true;
  for (int i = 0; i < model->hosts; i++)
    {
      g_queue_clear_full (model->channels[i * HOSTS_MAX], message_free);
      if (model->row->fault == KILLED_WITH_MESSAGES)
        g_queue_clear_full (model->channels[i], message_free);
    }
}

static void
lose_first (model_t *model, int host)
{
  model->knows_loss[host] = true;
  scheduler_host_lost (model->schedulers[host], model->row->hosts[0], model->now_ms, model->now_ms,
                       model->actions[host]);
  carry_out (model, host);
  set_registrars (model, host);
}

/* --- events --- */

/* The host that EVENT changes; -1 for all. */
static int
receiver_of (int event)
{
  if (event < CHANNELS)
    return event % HOSTS_MAX;
  if (event < TIME_EVENT)
    return (event - CHANNELS) % HOSTS_MAX;
  return event == LEAVE_EVENT || event == ENDS_EVENT ? 0 : -1;
}

static bool
is_independent (int a, int b)
{
  return receiver_of (a) >= 0 && receiver_of (b) >= 0 && receiver_of (a) != receiver_of (b);
}

static bool
is_killed (const model_row_t *row)
{
  return row->fault == KILLED || row->fault == KILLED_WITH_MESSAGES;
}

static bool
is_enabled (const model_t *model, int event)
{
  const model_row_t *row = model->row;

  if (event < CHANNELS)
    return !g_queue_is_empty (model->channels[event]);
  if (event == TIME_EVENT)
    return model->time_events < row->time_events;
  if (event == KILL_EVENT)
    return is_killed (row) && !model->killed && model->submitted[0];
  if (event == LEAVE_EVENT)
    return row->fault == COMES_AGAIN && !model->left && model->submitted[0];
  if (event == ENDS_EVENT)
    return model->left && !model->ends_told;
  int host = receiver_of (event);
  if (host >= model->hosts || !is_up (model, host))
    return false;
  if (event >= LOSS_EVENT (0)) /* it follows all that has arrived on the connection */
    return model->killed && !model->knows_loss[host] && g_queue_is_empty (model->channels[host]);
  return host < row->requests && !model->submitted[host]
         && (host == 0 || !is_killed (row) || model->killed);
}

static void
play (model_t *model, int event)
{
  int host = receiver_of (event);

  if (event < CHANNELS)
    deliver (model, event);
  else if (event == TIME_EVENT)
    {
      model->time_events++;
      pass_time (model, RETRY_MS);
    }
  else if (event == KILL_EVENT)
    kill_first (model);
  else if (event == LEAVE_EVENT)
    leave (model);
  else if (event == ENDS_EVENT)
    {
      model->ends_told = true;
      tell_ends (model, 0);
    }
  else if (event >= LOSS_EVENT (0))
    lose_first (model, host);
  else
    submit (model, host);
  if (host >= 0)
    carry_out (model, host);
}

/* Delivers all messages at once, step by step. */
static void
settle (model_t *model, int64_t ms)
{
  int64_t until_ms = model->now_ms + ms;

  while (model->now_ms < until_ms)
    {
      pass_time (model, STEP_MS);
      for (int i = 0; i < model->hosts && model->now_ms % ENDS_INTERVAL_MS == 0; i++)
        if (is_up (model, i))
          tell_ends (model, i);
      for (int i = 0; i < CHANNELS; i++)
        while (!g_queue_is_empty (model->channels[i]))
          play (model, i);
    }
}

/* --- all orders --- */

typedef struct
{
  const model_row_t *row;
  int runs;
  int two_run; /* of them, and those in which no host runs the job at the end */
  int none_runs;
  GArray *path; /* int */
} search_t;

static void
print_path (const search_t *search, const model_t *model, const char *what)
{
  static const char *const names[] = { "time", "kill", "leave", "ends" };

  printf ("  %s: %s:", search->row->name, what);
  for (guint i = 0; i < search->path->len; i++)
    {
      int event = g_array_index (search->path, int, i);
      int host = receiver_of (event);
      if (event < CHANNELS)
        printf (" %s>%s", model->row->hosts[event / HOSTS_MAX], model->row->hosts[host]);
      else if (event >= TIME_EVENT)
        printf (" %s", names[event - TIME_EVENT]);
      else
        printf (" %s(%s)", event >= LOSS_EVENT (0) ? "loss" : "submit", model->row->hosts[host]);
    }
  printf ("\n");
}

/* All messages of MODEL have arrived: in the end one host runs the job. */
static void
check_end (search_t *search, model_t *model)
{
  int started = 0;

  if (model->killed)
    {
      settle (model, OWNERS_REPLY_MS);
      model->owners_reply = true;
    }
  settle (model, SETTLED_MS);
  for (int i = 0; i < model->hosts; i++)
    started += model->runs_end_ms[i] == INT64_MAX && is_up (model, i);
  search->runs++;
  if (model->two_run && search->two_run++ == 0)
    print_path (search, model, "two run it");
  if (started == 0 && search->none_runs++ == 0)
    print_path (search, model, "none runs it");
}

/* Plays all orders that begin with the path, after which MODEL, which is freed, is; those that
 * begin with an event in ASLEEP were played. */
static void
explore (search_t *search, model_t *model, const bool *asleep)
{
  bool sleeping[EVENTS_MAX];
  bool enabled[EVENTS_MAX];
  bool any = false;

  memcpy (sleeping, asleep, sizeof sleeping);
  for (int i = 0; i < EVENTS_MAX; i++)
    {
      enabled[i] = is_enabled (model, i);
      any |= enabled[i] && i != TIME_EVENT;
    }
  if (!any)
    {
      check_end (search, model);
      model_free (model);
      return;
    }
  for (int event = 0; event < EVENTS_MAX; event++)
    {
      bool next[EVENTS_MAX];
      if (!enabled[event] || sleeping[event])
        continue;
      if (model == NULL)
        {
          model = model_new (search->row);
          for (guint i = 0; i < search->path->len; i++)
            play (model, g_array_index (search->path, int, i));
        }
      for (int i = 0; i < EVENTS_MAX; i++)
        next[i] = sleeping[i] && is_independent (i, event);
      play (model, event);
      g_array_append_val (search->path, event);
      explore (search, model, next);
      g_array_set_size (search->path, search->path->len - 1);
      model = NULL;
      sleeping[event] = true;
    }
  if (model != NULL)
    model_free (model);
}

/* Beginning of the names of the rows to play. */
static const char *prefix = "";

static void
test_orders (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      if (!g_str_has_prefix (rows[i].name, prefix))
        continue;
      const bool asleep[EVENTS_MAX] = { false };
      search_t search = { .row = &rows[i], .path = g_array_new (FALSE, FALSE, sizeof (int)) };
      explore (&search, model_new (&rows[i]), asleep);
      CU_ASSERT_TRUE (search.runs > 0);
      CU_ASSERT_EQUAL (search.two_run, 0);
      CU_ASSERT_EQUAL (search.none_runs, 0);
      if (search.two_run > 0 || search.none_runs > 0)
        printf ("  %s: two run it in %d, none in %d of %d orders\n", rows[i].name, search.two_run,
                search.none_runs, search.runs);
      g_array_unref (search.path);
    }
}

#define CHANNEL(from, to) ((from) *HOSTS_MAX + (to))

/* The confirmation for the first host is on its way until the second one, as the first one is not
 * heard and no owner has a run for it, has started the job. */
static void
test_late_confirmation (void)
{
  static const model_row_t row = { "late", { "h", "i", "r" }, 2, "r", 0, NO_FAULT };
  model_t *model = model_new (&row);

  play (model, SUBMIT_EVENT (0));
  play (model, CHANNEL (0, 2));
  play (model, LOSS_EVENT (2));
  play (model, LOSS_EVENT (1));
  play (model, SUBMIT_EVENT (1));
  play (model, CHANNEL (1, 2));
  play (model, CHANNEL (2, 1));
  model->owners_reply = true;
  for (int64_t end_ms = model->now_ms + OWNERS_REPLY_MS; model->now_ms < end_ms;)
    pass_time (model, STEP_MS);
  CU_ASSERT_EQUAL (model->runs_end_ms[1], INT64_MAX);
  CU_ASSERT_EQUAL (model->runs_end_ms[0], 0);
  play (model, CHANNEL (2, 0));
  CU_ASSERT_EQUAL (model->runs_end_ms[0], 0);
  model_free (model);
}

static const unit_test_t tests[] = {
  { "two hosts register a job, in all orders of messages", test_orders },
  { "a confirmation that is late", test_late_confirmation },
};

/* With an argument: plays the rows whose names begin with it. */
int
main (int argc, char **argv)
{
  if (argc > 1)
    prefix = argv[1];
  return unit_run ("job_registry_orders", tests, G_N_ELEMENTS (tests));
}
