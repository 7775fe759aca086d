/* roster.c -- which hosts there are, and which of them are the hubs of their data centre
 *
 * A host counts while it is heard, and for PENDING_MS from when it is first counted on: hosts that
 * have just started have not heard anybody.  One that stays silent is absent; it is tried again
 * from time to time beside the hubs, without taking the place of one.
 */
#include "crew/roster.h"

#include "base/hash.h"

#include <glib.h>
#include <string.h>

/* A host that is counted on has this long to be heard. */
#define PENDING_MS 1000
/* An absent host is tried again after this. */
#define RETRY_MS 5000

typedef struct
{
  const char *host;        /* interned */
  const char *data_centre; /* interned */
  int32_t power;
  uint64_t weight;
  bool present;
  bool missed;            /* it was counted on and not heard, or lost */
  int64_t wanted_from_ms; /* 0 while it is not counted on */
  int64_t retry_at_ms;
  int32_t place;
  bool hub;
} member_t;

struct roster_t
{
  const char *host;
  int32_t hubs;
  GHashTable *by_host; /* interned host -> member_t, which MEMBERS owns */
  GPtrArray *members;  /* in their order, once they are ranked */
  bool sorted;
  bool small;
};

roster_t *
roster_new (const char *host, const char *data_centre, int32_t power, int32_t hubs)
{
  roster_t *roster = g_new0 (roster_t, 1);

  roster->host = g_intern_string (host);
  roster->hubs = hubs;
  roster->by_host = g_hash_table_new (NULL, NULL);
  roster->members = g_ptr_array_new_with_free_func (g_free);
  roster_know (roster, host, data_centre, power);
  roster_set_present (roster, host, true, 0);
  roster_rank (roster, 0);
  return roster;
}

void
roster_free (roster_t *roster)
{
  if (roster == NULL)
    return;
  g_hash_table_unref (roster->by_host);
  g_ptr_array_unref (roster->members);
  g_free (roster);
}

static member_t *
find (const roster_t *roster, const char *host)
{
  return g_hash_table_lookup (roster->by_host, g_intern_string (host));
}

void
roster_know (roster_t *roster, const char *host, const char *data_centre, int32_t power)
{
  member_t *member = find (roster, host);
  const char *interned = g_intern_string (data_centre);

  if (member == NULL)
    {
      member = g_new0 (member_t, 1);
      member->host = g_intern_string (host);
      member->place = ROSTER_ABSENT;
      g_hash_table_insert (roster->by_host, (void *) member->host, member);
      g_ptr_array_add (roster->members, member);
    }
  else if (member->data_centre == interned && member->power == power)
    return;
  member->data_centre = interned;
  member->power = power;
  member->weight = hash_rendezvous (data_centre, host);
  roster->sorted = false;
}

void
roster_set_present (roster_t *roster, const char *host, bool present, int64_t now_ms)
{
  member_t *member = find (roster, host);

  if (member == NULL || member->present == present)
    return;
  member->present = present;
  member->missed = !present;
  member->wanted_from_ms = 0;
  member->retry_at_ms = now_ms + RETRY_MS;
}

/* --- ranks --- */

static gint
compare (gconstpointer a, gconstpointer b)
{
  const member_t *x = *(member_t *const *) a;
  const member_t *y = *(member_t *const *) b;
  int by_data_centre = strcmp (x->data_centre, y->data_centre);

  if (by_data_centre != 0)
    return by_data_centre;
  if (x->power != y->power)
    return y->power - x->power;
  return x->weight != y->weight ? (x->weight < y->weight ? 1 : -1) : strcmp (x->host, y->host);
}

static void
rank_one (const roster_t *roster, member_t *member, int32_t *before, int64_t now_ms)
{
  bool overdue = member->wanted_from_ms != 0 && now_ms - member->wanted_from_ms > PENDING_MS;

  if (!member->present && overdue)
    {
      member->missed = true;
      member->wanted_from_ms = 0;
      member->retry_at_ms = now_ms + RETRY_MS;
    }
  bool counts = member->present || !member->missed;
  bool tried = !counts && now_ms >= member->retry_at_ms;
  member->hub = *before < roster->hubs && (counts || tried);
  member->place = counts ? *before : ROSTER_ABSENT;
  if (member->hub && !member->present && member->wanted_from_ms == 0)
    member->wanted_from_ms = MAX (now_ms, 1);
  *before += counts;
}

void
roster_rank (roster_t *roster, int64_t now_ms)
{
  const char *data_centre = NULL;
  int32_t before = 0;

  if (!roster->sorted)
    g_ptr_array_sort (roster->members, compare);
  roster->sorted = true;
  roster->small = true;
  for (guint i = 0; i < roster->members->len; i++)
    {
      member_t *member = roster->members->pdata[i];
      if (member->data_centre != data_centre)
        before = 0;
      data_centre = member->data_centre;
      rank_one (roster, member, &before, now_ms);
      roster->small &= before <= roster->hubs;
    }
}

int32_t
roster_place (const roster_t *roster, const char *host)
{
  const member_t *member = find (roster, host);

  return member != NULL ? member->place : ROSTER_ABSENT;
}

bool
roster_is_hub (const roster_t *roster, const char *host)
{
  const member_t *member = find (roster, host);

  return member != NULL && member->hub;
}

bool
roster_is_small (const roster_t *roster)
{
  return roster->small;
}

int32_t
roster_hosts (const roster_t *roster)
{
  return (int32_t) roster->members->len;
}
