/* site_traffic.c -- the traffic of this host: kinds of frames, unsent bytes, the event `traffic` */
#include "daemon/site_private.h"

#include "base/counter.h"
#include "cluster/cluster_msg.h"
#include "drain/drain_msg.h"
#include "scheduler/job_status_msg.h"
#include "wire/frame.h"

/* Costs a system call for each connection. */
#define UNSENT_INTERVAL_MS 250

/* By type of frame; all others are TRAFFIC_OTHER. */
static const uint8_t frame_kinds[FRAME_TYPE_MAX + 1] = {
  [EXECUTOR_MSG_SUBMIT] = TRAFFIC_SUBMIT,
  [EXECUTOR_MSG_CANCEL] = TRAFFIC_CANCEL,
  [EXECUTOR_MSG_TASK_ENDS] = TRAFFIC_TASK_ENDS,
  [EXECUTOR_MSG_CANCELLED] = TRAFFIC_CANCELLED,
  [EXECUTOR_MSG_OFFER] = TRAFFIC_OFFER,
  [EXECUTOR_MSG_RELEASE] = TRAFFIC_RELEASE,
  [EXECUTOR_MSG_CANCEL_JOB] = TRAFFIC_CANCEL_JOB,
  [EXECUTOR_MSG_ENDPOINT] = TRAFFIC_ENDPOINT,
  [EXECUTOR_MSG_ENDPOINT_REMOVED] = TRAFFIC_ENDPOINT_REMOVED,
  [EXECUTOR_MSG_RESYNC] = TRAFFIC_RESYNC,
  [EXECUTOR_MSG_LOSSES] = TRAFFIC_LOSSES,
  [EXECUTOR_MSG_SURVEYED] = TRAFFIC_OFFER,
  [JOB_MSG_STATUSES] = TRAFFIC_JOB_STATUS,
  [JOB_MSG_QUERY] = TRAFFIC_JOB_STATUS,
  [JOB_MSG_RELAYED] = TRAFFIC_JOB_STATUS,
  [JOB_MSG_RUNS_QUERY] = TRAFFIC_JOB_STATUS,
  [JOB_MSG_RUNS_OVER] = TRAFFIC_JOB_STATUS,
  [JOB_MSG_TOLD] = TRAFFIC_JOB_STATUS,
  [JOB_MSG_TOLD_ACK] = TRAFFIC_JOB_STATUS,
  [JOB_MSG_ALL_TOLD] = TRAFFIC_JOB_STATUS,
  [JOB_MSG_TELL_ALL] = TRAFFIC_JOB_STATUS,
  [JOB_MSG_REGISTRAR] = TRAFFIC_JOB_STATUS,
  [JOB_MSG_REGISTER] = TRAFFIC_JOB_STATUS,
  [JOB_MSG_REGISTERED] = TRAFFIC_JOB_STATUS,
  [CLUSTER_MSG_HEARTBEAT] = TRAFFIC_HEARTBEAT,
  [CLUSTER_MSG_CONFIG_REQUEST] = TRAFFIC_CONFIG_REQUEST,
  [CLUSTER_MSG_CONFIG] = TRAFFIC_CONFIG,
  [CLUSTER_MSG_HOSTS] = TRAFFIC_HOSTS,
  [CLUSTER_MSG_ENDED] = TRAFFIC_HEARTBEAT,
  [DRAIN_MSG_SET_REQUEST] = TRAFFIC_DRAINS_REQUEST,
  [DRAIN_MSG_SET] = TRAFFIC_DRAINS,
  [DRAIN_MSG_RUNNING_TASKS] = TRAFFIC_DRAINED_TASKS,
};

void
traffic_count_sent (site_t *site, int frame_type, size_t frame_bytes)
{
  traffic_add (&site->traffic.kinds[frame_kinds[frame_type]].sent, frame_bytes);
}

void
traffic_count_received (site_t *site, int frame_type, size_t frame_bytes)
{
  traffic_add (&site->traffic.kinds[frame_kinds[frame_type]].received, frame_bytes);
}

static int64_t
unsent_bytes (const site_t *site)
{
  return net_unsent_bytes (site->net) + web_client_unacked_bytes (site->http_client)
         + ingress_unacked_bytes (site->ingress);
}

static void
log_second (const traffic_second_t *second)
{
  if (!event_begin (EVENT_TRAFFIC))
    return;
  event_add_number ("sent_bytes", second->sent_bytes);
  event_add_number ("received_bytes", second->received_bytes);
  event_add_number ("unsent_bytes", second->unsent_bytes);
  event_add_number ("loop_delay_ms", second->loop_delay_ms);
  event_add_number ("unanswered", second->unanswered);
  event_add_number ("connections", second->connections);
  event_end ();
}

void
traffic_tick (site_t *site, int64_t now_ms)
{
  if (now_ms >= site->unsent_due_ms)
    {
      site->unsent_due_ms = now_ms + UNSENT_INTERVAL_MS;
      traffic_watch_unsent (&site->traffic_watch, unsent_bytes (site));
    }
  if (traffic_watch_tick (&site->traffic_watch, &site->traffic, now_ms)
      && traffic_is_notable (&site->traffic_watch.last))
    log_second (&site->traffic_watch.last);
}

static void
set_kind (const char *name, const char *kind, int64_t value)
{
  char *labels = g_strdup_printf ("kind=\"%s\"", kind);

  counter_set (counter_get (name, labels), value);
  g_free (labels);
}

void
traffic_update_metrics (site_t *site)
{
  int64_t connections = 0;

  for (int i = 0; i < TRAFFIC_KINDS; i++)
    {
      const char *kind = traffic_kind_name ((traffic_kind_t) i);
      const traffic_count_t *count = &site->traffic.kinds[i];
      set_kind ("jaytrail_sent_bytes_total", kind, count->sent.bytes);
      set_kind ("jaytrail_sent_messages_total", kind, count->sent.messages);
      set_kind ("jaytrail_received_bytes_total", kind, count->received.bytes);
      set_kind ("jaytrail_received_messages_total", kind, count->received.messages);
      if (i < TRAFFIC_ENDPOINT_FIRST || i > TRAFFIC_ENDPOINT_LAST)
        continue;
      set_kind ("jaytrail_endpoint_calls_unanswered_total", kind, count->unanswered);
      connections += count->connections;
    }
  counter_set (counter_get ("jaytrail_endpoint_connections_total", NULL), connections);
  counter_set (counter_get ("jaytrail_unsent_bytes", NULL), unsent_bytes (site));
  counter_set (
      counter_get ("jaytrail_loop_delay_ms", NULL),
      MAX (site->traffic_watch.last.loop_delay_ms, site->traffic_watch.present.loop_delay_ms));
}
