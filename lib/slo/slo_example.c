/* slo_example.c -- counts answers of one host and prints the merged report */
#include "base/error.h"
#include "slo/render.h"
#include "slo/report.h"

#include <stdio.h>

#define NOW_MS INT64_C (1767268800000)

int
main (void)
{
  slo_counters_t *counters = slo_counters_new ("a1", 7, NOW_MS - 7 * 60 * SLO_MINUTE_MS);
  json_object *report = json_object_new_object ();
  slo_merge_t *merge = slo_merge_new ();
  GString *text = g_string_new (NULL);

  for (int64_t minute = 60; minute >= 0; minute--)
    {
      int64_t at_ms = NOW_MS - minute * SLO_MINUTE_MS;
      slo_count_tasks (counters, "gold", "check", 0, false, 95, at_ms);
      slo_count_tasks (counters, "gold", "check", 0, true, 2, at_ms);
      slo_count_tasks (counters, "gold", "draft", ERROR_TASK_FAILED, false, 3, at_ms);
      slo_count_tasks (counters, "silver", "check", 0, false, 50, at_ms);
    }
  json_object_object_add (report, "host", json_object_new_string ("a1"));
  slo_report (counters, NOW_MS, report);
  slo_merge_add (merge, "127.0.0.1:8002", report);
  slo_merge_finish (merge, NOW_MS);
  slo_render_text (merge, text);
  printf ("%s", text->str);
  g_string_free (text, TRUE);
  slo_merge_free (merge);
  json_object_put (report);
  slo_counters_free (counters);
  return 0;
}
