/* event.c -- the event log of a host: one JSON object per line on standard output
 *
 * Lines about orders have a buffer and a limit per second of their own, so that a
 * wave of them displaces no others, nor is displaced.  Of the others, routine lines
 * have a lower limit than all together.  A pipe that poll () reports as writable
 * accepts PIPE_BUF bytes without blocking, so buffers are written in chunks of at
 * most that size, with a poll () before each chunk.
 */
#include "base/event.h"

#include "base/clock.h"

#include <assert.h>
#include <fcntl.h>
#include <glib.h>
#include <limits.h>
#include <poll.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* No line is added to a buffer that holds more than this for a slow reader. */
#define BUFFER_MAX_BYTES (128 * 1024)
#define ORDERS_MAX_BYTES (512 * 1024)
/* Least size asked for a pipe at standard output: what it holds outlives the process.  Hosts of one
 * user share what the system allows for pipes. */
#define PIPE_BYTES (256 * 1024)
#define ROUTINE_LINES_PER_S 40
#define TOTAL_LINES_PER_S 400
#define ORDER_LINES_PER_S 2000
#define RATE_WINDOW_MS 1000
/* Lines are written together at this interval. */
#define FLUSH_INTERVAL_MS 50

static const event_row_t rows[] = {
  { EVENT_STARTED, EVENT_CLASS_STATE, "started", "version data_centre", "{host_id} started" },
  { EVENT_STOPPING, EVENT_CLASS_STATE, "stopping", "jobs",
    "{host_id} is stopping with {jobs} jobs in progress" },
  { EVENT_STOPPED, EVENT_CLASS_STATE, "stopped", "jobs connections unacked_bytes",
    "{host_id} stopped with {jobs} jobs in progress, {connections} connections of callers and "
    "{unacked_bytes} bytes of answers not acknowledged" },
  { EVENT_RELOADED, EVENT_CLASS_STATE, "reloaded", "why",
    "{host_id} reloaded its settings: {why}" },
  { EVENT_STOOD_STILL, EVENT_CLASS_STATE, "stood_still", "for_ms",
    "{host_id} was suspended or blocked for {for_ms} ms" },
  { EVENT_TRAFFIC, EVENT_CLASS_STATE, "traffic",
    "sent_bytes received_bytes unsent_bytes loop_delay_ms unanswered connections",
    "{host_id} sent {sent_bytes} and received {received_bytes} bytes within a second; up to "
    "{unsent_bytes} bytes waited to be sent, its loop was up to {loop_delay_ms} ms late, "
    "{unanswered} calls to endpoints were not answered in time, {connections} connections to "
    "endpoints were opened" },
  { EVENT_CLIENTS_LIMITED, EVENT_CLASS_PROBLEM, "clients_limited",
    "listener for_ms connections connections_max held_bytes held_bytes_max paused_connections "
    "paused_descriptors closed_idle closed_bytes refused_requests closed_unread",
    "limits at the {listener} address of {host_id}, which has {connections} of {connections_max} "
    "connections and holds {held_bytes} of {held_bytes_max} bytes: since {for_ms} ms (0: since the "
    "start) accepting paused {paused_connections} times for connections and {paused_descriptors} "
    "times for descriptors; it closed {closed_idle} idle connections, {closed_bytes} for the sum "
    "of bytes and {closed_unread} with unread answers, and refused {refused_requests} requests" },
  { EVENT_LOG_LOST, EVENT_CLASS_STATE, "log_lost", "",
    "{host_id} cannot reach the platform's log" },
  { EVENT_LOG_REGAINED, EVENT_CLASS_STATE, "log_regained", "",
    "{host_id} can reach the platform's log again" },
  { EVENT_LINES_LEFT_OUT, EVENT_CLASS_STATE, "lines_left_out", "routine trouble belief order",
    "{host_id} dropped {routine} routine, {trouble} trouble, {belief} belief and {order} order "
    "lines" },
  { EVENT_CONFIGURATION, EVENT_CLASS_STATE, "configuration", "version from queues",
    "{host_id} applied version {version} of the configuration, received from {from}" },
  { EVENT_CONFIGURATION_INVALID, EVENT_CLASS_STATE, "configuration_invalid", "from",
    "{host_id} could not parse a configuration received from {from}" },
  { EVENT_HOST_FOUND, EVENT_CLASS_STATE, "host_found", "host",
    "{host_id} receives messages from {host}" },
  { EVENT_HOST_LOST, EVENT_CLASS_STATE, "host_lost", "host why silent_ms",
    "{host_id} lost contact with {host}: {why}, last message {silent_ms} ms ago" },
  { EVENT_DATA_CENTRE_UNREACHED, EVENT_CLASS_STATE, "data_centre_unreached",
    "data_centre silent_ms jobs",
    "no host of {data_centre} has shown for {silent_ms} ms that it receives what {host_id} sends; "
    "{jobs} open jobs are not certainly known there" },
  { EVENT_DATA_CENTRE_REACHED, EVENT_CLASS_STATE, "data_centre_reached", "data_centre after_ms",
    "{data_centre} receives what {host_id} sends again, after {after_ms} ms" },
  { EVENT_SHARD_CLAIMED, EVENT_CLASS_STATE, "shard_claimed", "shard token why",
    "{host_id} claimed the endpoints of {shard}: {why}" },
  { EVENT_SHARD_YIELDED, EVENT_CLASS_STATE, "shard_yielded", "shard why",
    "{host_id} released the endpoints of {shard}: {why}" },
  { EVENT_SHARD_OWNER, EVENT_CLASS_STATE, "shard_owner", "shard host token",
    "{host_id} regards {host} as the owner of {shard}" },
  { EVENT_DRAIN_BEGUN, EVENT_CLASS_STATE, "drain_begun", "data_centre offset from",
    "{host_id} starts no more tasks in {data_centre}, which is drained by record {offset}, "
    "received "
    "from {from}" },
  { EVENT_DRAIN_ENDED, EVENT_CLASS_STATE, "drain_ended", "data_centre offset from",
    "{host_id} uses {data_centre} again, which is no longer drained as of record {offset}, "
    "received from {from}" },
  { EVENT_DRAIN_SENT_AWAY, EVENT_CLASS_STATE, "drain_sent_away", "data_centre tasks running",
    "{host_id} returned {tasks} tasks waiting in {data_centre}, which is drained, to their "
    "coordinators; {running} tasks are still running there" },
  { EVENT_ENDPOINT_FOUND, EVENT_CLASS_STATE, "endpoint_found", "endpoint shard kind",
    "endpoint {endpoint} appeared in the directory" },
  { EVENT_ENDPOINT_LEAVING, EVENT_CLASS_STATE, "endpoint_leaving", "endpoint shard",
    "endpoint {endpoint} is leaving" },
  { EVENT_ENDPOINT_CAPACITY, EVENT_CLASS_STATE, "endpoint_capacity",
    "endpoint shard cores_milli memory_mb gpus old_cores_milli old_memory_mb old_gpus",
    "the capacity of endpoint {endpoint} changed from {old_cores_milli} to {cores_milli} "
    "thousandths of a core, from {old_memory_mb} to {memory_mb} MB and from {old_gpus} to {gpus} "
    "GPUs" },
  { EVENT_ENDPOINT_GONE, EVENT_CLASS_STATE, "endpoint_gone", "endpoint shard",
    "endpoint {endpoint} was removed from the directory" },
  { EVENT_ENDPOINT_INVALID, EVENT_CLASS_STATE, "endpoint_invalid", "endpoint",
    "the directory entry of endpoint {endpoint} is invalid" },
  { EVENT_ENDPOINT_SILENT, EVENT_CLASS_PROBLEM, "endpoint_silent", "endpoint runs",
    "endpoint {endpoint} stopped answering with {runs} runs in progress" },
  { EVENT_ENDPOINT_HEARD, EVENT_CLASS_PROBLEM, "endpoint_heard", "endpoint silent_ms",
    "endpoint {endpoint} answers again after {silent_ms} ms" },
  { EVENT_ENDPOINT_REBORN, EVENT_CLASS_STATE, "endpoint_reborn", "endpoint runs why",
    "endpoint {endpoint} restarted with {runs} runs in progress, as {why} shows" },
  { EVENT_ENDPOINT_EJECTED, EVENT_CLASS_STATE, "endpoint_ejected", "endpoint",
    "endpoint {endpoint} fails too often and is not used for now" },
  { EVENT_ENDPOINT_READMITTED, EVENT_CLASS_STATE, "endpoint_readmitted", "endpoint",
    "endpoint {endpoint} is used again" },
  { EVENT_ENDPOINT_SHUT_OUT, EVENT_CLASS_STATE, "endpoint_shut_out", "endpoint shard token",
    "endpoint {endpoint} has accepted another owner" },
  { EVENT_JOB_TAKEN, EVENT_CLASS_ROUTINE, "job_taken",
    "job queue tasks estimate_ms deadline_ms version",
    "{host_id} accepted the job ({tasks} tasks of about {estimate_ms} ms, {deadline_ms} ms to its "
    "deadline)" },
  { EVENT_JOB_UNREADY, EVENT_CLASS_PROBLEM, "job_unready", "job",
    "{host_id} refused the job: it had no configuration yet" },
  { EVENT_JOB_STALE, EVENT_CLASS_PROBLEM, "job_stale", "job",
    "{host_id} refused the job: its request may have waited while the host stood still" },
  { EVENT_JOB_UNROUTED, EVENT_CLASS_ROUTINE, "job_unrouted", "job version",
    "{host_id} found no queue for the job (configuration {version})" },
  { EVENT_JOB_CANCEL, EVENT_CLASS_ROUTINE, "job_cancel", "job result elapsed_ms",
    "{host_id} answered a cancellation after {elapsed_ms} ms: {result}" },
  { EVENT_JOB_INVALID, EVENT_CLASS_PROBLEM, "job_invalid", "job why",
    "{host_id} refused the job as malformed: {why}" },
  { EVENT_JOB_UNSUPPORTED, EVENT_CLASS_PROBLEM, "job_unsupported", "job queue why",
    "{host_id} refused the job: {why}" },
  { EVENT_JOB_ANSWERED, EVENT_CLASS_ROUTINE, "job_answered", "job outcome elapsed_ms late_by_ms",
    "{host_id} answered {outcome} after {elapsed_ms} ms" },
  { EVENT_JOB_REPEATED, EVENT_CLASS_ROUTINE, "job_repeated", "job outcome",
    "{host_id} answered a repeated request: the job had ended before ({outcome})" },
  { EVENT_JOB_MISSED, EVENT_CLASS_PROBLEM, "job_missed",
    "job outcome why limit size tasks estimate_ms left elapsed_ms late_by_ms handovers returns "
    "owners expected_wait_ms report_age_ms",
    "{host_id} answered {outcome} after {elapsed_ms} ms with {left} of {tasks} tasks of about "
    "{estimate_ms} ms left: {why} (limit {limit}, size {size}, owners {owners}, {handovers} moves "
    "between owners, "
    "{returns} returns; on arrival it expected to wait {expected_wait_ms} ms, by a report "
    "{report_age_ms} ms old)" },
  { EVENT_JOB_FAILED, EVENT_CLASS_STATE, "job_failed",
    "job cause index attempt failed_runs attempts_max lost started confirmed",
    "{host_id} answered the job as failed ({cause}): {failed_runs} runs of task {index} have "
    "failed, "
    "of {attempts_max} allowed; {lost} endpoints were lost under it, {started} of them with a run "
    "that had started, {confirmed} confirmed as crashed; its last attempt was {attempt}" },
  { EVENT_JOB_ABANDONED, EVENT_CLASS_PROBLEM, "job_abandoned", "job elapsed_ms",
    "the caller closed the connection after {elapsed_ms} ms" },
  { EVENT_JOB_ELSEWHERE, EVENT_CLASS_PROBLEM, "job_elsewhere", "job finding host evidence age_ms",
    "{host_id} found the job at {host}, as told {age_ms} ms before: {finding} ({evidence})" },
  { EVENT_JOB_STARTS, EVENT_CLASS_ORDER, "job_starts",
    "job process_age_ms cold_start waited_ms idle_ms unreached limited",
    "{host_id} starts the job {waited_ms} ms after it came, on a connection that had been idle for "
    "{idle_ms} ms: the process is {process_age_ms} ms old, and runs that only earlier ones knew of "
    "are excluded by: {cold_start}; {unreached} data centres are out of reach (the job ends before "
    "it may be sent again: {limited})" },
  { EVENT_JOB_GOES_ON, EVENT_CLASS_PROBLEM, "job_goes_on",
    "job age_ms announced_ms confirmed_ms unreached",
    "{host_id} goes on with the job after {age_ms} ms, although its caller may soon send it again: "
    "other hosts were told of it {announced_ms} ms after it came (-1: they were not), and every "
    "other data centre has confirmed what was sent until {confirmed_ms} ms after it came; "
    "{unreached} data centres are out of reach" },
  { EVENT_BATCH_SENT, EVENT_CLASS_ROUTINE, "batch_sent", "job batch host shard tasks",
    "{host_id} sent {tasks} tasks to {host}" },
  { EVENT_BATCH_MOVED, EVENT_CLASS_PROBLEM, "batch_moved", "job batch host shard tasks",
    "{host_id} sent {tasks} tasks again, to {host}, the owner of {shard}" },
  { EVENT_BATCH_STALE, EVENT_CLASS_PROBLEM, "batch_stale", "job batch host",
    "{host_id} rejected tasks that {host} had sent before contact with it was lost" },
  { EVENT_TASK_STARTED, EVENT_CLASS_ROUTINE, "task_started",
    "task attempt endpoint expected_ms waited_ms coordinator",
    "{host_id} started task {task} on {endpoint} after {waited_ms} ms, expecting {expected_ms} ms "
    "(for {coordinator})" },
  { EVENT_TASK_DOUBTFUL, EVENT_CLASS_PROBLEM, "task_doubtful",
    "task attempt endpoint expected_ms waited_ms least_ms left_ms coordinator",
    "{host_id} started task {task} on {endpoint} after {waited_ms} ms, expecting {expected_ms} ms "
    "with {left_ms} ms left; the fastest endpoint would need {least_ms} ms (for {coordinator})" },
  { EVENT_TASK_DONE, EVENT_CLASS_ROUTINE, "task_done",
    "task attempt endpoint elapsed_ms expected_ms coordinator",
    "task {task} was completed on {endpoint} after {elapsed_ms} ms (for {coordinator})" },
  { EVENT_TASK_FAILED, EVENT_CLASS_PROBLEM, "task_failed",
    "task attempt endpoint elapsed_ms coordinator",
    "attempt {attempt} of task {task} failed on {endpoint} after {elapsed_ms} ms (for "
    "{coordinator})" },
  { EVENT_TASK_LAPSED, EVENT_CLASS_PROBLEM, "task_lapsed",
    "task attempt endpoint elapsed_ms coordinator",
    "attempt {attempt} of task {task} was lost when the lease of {endpoint} expired, after "
    "{elapsed_ms} ms (for {coordinator})" },
  { EVENT_TASK_CRASH_SUSPECTED, EVENT_CLASS_PROBLEM, "task_crash_suspected",
    "task endpoint lost confirmed",
    "{endpoint} stopped answering while it ran task {task}, under which {lost} endpoints were lost "
    "so far "
    "({confirmed} confirmed as crashed)" },
  { EVENT_TASK_CRASH_CONFIRMED, EVENT_CLASS_PROBLEM, "task_crash_confirmed",
    "task endpoint lost confirmed",
    "{endpoint} crashed while it ran task {task}, under which {lost} endpoints were lost so "
    "far ({confirmed} confirmed as crashed)" },
  { EVENT_TASK_CRASH_WITHDRAWN, EVENT_CLASS_PROBLEM, "task_crash_withdrawn",
    "task endpoint lost confirmed",
    "{endpoint} did not restart and was not lost under task {task}, for which {lost} lost "
    "endpoints "
    "({confirmed} confirmed as crashed) are left" },
  { EVENT_TASK_CRASH_GIVEN_UP, EVENT_CLASS_PROBLEM, "task_crash_given_up",
    "task attempt lost confirmed",
    "{host_id} gave task {task} up: {lost} endpoints were lost under it ({confirmed} confirmed as "
    "crashed)" },
  { EVENT_TASK_HUNG, EVENT_CLASS_PROBLEM, "task_hung",
    "task attempt endpoint elapsed_ms percent coordinator",
    "task {task} made no progress on {endpoint} at {percent}% after {elapsed_ms} ms and was "
    "stopped (for {coordinator})" },
  { EVENT_TASK_MOVED, EVENT_CLASS_PROBLEM, "task_moved",
    "task attempt endpoint elapsed_ms percent coordinator",
    "task {task} was too slow on {endpoint} ({percent}% after {elapsed_ms} ms) and was stopped to "
    "be restarted elsewhere (for {coordinator})" },
  { EVENT_TASK_CUT, EVENT_CLASS_PROBLEM, "task_cut",
    "task attempt endpoint elapsed_ms expected_ms percent coordinator",
    "task {task} was still at {percent}% on {endpoint} after {elapsed_ms} ms ({expected_ms} ms "
    "expected) when its job ended (for {coordinator})" },
  { EVENT_TASK_RETURNED, EVENT_CLASS_ROUTINE, "task_returned", "task waited_ms",
    "{host_id} returned task {task} after {waited_ms} ms, because another owner had free "
    "capacity" },
  { EVENT_TASK_EXPIRED, EVENT_CLASS_PROBLEM, "task_expired",
    "task waited_ms least_ms usable waiting",
    "task {task} waited {waited_ms} ms and could no longer finish in time ({least_ms} ms at least; "
    "{usable} endpoints usable, {waiting} tasks waiting)" },
  { EVENT_TASK_ADOPTED, EVENT_CLASS_PROBLEM, "task_adopted", "task attempt endpoint",
    "{host_id} took over the run of task {task} on {endpoint}" },
  { EVENT_RUN_UNCLAIMED, EVENT_CLASS_PROBLEM, "run_unclaimed", "task attempt endpoint elapsed_ms",
    "{host_id} stops attempt {attempt} of task {task} on {endpoint}, which it has not started and "
    "no "
    "coordinator has claimed within {elapsed_ms} ms" },
  { EVENT_STOP_ORDERED, EVENT_CLASS_ORDER, "stop_ordered",
    "task attempt endpoint why elapsed_ms coordinator",
    "{host_id} orders {endpoint} to stop attempt {attempt} of task {task}, {elapsed_ms} ms after "
    "it "
    "was started or found (for {coordinator}): {why}" },
  { EVENT_RUN_AT_RESTART, EVENT_CLASS_PROBLEM, "run_at_restart",
    "task attempt endpoint elapsed_ms why",
    "{endpoint} restarted {elapsed_ms} ms after attempt {attempt} of task {task} was ordered "
    "there; "
    "the run was {why}" },
  { EVENT_ORDER_REFUSED, EVENT_CLASS_PROBLEM, "order_refused", "task attempt endpoint why",
    "{endpoint} refused to start task {task}: {why}" },
  { EVENT_ORDER_UNANSWERED, EVENT_CLASS_PROBLEM, "order_unanswered", "task attempt endpoint",
    "the order to start task {task} on {endpoint} got no answer" },
};

