/* test_quota_sim.h -- simulation of hosts of lib/quota, their network and
 * clocks
 *
 * Times are in milliseconds of simulated true time; each host has a clock with
 * its own offset and rate.  Events are handled in order of time and, at equal
 * times, in order of insertion, so that a run depends on its seed alone.  A
 * plain list of tasks is the reference against which limits are checked.
 */
#ifndef TEST_QUOTA_SIM_H
#define TEST_QUOTA_SIM_H

#include "quota/quota.h"

#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>

#define SIM_HOSTS_MAX 32
#define SIM_CENTRES_MAX 8
#define SIM_LIMITS_MAX 16
#define SIM_TICK_MS 50
/* After a limit was lowered, units of the previous value may be in use for this
 * long: the leases of the loan and the share, and the longest task. */
#define SIM_LOWERED_LIMIT_MS 16000

typedef enum
{
  SIM_MESSAGE,
  SIM_VIEW,
  SIM_LIMIT
} sim_kind_t;

typedef struct
{
  int64_t at_ms;
  uint64_t sequence;
  sim_kind_t kind;
  int to;
  int from;
  GBytes *frame;
  int64_t view_or_units; /* of SIM_VIEW: number of the view; of SIM_LIMIT: units */
  GPtrArray *members;
  int limit;
  uint64_t revision; /* of the limit */
} sim_event_t;

typedef struct
{
  char name[16];
  int centre;
  quota_t *quota;
  bool alive;
  int64_t paused_until_ms; /* 0: not paused */
  int64_t clock_offset_ms;
  int64_t clock_rate_ppm;
  uint64_t incarnation;
  int64_t tick_ms;
  uint64_t revision[SIM_LIMITS_MAX]; /* of the limit's value that the host has; 0: none yet */
} sim_host_t;

typedef struct
{
  char name[24];
  int centre; /* index of the data centre for slots of an endpoint, -1 for plans */
  bool starts;
  int64_t units;
  int64_t previous_units; /* largest value in force within the last SIM_LOWERED_LIMIT_MS */
  int64_t previous_until_ms;
  uint64_t revision;
  int64_t max_in_use; /* largest number of units in use at once */
} sim_limit_t;

typedef struct
{
  int limit;
  int host;
  uint64_t incarnation;
  int64_t ends_at_ms;    /* on the host's clock */
  int64_t latest_end_ms; /* the same in true time */
  int64_t actual_end_ms; /* true time at which the task ends */
} sim_task_t;

typedef struct
{
  GRand *rand;
  quota_rules_t rules;
  int64_t now_ms;
  uint64_t sequence;
  int hosts_per_centre;
  int centres;
  int host_count;
  sim_host_t hosts[SIM_HOSTS_MAX];
  GPtrArray *centre_names;
  int64_t view[SIM_CENTRES_MAX];
  bool is_member[SIM_HOSTS_MAX];
  bool is_cut[SIM_CENTRES_MAX][SIM_CENTRES_MAX]; /* by sender and receiver */
  bool is_isolated[SIM_HOSTS_MAX];               /* from all other hosts */
  int limit_count;
  sim_limit_t limits[SIM_LIMITS_MAX];
  GSequence *events;
  GArray *tasks;
  double loss;
  double duplication;
  int delay_max_ms;
  int64_t messages;
  int64_t bytes;
  int64_t steps;
  int64_t acquired;
  int64_t violations;
  uint64_t next_incarnation;
} sim_t;

static inline int64_t
sim_local_ms (const sim_t *sim, int host)
{
  const sim_host_t *h = &sim->hosts[host];

  return h->clock_offset_ms + sim->now_ms + sim->now_ms * h->clock_rate_ppm / 1000000;
}

static inline int64_t
sim_true_ms (const sim_t *sim, int host, int64_t local_ms)
{
  const sim_host_t *h = &sim->hosts[host];

  return (int64_t) ((double) (local_ms - h->clock_offset_ms)
                    / (1.0 + (double) h->clock_rate_ppm / 1e6));
}

