/* test_share_world.h -- hosts of lib/share on a simulated network and clock
 *
 * Time is in true milliseconds; each host has a clock with its own offset and
 * rate.  Events are taken in the order of their time, ties by order of
 * insertion, so a run depends on its seed alone.  A naive list of tasks is the
 * truth that limits are checked against.
 */
#ifndef TEST_SHARE_WORLD_H
#define TEST_SHARE_WORLD_H

#include "share/share.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#define WORLD_HOSTS_MAX 32
#define WORLD_CENTRES_MAX 8
#define WORLD_LIMITS_MAX 16
#define WORLD_TICK_MS 50
/* After a limit was lowered, what was in force before may be in use this long:
 * the loan's and the share's lease, and the longest task. */
#define WORLD_LOWERING_MS 16000

typedef enum
{
  WORLD_MESSAGE,
  WORLD_VIEW,
  WORLD_LIMIT
} world_kind_t;

typedef struct
{
  int64_t due_ms;
  uint64_t order;
  world_kind_t kind;
  int to;
  int from;
  GBytes *frame;
  int64_t number; /* of the view, or units */
  GPtrArray *members;
  int limit;
  uint64_t revision; /* of the limit */
} world_event_t;

typedef struct
{
  char name[16];
  int centre;
  share_t *share;
  bool alive;
  int64_t frozen_until_ms; /* 0: runs */
  int64_t offset_ms;
  int64_t rate_ppm;
  uint64_t incarnation;
  int64_t tick_ms;
  uint64_t revision[WORLD_LIMITS_MAX]; /* in force, 0 before the first */
} world_host_t;

typedef struct
{
  char name[24];
  int centre; /* of an endpoint's slots, -1 for plans */
  bool starts;
  int64_t units;
  int64_t high; /* largest units in force within WORLD_LOWERING_MS */
  int64_t high_until_ms;
  uint64_t revision;
  int64_t most; /* in use at once, the largest seen */
} world_limit_t;

typedef struct
{
  int limit;
  int host;
  uint64_t incarnation;
  int64_t ends_at_ms;    /* host's clock */
  int64_t true_end_ms;   /* at the latest */
  int64_t true_early_ms; /* when it really ends */
} world_task_t;

typedef struct
{
  GRand *rand;
  share_rules_t rules;
  int64_t now_ms;
  uint64_t order;
  int hosts_per_centre;
  int centres;
  int host_count;
  world_host_t hosts[WORLD_HOSTS_MAX];
  GPtrArray *centre_names;
  int64_t view[WORLD_CENTRES_MAX];
  bool member[WORLD_HOSTS_MAX];
  bool cut[WORLD_CENTRES_MAX][WORLD_CENTRES_MAX]; /* from, to */
  bool apart[WORLD_HOSTS_MAX];                    /* reaches nobody */
  int limit_count;
  world_limit_t limits[WORLD_LIMITS_MAX];
  GSequence *events;
  GArray *tasks;
  double loss;
  double doubling;
  int delay_max_ms;
  int64_t messages;
  int64_t bytes;
  int64_t steps;
  int64_t takes;
  int64_t violations;
  uint64_t next_incarnation;
} world_t;

static inline int64_t
world_local_ms (const world_t *world, int host)
{
  const world_host_t *h = &world->hosts[host];

  return h->offset_ms + world->now_ms + world->now_ms * h->rate_ppm / 1000000;
}

static inline int64_t
world_true_ms (const world_t *world, int host, int64_t local_ms)
{
  const world_host_t *h = &world->hosts[host];

  return (int64_t) ((double) (local_ms - h->offset_ms) / (1.0 + (double) h->rate_ppm / 1e6));
}

static inline void
world_event_free (void *data)
{
  world_event_t *event = data;

  if (event->frame != NULL)
    g_bytes_unref (event->frame);
  if (event->members != NULL)
    g_ptr_array_unref (event->members);
  g_free (event);
}

static inline int
world_compare (const void *a, const void *b, void *data)
{
  const world_event_t *x = a;
  const world_event_t *y = b;

  (void) data;
  if (x->due_ms != y->due_ms)
    return x->due_ms < y->due_ms ? -1 : 1;
  return (x->order > y->order) - (x->order < y->order);
}

static inline world_event_t *
world_push (world_t *world, world_kind_t kind, int to, int64_t due_ms)
{
  world_event_t *event = g_new0 (world_event_t, 1);

  event->kind = kind;
  event->to = to;
  event->due_ms = due_ms;
  event->order = world->order++;
  return event;
}

