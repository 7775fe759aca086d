/* site_repeats.c -- what hosts tell each other about jobs that callers may send to more than one
 *
 * lib/scheduler/repeats.c decides.  A host announces its jobs to the hosts that it is connected to.
 * One that is no hub is connected to hubs only, and one that has lost a host may be all that can't
 * reach it: some hubs of each data centre collect such announcements, and pass them on to the other
 * hosts there.
 */
#include "daemon/site_private.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/hash.h"
#include "scheduler/job_status_msg.h"

#include <string.h>

/* An announcement waits this long for others at the most. */
#define ANNOUNCE_INTERVAL_MS 200
/* So many hubs of a data centre pass an announcement on: one of them may just have been lost. */
#define RELAYS_PER_DATA_CENTRE 2
/* Most hosts that are remembered to answer registrations. */
#define REGISTRARS_MAX 4096

static const char *const finding_names[] = {
  [SCHEDULER_FOUND_COLD] = "cold_start",       [SCHEDULER_FOUND_LATE] = "may_be_late",
  [SCHEDULER_FOUND_OPEN] = "waits_for_answer", [SCHEDULER_FOUND_STOPPING] = "waits_for_end",
  [SCHEDULER_FOUND_ENDED] = "answered",        [SCHEDULER_FOUND_OVER] = "runs_here",
  [SCHEDULER_FOUND_SILENT] = "silent",         [SCHEDULER_FOUND_AT_BOTH] = "runs_at_both",
  [SCHEDULER_FOUND_YIELDED] = "yielded",
};

static const char *const evidence_names[] = {
  [JOB_EVIDENCE_TOLD] = "told",
  [JOB_EVIDENCE_HOST_RESTARTED] = "host_restarted",
  [JOB_EVIDENCE_OWNERS] = "owners",
  [JOB_EVIDENCE_DEADLINE] = "deadline",
};

void
repeats_log (const scheduler_action_t *action)
{
  const char *finding = finding_names[action->finding];
  char *label = g_strdup_printf ("finding=\"%s\"", finding);

  counter_add (counter_get ("jaytrail_jobs_elsewhere_total", label), 1);
  g_free (label);
  if (!event_begin (EVENT_JOB_ELSEWHERE))
    return;
  event_add_text ("job", action->job_id);
  event_add_text ("finding", finding);
  event_add_text ("host", action->host);
  event_add_text ("evidence", evidence_names[action->evidence]);
  event_add_number ("age_ms", action->age_ms);
  event_end ();
}

/* --- sending --- */

static GArray *
new_statuses (void)
{
  return g_array_new (FALSE, FALSE, sizeof (job_status_t));
}

static GBytes *
statuses_frame (const char *host, bool relay, const GArray *statuses, guint first)
{
  guint count = MIN (statuses->len - first, JOB_STATUSES_MAX);

  return job_msg_statuses (host, relay,
                           (const job_status_t *) (const void *) statuses->data + first, count,
                           clock_boot_ms ());
}

/* Sends STATUSES of ORIGIN to HOST, in as many messages as it takes. */
static void
send_statuses (site_t *site,
               const char *host,
               const char *origin,
               bool relay,
               const GArray *statuses)
{
  for (guint first = 0; first < statuses->len; first += JOB_STATUSES_MAX)
    peers_send (site, host, statuses_frame (origin, relay, statuses, first));
}

/* Sends FRAME, which is asked again later, to HOST, or opens a connection for the next time. */
static void
send_question (site_t *site, const char *host, GBytes *frame)
{
  if (g_hash_table_contains (site->connections, host))
    {
      peers_send (site, host, frame);
      return;
    }
  peers_dial (site, host, clock_boot_ms ());
  g_bytes_unref (frame);
}

void
repeats_ask (site_t *site, const scheduler_action_t *action)
{
  send_question (site, action->host, job_msg_query (action->job_id));
}

