/* crashes.c -- history of the tasks whose endpoints were lost
 *
 * TASKS holds the losses.  SUSPECTS holds, by endpoint, the tasks with a suspected loss there,
 * which an answer of the endpoint, or of another one at its address, will confirm or withdraw.
 */
#include "executor/crashes.h"

#include <string.h>

#define EXPIRE_INTERVAL_MS 10000
/* Withdrawn losses are kept too, so that a late message does not reopen them. */
#define LOSSES_PER_TASK_MAX 16

typedef struct
{
  char *endpoint;
  int64_t endpoint_started_at_ms;
  int32_t attempt;
  bool had_started;
  bool before_success; /* the task has succeeded since */
  crash_state_t state;
  int32_t revision;
} loss_t;

typedef struct
{
  GPtrArray *losses; /* loss_t */
  int64_t changed_at_ms;
} task_entry_t;

/* An endpoint with suspected losses. */
typedef struct
{
  char *endpoint;
  char *address;    /* NULL if unknown */
  GPtrArray *tasks; /* names */
} suspect_t;

struct crash_history_t
{
  GHashTable *tasks;     /* name -> task_entry_t */
  GHashTable *suspects;  /* endpoint -> suspect_t, owned */
  GHashTable *addresses; /* address -> suspect_t, the latest one there */
  int64_t expired_at_ms;
};

void
crash_loss_clear (void *loss)
{
  crash_loss_t *cleared = loss;

  g_free ((char *) cleared->task);
  g_free ((char *) cleared->endpoint);
  g_free ((char *) cleared->address);
}

static void
free_loss (void *data)
{
  loss_t *loss = data;

  g_free (loss->endpoint);
  g_free (loss);
}

static void
free_entry (void *data)
{
  task_entry_t *entry = data;

  g_ptr_array_unref (entry->losses);
  g_free (entry);
}

static void
free_suspect (void *data)
{
  suspect_t *suspect = data;

  g_free (suspect->endpoint);
  g_free (suspect->address);
  g_ptr_array_unref (suspect->tasks);
  g_free (suspect);
}

crash_history_t *
crash_history_new (void)
{
  crash_history_t *history = g_new0 (crash_history_t, 1);

  history->tasks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_entry);
  history->suspects = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_suspect);
  history->addresses = g_hash_table_new (g_str_hash, g_str_equal);
  return history;
}

void
crash_history_free (crash_history_t *history)
{
  g_hash_table_unref (history->tasks);
  g_hash_table_unref (history->addresses);
  g_hash_table_unref (history->suspects);
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
  entry->losses = g_ptr_array_new_with_free_func (free_loss);
  g_hash_table_insert (history->tasks, g_strdup (task), entry);
  return entry;
}

static loss_t *
find_loss (const task_entry_t *entry, const crash_loss_t *info)
{
  for (guint i = 0; i < entry->losses->len; i++)
    {
      loss_t *loss = entry->losses->pdata[i];
      if (loss->attempt == info->attempt
          && loss->endpoint_started_at_ms == info->endpoint_started_at_ms
          && strcmp (loss->endpoint, info->endpoint) == 0)
        return loss;
    }
  return NULL;
}

static suspect_t *
suspect_of (crash_history_t *history, const char *endpoint)
{
  suspect_t *suspect = g_hash_table_lookup (history->suspects, endpoint);

  if (suspect != NULL)
    return suspect;
  suspect = g_new0 (suspect_t, 1);
  suspect->endpoint = g_strdup (endpoint);
  suspect->tasks = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_insert (history->suspects, suspect->endpoint, suspect);
  return suspect;
}

static void
forget_address (crash_history_t *history, const suspect_t *suspect)
{
  if (suspect->address != NULL
      && g_hash_table_lookup (history->addresses, suspect->address) == suspect)
    g_hash_table_remove (history->addresses, suspect->address);
}

