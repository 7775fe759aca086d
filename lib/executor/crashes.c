/* crashes.c -- history of the tasks whose endpoints were lost
 *
 * TASKS holds the counts.  UNRESOLVED holds, by endpoint, the suspected losses that an answer of
 * the endpoint will confirm or withdraw.
 */
#include "executor/crashes.h"

#include <string.h>

#define EXPIRE_INTERVAL_MS 10000

typedef struct
{
  crash_counts_t counts;
  int64_t changed_at_ms;
} task_entry_t;

/* A suspected loss. */
typedef struct
{
  char *task;
  int64_t endpoint_started_at_ms;
  bool confirmed; /* the start of the run was confirmed */
} unresolved_t;

struct crash_history_t
{
  GHashTable *tasks;      /* name -> task_entry_t */
  GHashTable *unresolved; /* endpoint -> GPtrArray of unresolved_t */
  GPtrArray *events;      /* crash_event_t */
  int64_t expired_at_ms;
};

static void
free_event (void *data)
{
  crash_event_t *event = data;

  g_free (event->task);
  g_free (event->endpoint);
  g_free (event);
}

static void
free_unresolved (void *data)
{
  unresolved_t *loss = data;

  g_free (loss->task);
  g_free (loss);
}

static void
free_losses (void *data)
{
  g_ptr_array_unref (data);
}

crash_history_t *
crash_history_new (void)
{
  crash_history_t *history = g_new0 (crash_history_t, 1);

  history->tasks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  history->unresolved = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_losses);
  history->events = g_ptr_array_new_with_free_func (free_event);
  return history;
}

void
crash_history_free (crash_history_t *history)
{
  g_hash_table_unref (history->tasks);
  g_hash_table_unref (history->unresolved);
  g_ptr_array_unref (history->events);
  g_free (history);
}

static void
remove_oldest (crash_history_t *history)
{
  const char *oldest = NULL;
  int64_t oldest_at_ms = INT64_MAX;
  GHashTableIter iter;
  void *key = NULL;
  void *value = NULL;

  g_hash_table_iter_init (&iter, history->tasks);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (((const task_entry_t *) value)->changed_at_ms < oldest_at_ms)
      {
        oldest = key;
        oldest_at_ms = ((const task_entry_t *) value)->changed_at_ms;
      }
  if (oldest != NULL)
    g_hash_table_remove (history->tasks, oldest);
}

static task_entry_t *
entry_of (crash_history_t *history, const char *task)
{
  task_entry_t *entry = g_hash_table_lookup (history->tasks, task);

  if (entry != NULL)
    return entry;
  if (g_hash_table_size (history->tasks) >= CRASH_TASKS_MAX)
    remove_oldest (history);
  entry = g_new0 (task_entry_t, 1);
  g_hash_table_insert (history->tasks, g_strdup (task), entry);
  return entry;
}

static void
add_event (crash_history_t *history, const char *task, const char *endpoint, crash_change_t change)
{
  crash_event_t *event = g_new0 (crash_event_t, 1);

  event->task = g_strdup (task);
  event->endpoint = g_strdup (endpoint);
  event->change = change;
  g_ptr_array_add (history->events, event);
}

static void
add_loss (crash_history_t *history, const crash_run_t *run, bool confirmed, int64_t now_ms)
{
  task_entry_t *entry = entry_of (history, run->task);

  entry->counts.lost++;
  entry->counts.confirmed += confirmed;
  entry->changed_at_ms = now_ms;
  add_event (history, run->task, run->endpoint, confirmed ? CRASH_CONFIRMED : CRASH_SUSPECTED);
}

/* Applies the answer of an endpoint to a loss there. */
static void
resolve_loss (crash_history_t *history,
              const unresolved_t *loss,
              const char *endpoint,
              bool restarted)
{
  task_entry_t *entry = g_hash_table_lookup (history->tasks, loss->task);

  if (entry == NULL || (restarted && !loss->confirmed))
    return;
  if (restarted)
    entry->counts.confirmed = MIN (entry->counts.confirmed + 1, entry->counts.lost);
  else
    entry->counts.lost = MAX (entry->counts.lost - 1, entry->counts.confirmed);
  add_event (history, loss->task, endpoint, restarted ? CRASH_CONFIRMED : CRASH_WITHDRAWN);
}

