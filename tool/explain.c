/* explain.c -- what hosts' logs say about one job, and the cause of its outcome
 *
 * All lines that change what a host believes, or tell of an endpoint, are kept until it is known
 * when the job was under way and which hosts and endpoints it met; then those that concern
 * it are joined to its own lines.  The cause is the first event by weight, of those that
 * can explain the outcome; the table below has the weights.
 */
#include "tool/explain.h"

#include "base/event.h"

#include <string.h>

/* A belief counts if it changed at most this long before the job's first line. */
#define BEFORE_S 2.0

typedef struct
{
  json_object *fields;
  const event_row_t *row;
  const char *at;
  double seconds; /* of the day, for differences */
  bool own;       /* it names the job */
} line_t;

struct explain_t
{
  char *id;
  GPtrArray *lines; /* line_t */
  char *cause;
};

/* What explains a missed job, the weightiest first, and how it is said before the sentence of
 * its event. */
static const struct
{
  event_t event;
  const char *why;
} causes[] = {
  { EVENT_JOB_INVALID, "The request was malformed." },
  { EVENT_JOB_UNSUPPORTED, "The request asks for what is not served." },
  { EVENT_JOB_ABANDONED, "The caller hung up before the answer." },
  { EVENT_STOOD_STILL, "Its host stood still." },
  { EVENT_TASK_FAILED, "A task failed where it ran." },
  { EVENT_TASK_HUNG, "A task stood still where it ran." },
  { EVENT_TASK_LAPSED, "A run was lost with the lease of its endpoint." },
  { EVENT_ORDER_UNANSWERED, "An order to an endpoint got no answer." },
  { EVENT_TASK_EXPIRED, "Endpoints had no room in time." },
  { EVENT_BATCH_MOVED, "Its tasks changed their owner." },
  { EVENT_HOST_LOST, "A host that it met was lost." },
  { EVENT_SHARD_YIELDED, "An owner gave up its endpoints." },
  { EVENT_ENDPOINT_SILENT, "An endpoint that it met stopped answering." },
  { EVENT_ENDPOINT_GONE, "An endpoint that it met left." },
  { EVENT_TASK_DOUBTFUL, "A task was started where it could hardly end in time." },
  { EVENT_TASK_MOVED, "A task was too slow where it ran." },
  { EVENT_TASK_CUT, "A task took longer than the time that was left." },
  { EVENT_JOB_MISSED, "The job was answered late." },
};

/* What a job that was refused on arrival met is no cause: the backlog decided. */
#define LIMIT_CAPACITY "capacity"
#define WHY_CAPACITY "The backlog was too long for the job when it came."

static void
free_line (void *data)
{
  line_t *line = data;

  json_object_put (line->fields);
  g_free (line);
}

explain_t *
explain_new (const char *id)
{
  explain_t *explain = g_new0 (explain_t, 1);

  explain->id = g_strdup (id);
  explain->lines = g_ptr_array_new_with_free_func (free_line);
  return explain;
}

void
explain_free (explain_t *explain)
{
  if (explain == NULL)
    return;
  g_ptr_array_unref (explain->lines);
  g_free (explain->cause);
  g_free (explain->id);
  g_free (explain);
}

static const char *
text_of (json_object *object, const char *key)
{
  json_object *value = NULL;

  return json_object_object_get_ex (object, key, &value) ? json_object_get_string (value) : "";
}

/* Seconds of the day of "2026-01-02T03:04:05.678Z"; negative if it is none. */
static double
seconds_of (const char *at)
{
  const char *clock = strchr (at, 'T');
  char *end = NULL;

  if (clock == NULL || strlen (clock) < strlen ("T00:00:00"))
    return -1;
  int64_t hours = g_ascii_strtoll (clock + 1, &end, 10);
  int64_t minutes = *end == ':' ? g_ascii_strtoll (end + 1, &end, 10) : 0;
  double seconds = *end == ':' ? g_ascii_strtod (end + 1, NULL) : 0;
  return (double) (hours * 3600 + minutes * 60) + seconds;
}

static bool
names_job (const explain_t *explain, json_object *fields)
{
  return strcmp (text_of (fields, "job"), explain->id) == 0
         || g_str_has_prefix (text_of (fields, "task"), explain->id);
}

void
explain_line (explain_t *explain, const char *text)
{
  const char *brace = strchr (text, '{');
  json_object *fields = brace != NULL ? json_tokener_parse (brace) : NULL;

  if (fields == NULL)
    return;
  const event_row_t *row = json_object_is_type (fields, json_type_object)
                               ? event_from_name (text_of (fields, "event"))
                               : NULL;
  bool own = row != NULL && names_job (explain, fields);
  bool around = row != NULL && row->class != EVENT_CLASS_ROUTINE && *text_of (fields, "job") == '\0'
                && *text_of (fields, "task") == '\0';
  if (!own && !around)
    {
      json_object_put (fields);
      return;
    }
  line_t *line = g_new0 (line_t, 1);
  line->fields = fields;
  line->row = row;
  line->at = text_of (fields, "at");
  line->seconds = seconds_of (line->at);
  line->own = own;
  g_ptr_array_add (explain->lines, line);
}