static const char *host_name = "";
static GString *lines;       /* of all classes but that of orders; NULL before event_setup () */
static GString *order_lines; /* are not written later than the next event_flush () */
static GString *open_line;   /* the buffer that a line is being added to, or NULL */
static GString *cut_line;    /* the buffer whose first line has been written in part, or NULL */
static int64_t window_start_ms;
static int64_t window_line_counts[EVENT_CLASS_COUNT];
static int64_t dropped_counts[EVENT_CLASS_COUNT]; /* since the last EVENT_LINES_LEFT_OUT */
static int64_t total_dropped;
static int64_t total_written;
static int64_t flushed_at_ms;
static int64_t timestamp_s;
static char timestamp[32];

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
  if (lines != NULL)
    return;
  lines = g_string_sized_new (BUFFER_MAX_BYTES / 8);
  order_lines = g_string_sized_new (BUFFER_MAX_BYTES / 8);
  int pipe_bytes = fcntl (STDOUT_FILENO, F_GETPIPE_SZ);
  if (pipe_bytes > 0 && pipe_bytes < PIPE_BYTES)
    (void) fcntl (STDOUT_FILENO, F_SETPIPE_SZ, PIPE_BYTES);
}

static bool
has_room (event_class_t class)
{
  return class == EVENT_CLASS_ORDER ? order_lines->len <= ORDERS_MAX_BYTES
                                    : lines->len <= BUFFER_MAX_BYTES;
}

