/* test_removed_entries.c -- the endpoints whose entries were removed a short time ago */
#include "executor/removed_entries.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

typedef enum
{
  REMOVE, /* the entry is removed from the directory */
  RETURN  /* the directory has it again */
} change_t;

static const struct
{
  const char *name;
  struct
  {
    change_t change;
    const char *id;
    const char *shard;
    int64_t at_ms;
  } changes[3];
  size_t change_count;
  const char *asked_shard;
  int64_t asked_at_ms;
  const char *expected; /* ids, each followed by a space */
} cases[] = {
  { "nothing was removed", { { 0 } }, 0, "x", 0, "" },
  { "removed", { { REMOVE, "e0", "x", 10 } }, 1, "x", 20, "e0 " },
  { "of another shard", { { REMOVE, "e0", "x", 10 } }, 1, "y", 20, "" },
  { "registered again", { { REMOVE, "e0", "x", 10 }, { RETURN, "e0", "x", 15 } }, 2, "x", 20, "" },
  { "removed again",
    { { REMOVE, "e0", "x", 10 }, { RETURN, "e0", "x", 15 }, { REMOVE, "e0", "x", 16 } },
    3,
    "x",
    20,
    "e0 " },
  { "at the end of its time",
    { { REMOVE, "e0", "x", 10 } },
    1,
    "x",
    10 + REMOVED_ENTRY_RETENTION_MS,
    "e0 " },
  { "expired", { { REMOVE, "e0", "x", 10 } }, 1, "x", 11 + REMOVED_ENTRY_RETENTION_MS, "" },
  { "one of two has expired",
    { { REMOVE, "e0", "x", 10 }, { REMOVE, "e1", "x", 12 } },
    2,
    "x",
    11 + REMOVED_ENTRY_RETENTION_MS,
    "e1 " },
  { "its time begins anew with each removal",
    { { REMOVE, "e0", "x", 10 }, { REMOVE, "e0", "x", 20 } },
    2,
    "x",
    15 + REMOVED_ENTRY_RETENTION_MS,
    "e0 " },
};

static void
append_id (const executor_entry_t *entry, void *data)
{
  g_string_append_printf (data, "%s ", entry->endpoint.id);
}

static void
test_removed_entries (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      removed_entries_t *entries = removed_entries_new ();
      GString *found = g_string_new ("");

      for (size_t k = 0; k < cases[i].change_count; k++)
        {
          executor_entry_t entry = { .shard = (char *) cases[i].changes[k].shard,
                                     .endpoint = { .id = cases[i].changes[k].id,
                                                   .address = "127.0.0.1:1",
                                                   .service = "s",
                                                   .kind = "a",
                                                   .rack = "r" } };
          if (cases[i].changes[k].change == REMOVE)
            removed_entries_add (entries, &entry, cases[i].changes[k].at_ms);
          else
            removed_entries_forget (entries, entry.endpoint.id);
        }
      removed_entries_foreach (entries, cases[i].asked_shard, cases[i].asked_at_ms, append_id,
                               found);
      if (strcmp (found->str, cases[i].expected) != 0)
        printf ("  %s: %s\n", cases[i].name, found->str);
      CU_ASSERT_STRING_EQUAL (found->str, cases[i].expected);
      g_string_free (found, TRUE);
      removed_entries_free (entries);
    }
}

static const unit_test_t tests[] = {
  { "which endpoints a new owner has to ask", test_removed_entries },
};

int
main (void)
{
  return unit_run ("removed entries", tests, G_N_ELEMENTS (tests));
}
