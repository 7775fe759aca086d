/* done_tasks.c -- tasks that are done although their coordinators may not know it */
#include "executor/done_tasks.h"

#include <glib.h>

typedef struct
{
  char *name;
  int64_t added_at_ms;
} done_task_t;

struct done_tasks_t
{
  GQueue by_age;       /* done_task_t, the oldest first */
  GHashTable *by_name; /* name -> its link in BY_AGE */
};

done_tasks_t *
done_tasks_new (void)
{
  done_tasks_t *tasks = g_new0 (done_tasks_t, 1);

  g_queue_init (&tasks->by_age);
  tasks->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  return tasks;
}

static void
forget (done_tasks_t *tasks, GList *link)
{
  done_task_t *done = link->data;

  g_hash_table_remove (tasks->by_name, done->name);
  g_queue_delete_link (&tasks->by_age, link);
  g_free (done->name);
  g_free (done);
}

void
done_tasks_free (done_tasks_t *tasks)
{
  if (tasks == NULL)
    return;
  while (tasks->by_age.head != NULL)
    forget (tasks, tasks->by_age.head);
  g_hash_table_unref (tasks->by_name);
  g_free (tasks);
}

static int64_t
oldest_age_ms (const done_tasks_t *tasks, int64_t now_ms)
{
  return now_ms - ((const done_task_t *) tasks->by_age.head->data)->added_at_ms;
}

bool
done_tasks_add (done_tasks_t *tasks, const char *task, int64_t now_ms)
{
  GList *known = g_hash_table_lookup (tasks->by_name, task);

  if (known != NULL)
    forget (tasks, known);
  if (tasks->by_age.length >= DONE_TASKS_MAX)
    {
      if (oldest_age_ms (tasks, now_ms) < DONE_RETENTION_MIN_MS)
        return false;
      forget (tasks, tasks->by_age.head);
    }
  done_task_t *done = g_new0 (done_task_t, 1);
  done->name = g_strdup (task);
  done->added_at_ms = now_ms;
  g_queue_push_tail (&tasks->by_age, done);
  g_hash_table_insert (tasks->by_name, done->name, tasks->by_age.tail);
  return true;
}

bool
done_tasks_contain (const done_tasks_t *tasks, const char *task)
{
  return g_hash_table_contains (tasks->by_name, task);
}

void
done_tasks_expire (done_tasks_t *tasks, int64_t now_ms)
{
  while (tasks->by_age.head != NULL && oldest_age_ms (tasks, now_ms) > DONE_RETENTION_MS)
    forget (tasks, tasks->by_age.head);
}

size_t
done_tasks_count (const done_tasks_t *tasks)
{
  return tasks->by_age.length;
}