static void
add_suspect (crash_history_t *history, const crash_loss_t *loss)
{
  suspect_t *suspect = suspect_of (history, loss->endpoint);

  if (!g_ptr_array_find_with_equal_func (suspect->tasks, loss->task, g_str_equal, NULL))
    g_ptr_array_add (suspect->tasks, g_strdup (loss->task));
  if (loss->address == NULL)
    return;
  forget_address (history, suspect);
  g_free (suspect->address);
  suspect->address = g_strdup (loss->address);
  g_hash_table_replace (history->addresses, suspect->address, suspect);
}

static void
remove_suspect (crash_history_t *history, suspect_t *suspect)
{
  forget_address (history, suspect);
  g_hash_table_remove (history->suspects, suspect->endpoint);
}

/* Adds a loss without a state.  Returns NULL if the task has too many. */
static loss_t *
add_loss (task_entry_t *entry, const crash_loss_t *info, int64_t now_ms)
{
  if (entry->losses->len >= LOSSES_PER_TASK_MAX)
    return NULL;
  loss_t *loss = g_new0 (loss_t, 1);
  loss->endpoint = g_strdup (info->endpoint);
  loss->endpoint_started_at_ms = info->endpoint_started_at_ms;
  loss->attempt = info->attempt;
  loss->had_started = info->had_started;
  g_ptr_array_add (entry->losses, loss);
  entry->changed_at_ms = now_ms;
  return loss;
}

/* Sets the state and the revision of LOSS, which INFO names. */
static void
set_state (crash_history_t *history, loss_t *loss, const crash_loss_t *info, int32_t revision)
{
  loss->state = info->state;
  loss->revision = revision;
  if (info->state == CRASH_SUSPECTED)
    add_suspect (history, info);
}

bool
crash_history_add (crash_history_t *history, crash_loss_t *info, int64_t now_ms)
{
  task_entry_t *entry = entry_of (history, info->task);
  loss_t *loss = find_loss (entry, info);

  if (loss != NULL && (loss->state == info->state || loss->state == CRASH_CONFIRMED))
    return false;
  if (loss == NULL)
    loss = add_loss (entry, info, now_ms);
  if (loss == NULL)
    return false;
  loss->had_started |= info->had_started;
  set_state (history, loss, info, loss->revision + 1);
  info->revision = loss->revision;
  return true;
}

/* Two hosts that have learned different things may give them the same revision. */
static bool
is_newer_state (const crash_loss_t *info, const loss_t *loss)
{
  if (loss->state == CRASH_CONFIRMED || info->state == CRASH_CONFIRMED)
    return info->state == CRASH_CONFIRMED;
  return info->revision > loss->revision
         || (info->revision == loss->revision && info->state > loss->state);
}

void
crash_history_merge (crash_history_t *history, const crash_loss_t *info, int64_t now_ms)
{
  task_entry_t *entry = entry_of (history, info->task);
  loss_t *loss = find_loss (entry, info);

  if (loss == NULL)
    loss = add_loss (entry, info, now_ms);
  if (loss != NULL)
    loss->had_started |= info->had_started;
  if (loss != NULL && is_newer_state (info, loss))
    set_state (history, loss, info, MAX (info->revision, loss->revision));
}

static crash_loss_t
loss_info (const char *task, const loss_t *loss)
{
  return (crash_loss_t){ .task = task,
                         .attempt = loss->attempt,
                         .endpoint = loss->endpoint,
                         .endpoint_started_at_ms = loss->endpoint_started_at_ms,
                         .had_started = loss->had_started,
                         .state = loss->state,
                         .revision = loss->revision };
}

static void
resolve_loss (loss_t *loss,
              const char *task,
              crash_state_t state,
              crash_loss_func_t changed,
              void *user)
{
  loss->state = state;
  loss->revision++;
  crash_loss_t info = loss_info (task, loss);
  changed (&info, user);
}

/* What is known of an endpoint with suspected losses. */
typedef enum
{
  ENDPOINT_ANSWERED, /* as the instance that INSTANCE_STARTED_AT_MS names */
  ENDPOINT_REPLACED,
  ENDPOINT_LEFT
} endpoint_news_t;

