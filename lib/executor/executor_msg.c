/* executor_msg.c -- messages between coordinators and owners of endpoints */
#include "executor/executor_msg.h"

#include "base/error.h"
#include "executor/entry.h"

#define SPEC_BYTES_MAX 8192
#define TASKS_MAX 1024
#define ENDS_MAX 65536
#define OFFERS_MAX 1024
#define LOSSES_MAX 65536
/* The id of a job, and the numbers of the step and of the task. */
#define TASK_NAME_MAX_BYTES (FRAME_NAME_MAX_BYTES + 32)
#define TIME_MAX_MS 3600000
#define AMOUNT_MAX (INT64_C (1) << 40)
#define RATIO_SCALE 1000.0

G_STATIC_ASSERT (ENTRY_TEXT_MAX_BYTES <= FRAME_NAME_MAX_BYTES);

GBytes *
executor_msg_submit (const char *shard,
                     uint64_t epoch,
                     const executor_batch_t *batch,
                     int64_t now_ms)
{
  frame_writer_t *writer = frame_begin (EXECUTOR_MSG_SUBMIT);

  frame_put_string (writer, shard);
  frame_put_uint (writer, epoch);
  frame_put_uint (writer, batch->batch);
  frame_put_int (writer, batch->token);
  frame_put_string (writer, batch->job);
  frame_put_int (writer, batch->step);
  frame_put_string (writer, batch->spec);
  frame_put_string (writer, batch->service);
  frame_put_int (writer, batch->priority);
  frame_put_int (writer, batch->need.cores_milli);
  frame_put_int (writer, batch->need.memory_mb);
  frame_put_int (writer, batch->need.gpus);
  frame_put_int (writer, batch->estimate_ms);
  frame_put_int (writer, batch->objective_at_ms - now_ms);
  frame_put_int (writer, (int64_t) (batch->stretch_factor * RATIO_SCALE));
  frame_put_int (writer, batch->deadline_at_ms - now_ms);
  frame_put_bool (writer, batch->start_by_ms != 0);
  frame_put_int (writer, batch->start_by_ms != 0 ? batch->start_by_ms - now_ms : 0);
  frame_put_int (writer, batch->attempts_max);
  frame_put_int (writer, batch->attempt_base);
  frame_put_string (writer, batch->required_label);
  frame_put_string (writer, batch->preferred_rack);
  frame_put_int (writer, batch->tasks_per_endpoint_max);
  frame_put_bool (writer, batch->maybe_running);
  frame_put_int (writer, batch->maybe_running ? batch->prior_runs_end_by_ms - now_ms : 0);
  frame_put_count (writer, batch->count);
  for (size_t i = 0; i < batch->count; i++)
    frame_put_int (writer, batch->indexes[i]);
  return frame_finish (writer);
}

static int64_t
get_time (frame_reader_t *reader, int64_t now_ms)
{
  return now_ms + frame_get_range (reader, -TIME_MAX_MS, TIME_MAX_MS);
}

int
executor_msg_read_submit (frame_reader_t *reader, int64_t now_ms, executor_submit_t *submit)
{
  executor_batch_t *batch = &submit->batch;

  *submit = (executor_submit_t){ 0 };
  submit->shard = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  submit->epoch = frame_get_uint (reader);
  batch->batch = frame_get_uint (reader);
  batch->token = frame_get_range (reader, 0, INT64_MAX);
  batch->job = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  batch->step = (int32_t) frame_get_range (reader, 0, INT32_MAX);
  batch->spec = frame_get_string (reader, SPEC_BYTES_MAX);
  batch->service = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  batch->priority = (int32_t) frame_get_range (reader, 0, INT32_MAX);
  batch->need.cores_milli = frame_get_range (reader, 0, AMOUNT_MAX);
  batch->need.memory_mb = frame_get_range (reader, 0, AMOUNT_MAX);
  batch->need.gpus = frame_get_range (reader, 0, AMOUNT_MAX);
  batch->estimate_ms = frame_get_range (reader, 0, INT32_MAX);
  batch->objective_at_ms = get_time (reader, now_ms);
  batch->stretch_factor = (double) frame_get_range (reader, 0, INT32_MAX) / RATIO_SCALE;
  batch->deadline_at_ms = get_time (reader, now_ms);
  bool limited = frame_get_bool (reader);
  int64_t start_by_ms = get_time (reader, now_ms);
  batch->start_by_ms = limited ? start_by_ms : 0;
  batch->attempts_max = (int32_t) frame_get_range (reader, 0, INT32_MAX);
  batch->attempt_base = (int32_t) frame_get_range (reader, 0, INT32_MAX / 2);
  batch->required_label = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  batch->preferred_rack = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  batch->tasks_per_endpoint_max = (int32_t) frame_get_range (reader, 0, INT32_MAX);
  batch->maybe_running = frame_get_bool (reader);
  batch->prior_runs_end_by_ms = get_time (reader, now_ms);
  batch->count = frame_get_count (reader, TASKS_MAX);
  submit->indexes = g_array_new (FALSE, FALSE, sizeof (int32_t));
  for (size_t i = 0; i < batch->count && frame_ok (reader); i++)
    {
      int32_t index = (int32_t) frame_get_range (reader, 0, INT32_MAX);
      g_array_append_val (submit->indexes, index);
    }
  batch->indexes = (const int32_t *) (void *) submit->indexes->data;
  if (frame_ok (reader) && submit->shard != NULL && batch->job != NULL && batch->spec != NULL
      && batch->service != NULL)
    return 0;
  executor_submit_clear (submit);
  return ERROR_PROTOCOL;
}