static inline void
sim_event_free (void *data)
{
  sim_event_t *event = data;

  if (event->frame != NULL)
    g_bytes_unref (event->frame);
  if (event->members != NULL)
    g_ptr_array_unref (event->members);
  g_free (event);
}

static inline int
sim_compare (const void *a, const void *b, void *data)
{
  const sim_event_t *x = a;
  const sim_event_t *y = b;

  (void) data;
  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return (x->sequence > y->sequence) - (x->sequence < y->sequence);
}

static inline sim_event_t *
sim_event_new (sim_t *sim, sim_kind_t kind, int to, int64_t at_ms)
{
  sim_event_t *event = g_new0 (sim_event_t, 1);

  event->kind = kind;
  event->to = to;
  event->at_ms = at_ms;
  event->sequence = sim->sequence++;
  return event;
}

static inline int
sim_find_host (const sim_t *sim, const char *name)
{
  for (int i = 0; i < sim->host_count; i++)
    if (strcmp (sim->hosts[i].name, name) == 0)
      return i;
  return -1;
}

static inline void
sim_send (sim_t *sim, int from, const quota_action_t *action)
{
  int to = sim_find_host (sim, action->host);
  bool is_self_message = to == from;

  if (to < 0)
    return;
  GBytes *frame = quota_message_encode (action->message);
  if (!is_self_message)
    {
      sim->messages++;
      sim->bytes += (int64_t) g_bytes_get_size (frame);
    }
  int copies = !is_self_message && g_rand_double (sim->rand) < sim->duplication ? 2 : 1;
  for (int i = 0; i < copies; i++)
    {
      if (!is_self_message && g_rand_double (sim->rand) < sim->loss)
        continue;
      int delay = is_self_message ? 0 : g_rand_int_range (sim->rand, 0, sim->delay_max_ms + 1);
      sim_event_t *event = sim_event_new (sim, SIM_MESSAGE, to, sim->now_ms + delay);
      event->from = from;
      event->frame = g_bytes_ref (frame);
      g_sequence_insert_sorted (sim->events, event, sim_compare, NULL);
    }
  g_bytes_unref (frame);
}

static inline void
sim_host_step (sim_t *sim, int host, const quota_event_t *event)
{
  GPtrArray *actions = quota_actions_new ();

  quota_step (sim->hosts[host].quota, event, sim_local_ms (sim, host), actions);
  for (guint i = 0; i < actions->len; i++)
    sim_send (sim, host, actions->pdata[i]);
  g_ptr_array_unref (actions);
}

static inline GPtrArray *
sim_members (const sim_t *sim, int centre)
{
  GPtrArray *members = g_ptr_array_new_with_free_func (g_free);

  for (int i = 0; i < sim->host_count; i++)
    if (sim->hosts[i].centre == centre && sim->is_member[i])
      g_ptr_array_add (members, g_strdup (sim->hosts[i].name));
  return members;
}

static inline void
sim_schedule_view (sim_t *sim, int host, int64_t delay_ms)
{
  int centre = sim->hosts[host].centre;
  sim_event_t *event = sim_event_new (sim, SIM_VIEW, host, sim->now_ms + delay_ms);

  event->view_or_units = sim->view[centre];
  event->members = sim_members (sim, centre);
  g_sequence_insert_sorted (sim->events, event, sim_compare, NULL);
}

/* Appends the next view of a data centre to the log; hosts learn of it with
 * random delays. */
static inline void
sim_append_view (sim_t *sim, int centre, int delay_max_ms)
{
  sim->view[centre]++;
  for (int i = 0; i < sim->host_count; i++)
    if (sim->hosts[i].centre == centre)
      sim_schedule_view (sim, i, g_rand_int_range (sim->rand, 0, delay_max_ms + 1));
}

