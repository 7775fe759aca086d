/* render_html.c -- renders a merged report as one HTML file with inline SVG */
#include "slo/render.h"

#define PLOT_WIDTH 720
#define PLOT_HEIGHT 80
#define PERCENT 100.0
#define PPM_PER_PERCENT 10000.0

static const char page_header[] =
    "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
    "<title>Service-level burn</title>\n<style>\n"
    "body{font:15px sans-serif;margin:2em;max-width:60em}\n"
    "table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right}\n"
    "td:first-child,th:first-child,td:last-child,th:last-child{text-align:left}\n"
    "tr{border-bottom:1px solid #ccc}svg{border:1px solid #ccc}\n"
    ".fine{color:#176b2c}.slow{color:#8a5a00}.fast{color:#b00020;font-weight:bold}\n"
    "</style></head><body>\n<h1>Service-level burn</h1>\n";

static const char *const alert_styles[] = {
  [SLO_ALERT_NONE] = "fine",
  [SLO_ALERT_SLOW_BURN] = "slow",
  [SLO_ALERT_FAST_BURN] = "fast",
};

static void
append_escaped (GString *out, const char *text)
{
  char *escaped = g_markup_escape_text (text, -1);

  g_string_append (out, escaped);
  g_free (escaped);
}

static void
append_table_row (const slo_merge_plan_t *plan, GString *out)
{
  char *cause = slo_render_cause (plan);

  g_string_append (out, "<tr><td>");
  append_escaped (out, plan->name);
  g_string_append_printf (
      out, "</td><td class=\"%s\">%s</td><td>%.2f%% in %" G_GINT64_FORMAT " ms</td><td>%.1f%%</td>",
      alert_styles[plan->alert], slo_alert_name (plan->alert),
      plan->objective_ppm / PPM_PER_PERCENT, plan->target_ms,
      PERCENT * MAX (slo_budget_left (&plan->totals[SLO_WINDOW_6_HOURS], plan->objective_ppm), 0));
  for (int w = 0; w < SLO_WINDOWS; w++)
    g_string_append_printf (out, "<td>%.2f</td>",
                            slo_burn_rate (&plan->totals[w], plan->objective_ppm));
  g_string_append (out, "<td>");
  append_escaped (out, cause);
  g_string_append (out, "</td></tr>\n");
  g_free (cause);
}

/* Plots a stacked bar of good and bad tasks for each five minutes, with the bad ones
 * on top.  A bar of bad tasks is at least one pixel high so that it can be seen. */
static void
append_plot (const slo_merge_plan_t *plan, GString *out)
{
  int64_t max_tasks = 1;
  double width = (double) PLOT_WIDTH / SLO_MERGE_POINTS;

  for (int i = 0; i < SLO_MERGE_POINTS; i++)
    max_tasks = MAX (max_tasks, plan->good_tasks[i] + plan->bad_tasks[i]);
  g_string_append (out, "<h2>");
  append_escaped (out, plan->name);
  g_string_append_printf (out,
                          "</h2><p>Tasks in five minutes over six hours, at most %" G_GINT64_FORMAT
                          "; bad ones in red.</p>\n<svg width=\"%d\" height=\"%d\">",
                          max_tasks, PLOT_WIDTH, PLOT_HEIGHT);
  for (int i = 0; i < SLO_MERGE_POINTS; i++)
    {
      double good = (double) plan->good_tasks[i] * PLOT_HEIGHT / (double) max_tasks;
      double bad = (double) plan->bad_tasks[i] * PLOT_HEIGHT / (double) max_tasks;
      bad = plan->bad_tasks[i] > 0 ? MAX (bad, 1) : 0;
      if (plan->good_tasks[i] > 0)
        g_string_append_printf (out,
                                "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" "
                                "fill=\"#7fb58a\"/>",
                                i * width, PLOT_HEIGHT - good, width - 1, good);
      if (plan->bad_tasks[i] > 0)
        g_string_append_printf (out,
                                "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" "
                                "fill=\"#b00020\"/>",
                                i * width, MAX (PLOT_HEIGHT - good - bad, 0), width - 1, bad);
    }
  g_string_append (out, "</svg>\n");
}

static void
append_gaps (const slo_merge_t *merge, GString *out)
{
  const GPtrArray *gaps = slo_merge_gaps (merge);

  if (gaps->len == 0)
    return;
  g_string_append (out, "<h2>Not known</h2><ul>\n");
  for (guint i = 0; i < gaps->len; i++)
    {
      g_string_append (out, "<li>");
      append_escaped (out, g_ptr_array_index (gaps, i));
      g_string_append (out, "</li>\n");
    }
  g_string_append (out, "</ul>\n");
}

void
slo_render_html (const slo_merge_t *merge, GString *out)
{
  const GPtrArray *plans = slo_merge_plans (merge);
  GDateTime *when = g_date_time_new_from_unix_utc (slo_merge_now_ms (merge) / 1000);
  char *time_text = g_date_time_format (when, "%Y-%m-%d %H:%M:%S UTC");

  g_string_append (out, page_header);
  g_string_append_printf (out,
                          "<p>%s</p>\n<table><tr><th>plan</th><th>state</th><th>objective</th>"
                          "<th>budget left (6 h)</th><th>rate 5 min</th><th>rate 1 h</th>"
                          "<th>rate 6 h</th><th>cause</th></tr>\n",
                          time_text);
  for (guint i = 0; i < plans->len; i++)
    append_table_row (g_ptr_array_index (plans, i), out);
  g_string_append (out, "</table>\n");
  for (guint i = 0; i < plans->len; i++)
    append_plot (g_ptr_array_index (plans, i), out);
  append_gaps (merge, out);
  g_string_append (out, "</body></html>\n");
  g_free (time_text);
  g_date_time_unref (when);
}
