/* event.c -- the closed list of events that a site's hosts log, one JSON object a line
 *
 * Lines are built in one buffer.  A pipe that poll () calls writable takes PIPE_BUF bytes
 * without blocking, so that the buffer is written in pieces of that size, each after a poll ().
 * Budgets are renewed every second: routine lines have a small one, all lines together a
 * large one.
 */
#include "base/event.h"

#include "base/clock.h"

#include <assert.h>
#include <glib.h>
#include <limits.h>
#include <poll.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* What may wait for a slow reader. */
#define BUFFER_MAX_BYTES (128 * 1024)
#define ROUTINE_LINES_PER_S 40
#define ALL_LINES_PER_S 400
#define BUDGET_MS 1000
/* Lines are written together, at most this late. */
#define FLUSH_EVERY_MS 50

static const event_row_t rows[] = {
  { EVENT_STARTED, EVENT_CLASS_STATE, "started", "version data_centre", "{host_id} started" },
  { EVENT_STOPPING, EVENT_CLASS_STATE, "stopping", "jobs",
    "{host_id} was told to stop with {jobs} jobs under way" },
  { EVENT_STOPPED, EVENT_CLASS_STATE, "stopped", "jobs",
    "{host_id} stopped with {jobs} jobs under way" },
  { EVENT_RELOADED, EVENT_CLASS_STATE, "reloaded", "why",
    "{host_id} read its settings again: {why}" },
  { EVENT_STOOD_STILL, EVENT_CLASS_STATE, "stood_still", "for_ms",
    "{host_id} stood still for {for_ms} ms" },
  { EVENT_LOG_LOST, EVENT_CLASS_STATE, "log_lost", "", "{host_id} lost the platform's log" },
  { EVENT_LOG_REGAINED, EVENT_CLASS_STATE, "log_regained", "",
    "{host_id} reached the platform's log again" },
  { EVENT_LINES_LEFT_OUT, EVENT_CLASS_STATE, "lines_left_out", "routine trouble belief",
    "{host_id} left out {routine} routine, {trouble} trouble and {belief} belief lines" },
  { EVENT_CONFIGURATION, EVENT_CLASS_STATE, "configuration", "version from queues",
    "version {version} of the configuration came into force at {host_id}, from {from}" },
  { EVENT_CONFIGURATION_INVALID, EVENT_CLASS_STATE, "configuration_invalid", "from",
    "{host_id} could not read a configuration from {from}" },
  { EVENT_HOST_FOUND, EVENT_CLASS_STATE, "host_found", "host", "{host_id} hears {host}" },
  { EVENT_HOST_LOST, EVENT_CLASS_STATE, "host_lost", "host why silent_ms",
    "{host_id} lost {host}: {why}, last heard {silent_ms} ms before" },
  { EVENT_SHARD_CLAIMED, EVENT_CLASS_STATE, "shard_claimed", "shard token why",
    "{host_id} claimed the endpoints of {shard}: {why}" },
  { EVENT_SHARD_YIELDED, EVENT_CLASS_STATE, "shard_yielded", "shard why",
    "{host_id} gave up the endpoints of {shard}: {why}" },
  { EVENT_SHARD_OWNER, EVENT_CLASS_STATE, "shard_owner", "shard host token",
    "{host_id} takes {host} for the owner of {shard}" },
  { EVENT_DRAIN_BEGUN, EVENT_CLASS_STATE, "drain_begun", "data_centre offset from",
    "{host_id} starts nothing more in {data_centre}: it is drained by record {offset}, told by "
    "{from}" },
  { EVENT_DRAIN_ENDED, EVENT_CLASS_STATE, "drain_ended", "data_centre offset from",
    "{host_id} uses {data_centre} again: no longer drained as of {offset}, told by {from}" },
  { EVENT_DRAIN_SENT_AWAY, EVENT_CLASS_STATE, "drain_sent_away", "data_centre tasks running",
    "{host_id} gave {tasks} tasks that waited in {data_centre}, which is drained, back to their "
    "coordinators; {running} still run there" },
  { EVENT_ENDPOINT_FOUND, EVENT_CLASS_STATE, "endpoint_found", "endpoint shard kind",
    "endpoint {endpoint} appeared in the directory" },
  { EVENT_ENDPOINT_LEAVING, EVENT_CLASS_STATE, "endpoint_leaving", "endpoint shard",
    "endpoint {endpoint} is leaving" },
  { EVENT_ENDPOINT_GONE, EVENT_CLASS_STATE, "endpoint_gone", "endpoint shard",
    "endpoint {endpoint} is gone from the directory" },
  { EVENT_ENDPOINT_INVALID, EVENT_CLASS_STATE, "endpoint_invalid", "endpoint",
    "the entry of endpoint {endpoint} can't be used" },
  { EVENT_ENDPOINT_SILENT, EVENT_CLASS_PROBLEM, "endpoint_silent", "endpoint runs",
    "endpoint {endpoint} stopped answering with {runs} runs" },
  { EVENT_ENDPOINT_HEARD, EVENT_CLASS_PROBLEM, "endpoint_heard", "endpoint silent_ms",
    "endpoint {endpoint} answers again after {silent_ms} ms" },
  { EVENT_ENDPOINT_REBORN, EVENT_CLASS_STATE, "endpoint_reborn", "endpoint runs",
    "endpoint {endpoint} started anew; {runs} runs are lost" },
  { EVENT_ENDPOINT_EJECTED, EVENT_CLASS_STATE, "endpoint_ejected", "endpoint",
    "endpoint {endpoint} fails too often and is passed over" },
  { EVENT_ENDPOINT_READMITTED, EVENT_CLASS_STATE, "endpoint_readmitted", "endpoint",
    "endpoint {endpoint} is used again" },
  { EVENT_ENDPOINT_SHUT_OUT, EVENT_CLASS_STATE, "endpoint_shut_out", "endpoint shard token",
    "endpoint {endpoint} obeys another owner" },
  { EVENT_JOB_TAKEN, EVENT_CLASS_ROUTINE, "job_taken",
    "job queue tasks estimate_ms deadline_ms version",
    "{host_id} took the job ({tasks} tasks of about {estimate_ms} ms, {deadline_ms} ms to its "
    "deadline)" },
  { EVENT_JOB_UNREADY, EVENT_CLASS_PROBLEM, "job_unready", "job",
    "{host_id} refused the job: it had no configuration yet" },
  { EVENT_JOB_UNROUTED, EVENT_CLASS_ROUTINE, "job_unrouted", "job version",
    "{host_id} knew no queue for the job (configuration {version})" },
  { EVENT_JOB_CANCEL, EVENT_CLASS_ROUTINE, "job_cancel", "job here",
    "{host_id} was asked to cancel the job (here: {here})" },
  { EVENT_JOB_INVALID, EVENT_CLASS_PROBLEM, "job_invalid", "job why",
    "{host_id} refused the job as malformed: {why}" },
  { EVENT_JOB_UNSUPPORTED, EVENT_CLASS_PROBLEM, "job_unsupported", "job queue why",
    "{host_id} refused the job: {why}" },
  { EVENT_JOB_ANSWERED, EVENT_CLASS_ROUTINE, "job_answered", "job outcome elapsed_ms late_by_ms",
    "{host_id} answered {outcome} after {elapsed_ms} ms" },
  { EVENT_JOB_MISSED, EVENT_CLASS_PROBLEM, "job_missed",
    "job outcome why limit size tasks estimate_ms left elapsed_ms late_by_ms handovers returns "
    "owners expected_wait_ms report_age_ms",
    "{host_id} answered {outcome} after {elapsed_ms} ms with {left} of {tasks} tasks of about "
    "{estimate_ms} ms left: {why} (limit {limit}, size {size}, owners {owners}, {handovers} moves "
    "between owners, "
    "{returns} returns; on arrival it expected to wait {expected_wait_ms} ms, by a report "
    "{report_age_ms} ms old)" },
  { EVENT_JOB_ABANDONED, EVENT_CLASS_PROBLEM, "job_abandoned", "job elapsed_ms",
    "the caller hung up after {elapsed_ms} ms" },
  { EVENT_BATCH_SENT, EVENT_CLASS_ROUTINE, "batch_sent", "job batch host shard tasks",
    "{host_id} gave {tasks} tasks to {host}" },
  { EVENT_BATCH_MOVED, EVENT_CLASS_PROBLEM, "batch_moved", "job batch host shard tasks",
    "{host_id} gave {tasks} tasks anew to {host}, the owner of {shard}" },
  { EVENT_BATCH_STALE, EVENT_CLASS_PROBLEM, "batch_stale", "job batch host",
    "{host_id} did not take tasks that {host} had sent before it was lost" },
  { EVENT_TASK_STARTED, EVENT_CLASS_ROUTINE, "task_started",
    "task attempt endpoint expected_ms waited_ms",
    "{host_id} started task {task} on {endpoint} after {waited_ms} ms, expecting {expected_ms} "
    "ms" },
  { EVENT_TASK_DOUBTFUL, EVENT_CLASS_PROBLEM, "task_doubtful",
    "task attempt endpoint expected_ms waited_ms least_ms left_ms",
    "{host_id} started task {task} on {endpoint} after {waited_ms} ms, expecting {expected_ms} ms "
    "with {left_ms} ms left; the fastest endpoint would need {least_ms} ms" },
  { EVENT_TASK_DONE, EVENT_CLASS_ROUTINE, "task_done",
    "task attempt endpoint elapsed_ms expected_ms",
    "task {task} was done on {endpoint} after {elapsed_ms} ms" },
  { EVENT_TASK_FAILED, EVENT_CLASS_PROBLEM, "task_failed", "task attempt endpoint elapsed_ms",
    "attempt {attempt} of task {task} failed on {endpoint} after {elapsed_ms} ms" },
  { EVENT_TASK_LAPSED, EVENT_CLASS_PROBLEM, "task_lapsed", "task attempt endpoint elapsed_ms",
    "attempt {attempt} of task {task} was lost with the lease of {endpoint} after {elapsed_ms} "
    "ms" },
  { EVENT_TASK_HUNG, EVENT_CLASS_PROBLEM, "task_hung", "task attempt endpoint elapsed_ms percent",
    "task {task} stood still on {endpoint} at {percent}% after {elapsed_ms} ms and was stopped" },
  { EVENT_TASK_MOVED, EVENT_CLASS_PROBLEM, "task_moved", "task attempt endpoint elapsed_ms percent",
    "task {task} was too slow on {endpoint} ({percent}% after {elapsed_ms} ms) and was stopped to "
    "start elsewhere" },
  { EVENT_TASK_CUT, EVENT_CLASS_PROBLEM, "task_cut",
    "task attempt endpoint elapsed_ms expected_ms percent",
    "task {task} was still at {percent}% on {endpoint} after {elapsed_ms} ms ({expected_ms} ms "
    "expected) when its job ended" },
  { EVENT_TASK_RETURNED, EVENT_CLASS_ROUTINE, "task_returned", "task waited_ms",
    "{host_id} returned task {task} after {waited_ms} ms, since another owner had room" },
  { EVENT_TASK_EXPIRED, EVENT_CLASS_PROBLEM, "task_expired",
    "task waited_ms least_ms usable waiting",
    "task {task} waited {waited_ms} ms and could not end in time any more ({least_ms} ms at least; "
    "{usable} endpoints usable, {waiting} tasks waiting)" },
  { EVENT_TASK_ADOPTED, EVENT_CLASS_PROBLEM, "task_adopted", "task attempt endpoint",
    "{host_id} took over the run of task {task} on {endpoint}" },
  { EVENT_ORDER_REFUSED, EVENT_CLASS_PROBLEM, "order_refused", "task attempt endpoint why",
    "{endpoint} refused to start task {task}: {why}" },
  { EVENT_ORDER_UNANSWERED, EVENT_CLASS_PROBLEM, "order_unanswered", "task attempt endpoint",
    "the order to start task {task} on {endpoint} got no answer" },
};

