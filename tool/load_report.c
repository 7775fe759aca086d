/* load_report.c -- what a load run measured, as text, JSON and CSV */
#include "tool/load_report.h"

#include "base/error.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define US_PER_MS 1000
#define BAR_COLUMNS 50
#define ALL_CUSTOMERS (-1)

static const char *const op_names[] = { "submit", "resubmit", "cancel" };

static const struct
{
  const char *name;
  double share;
} quantiles[] = { { "median", 0.5 }, { "p90", 0.9 }, { "p99", 0.99 }, { "worst", 1 } };

static const load_job_t *
job_of (const load_plan_t *plan, const load_op_t *op)
{
  return &g_array_index (plan->jobs, load_job_t, op->job);
}

static int
compare_int64 (const void *left, const void *right)
{
  int64_t a = *(const int64_t *) left;
  int64_t b = *(const int64_t *) right;
  return (a > b) - (a < b);
}

/* Sorted times of complete jobs; OVER subtracts the longest task's run time. */
static GArray *
collect (const load_plan_t *plan, int32_t customer, bool over)
{
  GArray *times = g_array_new (FALSE, FALSE, sizeof (int64_t));
  for (guint i = 0; i < plan->ops->len; i++)
    {
      const load_op_t *op = &g_array_index (plan->ops, load_op_t, i);
      const load_job_t *job = job_of (plan, op);
      if (op->kind != LOAD_SUBMIT || g_strcmp0 (op->answer, "complete") != 0
          || (customer != ALL_CUSTOMERS && job->customer != customer))
        continue;
      int64_t time_us = op->latency_us - (over ? job->longest_ms * US_PER_MS : 0);
      g_array_append_val (times, time_us);
    }
  g_array_sort (times, compare_int64);
  return times;
}

static double
quantile_ms (const GArray *times, double share)
{
  if (times->len == 0)
    return 0;
  guint index = (guint) (share * (double) times->len);
  return (double) g_array_index (times, int64_t, MIN (index, times->len - 1)) / US_PER_MS;
}

/* Kind of answer -> number of operations. */
static GHashTable *
count_answers (const load_plan_t *plan)
{
  GHashTable *counts = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < plan->ops->len; i++)
    {
      const load_op_t *op = &g_array_index (plan->ops, load_op_t, i);
      gpointer key = (gpointer) (op->answer != NULL ? op->answer : "none");
      int32_t count = GPOINTER_TO_INT (g_hash_table_lookup (counts, key));
      g_hash_table_insert (counts, key, GINT_TO_POINTER (count + 1));
    }
  return counts;
}

static void
print_times (const load_plan_t *plan, const char *name, int32_t customer, bool over)
{
  GArray *times = collect (plan, customer, over);
  printf ("%-24s %8u", name, times->len);
  for (size_t i = 0; i < G_N_ELEMENTS (quantiles); i++)
    printf (" %10.3f", quantile_ms (times, quantiles[i].share));
  printf ("\n");
  g_array_unref (times);
}

/* One line for each doubling of the response time. */
static void
print_histogram (const load_plan_t *plan)
{
  GArray *times = collect (plan, ALL_CUSTOMERS, false);
  guint done = 0;
  for (int64_t bound_us = US_PER_MS; done < times->len; bound_us *= 2)
    {
      guint first = done;
      while (done < times->len && g_array_index (times, int64_t, done) < bound_us)
        done++;
      if (done == first && done == 0)
        continue;
      int columns = (int) ((int64_t) (done - first) * BAR_COLUMNS / times->len);
      printf ("  < %9.3f ms %8u %.*s\n", (double) bound_us / US_PER_MS, done - first, columns,
              "##################################################");
    }
  g_array_unref (times);
}