typedef struct
{
  const char *endpoint;
  endpoint_news_t news;
  int64_t instance_started_at_ms;
  crash_loss_func_t changed;
  void *user;
} resolution_t;

/* True if the instance that LOSS names is gone. */
static bool
is_gone (const loss_t *loss, const resolution_t *resolution)
{
  return resolution->news == ENDPOINT_REPLACED
         || (resolution->news == ENDPOINT_ANSWERED
             && loss->endpoint_started_at_ms != resolution->instance_started_at_ms);
}

/* Applies what is known of an endpoint to the losses of TASK there. */
static void
resolve_losses (const crash_history_t *history, const char *task, const resolution_t *resolution)
{
  const task_entry_t *entry = g_hash_table_lookup (history->tasks, task);

  for (guint i = 0; entry != NULL && i < entry->losses->len; i++)
    {
      loss_t *loss = entry->losses->pdata[i];
      bool gone = is_gone (loss, resolution);
      if (loss->state != CRASH_SUSPECTED || strcmp (loss->endpoint, resolution->endpoint) != 0
          || (gone && !loss->had_started))
        continue;
      resolve_loss (loss, task, gone ? CRASH_CONFIRMED : CRASH_WITHDRAWN, resolution->changed,
                    resolution->user);
    }
}

static void
resolve_endpoint (crash_history_t *history, const resolution_t *resolution)
{
  suspect_t *suspect = g_hash_table_lookup (history->suspects, resolution->endpoint);

  if (suspect == NULL)
    return;
  for (guint i = 0; i < suspect->tasks->len; i++)
    resolve_losses (history, suspect->tasks->pdata[i], resolution);
  remove_suspect (history, suspect);
}

void
crash_history_endpoint_answered (crash_history_t *history,
                                 const char *endpoint,
                                 const char *address,
                                 int64_t started_at_ms,
                                 crash_loss_func_t changed,
                                 void *user)
{
  const resolution_t resolution = { endpoint, ENDPOINT_ANSWERED, started_at_ms, changed, user };
  const suspect_t *at_address =
      address != NULL ? g_hash_table_lookup (history->addresses, address) : NULL;

  if (at_address != NULL && strcmp (at_address->endpoint, endpoint) != 0)
    crash_history_endpoint_replaced (history, at_address->endpoint, address, changed, user);
  if (started_at_ms != 0)
    resolve_endpoint (history, &resolution);
}

void
crash_history_endpoint_replaced (crash_history_t *history,
                                 const char *endpoint,
                                 const char *address,
                                 crash_loss_func_t changed,
                                 void *user)
{
  const resolution_t resolution = { endpoint, ENDPOINT_REPLACED, 0, changed, user };
  const suspect_t *suspect = g_hash_table_lookup (history->suspects, endpoint);

  if (suspect != NULL && (suspect->address == NULL || g_strcmp0 (suspect->address, address) == 0))
    resolve_endpoint (history, &resolution);
}

void
crash_history_endpoint_left (crash_history_t *history,
                             const char *endpoint,
                             crash_loss_func_t changed,
                             void *user)
{
  const resolution_t resolution = { endpoint, ENDPOINT_LEFT, 0, changed, user };

  resolve_endpoint (history, &resolution);
}

void
crash_history_withdraw (crash_history_t *history,
                        const crash_loss_t *run,
                        crash_loss_func_t changed,
                        void *user)
{
  const task_entry_t *entry = g_hash_table_lookup (history->tasks, run->task);
  loss_t *loss = entry != NULL ? find_loss (entry, run) : NULL;

  if (loss != NULL && loss->state == CRASH_SUSPECTED)
    resolve_loss (loss, run->task, CRASH_WITHDRAWN, changed, user);
}