static inline void
sim_schedule_limit (sim_t *sim, int host, int limit, int64_t delay_ms)
{
  sim_event_t *event = sim_event_new (sim, SIM_LIMIT, host, sim->now_ms + delay_ms);

  event->limit = limit;
  event->view_or_units = sim->limits[limit].units;
  event->revision = sim->limits[limit].revision;
  g_sequence_insert_sorted (sim->events, event, sim_compare, NULL);
}

static inline void
sim_set_limit (sim_t *sim, int limit, int64_t units, int delay_max_ms)
{
  sim_limit_t *l = &sim->limits[limit];

  if (units < l->units || sim->now_ms >= l->previous_until_ms)
    l->previous_units = MAX (sim->now_ms < l->previous_until_ms ? l->previous_units : 0, l->units);
  l->previous_until_ms = sim->now_ms + SIM_LOWERED_LIMIT_MS;
  l->units = units;
  l->revision++;
  for (int i = 0; i < sim->host_count; i++)
    if (l->centre < 0 || l->centre == sim->hosts[i].centre)
      sim_schedule_limit (sim, i, limit, g_rand_int_range (sim->rand, 0, delay_max_ms + 1));
}

static inline int
sim_add_limit (sim_t *sim, const char *name, int centre, int64_t units)
{
  int limit = sim->limit_count++;

  g_strlcpy (sim->limits[limit].name, name, sizeof sim->limits[limit].name);
  sim->limits[limit].centre = centre;
  sim->limits[limit].starts = g_str_has_prefix (name, "starts/");
  sim_set_limit (sim, limit, units, 0);
  return limit;
}

static inline void
sim_start_host (sim_t *sim, int host)
{
  sim_host_t *h = &sim->hosts[host];

  h->incarnation = ++sim->next_incarnation;
  h->alive = true;
  memset (h->revision, 0, sizeof h->revision);
  h->paused_until_ms = 0;
  h->quota = quota_new (h->name, sim->centre_names->pdata[h->centre], h->incarnation,
                        sim->centre_names, &sim->rules);
  h->tick_ms = sim->now_ms + g_rand_int_range (sim->rand, 1, SIM_TICK_MS + 1);
  for (int i = 0; i < sim->host_count; i++)
    {
      quota_event_t event = { .kind = QUOTA_EVENT_PEER,
                              .host = sim->hosts[i].name,
                              .data_centre = sim->centre_names->pdata[sim->hosts[i].centre],
                              .is_reachable = true };
      sim_host_step (sim, host, &event);
    }
  for (int i = 0; i < sim->limit_count; i++)
    if (sim->limits[i].centre < 0 || sim->limits[i].centre == h->centre)
      sim_schedule_limit (sim, host, i, 0);
  if (sim->view[h->centre] > 0)
    sim_schedule_view (sim, host, 0);
}

static inline void
sim_kill_host (sim_t *sim, int host)
{
  sim_host_t *h = &sim->hosts[host];

  quota_free (h->quota);
  h->quota = NULL;
  h->alive = false;
}

static inline sim_t *
sim_new (int centres, int hosts_per_centre, const quota_rules_t *rules, uint32_t seed)
{
  sim_t *sim = g_new0 (sim_t, 1);

  sim->rand = g_rand_new_with_seed (seed);
  sim->rules = *rules;
  sim->centres = centres;
  sim->hosts_per_centre = hosts_per_centre;
  sim->host_count = centres * hosts_per_centre;
  sim->events = g_sequence_new (sim_event_free);
  sim->tasks = g_array_new (FALSE, FALSE, sizeof (sim_task_t));
  sim->centre_names = g_ptr_array_new_with_free_func (g_free);
  sim->now_ms = 1000;
  sim->delay_max_ms = 1;
  for (int i = 0; i < centres; i++)
    g_ptr_array_add (sim->centre_names, g_strdup_printf ("dc%d", i));
  for (int i = 0; i < sim->host_count; i++)
    {
      sim_host_t *h = &sim->hosts[i];
      h->centre = i / hosts_per_centre;
      g_snprintf (h->name, sizeof h->name, "d%dh%d", h->centre, i % hosts_per_centre);
      h->clock_offset_ms = g_rand_int_range (sim->rand, 1000, 1000000);
      h->clock_rate_ppm = g_rand_int_range (sim->rand, -5000, 5001);
      sim->is_member[i] = true;
    }
  for (int i = 0; i < centres; i++)
    sim->view[i] = 1;
  for (int i = 0; i < sim->host_count; i++)
    sim_start_host (sim, i);
  return sim;
}

