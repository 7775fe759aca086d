/* soak.c -- random faults from a seed
 *
 * Each step either submits, repeats or cancels jobs, or begins or ends a fault.
 * At the end all faults are ended and every host must serve again; then the
 * checker goes over everything that was asked and started.  The seed decides
 * the steps; what the processes do between them depends on the machine.
 */
#include "tests/system/cases.h"
#include "tests/system/check.h"

#include "base/clock.h"
#include "base/error.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define MS_PER_S 1000
/* Requests without an answer; more wait for the oldest. */
#define OUTSTANDING_MAX 150
/* Resubmissions and cancellations choose among the latest jobs. */
#define RECENT_JOBS 40
#define STEP_PAUSE_MS 25
#define STEP_JOBS 4
#define TASKS_MAX 8
#define RUN_MAX_MS 120
#define DEADLINE_MIN_MS 2000
#define DEADLINE_MAX_MS 8000

typedef struct
{
  rig_t *rig;
  GRand *random;
  GPtrArray *recent; /* of job_t */
  guint first_open;  /* submissions before this one have their answers */
  int32_t job_count;
  GHashTable *step_counts;
} soak_t;

static int32_t
pick (soak_t *soak, int32_t end)
{
  return g_rand_int_range (soak->random, 0, end);
}

static rig_host_t *
pick_host (soak_t *soak)
{
  return g_ptr_array_index (soak->rig->hosts, pick (soak, (int32_t) soak->rig->hosts->len));
}

/* A host whose process runs, frozen or not; NULL if the chosen one does not. */
static rig_host_t *
pick_running (soak_t *soak)
{
  rig_host_t *host = pick_host (soak);
  return host->process != NULL ? host : NULL;
}

static rig_endpoint_t *
pick_endpoint (soak_t *soak)
{
  return g_ptr_array_index (soak->rig->endpoints, pick (soak, (int32_t) soak->rig->endpoints->len));
}

static void
step_thaw (soak_t *soak)
{
  for (guint i = 0; i < soak->rig->hosts->len; i++)
    {
      rig_host_t *host = g_ptr_array_index (soak->rig->hosts, i);
      if (host->process != NULL && host->process->frozen)
        process_thaw (host->process);
    }
}

/* A frozen host does not answer: it is thawed before the wait. */
static void
bound_outstanding (soak_t *soak)
{
  GPtrArray *submissions = soak->rig->submissions;
  while (submissions->len - soak->first_open > OUTSTANDING_MAX)
    {
      submission_t *oldest = g_ptr_array_index (submissions, soak->first_open++);
      if (!call_done (oldest->call))
        step_thaw (soak);
      call_wait (oldest->call);
    }
}

/* Faults of single tasks, rare among good ones. */
static const char *const task_faults[] = { "\"status\":500", "\"drop\":true", "\"wrong_id\":true" };

static void
add_tasks (soak_t *soak, job_t *job)
{
  int32_t count = 1 + pick (soak, TASKS_MAX);
  for (int32_t i = 0; i < count; i++)
    {
      if (pick (soak, 100) == 0)
        job_add_fault (job, task_faults[pick (soak, G_N_ELEMENTS (task_faults))]);
      else
        job_add (job, pick (soak, RUN_MAX_MS), pick (soak, 20) == 0 ? 409 : 200);
    }
}

static void
step_submit (soak_t *soak)
{
  int32_t count = 1 + pick (soak, STEP_JOBS);
  for (int32_t i = 0; i < count; i++)
    {
      rig_host_t *host = pick_running (soak);
      if (host == NULL)
        continue;
      char *key = g_strdup_printf ("soak-%d", soak->job_count++);
      job_t *job = job_new (key, DEADLINE_MIN_MS + pick (soak, DEADLINE_MAX_MS - DEADLINE_MIN_MS));
      add_tasks (soak, job);
      job->repeatable = pick (soak, 5) == 0;
      if (pick (soak, 2) == 0)
        job->home = g_strdup (rig_data_centre (pick (soak, soak->rig->options.data_centres)));
      if (pick (soak, 3) == 0)
        {
          g_free (job->customer);
          job->customer = g_strdup ("compost");
        }
      rig_submit (soak->rig, host, job);
      g_ptr_array_add (soak->recent, job);
      g_free (key);
    }
  bound_outstanding (soak);
}

static job_t *
pick_recent (soak_t *soak)
{
  guint count = soak->recent->len;
  if (count == 0)
    return NULL;
  guint back = (guint) pick (soak, (int32_t) MIN (count, RECENT_JOBS));
  return g_ptr_array_index (soak->recent, count - 1 - back);
}