void
crash_history_add_lost (crash_history_t *history, const crash_run_t *run, int64_t now_ms)
{
  GPtrArray *losses = g_hash_table_lookup (history->unresolved, run->endpoint);

  if (losses == NULL)
    {
      losses = g_ptr_array_new_with_free_func (free_unresolved);
      g_hash_table_insert (history->unresolved, g_strdup (run->endpoint), losses);
    }
  unresolved_t *loss = g_new0 (unresolved_t, 1);
  loss->task = g_strdup (run->task);
  loss->endpoint_started_at_ms = run->endpoint_started_at_ms;
  loss->confirmed = run->confirmed;
  g_ptr_array_add (losses, loss);
  add_loss (history, run, false, now_ms);
}

void
crash_history_add_restarted (crash_history_t *history, const crash_run_t *run, int64_t now_ms)
{
  add_loss (history, run, run->confirmed, now_ms);
}

void
crash_history_endpoint_answered (crash_history_t *history,
                                 const char *endpoint,
                                 int64_t started_at_ms)
{
  GPtrArray *losses = g_hash_table_lookup (history->unresolved, endpoint);

  if (losses == NULL)
    return;
  for (guint i = 0; i < losses->len; i++)
    {
      const unresolved_t *loss = losses->pdata[i];
      resolve_loss (history, loss, endpoint, loss->endpoint_started_at_ms != started_at_ms);
    }
  g_hash_table_remove (history->unresolved, endpoint);
}

void
crash_history_learn (crash_history_t *history,
                     const char *task,
                     crash_counts_t counts,
                     int64_t now_ms)
{
  crash_counts_t known = crash_history_counts (history, task);

  if (counts.lost <= known.lost && counts.confirmed <= known.confirmed)
    return;
  task_entry_t *entry = entry_of (history, task);
  entry->counts.lost = MAX (known.lost, counts.lost);
  entry->counts.confirmed = MAX (known.confirmed, counts.confirmed);
  entry->changed_at_ms = now_ms;
}

void
crash_history_forget (crash_history_t *history, const char *task)
{
  g_hash_table_remove (history->tasks, task);
}

static bool
has_known_task (const crash_history_t *history, const GPtrArray *losses)
{
  for (guint i = 0; i < losses->len; i++)
    if (g_hash_table_contains (history->tasks, ((const unresolved_t *) losses->pdata[i])->task))
      return true;
  return false;
}

void
crash_history_expire (crash_history_t *history, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  if (now_ms - history->expired_at_ms < EXPIRE_INTERVAL_MS)
    return;
  history->expired_at_ms = now_ms;
  g_hash_table_iter_init (&iter, history->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms - ((const task_entry_t *) value)->changed_at_ms > CRASH_RETENTION_MS)
      g_hash_table_iter_remove (&iter);
  g_hash_table_iter_init (&iter, history->unresolved);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!has_known_task (history, value))
      g_hash_table_iter_remove (&iter);
}

crash_counts_t
crash_history_counts (const crash_history_t *history, const char *task)
{
  const task_entry_t *entry = g_hash_table_lookup (history->tasks, task);

  return entry != NULL ? entry->counts : (crash_counts_t){ 0 };
}

crash_decision_t
crash_history_decide (const crash_history_t *history, const char *task, int64_t now_ms)
{
  const task_entry_t *entry = g_hash_table_lookup (history->tasks, task);

  if (entry == NULL)
    return CRASH_START;
  if (entry->counts.confirmed >= CRASH_CONFIRMED_MAX || entry->counts.lost >= CRASH_LOSSES_MAX)
    return CRASH_GIVE_UP;
  if (entry->counts.lost == CRASH_LOSSES_MAX - 1 && now_ms - entry->changed_at_ms < CRASH_HOLD_MS)
    return CRASH_HOLD;
  return entry->counts.lost > 0 ? CRASH_START_ALONE : CRASH_START;
}

bool
crash_history_has_events (const crash_history_t *history)
{
  return history->events->len > 0;
}

GPtrArray *
crash_history_take_events (crash_history_t *history)
{
  GPtrArray *events = history->events;

  history->events = g_ptr_array_new_with_free_func (free_event);
  return events;
}