static const char *host_name = "";
static GString *buffer;
static bool open_line;
static int64_t window_at_ms;
static int64_t window_lines[EVENT_CLASS_STATE + 1];
static int64_t left_out[EVENT_CLASS_STATE + 1]; /* since the last line that told it */
static int64_t all_left_out;
static int64_t all_written;
static int64_t flushed_at_ms;
static int64_t stamp_s;
static char stamp[32];

const event_row_t *
event_row (event_t event)
{
  assert (rows[event].event == event);
  return &rows[event];
}

const event_row_t *
event_from_name (const char *name)
{
  for (gsize i = 0; i < G_N_ELEMENTS (rows); i++)
    if (strcmp (rows[i].name, name) == 0)
      return &rows[i];
  return NULL;
}

void
event_setup (const char *host)
{
  host_name = host;
  if (buffer == NULL)
    buffer = g_string_sized_new (BUFFER_MAX_BYTES / 8);
}

static bool
has_budget (event_class_t class, int64_t now_ms)
{
  int64_t all = 0;

  if (now_ms - window_at_ms >= BUDGET_MS)
    {
      window_at_ms = now_ms;
      memset (window_lines, 0, sizeof window_lines);
    }
  for (int i = EVENT_CLASS_ROUTINE; i <= EVENT_CLASS_STATE; i++)
    all += window_lines[i];
  if (class == EVENT_CLASS_ROUTINE)
    return window_lines[class] < ROUTINE_LINES_PER_S && all < ALL_LINES_PER_S;
  /* Beliefs are few; they may use what troubles may not. */
  return class == EVENT_CLASS_STATE ? all < 2 * ALL_LINES_PER_S : all < ALL_LINES_PER_S;
}