static void
step_resubmit (soak_t *soak)
{
  job_t *job = pick_recent (soak);
  rig_host_t *host = pick_running (soak);
  if (job != NULL && host != NULL)
    rig_submit (soak->rig, host, job);
  bound_outstanding (soak);
}

static void
step_cancel (soak_t *soak)
{
  const job_t *job = pick_recent (soak);
  rig_host_t *host = pick_running (soak);
  if (job != NULL && host != NULL && !host->process->frozen)
    call_wait (rig_cancel (soak->rig, host, job->key));
}

static int32_t
count_running (soak_t *soak, const char *data_centre)
{
  int32_t count = 0;
  for (guint i = 0; i < soak->rig->hosts->len; i++)
    {
      const rig_host_t *host = g_ptr_array_index (soak->rig->hosts, i);
      if (host->process != NULL && strcmp (host->data_centre, data_centre) == 0)
        count++;
    }
  return count;
}

static void
step_kill (soak_t *soak)
{
  rig_host_t *host = pick_running (soak);
  if (host != NULL && count_running (soak, host->data_centre) > 1)
    rig_kill_host (soak->rig, host);
}

static void
step_stop (soak_t *soak)
{
  rig_host_t *host = pick_running (soak);
  if (host != NULL && !host->process->frozen && count_running (soak, host->data_centre) > 1)
    rig_stop_host (soak->rig, host);
}

static void
step_start (soak_t *soak)
{
  rig_host_t *host = pick_host (soak);
  if (host->process == NULL)
    rig_start_host (soak->rig, host);
}

static void
step_freeze (soak_t *soak)
{
  rig_host_t *host = pick_running (soak);
  if (host != NULL)
    process_freeze (host->process);
}

static void
step_endpoint (soak_t *soak)
{
  static const char *const faults[] = {
    "{\"freeze\":true}",   "{\"fail_all\":true}", "{\"drop\":true}",
    "{\"wrong_id\":true}", "{\"delay_ms\":200}",  "{\"speed\":25}",
  };
  rig_fault_endpoint (soak->rig, pick_endpoint (soak), faults[pick (soak, G_N_ELEMENTS (faults))]);
}

static void
step_endpoint_heal (soak_t *soak)
{
  rig_fault_endpoint (soak->rig, pick_endpoint (soak), "{\"reset\":true}");
}

static void
step_platform (soak_t *soak)
{
  static const char *const faults[] = {
    "{\"outage\":true}",
    "{\"hang\":true}",
    "{\"delay_ms\":300}",
    "{\"lose_answers\":0.5}",
    "{\"outage\":true,\"data_centre\":\"tw-north-a\"}",
  };
  rig_fault_platform (soak->rig, faults[pick (soak, G_N_ELEMENTS (faults))]);
}

static void
step_platform_heal (soak_t *soak)
{
  rig_fault_platform (soak->rig, "{\"reset\":true}");
}

static void
cut_host (soak_t *soak, bool cut)
{
  rig_host_t *host = pick_running (soak);
  int32_t dc = pick (soak, soak->rig->options.data_centres);
  int32_t way = pick (soak, 3);
  if (host != NULL && !host->process->frozen
      && call_status (host->admin, "GET", "/livez", NULL) == 200)
    rig_cut (soak->rig, host, rig_data_centre (dc), cut && way != 0, cut && way != 1);
}

static void
step_cut (soak_t *soak)
{
  cut_host (soak, true);
}

static void
step_join (soak_t *soak)
{
  cut_host (soak, false);
}

static const struct
{
  const char *name;
  int32_t weight;
  void (*run) (soak_t *soak);
} steps[] = {
  { "submit", 100, step_submit },
  { "resubmit", 40, step_resubmit },
  { "cancel", 8, step_cancel },
  { "kill", 2, step_kill },
  { "stop", 2, step_stop },
  { "start", 10, step_start },
  { "freeze", 3, step_freeze },
  { "thaw", 8, step_thaw },
  { "endpoint fault", 4, step_endpoint },
  { "endpoint heal", 8, step_endpoint_heal },
  { "platform fault", 3, step_platform },
  { "platform heal", 4, step_platform_heal },
  { "cut", 3, step_cut },
  { "join", 6, step_join },
};

static void
run_step (soak_t *soak)
{
  int32_t total = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    total += steps[i].weight;
  int32_t chosen = pick (soak, total);
  size_t i = 0;
  while (chosen >= steps[i].weight)
    chosen -= steps[i++].weight;
  gpointer name = (gpointer) steps[i].name;
  int32_t count = GPOINTER_TO_INT (g_hash_table_lookup (soak->step_counts, name));
  g_hash_table_insert (soak->step_counts, name, GINT_TO_POINTER (count + 1));
  steps[i].run (soak);
}

