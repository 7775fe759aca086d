/* ranking.c -- ranks the known hosts of each data centre and selects its hubs
 *
 * A host is counted as available while it is alive.  One that was never heard is counted as well,
 * until it has been selected as a hub and stayed silent for CONTACT_TIMEOUT_MS, because hosts that
 * have just started have not heard anybody yet.  From then on it is unresponsive.  It is retried
 * after RETRY_DELAY_MS in addition to the hubs, without taking the position of one.
 */
#include "cluster/ranking.h"

#include "base/hash.h"

#include <glib.h>
#include <string.h>

/* A host that was selected as a hub must be heard within this time. */
#define CONTACT_TIMEOUT_MS 1000
/* An unresponsive host is retried after this. */
#define RETRY_DELAY_MS 5000

typedef struct
{
  const char *host;        /* interned */
  const char *data_centre; /* interned */
  int32_t cpu_millicores;
  uint64_t weight; /* rendezvous hash; orders hosts of equal CPU */
  bool alive;
  bool ended;               /* has said that its process ends */
  bool unresponsive;        /* was lost, or was selected as a hub and not heard in time */
  int64_t awaited_since_ms; /* when it was selected as a hub; 0 if it is not awaited */
  int64_t retry_at_ms;
  int32_t position; /* or RANKING_NO_POSITION */
  bool hub;
  bool first; /* would be a hub if all were available */
} member_t;

struct ranking_t
{
  const char *host;
  int32_t hubs_per_data_centre;
  GHashTable *by_host; /* interned host -> member_t, owned by MEMBERS */
  GPtrArray *members;  /* by data centre and rank, if SORTED */
  bool sorted;
  bool all_are_hubs;
};

ranking_t *
ranking_new (const char *host,
             const char *data_centre,
             int32_t cpu_millicores,
             int32_t hubs_per_data_centre)
{
  ranking_t *ranking = g_new0 (ranking_t, 1);

  ranking->host = g_intern_string (host);
  ranking->hubs_per_data_centre = hubs_per_data_centre;
  ranking->by_host = g_hash_table_new (NULL, NULL);
  ranking->members = g_ptr_array_new_with_free_func (g_free);
  ranking_add_host (ranking, host, data_centre, cpu_millicores);
  ranking_set_alive (ranking, host, true, 0);
  ranking_update (ranking, 0);
  return ranking;
}

void
ranking_free (ranking_t *ranking)
{
  if (ranking == NULL)
    return;
  g_hash_table_unref (ranking->by_host);
  g_ptr_array_unref (ranking->members);
  g_free (ranking);
}

static member_t *
find_member (const ranking_t *ranking, const char *host)
{
  return g_hash_table_lookup (ranking->by_host, g_intern_string (host));
}

void
ranking_add_host (ranking_t *ranking,
                  const char *host,
                  const char *data_centre,
                  int32_t cpu_millicores)
{
  member_t *member = find_member (ranking, host);
  const char *interned = g_intern_string (data_centre);

  if (member == NULL)
    {
      member = g_new0 (member_t, 1);
      member->host = g_intern_string (host);
      member->position = RANKING_NO_POSITION;
      g_hash_table_insert (ranking->by_host, (void *) member->host, member);
      g_ptr_array_add (ranking->members, member);
    }
  else if (member->data_centre == interned && member->cpu_millicores == cpu_millicores)
    return;
  member->data_centre = interned;
  member->cpu_millicores = cpu_millicores;
  member->weight = hash_rendezvous (data_centre, host);
  ranking->sorted = false;
}

void
ranking_set_alive (ranking_t *ranking, const char *host, bool alive, int64_t now_ms)
{
  member_t *member = find_member (ranking, host);

  if (member == NULL || member->alive == alive)
    return;
  member->alive = alive;
  member->unresponsive = !alive;
  member->awaited_since_ms = 0;
  member->retry_at_ms = now_ms + RETRY_DELAY_MS;
}

void
ranking_set_ended (ranking_t *ranking, const char *host, bool ended)
{
  member_t *member = find_member (ranking, host);

  if (member != NULL)
    member->ended = ended;
}

bool
ranking_has_ended (const ranking_t *ranking, const char *host)
{
  const member_t *member = find_member (ranking, host);

  return member != NULL && member->ended;
}

int32_t
ranking_count_hosts (const ranking_t *ranking, const char *data_centre)
{
  int32_t count = 0;

  for (guint i = 0; i < ranking->members->len; i++)
    {
      const member_t *member = ranking->members->pdata[i];
      count += !member->ended && strcmp (member->data_centre, data_centre) == 0;
    }
  return count;
}