static int
compare_lines (const void *a, const void *b)
{
  const line_t *x = *(line_t *const *) a;
  const line_t *y = *(line_t *const *) b;

  return strcmp (x->at, y->at);
}

/* True if LINE is about something that the job's own lines name. */
static bool
is_met (GHashTable *met, const line_t *line)
{
  static const char *const keys[] = { "host_id", "host", "endpoint" };
  const char *endpoint = text_of (line->fields, "endpoint");

  if (*endpoint != '\0')
    return g_hash_table_contains (met, endpoint);
  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    if (g_hash_table_contains (met, text_of (line->fields, keys[i])))
      return true;
  return false;
}

static void
note_met (GHashTable *met, const line_t *line)
{
  static const char *const keys[] = { "host_id", "host", "endpoint" };

  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    if (*text_of (line->fields, keys[i]) != '\0')
      g_hash_table_add (met, (void *) text_of (line->fields, keys[i]));
}

/* The sentence of LINE, its fields filled in. */
static char *
sentence_of (const line_t *line)
{
  GString *text = g_string_new (NULL);

  for (const char *at = line->row->message_template; *at != '\0';)
    {
      const char *close = *at == '{' ? strchr (at, '}') : NULL;
      if (close == NULL)
        {
          g_string_append_c (text, *at++);
          continue;
        }
      char *name = g_strndup (at + 1, (gsize) (close - at - 1));
      g_string_append (text, text_of (line->fields, name));
      g_free (name);
      at = close + 1;
    }
  return g_string_free (text, FALSE);
}

static const line_t *
find_event (const explain_t *explain, event_t event)
{
  for (guint i = explain->lines->len; i-- > 0;)
    {
      const line_t *line = explain->lines->pdata[i];
      if (line->row->event == event)
        return line;
    }
  return NULL;
}

static void
set_cause (explain_t *explain, const char *why, const line_t *line)
{
  char *sentence = sentence_of (line);

  explain->cause = g_strdup_printf ("%s %s: %s.", why, line->at, sentence);
  g_free (sentence);
}

static void
find_cause (explain_t *explain)
{
  const line_t *missed = find_event (explain, EVENT_JOB_MISSED);

  if (missed != NULL && strcmp (text_of (missed->fields, "limit"), LIMIT_CAPACITY) == 0)
    {
      set_cause (explain, WHY_CAPACITY, missed);
      return;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (causes); i++)
    {
      const line_t *line = find_event (explain, causes[i].event);
      if (line == NULL)
        continue;
      set_cause (explain, causes[i].why, line);
      return;
    }
  explain->cause =
      g_strdup (explain->lines->len > 0 ? "Nothing out of the ordinary was logged for this job."
                                        : "No line names this job.");
}

size_t
explain_finish (explain_t *explain)
{
  GHashTable *met = g_hash_table_new (g_str_hash, g_str_equal);
  double first = -1;
  double last = -1;
  size_t own = 0;

  g_ptr_array_sort (explain->lines, compare_lines);
  for (guint i = 0; i < explain->lines->len; i++)
    {
      const line_t *line = explain->lines->pdata[i];
      if (!line->own)
        continue;
      own++;
      note_met (met, line);
      first = first < 0 ? line->seconds : first;
      last = line->seconds;
    }
  for (guint i = explain->lines->len; i-- > 0;)
    {
      const line_t *line = explain->lines->pdata[i];
      bool near = line->seconds >= first - BEFORE_S && line->seconds <= last;
      if (!line->own && (own == 0 || !near || !is_met (met, line)))
        g_ptr_array_remove_index (explain->lines, i);
    }
  g_hash_table_unref (met);
  find_cause (explain);
  return own;
}

void
explain_print (const explain_t *explain, GString *text)
{
  for (guint i = 0; i < explain->lines->len; i++)
    {
      const line_t *line = explain->lines->pdata[i];
      char *sentence = sentence_of (line);
      g_string_append_printf (text, "%s  %s\n", line->at, sentence);
      g_free (sentence);
    }
  g_string_append_printf (text, "Cause: %s\n", explain->cause);
}

json_object *
explain_json (const explain_t *explain)
{
  json_object *result = json_object_new_object ();
  json_object *lines = json_object_new_array ();

  for (guint i = 0; i < explain->lines->len; i++)
    json_object_array_add (lines, json_object_get (((line_t *) explain->lines->pdata[i])->fields));
  json_object_object_add (result, "job", json_object_new_string (explain->id));
  json_object_object_add (result, "cause", json_object_new_string (explain->cause));
  json_object_object_add (result, "lines", lines);
  return result;
}

const char *
explain_cause (const explain_t *explain)
{
  return explain->cause;
}
