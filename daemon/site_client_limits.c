/* site_client_limits.c -- what clients hold against their budget: metrics, an event */
#include "daemon/site_private.h"

#include "base/counter.h"

#include <string.h>

/* At most one line of each listener in this time. */
#define LOG_INTERVAL_MS 5000

typedef struct
{
  const char *listener;
  const char *connections;
  const char *connections_max;
  const char *held_bytes;
  const char *held_bytes_max;
  const char *limits_total;
  web_server_load_t (*load) (const ingress_t *ingress);
} listener_row_t;

static const listener_row_t listeners[CLIENT_LISTENERS] = {
  { "caller", "jaytrail_caller_connections", "jaytrail_caller_connections_max",
    "jaytrail_caller_held_bytes", "jaytrail_caller_held_bytes_max", "jaytrail_caller_limits_total",
    ingress_caller_load },
  { "ready", "jaytrail_ready_connections", "jaytrail_ready_connections_max",
    "jaytrail_ready_held_bytes", "jaytrail_ready_held_bytes_max", "jaytrail_ready_limits_total",
    ingress_operator_load },
};

/* The `cause` of a metric, and the field of the event. */
static const char *const cause_names[WEB_LIMIT_COUNT] = {
  [WEB_LIMIT_CONNECTIONS] = "paused_connections",
  [WEB_LIMIT_DESCRIPTORS] = "paused_descriptors",
  [WEB_LIMIT_ROOM] = "closed_idle",
  [WEB_LIMIT_BYTES] = "closed_bytes",
  [WEB_LIMIT_REQUESTS] = "refused_requests",
  [WEB_LIMIT_UNREAD] = "closed_unread",
};

static bool
has_acted (const web_server_load_t *load, const client_limits_log_t *log)
{
  return memcmp (load->limit_counts, log->limit_counts, sizeof load->limit_counts) != 0;
}

static void
log_limits (const listener_row_t *row,
            const web_server_load_t *load,
            const client_limits_log_t *log,
            int64_t now_ms)
{
  if (!event_begin (EVENT_CLIENTS_LIMITED))
    return;
  event_add_text ("listener", row->listener);
  event_add_number ("for_ms", log->logged_at_ms > 0 ? now_ms - log->logged_at_ms : 0);
  event_add_number ("connections", load->connections);
  event_add_number ("connections_max", load->budget.connections_max);
  event_add_number ("held_bytes", load->held_bytes);
  event_add_number ("held_bytes_max", load->budget.held_bytes_max);
  for (int cause = 0; cause < WEB_LIMIT_COUNT; cause++)
    event_add_number (cause_names[cause], load->limit_counts[cause] - log->limit_counts[cause]);
  event_end ();
}

void
client_limits_tick (site_t *site, int64_t now_ms)
{
  for (int i = 0; i < CLIENT_LISTENERS; i++)
    {
      client_limits_log_t *log = &site->client_limits_logs[i];
      web_server_load_t load = listeners[i].load (site->ingress);
      if (now_ms < log->due_at_ms || !has_acted (&load, log))
        continue;
      log_limits (&listeners[i], &load, log, now_ms);
      memcpy (log->limit_counts, load.limit_counts, sizeof log->limit_counts);
      log->logged_at_ms = now_ms;
      log->due_at_ms = now_ms + LOG_INTERVAL_MS;
    }
}

static void
set_cause (const char *name, const char *cause, int64_t value)
{
  char *labels = g_strdup_printf ("cause=\"%s\"", cause);

  counter_set (counter_get (name, labels), value);
  g_free (labels);
}

void
client_limits_update_metrics (site_t *site)
{
  for (int i = 0; i < CLIENT_LISTENERS; i++)
    {
      const listener_row_t *row = &listeners[i];
      web_server_load_t load = row->load (site->ingress);
      counter_set (counter_get (row->connections, NULL), load.connections);
      counter_set (counter_get (row->connections_max, NULL), load.budget.connections_max);
      counter_set (counter_get (row->held_bytes, NULL), load.held_bytes);
      counter_set (counter_get (row->held_bytes_max, NULL), load.budget.held_bytes_max);
      for (int cause = 0; cause < WEB_LIMIT_COUNT; cause++)
        set_cause (row->limits_total, cause_names[cause], load.limit_counts[cause]);
    }
}
