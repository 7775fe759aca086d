/* state.c -- a configuration as copy-on-write shards of sorted entries */
#include "config/state.h"

#include "base/hash.h"

#include <string.h>

/* With 256 shards, a change to a configuration of 100,000 entries copies about 400
 * pointers. */
#define PLAN_SHARDS 256
#define SHARD_SPARE_CAPACITY 4

typedef struct
{
  gatomicrefcount refs;
  guint count;
  guint capacity;
  config_entry_t **entries; /* sorted by name */
} shard_t;

/* A shard that is NULL is empty. */
struct config_t
{
  gatomicrefcount refs;
  int64_t revision;
  size_t plan_count;
  shard_t *limits;
  shard_t *plans[PLAN_SHARDS];
};

static config_entry_t *
entry_alloc (config_kind_t kind, const char *name, size_t extra_bytes, int64_t revision)
{
  size_t name_size = strlen (name) + 1;
  config_entry_t *entry = g_malloc0 (sizeof *entry + extra_bytes + name_size);
  g_atomic_ref_count_init (&entry->refs);
  entry->kind = kind;
  entry->revision = revision;
  entry->name = (char *) (entry + 1) + extra_bytes;
  memcpy (entry->name, name, name_size);
  return entry;
}

config_entry_t *
config_entry_plan (const char *customer, const char *plan, int64_t revision)
{
  size_t plan_size = strlen (plan) + 1;
  config_entry_t *entry = entry_alloc (CONFIG_PLAN, customer, plan_size, revision);
  entry->value.plan = (char *) (entry + 1);
  memcpy (entry->value.plan, plan, plan_size);
  return entry;
}

config_entry_t *
config_entry_limit (const config_limit_t *limit, int64_t revision)
{
  config_entry_t *entry = entry_alloc (CONFIG_LIMIT, limit->plan, sizeof *limit, revision);
  entry->value.limit = (config_limit_t *) (entry + 1);
  *entry->value.limit = *limit;
  entry->value.limit->plan = entry->name;
  return entry;
}

config_entry_t *
config_entry_ref (config_entry_t *entry)
{
  g_atomic_ref_count_inc (&entry->refs);
  return entry;
}

void
config_entry_unref (config_entry_t *entry)
{
  if (g_atomic_ref_count_dec (&entry->refs))
    g_free (entry);
}

static bool
limit_equal (const config_limit_t *a, const config_limit_t *b)
{
  return a->running_max == b->running_max && a->starts_per_s_max == b->starts_per_s_max
         && a->weight == b->weight && a->target_ms == b->target_ms
         && a->objective_ppm == b->objective_ppm;
}

bool
config_entry_equal (const config_entry_t *a, const config_entry_t *b)
{
  if (a->kind != b->kind || strcmp (a->name, b->name) != 0)
    return false;
  if (a->kind == CONFIG_PLAN)
    return strcmp (a->value.plan, b->value.plan) == 0;
  return limit_equal (a->value.limit, b->value.limit);
}

static shard_t *
shard_ref (shard_t *shard)
{
  if (shard)
    g_atomic_ref_count_inc (&shard->refs);
  return shard;
}

static void
shard_unref (shard_t *shard)
{
  if (shard == NULL || !g_atomic_ref_count_dec (&shard->refs))
    return;
  for (guint i = 0; i < shard->count; i++)
    config_entry_unref (shard->entries[i]);
  g_free (shard->entries);
  g_free (shard);
}

/* Returns a copy with room for further entries.  NULL counts as an empty shard. */
static shard_t *
shard_copy (const shard_t *shard)
{
  shard_t *copy = g_new0 (shard_t, 1);
  g_atomic_ref_count_init (&copy->refs);
  copy->count = shard ? shard->count : 0;
  copy->capacity = copy->count + SHARD_SPARE_CAPACITY;
  copy->entries = g_new (config_entry_t *, copy->capacity);
  for (guint i = 0; i < copy->count; i++)
    copy->entries[i] = config_entry_ref (shard->entries[i]);
  return copy;
}

/* Binary search.  Sets *POSITION to the index of NAME, or to where it would be
 * inserted, and returns whether it was found. */
static bool
shard_search (const shard_t *shard, const char *name, guint *position)
{
  guint low = 0;
  guint high = shard ? shard->count : 0;
  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      int order = strcmp (shard->entries[middle]->name, name);
      if (order == 0)
        {
          *position = middle;
          return true;
        }
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  *position = low;
  return false;
}

static void
shard_insert (shard_t *shard, guint position, config_entry_t *entry)
{
  if (shard->count == shard->capacity)
    {
      shard->capacity = MAX (SHARD_SPARE_CAPACITY, shard->capacity * 2);
      shard->entries = g_renew (config_entry_t *, shard->entries, shard->capacity);
    }
  memmove (&shard->entries[position + 1], &shard->entries[position],
           (shard->count - position) * sizeof (config_entry_t *));
  shard->entries[position] = entry;
  shard->count++;
}

static void
shard_delete (shard_t *shard, guint position)
{
  config_entry_unref (shard->entries[position]);
  shard->count--;
  memmove (&shard->entries[position], &shard->entries[position + 1],
           (shard->count - position) * sizeof (config_entry_t *));
}