static inline int
world_find_host (const world_t *world, const char *name)
{
  for (int i = 0; i < world->host_count; i++)
    if (strcmp (world->hosts[i].name, name) == 0)
      return i;
  return -1;
}

static inline void
world_send (world_t *world, int from, const share_action_t *action)
{
  int to = world_find_host (world, action->host);
  bool self = to == from;

  if (to < 0)
    return;
  GBytes *frame = share_message_encode (action->message);
  if (!self)
    {
      world->messages++;
      world->bytes += (int64_t) g_bytes_get_size (frame);
    }
  int copies = !self && g_rand_double (world->rand) < world->doubling ? 2 : 1;
  for (int i = 0; i < copies; i++)
    {
      if (!self && g_rand_double (world->rand) < world->loss)
        continue;
      int delay = self ? 0 : g_rand_int_range (world->rand, 0, world->delay_max_ms + 1);
      world_event_t *event = world_push (world, WORLD_MESSAGE, to, world->now_ms + delay);
      event->from = from;
      event->frame = g_bytes_ref (frame);
      g_sequence_insert_sorted (world->events, event, world_compare, NULL);
    }
  g_bytes_unref (frame);
}

static inline void
world_host_step (world_t *world, int host, const share_event_t *event)
{
  GPtrArray *actions = share_actions_new ();

  share_step (world->hosts[host].share, event, world_local_ms (world, host), actions);
  for (guint i = 0; i < actions->len; i++)
    world_send (world, host, actions->pdata[i]);
  g_ptr_array_unref (actions);
}

static inline GPtrArray *
world_members (const world_t *world, int centre)
{
  GPtrArray *members = g_ptr_array_new_with_free_func (g_free);

  for (int i = 0; i < world->host_count; i++)
    if (world->hosts[i].centre == centre && world->member[i])
      g_ptr_array_add (members, g_strdup (world->hosts[i].name));
  return members;
}

static inline void
world_tell_view (world_t *world, int host, int64_t delay_ms)
{
  int centre = world->hosts[host].centre;
  world_event_t *event = world_push (world, WORLD_VIEW, host, world->now_ms + delay_ms);

  event->number = world->view[centre];
  event->members = world_members (world, centre);
  g_sequence_insert_sorted (world->events, event, world_compare, NULL);
}

/* The next view of a data centre has been ordered by the log. */
static inline void
world_change_view (world_t *world, int centre, int delay_max_ms)
{
  world->view[centre]++;
  for (int i = 0; i < world->host_count; i++)
    if (world->hosts[i].centre == centre)
      world_tell_view (world, i, g_rand_int_range (world->rand, 0, delay_max_ms + 1));
}

static inline void
world_tell_limit (world_t *world, int host, int limit, int64_t delay_ms)
{
  world_event_t *event = world_push (world, WORLD_LIMIT, host, world->now_ms + delay_ms);

  event->limit = limit;
  event->number = world->limits[limit].units;
  event->revision = world->limits[limit].revision;
  g_sequence_insert_sorted (world->events, event, world_compare, NULL);
}

static inline void
world_set_limit (world_t *world, int limit, int64_t units, int delay_max_ms)
{
  world_limit_t *l = &world->limits[limit];

  if (units < l->units || world->now_ms >= l->high_until_ms)
    l->high = MAX (world->now_ms < l->high_until_ms ? l->high : 0, l->units);
  l->high_until_ms = world->now_ms + WORLD_LOWERING_MS;
  l->units = units;
  l->revision++;
  for (int i = 0; i < world->host_count; i++)
    if (l->centre < 0 || l->centre == world->hosts[i].centre)
      world_tell_limit (world, i, limit, g_rand_int_range (world->rand, 0, delay_max_ms + 1));
}

static inline int
world_add_limit (world_t *world, const char *name, int centre, int64_t units)
{
  int limit = world->limit_count++;

  g_strlcpy (world->limits[limit].name, name, sizeof world->limits[limit].name);
  world->limits[limit].centre = centre;
  world->limits[limit].starts = g_str_has_prefix (name, "starts/");
  world_set_limit (world, limit, units, 0);
  return limit;
}

