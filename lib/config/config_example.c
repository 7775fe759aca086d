/* config_example.c -- two conflicting edits with one base offset: all readers accept the first */
#include "config/replica.h"

#include <inttypes.h>
#include <stdio.h>

static GBytes *
encode_edit (const char *id, int64_t base_offset, const char *plan)
{
  config_publication_id_t edit_id = { { 0 } };
  config_entry_t *entry = config_entry_plan ("lantern", plan, 0);

  g_strlcpy ((char *) edit_id.bytes, id, sizeof edit_id.bytes);
  config_edits_t *edits = config_edits_new (&edit_id);
  config_edits_add (edits, CONFIG_PLAN, "lantern", base_offset, entry);
  GBytes *record = config_edits_encode (edits);
  config_edits_free (edits);
  config_entry_unref (entry);
  return record;
}

int
main (void)
{
  GBytes *log[] = { encode_edit ("first", -1, "gold"), encode_edit ("second", -1, "silver") };
  config_replica_t *replica = config_replica_new (&config_rules_all);

  for (guint offset = 0; offset < G_N_ELEMENTS (log); offset++)
    {
      gsize size = 0;
      const void *data = g_bytes_get_data (log[offset], &size);
      config_apply_result_t result = config_replica_apply (replica, offset, data, size);
      printf ("offset %u: %s\n", offset, result == CONFIG_APPLY_ACCEPTED ? "accepted" : "rejected");
      g_bytes_unref (log[offset]);
    }
  const config_t *config = config_replica_config (replica);
  printf ("revision %" PRId64 ": lantern has %s\n", config_revision (config),
          config_plan_of (config, "lantern"));
  config_replica_free (replica);
  return 0;
}