void
repeats_ask_owner (site_t *site, const scheduler_action_t *action)
{
  job_runs_t runs = { (char *) action->job_id, (char *) action->holder, (char *) action->shard, 0,
                      clock_boot_ms () };

  if (action->host != site->host)
    send_question (site, action->host, job_msg_runs (JOB_MSG_RUNS_QUERY, &runs));
  else if (owner_has_no_runs (site, runs.shard, runs.holder, runs.id, &runs.token))
    scheduler_runs_over (site->scheduler, runs.id, runs.holder, runs.shard, runs.token,
                         runs.asked_at_ms);
}

void
repeats_register (site_t *site, const scheduler_action_t *action)
{
  send_question (site, action->host,
                 job_msg_register (&action->status, action->registration, clock_boot_ms ()));
}

void
repeats_tell (site_t *site, const scheduler_action_t *action)
{
  peers_send (site, action->host,
              job_msg_statuses (site->host, false, &action->status, 1, clock_boot_ms ()));
}

/* Hosts of earlier versions don't answer registrations.  Where all hubs that are heard are such
 * hosts, jobs start as they do there. */
void
repeats_update_registrars (site_t *site)
{
  cluster_registrars_t registrars;

  cluster_find_registrars (site->cluster, site->registrars, clock_boot_ms (), &registrars);
  scheduler_set_quorum (site->scheduler, registrars.quorum, registrars.required);
  scheduler_set_registrars (site->scheduler, registrars.none_registers ? NULL : registrars.hosts,
                            site->scheduler_actions);
  cluster_registrars_clear (&registrars);
  site_run_scheduler_actions (site);
}

/* Whether CONNECTION leads to a host of this data centre. */
static bool
is_local (const site_t *site, const peer_connection_t *connection)
{
  return strcmp (connection->data_centre, site->settings->data_centre) == 0;
}

/* Whether HOST, over CONNECTION, is to pass on what this host tells it, as others there don't hear
 * it.  MISSED is that of cluster_missed_data_centres (). */
static bool
is_relay_needed (const site_t *site,
                 const char *host,
                 const peer_connection_t *connection,
                 GHashTable *missed)
{
  return (!cluster_is_hub (site->cluster) && cluster_host_is_hub (site->cluster, host))
         || g_hash_table_contains (missed, connection->data_centre);
}

/* Whether this host is a hub that passes announcements on over CONNECTION. */
static bool
passes_on (const site_t *site, const peer_connection_t *connection)
{
  return cluster_is_hub (site->cluster) && is_local (site, connection);
}

/* DATA maps interned names of hosts to their statuses. */
static void
add_known_job (const char *host, const job_status_t *status, void *data)
{
  GArray *statuses = g_hash_table_lookup (data, host);

  if (statuses == NULL)
    {
      statuses = new_statuses ();
      g_hash_table_insert (data, (void *) host, statuses);
    }
  g_array_append_vals (statuses, status, 1);
}

/* Tells HOST the jobs of others, and those of an earlier process of its own: it may have missed
 * their announcements, which come once. */
static void
send_known_jobs (site_t *site, const char *host)
{
  GHashTable *by_origin = g_hash_table_new_full (NULL, NULL, NULL, (GDestroyNotify) g_array_unref);
  GHashTableIter iter;
  void *origin = NULL;
  void *statuses = NULL;

  scheduler_foreach_remote (site->scheduler, host, clock_boot_ms (), add_known_job, by_origin);
  g_hash_table_iter_init (&iter, by_origin);
  while (g_hash_table_iter_next (&iter, &origin, &statuses))
    send_statuses (site, host, origin, false, statuses);
  g_hash_table_unref (by_origin);
}

/* Tells HOST, of this data centre, all jobs that this host knows, and that these are all. */
static void
send_all_known_jobs (site_t *site, const char *host)
{
  send_known_jobs (site, host);
  if (scheduler_is_warm (site->scheduler, clock_boot_ms ()))
    peers_send (site, host, job_msg_all_told ());
}