static bool
is_within_rate_limit (event_class_t class, int64_t now_ms)
{
  int64_t all = 0;

  if (now_ms - window_start_ms >= RATE_WINDOW_MS)
    {
      window_start_ms = now_ms;
      memset (window_line_counts, 0, sizeof window_line_counts);
    }
  if (class == EVENT_CLASS_ORDER)
    return window_line_counts[class] < ORDER_LINES_PER_S;
  for (int i = EVENT_CLASS_ROUTINE; i <= EVENT_CLASS_STATE; i++)
    all += window_line_counts[i];
  if (class == EVENT_CLASS_ROUTINE)
    return window_line_counts[class] < ROUTINE_LINES_PER_S && all < TOTAL_LINES_PER_S;
  /* Lines about state are few; their higher limit keeps them when problem lines
   * have used up the common limit. */
  return class == EVENT_CLASS_STATE ? all < 2 * TOTAL_LINES_PER_S : all < TOTAL_LINES_PER_S;
}

static void
add_timestamp (int64_t wall_ms)
{
  if (wall_ms / 1000 != timestamp_s)
    {
      time_t second = (time_t) (wall_ms / 1000);
      struct tm parts;
      timestamp_s = wall_ms / 1000;
      gmtime_r (&second, &parts);
      strftime (timestamp, sizeof timestamp, "%Y-%m-%dT%H:%M:%S", &parts);
    }
  g_string_append_printf (open_line, "{\"at\":\"%s.%03dZ\"", timestamp, (int) (wall_ms % 1000));
}