static inline void
world_start_host (world_t *world, int host)
{
  world_host_t *h = &world->hosts[host];

  h->incarnation = ++world->next_incarnation;
  h->alive = true;
  memset (h->revision, 0, sizeof h->revision);
  h->frozen_until_ms = 0;
  h->share = share_new (h->name, world->centre_names->pdata[h->centre], h->incarnation,
                        world->centre_names, &world->rules);
  h->tick_ms = world->now_ms + g_rand_int_range (world->rand, 1, WORLD_TICK_MS + 1);
  for (int i = 0; i < world->host_count; i++)
    {
      share_event_t event = { .kind = SHARE_EVENT_PEER,
                              .host = world->hosts[i].name,
                              .data_centre = world->centre_names->pdata[world->hosts[i].centre],
                              .up = true };
      world_host_step (world, host, &event);
    }
  for (int i = 0; i < world->limit_count; i++)
    if (world->limits[i].centre < 0 || world->limits[i].centre == h->centre)
      world_tell_limit (world, host, i, 0);
  if (world->view[h->centre] > 0)
    world_tell_view (world, host, 0);
}

static inline void
world_kill_host (world_t *world, int host)
{
  world_host_t *h = &world->hosts[host];

  share_unref (h->share);
  h->share = NULL;
  h->alive = false;
}

static inline world_t *
world_new (int centres, int hosts_per_centre, const share_rules_t *rules, uint32_t seed)
{
  world_t *world = g_new0 (world_t, 1);

  world->rand = g_rand_new_with_seed (seed);
  world->rules = *rules;
  world->centres = centres;
  world->hosts_per_centre = hosts_per_centre;
  world->host_count = centres * hosts_per_centre;
  world->events = g_sequence_new (world_event_free);
  world->tasks = g_array_new (FALSE, FALSE, sizeof (world_task_t));
  world->centre_names = g_ptr_array_new_with_free_func (g_free);
  world->now_ms = 1000;
  world->delay_max_ms = 1;
  for (int i = 0; i < centres; i++)
    g_ptr_array_add (world->centre_names, g_strdup_printf ("dc%d", i));
  for (int i = 0; i < world->host_count; i++)
    {
      world_host_t *h = &world->hosts[i];
      h->centre = i / hosts_per_centre;
      g_snprintf (h->name, sizeof h->name, "d%dh%d", h->centre, i % hosts_per_centre);
      h->offset_ms = g_rand_int_range (world->rand, 1000, 1000000);
      h->rate_ppm = g_rand_int_range (world->rand, -5000, 5001);
      world->member[i] = true;
    }
  for (int i = 0; i < centres; i++)
    world->view[i] = 1;
  for (int i = 0; i < world->host_count; i++)
    world_start_host (world, i);
  return world;
}

static inline void
world_free (world_t *world)
{
  for (int i = 0; i < world->host_count; i++)
    share_unref (world->hosts[i].share);
  g_sequence_free (world->events);
  g_array_unref (world->tasks);
  g_ptr_array_unref (world->centre_names);
  g_rand_free (world->rand);
  g_free (world);
}

/* The naive counter: tasks of LIMIT that run now, on any host, dead or alive. */
static inline int64_t
world_in_use (const world_t *world, int limit)
{
  int64_t count = 0;

  for (guint i = 0; i < world->tasks->len; i++)
    {
      const world_task_t *task = &g_array_index (world->tasks, world_task_t, i);
      count += task->limit == limit && task->true_early_ms > world->now_ms;
    }
  return count;
}

static inline int64_t
world_in_force (const world_t *world, int limit)
{
  const world_limit_t *l = &world->limits[limit];

  return world->now_ms < l->high_until_ms ? MAX (l->high, l->units) : l->units;
}

/* Ends tasks whose time has come; a host that runs gives its units back. */
static inline void
world_end_tasks (world_t *world)
{
  for (guint i = world->tasks->len; i > 0; i--)
    {
      world_task_t *task = &g_array_index (world->tasks, world_task_t, i - 1);
      if (task->true_early_ms > world->now_ms)
        continue;
      world_host_t *h = &world->hosts[task->host];
      bool same = h->alive && h->incarnation == task->incarnation;
      if (same && h->frozen_until_ms != 0)
        continue;
      if (same)
        share_give (h->share, world->limits[task->limit].name, task->ends_at_ms,
                    world_local_ms (world, task->host));
      g_array_remove_index_fast (world->tasks, i - 1);
    }
}