void
repeats_host_connected (site_t *site, const char *host)
{
  const peer_connection_t *connection = g_hash_table_lookup (site->connections, host);
  GHashTable *missed = cluster_missed_data_centres (site->cluster);
  GArray *statuses = new_statuses ();

  scheduler_append_open (site->scheduler, statuses);
  send_statuses (site, host, site->host, is_relay_needed (site, host, connection, missed),
                 statuses);
  g_hash_table_unref (missed);
  if (statuses->len > 0 && !is_local (site, connection))
    peers_send (site, host, job_msg_told (JOB_MSG_TOLD, clock_boot_ms ()));
  g_array_unref (statuses);
  peers_send (site, host, job_msg_registrar ());
  scheduler_register_all (site->scheduler, host, site->scheduler_actions);
  site_run_scheduler_actions (site);
  if (!passes_on (site, connection))
    return;
  /* Before this host says that it has told all: who must confirm jobs. */
  peers_send_hosts (site, host);
  send_all_known_jobs (site, host);
}

/* HOST of this data centre was lost.  It may have confirmed announcements that it has not passed on
 * yet; the other hubs here have received them as well. */
static void
pass_on_for (site_t *site, const char *host)
{
  GHashTableIter iter;
  void *other = NULL;
  void *connection = NULL;

  g_hash_table_iter_init (&iter, site->connections);
  while (g_hash_table_iter_next (&iter, &other, &connection))
    if (other != host && passes_on (site, connection))
      send_all_known_jobs (site, other);
}

void
repeats_host_lost (site_t *site, const char *host)
{
  const known_host_t *lost = g_hash_table_lookup (site->known_hosts, host);
  GArray *statuses = new_statuses ();
  GHashTableIter iter;
  void *other = NULL;
  void *value = NULL;

  scheduler_append_open (site->scheduler, statuses);
  g_hash_table_iter_init (&iter, site->connections);
  while (lost != NULL && g_hash_table_iter_next (&iter, &other, &value))
    {
      const peer_connection_t *connection = value;
      if (other != host && strcmp (connection->data_centre, lost->data_centre) == 0)
        send_statuses (site, other, site->host, true, statuses);
    }
  g_array_unref (statuses);
  if (lost != NULL && strcmp (lost->data_centre, site->settings->data_centre) == 0)
    pass_on_for (site, host);
}

/* Passes on what was collected, to the other hosts of this data centre. */
static void
send_relayed (site_t *site)
{
  GHashTableIter iter;
  void *host = NULL;
  void *connection = NULL;

  if (site->relayed->len == 0)
    return;
  GBytes *frame = job_msg_relayed (site->relayed);
  g_hash_table_iter_init (&iter, site->connections);
  while (g_hash_table_iter_next (&iter, &host, &connection))
    if (passes_on (site, connection))
      peers_send (site, host, g_bytes_ref (frame));
  g_bytes_unref (frame);
  g_ptr_array_set_size (site->relayed, 0);
}

/* Announces STATUSES to all hosts.  Other data centres confirm them, as they may be cut off, and
 * are asked to again until they have. */
static void
announce (site_t *site, const GArray *statuses, int64_t now_ms)
{
  GHashTable *missed = cluster_missed_data_centres (site->cluster);
  GHashTableIter iter;
  void *host = NULL;
  void *connection = NULL;

  g_hash_table_iter_init (&iter, site->connections);
  while (g_hash_table_iter_next (&iter, &host, &connection))
    {
      send_statuses (site, host, site->host, is_relay_needed (site, host, connection, missed),
                     statuses);
      if (!is_local (site, connection))
        peers_send (site, host, job_msg_told (JOB_MSG_TOLD, now_ms));
    }
  g_hash_table_unref (missed);
}

/* Tells the registrars the ends of jobs that nobody else was told of. */
static void
tell_registered_ends (site_t *site)
{
  const GPtrArray *registrars = scheduler_registrars (site->scheduler);
  GArray *statuses = new_statuses ();

  scheduler_collect_registered_ends (site->scheduler, statuses);
  for (guint i = 0; statuses->len > 0 && i < registrars->len; i++)
    if (registrars->pdata[i] != site->host)
      send_statuses (site, registrars->pdata[i], site->host, false, statuses);
  g_array_unref (statuses);
}

/* Asks a hub of another data centre, another one each time, for all jobs that it knows: if all
 * hosts of this one were killed at once, nobody here knows them.  That does not end the cold start,
 * as young jobs are known to nobody. */