void
executor_submit_clear (executor_submit_t *submit)
{
  g_free (submit->shard);
  g_free ((char *) submit->batch.job);
  g_free ((char *) submit->batch.spec);
  g_free ((char *) submit->batch.service);
  g_free ((char *) submit->batch.required_label);
  g_free ((char *) submit->batch.preferred_rack);
  if (submit->indexes != NULL)
    g_array_unref (submit->indexes);
  *submit = (executor_submit_t){ 0 };
}

GBytes *
executor_msg_cancel (uint64_t batch, stop_reason_t reason)
{
  frame_writer_t *writer = frame_begin (EXECUTOR_MSG_CANCEL);

  frame_put_uint (writer, batch);
  frame_put_int (writer, reason);
  return frame_finish (writer);
}

GBytes *
executor_msg_release (uint64_t batch)
{
  frame_writer_t *writer = frame_begin (EXECUTOR_MSG_RELEASE);

  frame_put_uint (writer, batch);
  return frame_finish (writer);
}

GBytes *
executor_msg_cancel_job (const char *job, bool relay)
{
  frame_writer_t *writer = frame_begin (EXECUTOR_MSG_CANCEL_JOB);

  frame_put_string (writer, job);
  frame_put_bool (writer, relay);
  return frame_finish (writer);
}

int
executor_msg_read_cancel_job (frame_reader_t *reader, char **job, bool *relay)
{
  *job = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  *relay = frame_get_bool (reader);
  if (*job != NULL && frame_ok (reader))
    return 0;
  g_clear_pointer (job, g_free);
  return ERROR_PROTOCOL;
}

GBytes *
executor_msg_job_cancelled (const char *job, bool relay, bool found)
{
  frame_writer_t *writer = frame_begin (EXECUTOR_MSG_JOB_CANCELLED);

  frame_put_string (writer, job);
  frame_put_bool (writer, relay);
  frame_put_bool (writer, found);
  return frame_finish (writer);
}

int
executor_msg_read_job_cancelled (frame_reader_t *reader, char **job, bool *relay, bool *found)
{
  *job = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  *relay = frame_get_bool (reader);
  *found = frame_get_bool (reader);
  if (*job != NULL && frame_ok (reader))
    return 0;
  g_clear_pointer (job, g_free);
  return ERROR_PROTOCOL;
}

GBytes *
executor_msg_resync (void)
{
  return frame_finish (frame_begin (EXECUTOR_MSG_RESYNC));
}

GBytes *
executor_msg_endpoint_removed (const char *id)
{
  frame_writer_t *writer = frame_begin (EXECUTOR_MSG_ENDPOINT_REMOVED);

  frame_put_string (writer, id);
  return frame_finish (writer);
}

int
executor_msg_read_endpoint_removed (frame_reader_t *reader, char **id)
{
  *id = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  return *id != NULL ? 0 : ERROR_PROTOCOL;
}

GBytes *
executor_msg_endpoint (const executor_entry_t *entry, int64_t now_ms)
{
  frame_writer_t *writer = frame_begin (EXECUTOR_MSG_ENDPOINT);

  frame_put_string (writer, entry->shard);
  frame_put_uint (writer, entry->offset);
  frame_put_string (writer, entry->endpoint.id);
  frame_put_string (writer, entry->endpoint.address);
  frame_put_string (writer, entry->endpoint.service);
  frame_put_string (writer, entry->endpoint.kind);
  frame_put_string (writer, entry->endpoint.rack);
  frame_put_int (writer, entry->endpoint.started_at_ms);
  frame_put_int (writer, entry->endpoint.free.cores_milli);
  frame_put_int (writer, entry->endpoint.free.memory_mb);
  frame_put_int (writer, entry->endpoint.free.gpus);
  frame_put_bool (writer, entry->endpoint.leaving);
  frame_put_int (writer, MAX (entry->endpoint.cold_until_ms - now_ms, 0));
  return frame_finish (writer);
}