/* Takes a unit for a task that may run USE_MS and really runs RUN_MS. */
static inline bool
world_take (world_t *world, int host, int limit, int64_t use_ms, int64_t run_ms)
{
  world_host_t *h = &world->hosts[host];
  world_limit_t *l = &world->limits[limit];
  int64_t local_ms = world_local_ms (world, host);

  if (!h->alive || h->frozen_until_ms != 0
      || share_take (h->share, l->name, local_ms + use_ms, local_ms) != 0)
    return false;
  world_task_t task = {
    .limit = limit, .host = host, .incarnation = h->incarnation, .ends_at_ms = local_ms + use_ms
  };
  task.true_end_ms = world_true_ms (world, host, task.ends_at_ms);
  task.true_early_ms = MIN (world->now_ms + run_ms, task.true_end_ms);
  if (l->starts)
    task.true_early_ms = world->now_ms + 1000;
  g_array_append_val (world->tasks, task);
  world->takes++;
  int64_t in_use = world_in_use (world, limit);
  l->most = MAX (l->most, in_use);
  world->violations += in_use > world_in_force (world, limit);
  return true;
}

static inline void
world_deliver (world_t *world, const world_event_t *event)
{
  world_host_t *to = &world->hosts[event->to];
  gsize size = 0;
  const char *data = NULL;
  share_event_t step = { 0 };
  share_message_t *message = NULL;
  frame_reader_t *reader = NULL;

  switch (event->kind)
    {
    case WORLD_VIEW:
      step.kind = SHARE_EVENT_VIEW;
      step.number = event->number;
      step.members = event->members;
      break;
    case WORLD_LIMIT:
      if (event->revision <= to->revision[event->limit])
        return;
      to->revision[event->limit] = event->revision;
      step.kind = SHARE_EVENT_LIMIT;
      step.name = world->limits[event->limit].name;
      step.units = event->number;
      break;
    case WORLD_MESSAGE:
      if (event->from != event->to
          && (world->cut[world->hosts[event->from].centre][to->centre] || world->apart[event->from]
              || world->apart[event->to]))
        return;
      data = g_bytes_get_data (event->frame, &size);
      CU_ASSERT_EQUAL_FATAL (
          frame_parse (data + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES, &reader), 0);
      CU_ASSERT_EQUAL_FATAL (share_message_decode (reader, &message), 0);
      frame_reader_free (reader);
      step.kind = SHARE_EVENT_MESSAGE;
      step.host = world->hosts[event->from].name;
      step.data_centre = world->centre_names->pdata[world->hosts[event->from].centre];
      step.message = message;
      break;
    }
  world_host_step (world, event->to, &step);
  share_message_free (message);
}

static inline void
world_take_event (world_t *world, GSequenceIter *first)
{
  world_event_t *event = g_sequence_get (first);
  world_host_t *to = &world->hosts[event->to];

  if (to->alive && to->frozen_until_ms != 0)
    {
      event->due_ms = to->frozen_until_ms + 1;
      g_sequence_sort_changed (first, world_compare, NULL);
      return;
    }
  if (to->alive)
    world_deliver (world, event);
  g_sequence_remove (first);
}

/* Index of the host whose tick is next. */
static inline int
world_next_tick (const world_t *world)
{
  int next = -1;

  for (int i = 0; i < world->host_count; i++)
    if (world->hosts[i].alive && world->hosts[i].frozen_until_ms == 0
        && (next < 0 || world->hosts[i].tick_ms < world->hosts[next].tick_ms))
      next = i;
  return next;
}

static inline void
world_thaw (world_t *world)
{
  for (int i = 0; i < world->host_count; i++)
    if (world->hosts[i].frozen_until_ms != 0 && world->hosts[i].frozen_until_ms <= world->now_ms)
      {
        world->hosts[i].frozen_until_ms = 0;
        world->hosts[i].tick_ms = world->now_ms + 1;
      }
}

/* Runs all events up to UNTIL_MS. */
static inline void
world_run (world_t *world, int64_t until_ms)
{
  while (world->now_ms < until_ms)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (world->events);
      int64_t due = g_sequence_iter_is_end (first)
                        ? INT64_MAX
                        : ((world_event_t *) g_sequence_get (first))->due_ms;
      int tick = world_next_tick (world);
      int64_t tick_ms = tick >= 0 ? world->hosts[tick].tick_ms : INT64_MAX;
      int64_t next = MIN (due, tick_ms);
      if (next > until_ms)
        next = until_ms;
      world->now_ms = MAX (world->now_ms, next);
      world_thaw (world);
      world_end_tasks (world);
      world->steps++;
      if (due <= world->now_ms)
        world_take_event (world, first);
      else if (tick_ms <= world->now_ms)
        {
          share_event_t event = { .kind = SHARE_EVENT_TICK };
          world->hosts[tick].tick_ms = world->now_ms + WORLD_TICK_MS;
          world_host_step (world, tick, &event);
        }
    }
}

#endif