static void
ask_for_all (site_t *site)
{
  GPtrArray *hubs = g_ptr_array_new ();
  GHashTableIter iter;
  void *host = NULL;
  void *connection = NULL;

  g_hash_table_iter_init (&iter, site->connections);
  while (g_hash_table_iter_next (&iter, &host, &connection))
    if (!is_local (site, connection) && cluster_host_is_hub (site->cluster, host))
      g_ptr_array_add (hubs, host);
  if (hubs->len > 0)
    {
      guint chosen = (guint) g_random_int_range (0, (gint) hubs->len);
      peers_send (site, hubs->pdata[chosen], job_msg_tell_all ());
    }
  g_ptr_array_unref (hubs);
}

void
repeats_tick (site_t *site, int64_t now_ms)
{
  /* The process may end at any time. */
  if (site->stopping)
    tell_registered_ends (site);
  if (now_ms < site->announce_due_ms)
    return;
  site->announce_due_ms = now_ms + ANNOUNCE_INTERVAL_MS;
  if (!scheduler_is_warm (site->scheduler, now_ms))
    ask_for_all (site);
  send_relayed (site);
  tell_registered_ends (site);
  GArray *statuses = new_statuses ();
  scheduler_collect_statuses (site->scheduler, now_ms, statuses);
  if (statuses->len > 0 || scheduler_awaits_confirmation (site->scheduler))
    announce (site, statuses, now_ms);
  g_array_unref (statuses);
}

/* --- receiving --- */

/* Whether this host is one of the hubs of its data centre that pass on what ORIGIN, which is
 * interned, announces. */
static bool
is_relay_for (const site_t *site, const char *origin)
{
  uint64_t own_weight = hash_rendezvous (origin, site->host);
  GHashTableIter iter;
  void *host = NULL;
  void *value = NULL;
  int before = 0;

  if (!cluster_is_hub (site->cluster))
    return false;
  g_hash_table_iter_init (&iter, site->connections);
  while (g_hash_table_iter_next (&iter, &host, &value))
    before += is_local (site, value) && host != origin && cluster_host_is_hub (site->cluster, host)
              && hash_rendezvous (origin, host) > own_weight;
  return before < RELAYS_PER_DATA_CENTRE;
}

/* Keeps STATUSES of ORIGIN, a host of any data centre, for the other hosts here. */
static void
relay_statuses (site_t *site, const char *origin, const GArray *statuses)
{
  if (site->relayed->len < JOB_RELAYED_MAX && is_relay_for (site, g_intern_string (origin)))
    g_ptr_array_add (site->relayed, statuses_frame (origin, false, statuses, 0));
}

/* Whether this host has lost ORIGIN, of which HOST (NULL: a relay) tells. */
static bool
is_told_of_lost (const site_t *site, const char *host, const char *origin)
{
  int64_t lost_at_ms = cluster_lost_at_ms (site->cluster, origin);
  bool by_itself = host != NULL && strcmp (host, origin) == 0;

  return !by_itself && lost_at_ms != 0 && lost_at_ms != INT64_MAX;
}

void
repeats_read_statuses (site_t *site, const char *host, frame_reader_t *reader)
{
  GArray *statuses = new_statuses ();
  char *origin = NULL;
  bool relay = false;
  int64_t now_ms = clock_boot_ms ();

  if (job_msg_read_statuses (reader, now_ms, &origin, &relay, statuses) == 0)
    {
      if (relay)
        relay_statuses (site, origin, statuses);
      bool lost = is_told_of_lost (site, host, origin);
      for (guint i = 0; i < statuses->len; i++)
        {
          const job_status_t *status = &g_array_index (statuses, job_status_t, i);
          scheduler_job_told (site->scheduler, origin, status, now_ms, site->scheduler_actions);
          if (lost)
            scheduler_job_unheard (site->scheduler, status->id, origin);
        }
      site_run_scheduler_actions (site);
    }
  job_statuses_clear (statuses);
  g_array_unref (statuses);
  g_free (origin);
}

static void
read_relayed (frame_reader_t *message, void *data)
{
  repeats_read_statuses (data, NULL, message);
}

void
repeats_read_relayed (site_t *site, const char *host, frame_reader_t *reader)
{
  (void) host;
  (void) job_msg_read_relayed (reader, read_relayed, site);
}