static void
add_stamp (int64_t wall_ms)
{
  if (wall_ms / 1000 != stamp_s)
    {
      time_t second = (time_t) (wall_ms / 1000);
      struct tm parts;
      stamp_s = wall_ms / 1000;
      gmtime_r (&second, &parts);
      strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &parts);
    }
  g_string_append_printf (buffer, "{\"at\":\"%s.%03dZ\"", stamp, (int) (wall_ms % 1000));
}

bool
event_begin (event_t event)
{
  const event_row_t *row = event_row (event);
  int64_t now_ms = clock_boot_ms ();

  if (buffer == NULL)
    return false;
  if (buffer->len > BUFFER_MAX_BYTES || !has_budget (row->class, now_ms))
    {
      left_out[row->class]++;
      all_left_out++;
      return false;
    }
  window_lines[row->class]++;
  all_written++;
  open_line = true;
  add_stamp (clock_wall_ms ());
  event_add_text ("host_id", host_name);
  event_add_text ("event", row->name);
  return true;
}

static bool
is_plain (const char *text)
{
  for (const char *at = text; *at != '\0'; at++)
    if ((unsigned char) *at < 0x20 || *at == '"' || *at == '\\')
      return false;
  return true;
}

void
event_add_text (const char *field, const char *value)
{
  assert (open_line);
  if (value == NULL)
    value = "";
  g_string_append_printf (buffer, ",\"%s\":\"", field);
  if (is_plain (value))
    g_string_append (buffer, value);
  else
    for (const char *at = value; *at != '\0'; at++)
      if ((unsigned char) *at < 0x20)
        g_string_append_printf (buffer, "\\u%04x", (unsigned) *at);
      else if (*at == '"' || *at == '\\')
        g_string_append_printf (buffer, "\\%c", *at);
      else
        g_string_append_c (buffer, *at);
  g_string_append_c (buffer, '"');
}

