/* counter.c -- process-wide counters and gauges, printed in Prometheus text format */
#include "base/counter.h"

#include <pthread.h>
#include <stdatomic.h>

struct counter_t
{
  char *full_name;
  _Atomic int64_t value;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GTree *counters;

static int
compare_names (const void *a, const void *b, void *data)
{
  (void) data;
  return g_strcmp0 (a, b);
}

counter_t *
counter_get (const char *name, const char *labels)
{
  char *full = labels != NULL ? g_strdup_printf ("%s{%s}", name, labels) : g_strdup (name);

  pthread_mutex_lock (&lock);
  if (counters == NULL)
    counters = g_tree_new_full (compare_names, NULL, NULL, NULL);
  counter_t *counter = g_tree_lookup (counters, full);
  if (counter == NULL)
    {
      counter = g_new0 (counter_t, 1);
      counter->full_name = full;
      full = NULL;
      g_tree_insert (counters, counter->full_name, counter);
    }
  pthread_mutex_unlock (&lock);
  g_free (full);
  return counter;
}

void
counter_add (counter_t *counter, int64_t delta)
{
  atomic_fetch_add_explicit (&counter->value, delta, memory_order_relaxed);
}

void
counter_set (counter_t *counter, int64_t value)
{
  atomic_store_explicit (&counter->value, value, memory_order_relaxed);
}

int64_t
counter_value (const counter_t *counter)
{
  return atomic_load_explicit (&counter->value, memory_order_relaxed);
}

static int
print_one (void *key, void *value, void *data)
{
  g_string_append_printf (data, "%s %" G_GINT64_FORMAT "\n", (const char *) key,
                          counter_value (value));
  return FALSE;
}

void
counter_print (GString *text)
{
  pthread_mutex_lock (&lock);
  if (counters != NULL)
    g_tree_foreach (counters, print_one, text);
  pthread_mutex_unlock (&lock);
}