void
repeats_read_told (site_t *site, const char *host, frame_reader_t *reader)
{
  int64_t clock_ms = 0;

  if (job_msg_read_told (reader, &clock_ms) == 0 && is_relay_for (site, g_intern_string (host)))
    peers_send (site, host, job_msg_told (JOB_MSG_TOLD_ACK, clock_ms));
}

void
repeats_read_told_ack (site_t *site, const char *host, frame_reader_t *reader)
{
  int64_t clock_ms = 0;

  if (job_msg_read_told (reader, &clock_ms) == 0)
    cluster_confirmed (site->cluster, host, clock_ms, clock_boot_ms ());
}

void
repeats_read_all_told (site_t *site, const char *host, frame_reader_t *reader)
{
  (void) host;
  (void) reader;
  scheduler_all_told (site->scheduler);
}

void
repeats_read_tell_all (site_t *site, const char *host, frame_reader_t *reader)
{
  (void) reader;
  if (cluster_is_hub (site->cluster))
    send_known_jobs (site, host);
}

void
repeats_read_query (site_t *site, const char *host, frame_reader_t *reader)
{
  char *id = NULL;

  if (job_msg_read_query (reader, &id) == 0)
    {
      scheduler_job_asked (site->scheduler, host, id, clock_boot_ms (), site->scheduler_actions);
      site_run_scheduler_actions (site);
    }
  g_free (id);
}

void
repeats_read_registrar (site_t *site, const char *host, frame_reader_t *reader)
{
  (void) reader;
  if (g_hash_table_size (site->registrars) < REGISTRARS_MAX)
    g_hash_table_add (site->registrars, (void *) g_intern_string (host));
}

void
repeats_read_register (site_t *site, const char *host, frame_reader_t *reader)
{
  GArray *claims = g_array_new (FALSE, FALSE, sizeof (job_claim_t));
  int64_t now_ms = clock_boot_ms ();
  job_status_t status = { 0 };
  uint64_t number = 0;

  if (job_msg_read_register (reader, now_ms, &status, &number) == 0)
    {
      bool confirmed = scheduler_register (site->scheduler, host, &status, now_ms, claims);
      peers_send (site, host,
                  job_msg_registered (status.id, confirmed ? number : 0, claims, now_ms));
    }
  g_free ((char *) status.id);
  g_array_unref (claims);
}

void
repeats_read_registered (site_t *site, const char *host, frame_reader_t *reader)
{
  GArray *claims = g_array_new (FALSE, FALSE, sizeof (job_claim_t));
  int64_t now_ms = clock_boot_ms ();
  uint64_t confirmed = 0;
  char *id = NULL;

  if (job_msg_read_registered (reader, now_ms, &id, &confirmed, claims) == 0)
    {
      for (guint i = 0; i < claims->len; i++)
        {
          job_claim_t *claim = &g_array_index (claims, job_claim_t, i);
          claim->unheard |= is_told_of_lost (site, host, claim->host);
          scheduler_job_claimed (site->scheduler, id, claim, now_ms, site->scheduler_actions);
        }
      if (confirmed != 0)
        scheduler_job_registered (site->scheduler, host, id, confirmed, now_ms,
                                  site->scheduler_actions);
      site_run_scheduler_actions (site);
    }
  g_free (id);
  g_array_unref (claims);
}

void
repeats_read_runs_query (site_t *site, const char *host, frame_reader_t *reader)
{
  job_runs_t runs = { 0 };

  if (job_msg_read_runs (reader, &runs) == 0
      && owner_has_no_runs (site, runs.shard, runs.holder, runs.id, &runs.token))
    peers_send (site, host, job_msg_runs (JOB_MSG_RUNS_OVER, &runs));
  job_runs_clear (&runs);
}

void
repeats_read_runs_over (site_t *site, const char *host, frame_reader_t *reader)
{
  job_runs_t runs = { 0 };

  (void) host;
  if (job_msg_read_runs (reader, &runs) == 0)
    scheduler_runs_over (site->scheduler, runs.id, runs.holder, runs.shard, runs.token,
                         runs.asked_at_ms);
  job_runs_clear (&runs);
}
