/* slopes_share.c -- what lib/quota costs a host, against hosts, plans and endpoints
 *
 * All hosts of one data centre run in one process on a simulated clock and a
 * network without delay.  Messages and bytes depend on the sizes alone;
 * processor time is that of this process, divided by hosts and simulated
 * seconds, and includes encoding and decoding.  Memory is the growth of the
 * heap, divided by hosts.
 */
#include "quota/quota.h"

#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define HOSTS_MAX 64
#define TICK_MS 50
#define WARM_MS 6000
#define RUN_MS 10000
#define POINTS_MAX 6
#define RUNNING_UNITS 4096
#define SLOTS 8

typedef struct
{
  int hosts;
  int plans;
  int endpoints;
  bool busy; /* every host's demand for every plan changes ten times a second */
} size_case_t;

typedef struct
{
  double messages; /* per host and second */
  double bytes;
  double cpu_us;
  double heap_bytes; /* per host */
} cost_t;

typedef struct
{
  int from;
  int to;
  GBytes *frame;
} packet_t;

typedef struct
{
  const size_case_t *size;
  quota_t *hosts[HOSTS_MAX];
  GPtrArray *names; /* of hosts, sorted */
  GQueue packets;
  int64_t now_ms;
  int64_t messages;
  int64_t bytes;
  GRand *rand;
} bed_t;

static void
run_step (bed_t *bed, int host, const quota_event_t *event)
{
  GPtrArray *actions = quota_actions_new ();

  quota_step (bed->hosts[host], event, bed->now_ms, actions);
  for (guint i = 0; i < actions->len; i++)
    {
      const quota_action_t *action = actions->pdata[i];
      packet_t *packet = g_new (packet_t, 1);
      packet->from = host;
      packet->to = atoi (action->host + 1);
      packet->frame = quota_message_encode (action->message);
      if (packet->to != host)
        {
          bed->messages++;
          bed->bytes += (int64_t) g_bytes_get_size (packet->frame);
        }
      g_queue_push_tail (&bed->packets, packet);
    }
  g_ptr_array_unref (actions);
}

static void
deliver_all (bed_t *bed)
{
  packet_t *packet;

  while ((packet = g_queue_pop_head (&bed->packets)) != NULL)
    {
      gsize size = 0;
      const char *data = g_bytes_get_data (packet->frame, &size);
      frame_reader_t *reader = NULL;
      quota_message_t *message = NULL;
      if (frame_parse (data + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES, &reader) != 0
          || quota_message_decode (reader, &message) != 0)
        abort ();
      quota_event_t event = { .kind = QUOTA_EVENT_MESSAGE,
                              .host = bed->names->pdata[packet->from],
                              .data_centre = "dc",
                              .message = message };
      run_step (bed, packet->to, &event);
      quota_message_free (message);
      frame_reader_free (reader);
      g_bytes_unref (packet->frame);
      g_free (packet);
    }
}

static void
set_limit (bed_t *bed, int host, const char *kind, int number, int64_t units)
{
  char *name = g_strdup_printf ("%s/name%d", kind, number);
  quota_event_t event = { .kind = QUOTA_EVENT_LIMIT, .name = name, .units = units };

  run_step (bed, host, &event);
  g_free (name);
}

static void
start_hosts (bed_t *bed)
{
  GPtrArray *centres = g_ptr_array_new ();

  g_ptr_array_add (centres, (void *) "dc");
  for (int i = 0; i < bed->size->hosts; i++)
    g_ptr_array_add (bed->names, g_strdup_printf ("h%02d", i));
  for (int i = 0; i < bed->size->hosts; i++)
    {
      quota_event_t view = { .kind = QUOTA_EVENT_VIEW, .view_number = 1, .members = bed->names };
      bed->hosts[i] =
          quota_new (bed->names->pdata[i], "dc", (uint64_t) i + 1, centres, &quota_rules_all);
      run_step (bed, i, &view);
      for (int k = 0; k < bed->size->plans; k++)
        {
          set_limit (bed, i, "running", k, RUNNING_UNITS);
          set_limit (bed, i, "starts", k, RUNNING_UNITS);
        }
      for (int k = 0; k < bed->size->endpoints; k++)
        set_limit (bed, i, "slots", k, SLOTS);
    }
  g_ptr_array_unref (centres);
}

static void
change_demand (bed_t *bed, int host)
{
  for (int k = 0; k < bed->size->plans; k++)
    {
      char *name = g_strdup_printf ("running/name%d", k);
      quota_set_demand (bed->hosts[host], name, g_rand_int_range (bed->rand, 0, 64));
      g_free (name);
    }
}

static void
run_for (bed_t *bed, int64_t for_ms)
{
  int64_t end = bed->now_ms + for_ms;
  quota_event_t tick = { .kind = QUOTA_EVENT_TICK };

  for (; bed->now_ms < end; bed->now_ms += TICK_MS)
    for (int i = 0; i < bed->size->hosts; i++)
      {
        if (bed->size->busy && bed->now_ms % QUOTA_BUSY_INTERVAL_MS == 0)
          change_demand (bed, i);
        run_step (bed, i, &tick);
        deliver_all (bed);
      }
}