bool
event_begin (event_t event)
{
  const event_row_t *row = event_row (event);
  int64_t now_ms = clock_boot_ms ();

  if (lines == NULL)
    return false;
  if (!has_room (row->class) || !is_within_rate_limit (row->class, now_ms))
    {
      dropped_counts[row->class]++;
      total_dropped++;
      return false;
    }
  window_line_counts[row->class]++;
  total_written++;
  open_line = row->class == EVENT_CLASS_ORDER ? order_lines : lines;
  add_timestamp (clock_wall_ms ());
  event_add_text ("host_id", host_name);
  event_add_text ("event", row->name);
  return true;
}

static bool
needs_no_escape (const char *text)
{
  for (const char *at = text; *at != '\0'; at++)
    if ((unsigned char) *at < 0x20 || *at == '"' || *at == '\\')
      return false;
  return true;
}

static void
append_escaped (const char *text)
{
  for (const char *at = text; *at != '\0'; at++)
    if ((unsigned char) *at < 0x20)
      g_string_append_printf (open_line, "\\u%04x", (unsigned) *at);
    else if (*at == '"' || *at == '\\')
      g_string_append_printf (open_line, "\\%c", *at);
    else
      g_string_append_c (open_line, *at);
}

/* JSON is UTF-8: other bytes are replaced by U+FFFD. */
void
event_add_text (const char *field, const char *value)
{
  char *valid = NULL;

  assert (open_line != NULL);
  if (value == NULL)
    value = "";
  if (!g_utf8_validate (value, -1, NULL))
    value = valid = g_utf8_make_valid (value, -1);
  g_string_append_printf (open_line, ",\"%s\":\"", field);
  if (needs_no_escape (value))
    g_string_append (open_line, value);
  else
    append_escaped (value);
  g_string_append_c (open_line, '"');
  g_free (valid);
}