config_t *
config_new (void)
{
  config_t *config = g_new0 (config_t, 1);
  g_atomic_ref_count_init (&config->refs);
  return config;
}

config_t *
config_ref (config_t *config)
{
  g_atomic_ref_count_inc (&config->refs);
  return config;
}

void
config_unref (config_t *config)
{
  if (config == NULL || !g_atomic_ref_count_dec (&config->refs))
    return;
  shard_unref (config->limits);
  for (guint i = 0; i < PLAN_SHARDS; i++)
    shard_unref (config->plans[i]);
  g_free (config);
}

static guint
shard_index (const char *name)
{
  return hash_string (name) % PLAN_SHARDS;
}

static const shard_t *
shard_of (const config_t *config, config_kind_t kind, const char *name)
{
  return kind == CONFIG_LIMIT ? config->limits : config->plans[shard_index (name)];
}

/* Replaces *CONFIG by a copy if it has other references. */
static void
config_make_unique (config_t **config)
{
  if (g_atomic_ref_count_compare (&(*config)->refs, 1))
    return;
  config_t *copy = config_new ();
  copy->revision = (*config)->revision;
  copy->plan_count = (*config)->plan_count;
  copy->limits = shard_ref ((*config)->limits);
  for (guint i = 0; i < PLAN_SHARDS; i++)
    copy->plans[i] = shard_ref ((*config)->plans[i]);
  config_unref (*config);
  *config = copy;
}

/* Replaces *CONFIG and its shard of NAME by copies if they have other references.
 * Returns the shard. */
static shard_t *
shard_make_unique (config_t **config, config_kind_t kind, const char *name)
{
  config_make_unique (config);
  shard_t **slot =
      kind == CONFIG_LIMIT ? &(*config)->limits : &(*config)->plans[shard_index (name)];
  if (*slot && g_atomic_ref_count_compare (&(*slot)->refs, 1))
    return *slot;
  shard_t *copy = shard_copy (*slot);
  shard_unref (*slot);
  *slot = copy;
  return copy;
}

void
config_put (config_t **config, config_entry_t *entry)
{
  shard_t *shard = shard_make_unique (config, entry->kind, entry->name);
  guint position = 0;
  config_entry_ref (entry);
  if (shard_search (shard, entry->name, &position))
    {
      config_entry_unref (shard->entries[position]);
      shard->entries[position] = entry;
      return;
    }
  shard_insert (shard, position, entry);
  if (entry->kind == CONFIG_PLAN)
    (*config)->plan_count++;
}

void
config_remove (config_t **config, config_kind_t kind, const char *name)
{
  guint position = 0;
  if (!shard_search (shard_of (*config, kind, name), name, &position))
    return;
  shard_delete (shard_make_unique (config, kind, name), position);
  if (kind == CONFIG_PLAN)
    (*config)->plan_count--;
}

void
config_set_revision (config_t **config, int64_t revision)
{
  config_make_unique (config);
  (*config)->revision = revision;
}

config_entry_t *
config_find (const config_t *config, config_kind_t kind, const char *name)
{
  const shard_t *shard = shard_of (config, kind, name);
  guint position = 0;
  return shard_search (shard, name, &position) ? shard->entries[position] : NULL;
}

size_t
config_count (const config_t *config, config_kind_t kind)
{
  if (kind == CONFIG_PLAN)
    return config->plan_count;
  return config->limits ? config->limits->count : 0;
}

static void
append_entries (const shard_t *shard, GPtrArray *entries)
{
  for (guint i = 0; shard && i < shard->count; i++)
    g_ptr_array_add (entries, config_entry_ref (shard->entries[i]));
}

static int
compare_entries (gconstpointer a, gconstpointer b)
{
  const config_entry_t *left = *(config_entry_t *const *) a;
  const config_entry_t *right = *(config_entry_t *const *) b;
  return strcmp (left->name, right->name);
}

GPtrArray *
config_entries (const config_t *config, config_kind_t kind)
{
  GPtrArray *entries = g_ptr_array_new_with_free_func ((GDestroyNotify) config_entry_unref);
  if (kind == CONFIG_LIMIT)
    append_entries (config->limits, entries);
  for (guint i = 0; kind == CONFIG_PLAN && i < PLAN_SHARDS; i++)
    append_entries (config->plans[i], entries);
  g_ptr_array_sort (entries, compare_entries);
  return entries;
}

int64_t
config_revision (const config_t *config)
{
  return config->revision;
}

const char *
config_plan_of (const config_t *config, const char *customer)
{
  const config_entry_t *entry = config_find (config, CONFIG_PLAN, customer);
  return entry ? entry->value.plan : NULL;
}

const config_limit_t *
config_limit_of (const config_t *config, const char *plan)
{
  const config_entry_t *entry = config_find (config, CONFIG_LIMIT, plan);
  return entry ? entry->value.limit : NULL;
}

void
config_foreach_limit (const config_t *config,
                      void (*each) (const config_limit_t *limit, void *data),
                      void *data)
{
  for (guint i = 0; config->limits && i < config->limits->count; i++)
    each (config->limits->entries[i]->value.limit, data);
}