static double
cpu_us (void)
{
  return (double) clock () * 1e6 / CLOCKS_PER_SEC;
}

static cost_t
measure (const size_case_t *size)
{
  size_t heap = mallinfo2 ().uordblks;
  bed_t bed = { .size = size, .now_ms = 1000, .rand = g_rand_new_with_seed (1) };
  double hosts = size->hosts;
  cost_t cost;

  bed.names = g_ptr_array_new_with_free_func (g_free);
  g_queue_init (&bed.packets);
  start_hosts (&bed);
  run_for (&bed, WARM_MS);
  cost.heap_bytes = (double) (mallinfo2 ().uordblks - heap) / hosts;
  bed.messages = 0;
  bed.bytes = 0;
  double start = cpu_us ();
  run_for (&bed, RUN_MS);
  double host_seconds = hosts * RUN_MS / 1000.0;
  cost.cpu_us = (cpu_us () - start) / host_seconds;
  cost.messages = (double) bed.messages / host_seconds;
  cost.bytes = (double) bed.bytes / host_seconds;
  for (int i = 0; i < size->hosts; i++)
    quota_free (bed.hosts[i]);
  g_ptr_array_unref (bed.names);
  g_rand_free (bed.rand);
  return cost;
}

static void
print_fit (const char *what, const char *by, const double *x, const double *y, int count)
{
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  double syy = 0;

  for (int i = 0; i < count; i++)
    {
      sx += x[i];
      sy += y[i];
      sxx += x[i] * x[i];
      sxy += x[i] * y[i];
      syy += y[i] * y[i];
    }
  double dx = count * sxx - sx * sx;
  double dy = count * syy - sy * sy;
  double slope = (count * sxy - sx * sy) / dx;
  double rest = (sy - slope * sx) / count;
  double r2 = dy > 0 ? slope * slope * dx / dy : 1.0;
  printf ("  fit: %s = %.3f + %.4f * %s (r2 %.3f)\n", what, rest, slope, by, r2);
}

typedef struct
{
  const char *by;
  int count;
  size_case_t sizes[POINTS_MAX];
} series_t;

static const series_t all_series[] = {
  { "hosts",
    5,
    { { 3, 10, 50, false },
      { 6, 10, 50, false },
      { 12, 10, 50, false },
      { 24, 10, 50, false },
      { 48, 10, 50, false } } },
  { "hosts",
    5,
    { { 3, 10, 50, true },
      { 6, 10, 50, true },
      { 12, 10, 50, true },
      { 24, 10, 50, true },
      { 48, 10, 50, true } } },
  { "plans",
    4,
    { { 8, 10, 50, false }, { 8, 40, 50, false }, { 8, 80, 50, false }, { 8, 130, 50, false } } },
  { "plans",
    4,
    { { 8, 10, 50, true }, { 8, 40, 50, true }, { 8, 80, 50, true }, { 8, 130, 50, true } } },
  { "endpoints",
    4,
    { { 8, 10, 50, false }, { 8, 10, 125, false }, { 8, 10, 250, false }, { 8, 10, 500, false } } },
  { "endpoints",
    4,
    { { 8, 10, 50, true }, { 8, 10, 125, true }, { 8, 10, 250, true }, { 8, 10, 500, true } } },
  { "hosts",
    4,
    { { 8, 130, 500, false },
      { 16, 130, 500, false },
      { 32, 130, 500, false },
      { 64, 130, 500, false } } },
};

static double
size_of (const series_t *series, int i)
{
  const size_case_t *size = &series->sizes[i];

  if (strcmp (series->by, "hosts") == 0)
    return size->hosts;
  return strcmp (series->by, "plans") == 0 ? size->plans : size->endpoints;
}

static void
run_series (const series_t *series)
{
  double x[POINTS_MAX];
  double messages[POINTS_MAX];
  double bytes[POINTS_MAX];
  double cpu[POINTS_MAX];
  double heap[POINTS_MAX];

  printf ("shares, %s, per host and second, against %s:\n",
          series->sizes[0].busy ? "demand of every plan changes ten times a second" : "idle",
          series->by);
  for (int i = 0; i < series->count; i++)
    {
      const size_case_t *size = &series->sizes[i];
      cost_t cost = measure (size);
      x[i] = size_of (series, i);
      messages[i] = cost.messages;
      bytes[i] = cost.bytes;
      cpu[i] = cost.cpu_us;
      heap[i] = cost.heap_bytes;
      printf (
          "  %2d hosts, %3d plans, %3d endpoints: %7.1f messages, %9.0f bytes, %8.0f us of a core; "
          "heap %8.0f bytes\n",
          size->hosts, size->plans, size->endpoints, messages[i], bytes[i], cpu[i], heap[i]);
    }
  print_fit ("messages", series->by, x, messages, series->count);
  print_fit ("bytes", series->by, x, bytes, series->count);
  print_fit ("us", series->by, x, cpu, series->count);
  print_fit ("heap bytes", series->by, x, heap, series->count);
}

int
main (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (all_series); i++)
    run_series (&all_series[i]);
  return 0;
}