void
event_add_number (const char *field, int64_t value)
{
  assert (open_line);
  g_string_append_printf (buffer, ",\"%s\":%" G_GINT64_FORMAT, field, value);
}

void
event_end (void)
{
  assert (open_line);
  g_string_append (buffer, "}\n");
  open_line = false;
}

static void
tell_left_out (void)
{
  if (left_out[EVENT_CLASS_ROUTINE] + left_out[EVENT_CLASS_PROBLEM] + left_out[EVENT_CLASS_STATE]
          == 0
      || !event_begin (EVENT_LINES_LEFT_OUT))
    return;
  event_add_number ("routine", left_out[EVENT_CLASS_ROUTINE]);
  event_add_number ("trouble", left_out[EVENT_CLASS_PROBLEM]);
  event_add_number ("belief", left_out[EVENT_CLASS_STATE]);
  event_end ();
  memset (left_out, 0, sizeof left_out);
}

void
event_flush (int64_t now_ms)
{
  gsize written = 0;

  if (buffer == NULL)
    return;
  if (now_ms - window_at_ms >= BUDGET_MS)
    tell_left_out ();
  if (buffer->len == 0 || now_ms - flushed_at_ms < FLUSH_EVERY_MS)
    return;
  flushed_at_ms = now_ms;
  while (written < buffer->len)
    {
      struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };
      if (poll (&out, 1, 0) <= 0 || (out.revents & POLLOUT) == 0)
        break;
      ssize_t size =
          write (STDOUT_FILENO, buffer->str + written, MIN (buffer->len - written, PIPE_BUF));
      if (size <= 0)
        break;
      written += (gsize) size;
    }
  g_string_erase (buffer, 0, (gssize) written);
}

int64_t
event_written_count (void)
{
  return all_written;
}

int64_t
event_dropped_count (void)
{
  return all_left_out;
}