int
executor_msg_read_endpoint (frame_reader_t *reader, int64_t now_ms, executor_entry_t *entry)
{
  executor_endpoint_t *endpoint = &entry->endpoint;

  *entry = (executor_entry_t){ 0 };
  entry->shard = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  entry->offset = frame_get_uint (reader);
  endpoint->id = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  endpoint->address = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  endpoint->service = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  endpoint->kind = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  endpoint->rack = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  endpoint->started_at_ms = frame_get_int (reader);
  endpoint->free.cores_milli = frame_get_range (reader, 0, AMOUNT_MAX);
  endpoint->free.memory_mb = frame_get_range (reader, 0, AMOUNT_MAX);
  endpoint->free.gpus = frame_get_range (reader, 0, AMOUNT_MAX);
  endpoint->leaving = frame_get_bool (reader);
  endpoint->cold_until_ms = get_time (reader, now_ms);
  if (frame_ok (reader) && entry_is_usable (entry->shard, endpoint))
    return 0;
  executor_entry_clear (entry);
  return ERROR_PROTOCOL;
}

void
executor_entry_clear (executor_entry_t *entry)
{
  g_free (entry->shard);
  g_free ((char *) entry->endpoint.id);
  g_free ((char *) entry->endpoint.address);
  g_free ((char *) entry->endpoint.service);
  g_free ((char *) entry->endpoint.kind);
  g_free ((char *) entry->endpoint.rack);
  *entry = (executor_entry_t){ 0 };
}

void
executor_entry_copy (executor_entry_t *to, const executor_entry_t *from)
{
  *to = *from;
  to->shard = g_strdup (from->shard);
  to->endpoint.id = g_strdup (from->endpoint.id);
  to->endpoint.address = g_strdup (from->endpoint.address);
  to->endpoint.service = g_strdup (from->endpoint.service);
  to->endpoint.kind = g_strdup (from->endpoint.kind);
  to->endpoint.rack = g_strdup (from->endpoint.rack);
}

GBytes *
executor_msg_cancelled (uint64_t batch, bool never_started)
{
  frame_writer_t *writer = frame_begin (EXECUTOR_MSG_CANCELLED);

  frame_put_uint (writer, batch);
  frame_put_bool (writer, never_started);
  return frame_finish (writer);
}

int
executor_msg_read_cancel (frame_reader_t *reader, uint64_t *batch, stop_reason_t *reason)
{
  *batch = frame_get_uint (reader);
  *reason = STOP_UNKNOWN;
  if (frame_has_more (reader))
    *reason = (stop_reason_t) frame_get_range (reader, STOP_UNKNOWN, STOP_BY_COORDINATOR_LAST);
  return frame_ok (reader) ? 0 : ERROR_PROTOCOL;
}

int
executor_msg_read_release (frame_reader_t *reader, uint64_t *batch)
{
  *batch = frame_get_uint (reader);
  return frame_ok (reader) ? 0 : ERROR_PROTOCOL;
}

int
executor_msg_read_cancelled (frame_reader_t *reader, uint64_t *batch, bool *never_started)
{
  *batch = frame_get_uint (reader);
  *never_started = frame_get_bool (reader);
  return frame_ok (reader) ? 0 : ERROR_PROTOCOL;
}

GBytes *
executor_msg_task_ends (const executor_task_end_t *ends, size_t count)
{
  frame_writer_t *writer = frame_begin (EXECUTOR_MSG_TASK_ENDS);

  frame_put_count (writer, count);
  for (size_t i = 0; i < count; i++)
    {
      frame_put_uint (writer, ends[i].batch);
      frame_put_int (writer, ends[i].index);
      frame_put_int (writer, ends[i].outcome);
    }
  return frame_finish (writer);
}

int
executor_msg_read_task_ends (frame_reader_t *reader, GArray *ends)
{
  size_t count = frame_get_count (reader, ENDS_MAX);

  for (size_t i = 0; i < count && frame_ok (reader); i++)
    {
      executor_task_end_t end = { 0 };
      end.batch = frame_get_uint (reader);
      end.index = (int32_t) frame_get_range (reader, 0, INT32_MAX);
      end.outcome = (executor_action_kind_t) frame_get_range (reader, EXECUTOR_DONE,
                                                              EXECUTOR_RETURNED_AFTER_RUN);
      g_array_append_val (ends, end);
    }
  return frame_ok (reader) ? 0 : ERROR_PROTOCOL;
}

