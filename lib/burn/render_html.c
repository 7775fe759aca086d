/* render_html.c -- a merged burn report as one HTML file with inline SVG */
#include "burn/render.h"

#define PLOT_WIDTH 720
#define PLOT_HEIGHT 80
#define PERCENT 100.0
#define PPM_PER_PERCENT 10000.0

static const char head[] =
    "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
    "<title>Service-level burn</title>\n<style>\n"
    "body{font:15px sans-serif;margin:2em;max-width:60em}\n"
    "table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right}\n"
    "td:first-child,th:first-child,td:last-child,th:last-child{text-align:left}\n"
    "tr{border-bottom:1px solid #ccc}svg{border:1px solid #ccc}\n"
    ".fine{color:#176b2c}.slow{color:#8a5a00}.fast{color:#b00020;font-weight:bold}\n"
    "</style></head><body>\n<h1>Service-level burn</h1>\n";

static const char *const styles[] = {
  [BURN_FINE] = "fine",
  [BURN_SLOW] = "slow",
  [BURN_FAST] = "fast",
};

static void
append_escaped (GString *out, const char *text)
{
  char *escaped = g_markup_escape_text (text, -1);

  g_string_append (out, escaped);
  g_free (escaped);
}

static void
table_row (const merge_plan_t *plan, GString *out)
{
  char *cause = render_cause (plan);

  g_string_append (out, "<tr><td>");
  append_escaped (out, plan->name);
  g_string_append_printf (
      out, "</td><td class=\"%s\">%s</td><td>%.2f%% in %" G_GINT64_FORMAT " ms</td><td>%.1f%%</td>",
      styles[plan->alert], burn_alert_name (plan->alert), plan->objective_ppm / PPM_PER_PERCENT,
      plan->target_ms,
      PERCENT * MAX (burn_budget_left (&plan->sums[BURN_6_HOURS], plan->objective_ppm), 0));
  for (int w = 0; w < BURN_WINDOWS; w++)
    g_string_append_printf (out, "<td>%.2f</td>", burn_rate (&plan->sums[w], plan->objective_ppm));
  g_string_append (out, "<td>");
  append_escaped (out, cause);
  g_string_append (out, "</td></tr>\n");
  g_free (cause);
}

/* Bars of good and bad tasks for each five minutes; bad ones on top, at least a
 * pixel high where there are any. */
static void
plot (const merge_plan_t *plan, GString *out)
{
  int64_t most = 1;
  double width = (double) PLOT_WIDTH / MERGE_POINTS;

  for (int i = 0; i < MERGE_POINTS; i++)
    most = MAX (most, plan->good[i] + plan->bad[i]);
  g_string_append (out, "<h2>");
  append_escaped (out, plan->name);
  g_string_append_printf (out,
                          "</h2><p>Tasks in five minutes over six hours, at most %" G_GINT64_FORMAT
                          "; bad ones in red.</p>\n<svg width=\"%d\" height=\"%d\">",
                          most, PLOT_WIDTH, PLOT_HEIGHT);
  for (int i = 0; i < MERGE_POINTS; i++)
    {
      double good = (double) plan->good[i] * PLOT_HEIGHT / (double) most;
      double bad = (double) plan->bad[i] * PLOT_HEIGHT / (double) most;
      bad = plan->bad[i] > 0 ? MAX (bad, 1) : 0;
      if (plan->good[i] > 0)
        g_string_append_printf (out,
                                "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" "
                                "fill=\"#7fb58a\"/>",
                                i * width, PLOT_HEIGHT - good, width - 1, good);
      if (plan->bad[i] > 0)
        g_string_append_printf (out,
                                "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" "
                                "fill=\"#b00020\"/>",
                                i * width, MAX (PLOT_HEIGHT - good - bad, 0), width - 1, bad);
    }
  g_string_append (out, "</svg>\n");
}

static void
list_unknowns (const merge_t *merge, GString *out)
{
  const GPtrArray *unknowns = merge_unknowns (merge);

  if (unknowns->len == 0)
    return;
  g_string_append (out, "<h2>Not known</h2><ul>\n");
  for (guint i = 0; i < unknowns->len; i++)
    {
      g_string_append (out, "<li>");
      append_escaped (out, g_ptr_array_index (unknowns, i));
      g_string_append (out, "</li>\n");
    }
  g_string_append (out, "</ul>\n");
}

void
render_html (const merge_t *merge, GString *out)
{
  const GPtrArray *plans = merge_plans (merge);
  GDateTime *when = g_date_time_new_from_unix_utc (merge_now_ms (merge) / 1000);
  char *text = g_date_time_format (when, "%Y-%m-%d %H:%M:%S UTC");

  g_string_append (out, head);
  g_string_append_printf (out,
                          "<p>%s</p>\n<table><tr><th>plan</th><th>state</th><th>objective</th>"
                          "<th>budget left (6 h)</th><th>rate 5 min</th><th>rate 1 h</th>"
                          "<th>rate 6 h</th><th>cause</th></tr>\n",
                          text);
  for (guint i = 0; i < plans->len; i++)
    table_row (g_ptr_array_index (plans, i), out);
  g_string_append (out, "</table>\n");
  for (guint i = 0; i < plans->len; i++)
    plot (g_ptr_array_index (plans, i), out);
  list_unknowns (merge, out);
  g_string_append (out, "</body></html>\n");
  g_free (text);
  g_date_time_unref (when);
}
