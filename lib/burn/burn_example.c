/* burn_example.c -- counts some answers and prints the report that follows from them */
#include "base/error.h"
#include "burn/render.h"
#include "burn/report.h"

#include <stdio.h>

#define NOW_MS INT64_C (1767268800000)

int
main (void)
{
  burn_t *burn = burn_new ("a1", 7, NOW_MS - 7 * 60 * BURN_MINUTE_MS);
  json_object *report = json_object_new_object ();
  merge_t *merge = merge_new ();
  GString *text = g_string_new (NULL);

  for (int64_t minute = 60; minute >= 0; minute--)
    {
      int64_t at_ms = NOW_MS - minute * BURN_MINUTE_MS;
      burn_count (burn, "gold", "check", 0, false, 95, at_ms);
      burn_count (burn, "gold", "check", 0, true, 2, at_ms);
      burn_count (burn, "gold", "draft", ERROR_TASK_FAILED, false, 3, at_ms);
      burn_count (burn, "silver", "check", 0, false, 50, at_ms);
    }
  json_object_object_add (report, "host", json_object_new_string ("a1"));
  burn_report (burn, NOW_MS, report);
  merge_add (merge, "127.0.0.1:8002", report);
  merge_finish (merge, NOW_MS);
  render_text (merge, text);
  printf ("%s", text->str);
  g_string_free (text, TRUE);
  merge_free (merge);
  json_object_put (report);
  burn_free (burn);
  return 0;
}