static bool
serves (void *data)
{
  static int32_t number;
  const struct
  {
    rig_t *rig;
    rig_host_t *host;
  } *wanted = data;
  char *key = g_strdup_printf ("healed-%d", number++);
  job_t *job = job_simple (key, 2, 5);
  g_free (key);
  return call_wait (rig_submit (wanted->rig, wanted->host, job)->call)->status == 200;
}

/* Ends all faults; every host must serve again. */
static void
heal (soak_t *soak)
{
  rig_t *rig = soak->rig;
  step_thaw (soak);
  step_platform_heal (soak);
  for (guint i = 0; i < rig->endpoints->len; i++)
    rig_fault_endpoint (rig, g_ptr_array_index (rig->endpoints, i), "{\"reset\":true}");
  for (guint i = 0; i < rig->hosts->len; i++)
    {
      rig_host_t *host = g_ptr_array_index (rig->hosts, i);
      if (host->process == NULL)
        rig_start_host (rig, host);
      rig_wait_ready (rig, host);
      for (int32_t dc = 0; dc < rig->options.data_centres; dc++)
        rig_cut (rig, host, rig_data_centre (dc), false, false);
    }
  for (guint i = 0; i < rig->hosts->len; i++)
    {
      struct
      {
        rig_t *rig;
        rig_host_t *host;
      } wanted = { rig, g_ptr_array_index (rig->hosts, i) };
      if (rig_until (rig, "service by a host after all faults", serves, &wanted))
        continue;
      json_object *status = rig_status (wanted.host);
      printf ("\n%s\n", json_object_to_json_string (status));
      json_object_put (status);
    }
}

/* A request that found no listener has not been cut: its host was stopped. */
static void
allow_refused (rig_t *rig)
{
  for (guint i = 0; i < rig->submissions->len; i++)
    {
      submission_t *submission = g_ptr_array_index (rig->submissions, i);
      if (call_wait (submission->call)->error == ERROR_NOT_CONNECTED)
        submission->may_break = true;
    }
}

static void
print_counts (soak_t *soak)
{
  GHashTable *answers = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer name = NULL;
  gpointer count = NULL;
  for (guint i = 0; i < soak->rig->submissions->len; i++)
    {
      const submission_t *submission = g_ptr_array_index (soak->rig->submissions, i);
      const reply_t *reply = call_wait (submission->call);
      const char *kind = reply->error != 0      ? error_name (reply->error)
                         : reply->status == 200 ? "complete"
                                                : reply_string (reply, "kind");
      int32_t seen = GPOINTER_TO_INT (g_hash_table_lookup (answers, kind));
      g_hash_table_insert (answers, (gpointer) g_intern_string (kind), GINT_TO_POINTER (seen + 1));
    }
  printf ("steps:");
  g_hash_table_iter_init (&iter, soak->step_counts);
  while (g_hash_table_iter_next (&iter, &name, &count))
    printf (" %s %d;", (const char *) name, GPOINTER_TO_INT (count));
  printf ("\n%d jobs, %u submissions, %d starts; answers:", soak->job_count,
          soak->rig->submissions->len, check_count_starts (soak->rig, NULL));
  g_hash_table_iter_init (&iter, answers);
  while (g_hash_table_iter_next (&iter, &name, &count))
    printf (" %s %d;", (const char *) name, GPOINTER_TO_INT (count));
  printf ("\n");
  g_hash_table_unref (answers);
}

int32_t
soak_run (uint32_t seed, int32_t seconds)
{
  const rig_options_t options = { .data_centres = 2, .hosts = 3, .endpoints = 2 };
  soak_t soak = { .rig = rig_new ("soak", &options),
                  .random = g_rand_new_with_seed (seed),
                  .recent = g_ptr_array_new (),
                  .step_counts = g_hash_table_new (g_str_hash, g_str_equal) };
  printf ("seed %u, %d s\n", seed, seconds);
  int64_t end_ms = clock_boot_ms () + (int64_t) seconds * MS_PER_S;
  while (clock_boot_ms () < end_ms && soak.rig->failures == 0)
    {
      run_step (&soak);
      clock_sleep_ms (pick (&soak, STEP_PAUSE_MS));
    }
  if (soak.rig->failures == 0)
    heal (&soak);
  allow_refused (soak.rig);
  check_all (soak.rig);
  print_counts (&soak);
  g_hash_table_unref (soak.step_counts);
  g_ptr_array_unref (soak.recent);
  g_rand_free (soak.random);
  int32_t failures = rig_free (soak.rig);
  printf ("seed %u: %d failures\n", seed, failures);
  return failures;
}