GBytes *
executor_msg_task_failure (const executor_task_end_t *end)
{
  const task_failure_t *failure = &end->failure;
  frame_writer_t *writer = frame_begin (EXECUTOR_MSG_TASK_FAILURE);

  frame_put_uint (writer, end->batch);
  frame_put_int (writer, end->index);
  frame_put_int (writer, failure->cause);
  frame_put_int (writer, failure->attempt);
  frame_put_int (writer, failure->failed_runs);
  frame_put_int (writer, failure->attempts_max);
  frame_put_int (writer, failure->crashes.lost);
  frame_put_int (writer, failure->crashes.started);
  frame_put_int (writer, failure->crashes.confirmed);
  return frame_finish (writer);
}

int
executor_msg_read_task_failure (frame_reader_t *reader, executor_task_end_t *end)
{
  task_failure_t *failure = &end->failure;

  end->batch = frame_get_uint (reader);
  end->index = (int32_t) frame_get_range (reader, 0, INT32_MAX);
  end->outcome = EXECUTOR_FAILED;
  failure->cause =
      (task_failure_cause_t) frame_get_range (reader, TASK_FAILURE_UNKNOWN, TASK_FAILURE_REJECTED);
  failure->attempt = (int32_t) frame_get_range (reader, 0, INT32_MAX);
  failure->failed_runs = (int32_t) frame_get_range (reader, 0, INT32_MAX);
  failure->attempts_max = (int32_t) frame_get_range (reader, 0, INT32_MAX);
  failure->crashes.lost = (int32_t) frame_get_range (reader, 0, INT32_MAX);
  failure->crashes.started = (int32_t) frame_get_range (reader, 0, INT32_MAX);
  failure->crashes.confirmed = (int32_t) frame_get_range (reader, 0, INT32_MAX);
  return frame_ok (reader) ? 0 : ERROR_PROTOCOL;
}

GBytes *
executor_msg_losses (const crash_loss_t *losses, size_t count)
{
  frame_writer_t *writer = frame_begin (EXECUTOR_MSG_LOSSES);

  frame_put_count (writer, count);
  for (size_t i = 0; i < count; i++)
    {
      frame_put_string (writer, losses[i].task);
      frame_put_int (writer, losses[i].attempt);
      frame_put_string (writer, losses[i].endpoint);
      frame_put_int (writer, losses[i].endpoint_started_at_ms);
      frame_put_bool (writer, losses[i].had_started);
      frame_put_int (writer, losses[i].state);
      frame_put_int (writer, losses[i].revision);
    }
  return frame_finish (writer);
}

int
executor_msg_read_losses (frame_reader_t *reader, GArray *losses)
{
  size_t count = frame_get_count (reader, LOSSES_MAX);

  for (size_t i = 0; i < count && frame_ok (reader); i++)
    {
      crash_loss_t loss = { 0 };
      loss.task = frame_get_string (reader, TASK_NAME_MAX_BYTES);
      loss.attempt = (int32_t) frame_get_range (reader, 0, INT32_MAX);
      loss.endpoint = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
      loss.endpoint_started_at_ms = frame_get_int (reader);
      loss.had_started = frame_get_bool (reader);
      loss.state = (crash_state_t) frame_get_range (reader, CRASH_SUSPECTED, CRASH_CONFIRMED);
      loss.revision = (int32_t) frame_get_range (reader, 0, INT32_MAX);
      if (frame_ok (reader) && loss.task != NULL && loss.endpoint != NULL)
        {
          g_array_append_val (losses, loss);
          continue;
        }
      crash_loss_clear (&loss);
      return ERROR_PROTOCOL;
    }
  return frame_ok (reader) ? 0 : ERROR_PROTOCOL;
}

/* Trailing levels without a backlog are left out. */
static void
put_load (frame_writer_t *writer, const executor_load_t *load)
{
  size_t levels = EXECUTOR_LOAD_LEVELS;

  while (levels > 0 && load->backlog_core_ms[levels - 1] == 0)
    levels--;
  frame_put_string (writer, load->service);
  frame_put_int (writer, load->cores_milli);
  frame_put_int (writer, load->max_free_milli);
  frame_put_int (writer, MIN (load->next_free_ms, TIME_MAX_MS));
  frame_put_count (writer, levels);
  for (size_t i = 0; i < levels; i++)
    {
      frame_put_int (writer, MIN (load->backlog_core_ms[i], AMOUNT_MAX));
      frame_put_int (writer, MIN (load->late_core_ms[i], AMOUNT_MAX));
    }
}

