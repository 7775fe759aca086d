/* job.c -- submissions of the system tests and the answers that they must get */
#include "tests/system/job.h"

#include "base/clock.h"

#include <string.h>

#define SIMPLE_DEADLINE_MS 15000

static void
task_free (gpointer data)
{
  job_task_t *task = data;
  g_free (task->id);
  g_string_free (task->body, TRUE);
  g_string_free (task->answer, TRUE);
  g_free (task);
}

job_t *
job_new (const char *key, int64_t deadline_ms)
{
  job_t *job = g_new0 (job_t, 1);
  job->key = g_strdup (key);
  job->customer = g_strdup ("lantern");
  job->kind = g_strdup ("check");
  job->issued_at_ms = clock_wall_ms ();
  job->deadline_at_ms = job->issued_at_ms + deadline_ms;
  job->tasks = g_ptr_array_new_with_free_func (task_free);
  return job;
}

static job_task_t *
task_add (job_t *job)
{
  job_task_t *task = g_new0 (job_task_t, 1);
  task->id = g_strdup_printf ("%u", job->tasks->len);
  task->body = g_string_new (NULL);
  task->answer = g_string_new (NULL);
  task->status = 200;
  g_ptr_array_add (job->tasks, task);
  return task;
}

void
job_add (job_t *job, int64_t run_ms, int32_t status)
{
  job_task_t *task = task_add (job);
  task->status = status;
  /* The text differs in every task and in length, so that a mix-up shows. */
  g_string_printf (task->answer, "answer to %s of %s %.*s", task->id, job->key,
                   (int) (job->tasks->len % 40), "........................................");
  g_string_printf (task->body, "{\"ms\":%" G_GINT64_FORMAT ",\"status\":%d,\"answer\":\"%s\"}",
                   run_ms, status, task->answer->str);
}

void
job_add_echo (job_t *job, const char *body, gsize size_bytes)
{
  job_task_t *task = task_add (job);
  g_string_append_len (task->body, body, (gssize) size_bytes);
  g_string_append_len (task->answer, body, (gssize) size_bytes);
}

void
job_add_fault (job_t *job, const char *more)
{
  job_task_t *task = task_add (job);
  g_string_printf (task->body, "{\"ms\":1,\"answer\":\"none of this may arrive\",%s}", more);
}

job_t *
job_simple (const char *key, int32_t count, int64_t run_ms)
{
  job_t *job = job_new (key, SIMPLE_DEADLINE_MS);
  for (int32_t i = 0; i < count; i++)
    job_add (job, run_ms, 200);
  return job;
}

static json_object *
task_json (const job_t *job, const job_task_t *task)
{
  json_object *object = json_object_new_object ();
  json_object_object_add (object, "id", json_object_new_string (task->id));
  json_object_object_add (object, "body",
                          json_object_new_string_len (task->body->str, (int) task->body->len));
  if (job->cores != 0)
    json_object_object_add (object, "cores", json_object_new_int (job->cores));
  if (job->memory_mb != 0)
    json_object_object_add (object, "memory_mb", json_object_new_int64 (job->memory_mb));
  return object;
}

const char *
job_text (job_t *job)
{
  if (job->text != NULL)
    return job->text;
  json_object *object = json_object_new_object ();
  json_object *tasks = json_object_new_array ();
  json_object_object_add (object, "customer", json_object_new_string (job->customer));
  json_object_object_add (object, "kind", json_object_new_string (job->kind));
  json_object_object_add (object, "issued_at_ms", json_object_new_int64 (job->issued_at_ms));
  json_object_object_add (object, "deadline_at_ms", json_object_new_int64 (job->deadline_at_ms));
  json_object_object_add (object, "repeatable", json_object_new_boolean (job->repeatable));
  if (job->home != NULL)
    json_object_object_add (object, "home", json_object_new_string (job->home));
  for (guint i = 0; i < job->tasks->len; i++)
    json_object_array_add (tasks, task_json (job, g_ptr_array_index (job->tasks, i)));
  json_object_object_add (object, "tasks", tasks);
  job->text = g_strdup (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return job->text;
}

/* True if the member NAME of OBJECT is the string TEXT of SIZE bytes. */
static bool
is_string (json_object *object, const char *name, const char *text, gsize size_bytes)
{
  json_object *member = NULL;
  return json_object_object_get_ex (object, name, &member)
         && json_object_is_type (member, json_type_string)
         && (gsize) json_object_get_string_len (member) == size_bytes
         && memcmp (json_object_get_string (member), text, size_bytes) == 0;
}

static bool
is_int (json_object *object, const char *name, int64_t value)
{
  json_object *member = NULL;
  return json_object_object_get_ex (object, name, &member)
         && json_object_is_type (member, json_type_int) && json_object_get_int64 (member) == value;
}

char *
job_compare (const job_t *job, json_object *answer)
{
  json_object *results = NULL;
  if (!is_string (answer, "state", "complete", strlen ("complete")))
    return g_strdup ("state is not \"complete\"");
  if (!json_object_object_get_ex (answer, "results", &results)
      || !json_object_is_type (results, json_type_array))
    return g_strdup ("results are missing");
  if (json_object_array_length (results) != job->tasks->len)
    return g_strdup_printf ("%zu results for %u tasks", json_object_array_length (results),
                            job->tasks->len);
  for (guint i = 0; i < job->tasks->len; i++)
    {
      const job_task_t *task = g_ptr_array_index (job->tasks, i);
      json_object *result = json_object_array_get_idx (results, i);
      if (!is_string (result, "task", task->id, strlen (task->id)))
        return g_strdup_printf ("result %u is of another task", i);
      if (!is_int (result, "status", task->status))
        return g_strdup_printf ("result %u has another status", i);
      if (!is_string (result, "body", task->answer->str, task->answer->len))
        return g_strdup_printf ("result %u has another body", i);
    }
  return NULL;
}

void
job_free (job_t *job)
{
  g_free (job->key);
  g_free (job->customer);
  g_free (job->kind);
  g_free (job->home);
  g_free (job->text);
  g_ptr_array_unref (job->tasks);
  g_free (job);
}