void
event_add_number (const char *field, int64_t value)
{
  assert (open_line != NULL);
  g_string_append_printf (open_line, ",\"%s\":%" G_GINT64_FORMAT, field, value);
}

void
event_end (void)
{
  assert (open_line != NULL);
  g_string_append (open_line, "}\n");
  open_line = NULL;
}

static void
report_dropped_lines (void)
{
  int64_t dropped = 0;

  for (int i = 0; i < EVENT_CLASS_COUNT; i++)
    dropped += dropped_counts[i];
  if (dropped == 0 || !has_room (EVENT_CLASS_STATE) || !event_begin (EVENT_LINES_LEFT_OUT))
    return;
  event_add_number ("routine", dropped_counts[EVENT_CLASS_ROUTINE]);
  event_add_number ("trouble", dropped_counts[EVENT_CLASS_PROBLEM]);
  event_add_number ("belief", dropped_counts[EVENT_CLASS_STATE]);
  event_add_number ("order", dropped_counts[EVENT_CLASS_ORDER]);
  event_end ();
  memset (dropped_counts, 0, sizeof dropped_counts);
}

/* Writes BUFFER as far as standard output takes it.  Returns whether all is written. */
static bool
write_buffer (GString *buffer)
{
  gsize written = 0;

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
  if (written > 0)
    cut_line = buffer->str[written - 1] != '\n' ? buffer : NULL;
  g_string_erase (buffer, 0, (gssize) written);
  return buffer->len == 0;
}

void
event_flush (int64_t now_ms)
{
  if (lines == NULL)
    return;
  if (now_ms - window_start_ms >= RATE_WINDOW_MS)
    report_dropped_lines ();
  if (order_lines->len == 0 && (lines->len == 0 || now_ms - flushed_at_ms < FLUSH_INTERVAL_MS))
    return;
  flushed_at_ms = now_ms;
  if ((cut_line == NULL || write_buffer (cut_line)) && write_buffer (order_lines))
    (void) write_buffer (lines);
}

int64_t
event_written_count (void)
{
  return total_written;
}

int64_t
event_dropped_count (void)
{
  return total_dropped;
}