static executor_load_t
get_load (frame_reader_t *reader)
{
  executor_load_t load = { 0 };

  load.service = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  load.cores_milli = frame_get_range (reader, 0, AMOUNT_MAX);
  load.max_free_milli = frame_get_range (reader, 0, AMOUNT_MAX);
  load.next_free_ms = frame_get_range (reader, 0, TIME_MAX_MS);
  size_t levels = frame_get_count (reader, EXECUTOR_LOAD_LEVELS);
  for (size_t i = 0; i < levels && frame_ok (reader); i++)
    {
      load.backlog_core_ms[i] = frame_get_range (reader, 0, AMOUNT_MAX);
      load.late_core_ms[i] = frame_get_range (reader, 0, load.backlog_core_ms[i]);
    }
  return load;
}

GBytes *
executor_msg_offer (const char *shard, int32_t waiting, const GArray *offers, const GArray *loads)
{
  frame_writer_t *writer = frame_begin (EXECUTOR_MSG_OFFER);

  frame_put_string (writer, shard);
  frame_put_int (writer, waiting);
  frame_put_count (writer, offers->len);
  for (guint i = 0; i < offers->len; i++)
    {
      const executor_offer_t *offer = &g_array_index (offers, executor_offer_t, i);
      frame_put_string (writer, offer->service);
      frame_put_int (writer, offer->slots_free);
      frame_put_int (writer, offer->slots_total);
      frame_put_int (writer, (int64_t) (offer->duration_ratio * RATIO_SCALE));
    }
  frame_put_count (writer, loads->len);
  for (guint i = 0; i < loads->len; i++)
    put_load (writer, &g_array_index (loads, executor_load_t, i));
  return frame_finish (writer);
}

int
executor_msg_read_offer (frame_reader_t *reader, executor_offer_msg_t *message)
{
  *message = (executor_offer_msg_t){ 0 };
  message->shard = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  message->waiting = (int32_t) frame_get_range (reader, 0, INT32_MAX);
  message->offers = g_array_new (FALSE, FALSE, sizeof (executor_offer_t));
  size_t count = frame_get_count (reader, OFFERS_MAX);
  for (size_t i = 0; i < count && frame_ok (reader); i++)
    {
      executor_offer_t offer = { 0 };
      offer.service = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
      offer.slots_free = (int32_t) frame_get_range (reader, 0, INT32_MAX);
      offer.slots_total = (int32_t) frame_get_range (reader, 0, INT32_MAX);
      offer.duration_ratio = (double) frame_get_range (reader, 0, INT32_MAX) / RATIO_SCALE;
      g_array_append_val (message->offers, offer);
    }
  message->loads = g_array_new (FALSE, FALSE, sizeof (executor_load_t));
  count = frame_get_count (reader, OFFERS_MAX);
  for (size_t i = 0; i < count && frame_ok (reader); i++)
    {
      executor_load_t load = get_load (reader);
      g_array_append_val (message->loads, load);
    }
  if (frame_ok (reader) && message->shard != NULL)
    return 0;
  executor_offer_msg_clear (message);
  return ERROR_PROTOCOL;
}

void
executor_offer_msg_clear (executor_offer_msg_t *message)
{
  g_free (message->shard);
  for (guint i = 0; message->offers != NULL && i < message->offers->len; i++)
    {
      const executor_offer_t *offer = &g_array_index (message->offers, executor_offer_t, i);
      g_free ((char *) offer->service);
    }
  if (message->offers != NULL)
    g_array_unref (message->offers);
  for (guint i = 0; message->loads != NULL && i < message->loads->len; i++)
    g_free ((char *) g_array_index (message->loads, executor_load_t, i).service);
  if (message->loads != NULL)
    g_array_unref (message->loads);
  *message = (executor_offer_msg_t){ 0 };
}

GBytes *
executor_msg_surveyed (const char *shard, int64_t token)
{
  frame_writer_t *writer = frame_begin (EXECUTOR_MSG_SURVEYED);

  frame_put_string (writer, shard);
  frame_put_int (writer, token);
  return frame_finish (writer);
}

int
executor_msg_read_surveyed (frame_reader_t *reader, char **shard, int64_t *token)
{
  *shard = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  *token = frame_get_range (reader, 0, INT64_MAX);
  if (frame_ok (reader) && *shard != NULL)
    return 0;
  g_clear_pointer (shard, g_free);
  return ERROR_PROTOCOL;
}