void
load_report_text (const load_plan_t *plan, char *const *customers)
{
  GHashTable *counts = count_answers (plan);
  GList *names = g_list_sort (g_hash_table_get_keys (counts), (GCompareFunc) strcmp);
  printf ("%u jobs, %u operations; answers:\n", plan->jobs->len, plan->ops->len);
  for (GList *name = names; name != NULL; name = name->next)
    printf ("  %-22s %8d\n", (const char *) name->data,
            GPOINTER_TO_INT (g_hash_table_lookup (counts, name->data)));
  printf ("\n%-24s %8s", "complete jobs, ms", "count");
  for (size_t i = 0; i < G_N_ELEMENTS (quantiles); i++)
    printf (" %10s", quantiles[i].name);
  printf ("\n");
  print_times (plan, "response time", ALL_CUSTOMERS, false);
  print_times (plan, "over the longest task", ALL_CUSTOMERS, true);
  for (int32_t i = 0; customers[i] != NULL; i++)
    print_times (plan, customers[i], i, false);
  printf ("\n");
  print_histogram (plan);
  g_list_free (names);
  g_hash_table_unref (counts);
}

static json_object *
times_json (const load_plan_t *plan, int32_t customer, bool over)
{
  json_object *object = json_object_new_object ();
  GArray *times = collect (plan, customer, over);
  json_object_object_add (object, "count", json_object_new_int64 (times->len));
  for (size_t i = 0; i < G_N_ELEMENTS (quantiles); i++)
    json_object_object_add (object, quantiles[i].name,
                            json_object_new_double (quantile_ms (times, quantiles[i].share)));
  g_array_unref (times);
  return object;
}

static json_object *
answers_json (const load_plan_t *plan)
{
  json_object *object = json_object_new_object ();
  GHashTable *counts = count_answers (plan);
  GHashTableIter iter;
  gpointer name = NULL;
  gpointer count = NULL;
  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &name, &count))
    json_object_object_add (object, name, json_object_new_int (GPOINTER_TO_INT (count)));
  g_hash_table_unref (counts);
  return object;
}

void
load_report_json (const load_plan_t *plan, char *const *customers, uint32_t seed)
{
  json_object *root = json_object_new_object ();
  json_object *by_customer = json_object_new_object ();
  json_object_object_add (root, "seed", json_object_new_int64 (seed));
  json_object_object_add (root, "jobs", json_object_new_int64 (plan->jobs->len));
  json_object_object_add (root, "operations", json_object_new_int64 (plan->ops->len));
  json_object_object_add (root, "answers", answers_json (plan));
  json_object_object_add (root, "response_ms", times_json (plan, ALL_CUSTOMERS, false));
  json_object_object_add (root, "over_longest_task_ms", times_json (plan, ALL_CUSTOMERS, true));
  for (int32_t i = 0; customers[i] != NULL; i++)
    json_object_object_add (by_customer, customers[i], times_json (plan, i, false));
  json_object_object_add (root, "response_ms_by_customer", by_customer);
  printf ("%s\n", json_object_to_json_string_ext (root, JSON_C_TO_STRING_PRETTY));
  json_object_put (root);
}

int
load_report_csv (const load_plan_t *plan, char *const *customers, const char *file)
{
  FILE *out = fopen (file, "w");
  if (out == NULL)
    return ERROR_IO;
  fprintf (out, "operation,job,customer,tasks,longest_ms,at_us,latency_us,status,answer\n");
  for (guint i = 0; i < plan->ops->len; i++)
    {
      const load_op_t *op = &g_array_index (plan->ops, load_op_t, i);
      const load_job_t *job = job_of (plan, op);
      fprintf (out,
               "%s,%d,%s,%d,%" G_GINT64_FORMAT ",%" G_GINT64_FORMAT ",%" G_GINT64_FORMAT ",%d,%s\n",
               op_names[op->kind], op->job, customers[job->customer], job->tasks, job->longest_ms,
               op->at_us, op->latency_us, op->status, op->answer != NULL ? op->answer : "none");
    }
  return fclose (out) == 0 ? 0 : ERROR_IO;
}