static inline void
sim_free (sim_t *sim)
{
  for (int i = 0; i < sim->host_count; i++)
    quota_free (sim->hosts[i].quota);
  g_sequence_free (sim->events);
  g_array_unref (sim->tasks);
  g_ptr_array_unref (sim->centre_names);
  g_rand_free (sim->rand);
  g_free (sim);
}

/* Returns the number of running tasks of LIMIT on all hosts, including dead
 * ones.  This is the reference count. */
static inline int64_t
sim_in_use (const sim_t *sim, int limit)
{
  int64_t count = 0;

  for (guint i = 0; i < sim->tasks->len; i++)
    {
      const sim_task_t *task = &g_array_index (sim->tasks, sim_task_t, i);
      count += task->limit == limit && task->actual_end_ms > sim->now_ms;
    }
  return count;
}

static inline int64_t
sim_limit_in_force (const sim_t *sim, int limit)
{
  const sim_limit_t *l = &sim->limits[limit];

  return sim->now_ms < l->previous_until_ms ? MAX (l->previous_units, l->units) : l->units;
}

/* Removes tasks that have ended; a host that is running releases their units. */
static inline void
sim_end_tasks (sim_t *sim)
{
  for (guint i = sim->tasks->len; i > 0; i--)
    {
      sim_task_t *task = &g_array_index (sim->tasks, sim_task_t, i - 1);
      if (task->actual_end_ms > sim->now_ms)
        continue;
      sim_host_t *h = &sim->hosts[task->host];
      bool is_same_process = h->alive && h->incarnation == task->incarnation;
      if (is_same_process && h->paused_until_ms != 0)
        continue;
      if (is_same_process)
        quota_release (h->quota, sim->limits[task->limit].name, task->ends_at_ms,
                       sim_local_ms (sim, task->host));
      g_array_remove_index_fast (sim->tasks, i - 1);
    }
}

/* Acquires a unit for a task that may run for USE_MS and ends after RUN_MS.
 * Returns false if the host has no unit. */
static inline bool
sim_acquire (sim_t *sim, int host, int limit, int64_t use_ms, int64_t run_ms)
{
  sim_host_t *h = &sim->hosts[host];
  sim_limit_t *l = &sim->limits[limit];
  int64_t local_ms = sim_local_ms (sim, host);

  if (!h->alive || h->paused_until_ms != 0
      || quota_acquire (h->quota, l->name, local_ms + use_ms, local_ms) != 0)
    return false;
  sim_task_t task = {
    .limit = limit, .host = host, .incarnation = h->incarnation, .ends_at_ms = local_ms + use_ms
  };
  task.latest_end_ms = sim_true_ms (sim, host, task.ends_at_ms);
  task.actual_end_ms = MIN (sim->now_ms + run_ms, task.latest_end_ms);
  if (l->starts)
    task.actual_end_ms = sim->now_ms + 1000;
  g_array_append_val (sim->tasks, task);
  sim->acquired++;
  int64_t in_use = sim_in_use (sim, limit);
  l->max_in_use = MAX (l->max_in_use, in_use);
  sim->violations += in_use > sim_limit_in_force (sim, limit);
  return true;
}

