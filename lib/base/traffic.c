/* traffic.c -- messages and bytes that a host sends and receives, by kind of message */
#include "base/traffic.h"

#include <glib.h>

#define SECOND_MS 1000
/* Half of the time within which endpoints answer orders. */
#define NOTABLE_DELAY_MS 40
/* Unsent bytes are notable from this part of a second's traffic on, unless they are few. */
#define NOTABLE_UNSENT_MS 100
#define NOTABLE_UNSENT_BYTES 16384

static const char *const names[TRAFFIC_KINDS] = {
  [TRAFFIC_OTHER] = "other",
  [TRAFFIC_SUBMIT] = "submit",
  [TRAFFIC_CANCEL] = "cancel",
  [TRAFFIC_TASK_ENDS] = "task_ends",
  [TRAFFIC_CANCELLED] = "cancelled",
  [TRAFFIC_OFFER] = "offer",
  [TRAFFIC_RELEASE] = "release",
  [TRAFFIC_CANCEL_JOB] = "cancel_job",
  [TRAFFIC_ENDPOINT] = "endpoint",
  [TRAFFIC_ENDPOINT_REMOVED] = "endpoint_removed",
  [TRAFFIC_RESYNC] = "resync",
  [TRAFFIC_LOSSES] = "losses",
  [TRAFFIC_JOB_STATUS] = "job_status",
  [TRAFFIC_HEARTBEAT] = "heartbeat",
  [TRAFFIC_CONFIG_REQUEST] = "config_request",
  [TRAFFIC_CONFIG] = "config",
  [TRAFFIC_HOSTS] = "hosts",
  [TRAFFIC_DRAINS_REQUEST] = "drains_request",
  [TRAFFIC_DRAINS] = "drains",
  [TRAFFIC_DRAINED_TASKS] = "drained_tasks",
  [TRAFFIC_START] = "start",
  [TRAFFIC_STOP] = "stop",
  [TRAFFIC_POLL] = "poll",
  [TRAFFIC_PROBE] = "probe",
  [TRAFFIC_LOG] = "log",
  [TRAFFIC_CALLER] = "caller",
  [TRAFFIC_READY] = "ready",
};

const char *
traffic_kind_name (traffic_kind_t kind)
{
  return names[kind];
}

static traffic_second_t
sums (const traffic_t *traffic)
{
  traffic_second_t sum = { 0 };

  for (int kind = 0; kind < TRAFFIC_KINDS; kind++)
    {
      const traffic_count_t *count = &traffic->kinds[kind];
      sum.sent_bytes += count->sent.bytes;
      sum.received_bytes += count->received.bytes;
      if (kind < TRAFFIC_ENDPOINT_FIRST || kind > TRAFFIC_ENDPOINT_LAST)
        continue;
      sum.unanswered += count->unanswered;
      sum.connections += count->connections;
    }
  return sum;
}

static void
end_second (traffic_watch_t *watch, const traffic_t *traffic, int64_t now_ms)
{
  traffic_second_t sum = sums (traffic);

  watch->last = (traffic_second_t){
    .sent_bytes = sum.sent_bytes - watch->start.sent_bytes,
    .received_bytes = sum.received_bytes - watch->start.received_bytes,
    .unsent_bytes = watch->present.unsent_bytes,
    .loop_delay_ms = watch->present.loop_delay_ms,
    .unanswered = sum.unanswered - watch->start.unanswered,
    .connections = sum.connections - watch->start.connections,
  };
  watch->start = sum;
  watch->present = (traffic_second_t){ 0 };
  watch->ends_at_ms = now_ms + SECOND_MS;
}

bool
traffic_watch_tick (traffic_watch_t *watch, const traffic_t *traffic, int64_t now_ms)
{
  if (watch->ticked_at_ms == 0)
    watch->ends_at_ms = now_ms + SECOND_MS;
  else
    watch->present.loop_delay_ms =
        MAX (watch->present.loop_delay_ms, now_ms - watch->ticked_at_ms - watch->tick_ms);
  watch->ticked_at_ms = now_ms;
  if (now_ms < watch->ends_at_ms)
    return false;
  end_second (watch, traffic, now_ms);
  return true;
}

void
traffic_watch_unsent (traffic_watch_t *watch, int64_t unsent_bytes)
{
  watch->present.unsent_bytes = MAX (watch->present.unsent_bytes, unsent_bytes);
}

bool
traffic_is_notable (const traffic_second_t *second)
{
  int64_t unsent_min_bytes =
      MAX (NOTABLE_UNSENT_BYTES, second->sent_bytes * NOTABLE_UNSENT_MS / SECOND_MS);

  return second->unanswered > 0 || second->loop_delay_ms >= NOTABLE_DELAY_MS
         || second->unsent_bytes >= unsent_min_bytes;
}
