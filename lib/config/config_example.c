/* config_example.c -- two editors on one base: the first one wins, at every reader */
#include "config/fold.h"

#include <inttypes.h>
#include <stdio.h>

static GBytes *
edit (const char *id, int64_t base, const char *plan)
{
  config_id_t edit_id = { { 0 } };
  config_entry_t *entry = config_entry_plan ("lantern", plan, 0);

  g_strlcpy ((char *) edit_id.bytes, id, sizeof edit_id.bytes);
  config_edits_t *edits = config_edits_new (&edit_id);
  config_edits_add (edits, CONFIG_PLAN, "lantern", base, entry);
  GBytes *record = config_edits_encode (edits);
  config_edits_free (edits);
  config_entry_unref (entry);
  return record;
}

int
main (void)
{
  GBytes *log[] = { edit ("first", -1, "gold"), edit ("second", -1, "silver") };
  config_fold_t *fold = config_fold_new (&config_rules);

  for (guint offset = 0; offset < G_N_ELEMENTS (log); offset++)
    {
      gsize size = 0;
      const void *data = g_bytes_get_data (log[offset], &size);
      config_fold_result_t result = config_fold_record (fold, offset, data, size);
      printf ("offset %u: %s\n", offset, result == CONFIG_FOLD_ACCEPTED ? "accepted" : "lost");
      g_bytes_unref (log[offset]);
    }
  const config_t *config = config_fold_config (fold);
  printf ("revision %" PRId64 ": lantern has %s\n", config_revision (config),
          config_plan_of (config, "lantern"));
  config_fold_free (fold);
  return 0;
}