static inline void
sim_deliver (sim_t *sim, const sim_event_t *event)
{
  sim_host_t *to = &sim->hosts[event->to];
  gsize size = 0;
  const char *data = NULL;
  quota_event_t step = { 0 };
  quota_message_t *message = NULL;
  frame_reader_t *reader = NULL;

  switch (event->kind)
    {
    case SIM_VIEW:
      step.kind = QUOTA_EVENT_VIEW;
      step.view_number = event->view_or_units;
      step.members = event->members;
      break;
    case SIM_LIMIT:
      if (event->revision <= to->revision[event->limit])
        return;
      to->revision[event->limit] = event->revision;
      step.kind = QUOTA_EVENT_LIMIT;
      step.name = sim->limits[event->limit].name;
      step.units = event->view_or_units;
      break;
    case SIM_MESSAGE:
      if (event->from != event->to
          && (sim->is_cut[sim->hosts[event->from].centre][to->centre]
              || sim->is_isolated[event->from] || sim->is_isolated[event->to]))
        return;
      data = g_bytes_get_data (event->frame, &size);
      CU_ASSERT_EQUAL_FATAL (
          frame_parse (data + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES, &reader), 0);
      CU_ASSERT_EQUAL_FATAL (quota_message_decode (reader, &message), 0);
      frame_reader_free (reader);
      step.kind = QUOTA_EVENT_MESSAGE;
      step.host = sim->hosts[event->from].name;
      step.data_centre = sim->centre_names->pdata[sim->hosts[event->from].centre];
      step.message = message;
      break;
    }
  sim_host_step (sim, event->to, &step);
  quota_message_free (message);
}

static inline void
sim_handle_event (sim_t *sim, GSequenceIter *first_event)
{
  sim_event_t *event = g_sequence_get (first_event);
  sim_host_t *to = &sim->hosts[event->to];

  if (to->alive && to->paused_until_ms != 0)
    {
      event->at_ms = to->paused_until_ms + 1;
      g_sequence_sort_changed (first_event, sim_compare, NULL);
      return;
    }
  if (to->alive)
    sim_deliver (sim, event);
  g_sequence_remove (first_event);
}

/* Returns the index of the host whose tick is next; -1 if no host runs. */
static inline int
sim_next_tick (const sim_t *sim)
{
  int next = -1;

  for (int i = 0; i < sim->host_count; i++)
    if (sim->hosts[i].alive && sim->hosts[i].paused_until_ms == 0
        && (next < 0 || sim->hosts[i].tick_ms < sim->hosts[next].tick_ms))
      next = i;
  return next;
}

static inline void
sim_resume_hosts (sim_t *sim)
{
  for (int i = 0; i < sim->host_count; i++)
    if (sim->hosts[i].paused_until_ms != 0 && sim->hosts[i].paused_until_ms <= sim->now_ms)
      {
        sim->hosts[i].paused_until_ms = 0;
        sim->hosts[i].tick_ms = sim->now_ms + 1;
      }
}

/* Handles all events up to UNTIL_MS. */
static inline void
sim_run (sim_t *sim, int64_t until_ms)
{
  while (sim->now_ms < until_ms)
    {
      GSequenceIter *first_event = g_sequence_get_begin_iter (sim->events);
      int64_t event_ms = g_sequence_iter_is_end (first_event)
                             ? INT64_MAX
                             : ((sim_event_t *) g_sequence_get (first_event))->at_ms;
      int tick = sim_next_tick (sim);
      int64_t tick_ms = tick >= 0 ? sim->hosts[tick].tick_ms : INT64_MAX;
      int64_t next = MIN (event_ms, tick_ms);
      if (next > until_ms)
        next = until_ms;
      sim->now_ms = MAX (sim->now_ms, next);
      sim_resume_hosts (sim);
      sim_end_tasks (sim);
      sim->steps++;
      if (event_ms <= sim->now_ms)
        sim_handle_event (sim, first_event);
      else if (tick_ms <= sim->now_ms)
        {
          quota_event_t event = { .kind = QUOTA_EVENT_TICK };
          sim->hosts[tick].tick_ms = sim->now_ms + SIM_TICK_MS;
          sim_host_step (sim, tick, &event);
        }
    }
}

#endif