void
crash_history_note_success (crash_history_t *history, const char *task)
{
  const task_entry_t *entry = g_hash_table_lookup (history->tasks, task);

  for (guint i = 0; entry != NULL && i < entry->losses->len; i++)
    ((loss_t *) entry->losses->pdata[i])->before_success = true;
}

static bool
is_suspected (const crash_history_t *history, const char *task, const char *endpoint)
{
  const task_entry_t *entry = g_hash_table_lookup (history->tasks, task);

  for (guint i = 0; entry != NULL && i < entry->losses->len; i++)
    {
      const loss_t *loss = entry->losses->pdata[i];
      if (loss->state == CRASH_SUSPECTED && strcmp (loss->endpoint, endpoint) == 0)
        return true;
    }
  return false;
}

/* Removes the tasks whose losses at SUSPECT another host has resolved, or are forgotten. */
static void
remove_resolved_tasks (const crash_history_t *history, suspect_t *suspect)
{
  for (guint i = suspect->tasks->len; i-- > 0;)
    if (!is_suspected (history, suspect->tasks->pdata[i], suspect->endpoint))
      g_ptr_array_remove_index_fast (suspect->tasks, i);
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
  g_hash_table_iter_init (&iter, history->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      suspect_t *suspect = value;
      remove_resolved_tasks (history, suspect);
      if (suspect->tasks->len > 0)
        continue;
      forget_address (history, suspect);
      g_hash_table_iter_remove (&iter);
    }
}

size_t
crash_history_suspect_count (const crash_history_t *history)
{
  size_t count = 0;
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, history->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((const suspect_t *) value)->tasks->len;
  return count;
}

void
crash_history_foreach (const crash_history_t *history, crash_loss_func_t func, void *user)
{
  GHashTableIter iter;
  void *key = NULL;
  void *value = NULL;

  g_hash_table_iter_init (&iter, history->tasks);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const task_entry_t *entry = value;
      for (guint i = 0; i < entry->losses->len; i++)
        {
          crash_loss_t info = loss_info (key, entry->losses->pdata[i]);
          func (&info, user);
        }
    }
}

static void
add_to_counts (crash_counts_t *counts, const loss_t *loss)
{
  counts->lost += loss->state != CRASH_WITHDRAWN;
  counts->started += loss->state != CRASH_WITHDRAWN && loss->had_started;
  counts->confirmed += loss->state == CRASH_CONFIRMED;
}

crash_counts_t
crash_history_counts (const crash_history_t *history, const char *task)
{
  const task_entry_t *entry = g_hash_table_lookup (history->tasks, task);
  crash_counts_t counts = { 0 };

  for (guint i = 0; entry != NULL && i < entry->losses->len; i++)
    add_to_counts (&counts, entry->losses->pdata[i]);
  return counts;
}

static crash_counts_t
counts_since_success (const task_entry_t *entry)
{
  crash_counts_t counts = { 0 };

  for (guint i = 0; i < entry->losses->len; i++)
    if (!((const loss_t *) entry->losses->pdata[i])->before_success)
      add_to_counts (&counts, entry->losses->pdata[i]);
  return counts;
}

crash_decision_t
crash_history_decide (const crash_history_t *history, const char *task, int64_t now_ms)
{
  const task_entry_t *entry = g_hash_table_lookup (history->tasks, task);

  if (entry == NULL)
    return CRASH_START;
  crash_counts_t counts = crash_history_counts (history, task);
  if (counts.confirmed >= CRASH_CONFIRMED_MAX)
    return CRASH_GIVE_UP;
  if (counts.started >= CRASH_STARTED_MAX || counts.lost >= CRASH_LOSSES_MAX)
    return CRASH_UNDECIDED;
  crash_counts_t recent = counts_since_success (entry);
  if (recent.lost >= CRASH_HOLD_LOSSES && recent.confirmed < recent.lost
      && now_ms - entry->changed_at_ms < CRASH_HOLD_MS)
    return CRASH_HOLD;
  return recent.lost > 0 ? CRASH_START_ALONE : CRASH_START;
}