/* --- ranking --- */

/* By data centre, then by CPU (most first), then by rendezvous hash, so that all hosts agree. */
static gint
compare_members (gconstpointer a, gconstpointer b)
{
  const member_t *x = *(member_t *const *) a;
  const member_t *y = *(member_t *const *) b;
  int by_data_centre = strcmp (x->data_centre, y->data_centre);

  if (by_data_centre != 0)
    return by_data_centre;
  if (x->cpu_millicores != y->cpu_millicores)
    return y->cpu_millicores - x->cpu_millicores;
  return x->weight != y->weight ? (x->weight < y->weight ? 1 : -1) : strcmp (x->host, y->host);
}

/* Updates MEMBER, before which AHEAD available hosts of its data centre are ranked. */
static void
rank_member (const ranking_t *ranking, member_t *member, int32_t *ahead, int64_t now_ms)
{
  bool overdue =
      member->awaited_since_ms != 0 && now_ms - member->awaited_since_ms > CONTACT_TIMEOUT_MS;

  if (!member->alive && overdue)
    {
      member->unresponsive = true;
      member->awaited_since_ms = 0;
      member->retry_at_ms = now_ms + RETRY_DELAY_MS;
    }
  bool counted = member->alive || !member->unresponsive;
  bool retried = !counted && now_ms >= member->retry_at_ms;
  member->hub = *ahead < ranking->hubs_per_data_centre && (counted || retried);
  member->position = counted ? *ahead : RANKING_NO_POSITION;
  if (member->hub && !member->alive && member->awaited_since_ms == 0)
    member->awaited_since_ms = MAX (now_ms, 1);
  *ahead += counted;
}

void
ranking_update (ranking_t *ranking, int64_t now_ms)
{
  const char *data_centre = NULL;
  int32_t ahead = 0;
  int32_t index = 0; /* of the member among all of its data centre */

  if (!ranking->sorted)
    g_ptr_array_sort (ranking->members, compare_members);
  ranking->sorted = true;
  ranking->all_are_hubs = true;
  for (guint i = 0; i < ranking->members->len; i++)
    {
      member_t *member = ranking->members->pdata[i];
      if (member->data_centre != data_centre)
        {
          ahead = 0;
          index = 0;
        }
      data_centre = member->data_centre;
      member->first = index < ranking->hubs_per_data_centre;
      index++;
      rank_member (ranking, member, &ahead, now_ms);
      ranking->all_are_hubs &= ahead <= ranking->hubs_per_data_centre;
    }
}

int32_t
ranking_position (const ranking_t *ranking, const char *host)
{
  const member_t *member = find_member (ranking, host);

  return member != NULL ? member->position : RANKING_NO_POSITION;
}

bool
ranking_is_hub (const ranking_t *ranking, const char *host)
{
  const member_t *member = find_member (ranking, host);

  return member != NULL && member->hub;
}

bool
ranking_is_first (const ranking_t *ranking, const char *host)
{
  const member_t *member = find_member (ranking, host);

  return member != NULL && member->first;
}

bool
ranking_all_are_hubs (const ranking_t *ranking)
{
  return ranking->all_are_hubs;
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(member_t *const *) a)->host, (*(member_t *const *) b)->host);
}

/* Assigns numbers in the order of the names: each host gets the first free number from its hash
 * on. */
int64_t
ranking_distinct_number (const ranking_t *ranking, int64_t range)
{
  GPtrArray *members = g_ptr_array_copy (ranking->members, NULL, NULL);
  GHashTable *assigned = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  int64_t number = 0;

  g_ptr_array_set_free_func (members, NULL);
  g_ptr_array_sort (members, compare_names);
  for (guint i = 0; i < members->len; i++)
    {
      const char *host = ((const member_t *) members->pdata[i])->host;
      number = (int64_t) (hash_string (host) % (uint64_t) range);
      while (g_hash_table_contains (assigned, &number) && (int64_t) i < range)
        number = (number + 1) % range;
      if (host == ranking->host)
        break;
      g_hash_table_add (assigned, g_memdup2 (&number, sizeof number));
    }
  g_hash_table_unref (assigned);
  g_ptr_array_unref (members);
  return number;
}

int32_t
ranking_host_count (const ranking_t *ranking)
{
  return (int32_t) ranking->members->len;
}
