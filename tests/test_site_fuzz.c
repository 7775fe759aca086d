/* test_site_fuzz.c -- fuzz test of the decoders for data from the platform, endpoints, callers and
 * other hosts
 *
 * Valid documents and frames are mutated at random, and the decoders must accept or reject the
 * result without a fault.  Built with the sanitizers this detects reads out of bounds and leaks.
 *
 * usage: test_site_fuzz [SEED ROUNDS], with ROUNDS mutations of each document and each kind of
 * frame
 */
#include "cluster/cluster_msg.h"
#include "drain/drain_msg.h"
#include "executor/entry.h"
#include "executor/executor_msg.h"
#include "platform/decode.h"
#include "platform/settings.h"
#include "scheduler/job_status_msg.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <glib/gstdio.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static uint32_t rand_seed = 20261204;
static int rounds = 40000;

/* --- decoders --- */

static void
read_entry (const char *data, size_t size)
{
  executor_entry_t entry;

  if (decode_entry ("i-1", data, size, 0, &entry) == 0)
    {
      CU_ASSERT_TRUE (entry_is_usable (entry.shard, &entry.endpoint));
      executor_entry_clear (&entry);
    }
}

static void
read_queues (const char *data, size_t size)
{
  queues_t *queues = NULL;
  const char *rest = NULL;

  if (decode_queues (data, size, &queues) == 0)
    {
      queues_find (queues, "h.example:80", "/p/00", &rest);
      queues_free (queues);
    }
}

static void
read_job (const char *data, size_t size)
{
  decode_job_t job;
  const char *message = NULL;

  if (decode_job (data, size, &job, &message) == 0)
    {
      CU_ASSERT_TRUE (job.tasks >= 1 && job.tasks <= 510);
      decode_job_clear (&job);
    }
  else
    CU_ASSERT_PTR_NOT_NULL (message);
}

static void
read_poll_result (const char *data, size_t size)
{
  decode_poll_t look;

  if (decode_poll (data, size, &look) == 0)
    decode_poll_clear (&look);
}

static void
read_error_answer (const char *data, size_t size)
{
  int64_t clock_there_ms = 0;

  decode_answer (409, data, size, &clock_there_ms);
}

static void
free_drain_name (void *data)
{
  g_free ((char *) ((drain_t *) data)->data_centre);
}

/* Decodes a set of drains and merges it into an empty one, which must accept any offsets. */
static void
read_drains (frame_reader_t *reader)
{
  GArray *listed = g_array_new (FALSE, FALSE, sizeof (drain_t));
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (drain_t));
  drains_t *drains = drains_new ();
  uint64_t end = 0;

  g_array_set_clear_func (listed, free_drain_name);
  if (drain_msg_read_set (reader, 0, listed, &end) == 0)
    {
      drains_merge (drains, (const drain_t *) (void *) listed->data, listed->len, end, 0, changes);
      CU_ASSERT_TRUE (drains_are_initialised (drains));
    }
  drains_free (drains);
  g_array_unref (changes);
  g_array_unref (listed);
}

static void
read_relayed_entry (frame_reader_t *reader)
{
  executor_entry_t entry;

  if (executor_msg_read_endpoint (reader, 0, &entry) == 0)
    {
      CU_ASSERT_TRUE (entry_is_usable (entry.shard, &entry.endpoint));
      executor_entry_clear (&entry);
    }
}

/* READER holds statuses of jobs. */
static void
read_statuses (frame_reader_t *reader, void *data)
{
  GArray *statuses = g_array_new (FALSE, FALSE, sizeof (job_status_t));
  char *host = NULL;
  bool relay = false;

  (void) data;
  (void) job_msg_read_statuses (reader, 0, &host, &relay, statuses);
  job_statuses_clear (statuses);
  g_array_unref (statuses);
  g_free (host);
}

static void
read_frame (const char *data, size_t size)
{
  frame_reader_t *reader = NULL;
  executor_submit_t submit;
  executor_offer_msg_t offer;
  cluster_heartbeat_t heartbeat;
  executor_task_end_t failed;
  char *text = NULL;
  int32_t runs = 0;
  int64_t token = 0;
  bool relay = false;
  GArray *ends = g_array_new (FALSE, FALSE, sizeof (executor_task_end_t));
  GArray *hosts = g_array_new (FALSE, FALSE, sizeof (cluster_host_t));

  GArray *losses = g_array_new (FALSE, FALSE, sizeof (crash_loss_t));

  g_array_set_clear_func (losses, crash_loss_clear);
  g_array_set_clear_func (hosts, cluster_host_clear);
  if (frame_parse (data, size, &reader) == 0)
    {
      switch (frame_type (reader))
        {
        case EXECUTOR_MSG_SUBMIT:
          if (executor_msg_read_submit (reader, 0, &submit) == 0)
            executor_submit_clear (&submit);
          break;
        case EXECUTOR_MSG_OFFER:
          if (executor_msg_read_offer (reader, &offer) == 0)
            executor_offer_msg_clear (&offer);
          break;
        case EXECUTOR_MSG_TASK_ENDS:
          executor_msg_read_task_ends (reader, ends);
          break;
        case EXECUTOR_MSG_LOSSES:
          executor_msg_read_losses (reader, losses);
          break;
        case EXECUTOR_MSG_TASK_FAILURE:
          executor_msg_read_task_failure (reader, &failed);
          break;
        case EXECUTOR_MSG_SURVEYED:
          if (executor_msg_read_surveyed (reader, &text, &token) == 0)
            g_free (text);
          break;
        case EXECUTOR_MSG_CANCEL_JOB:
          if (executor_msg_read_cancel_job (reader, &text, &relay) == 0)
            g_free (text);
          break;
        case EXECUTOR_MSG_JOB_CANCELLED:
          if (executor_msg_read_job_cancelled (reader, &text, &relay, &relay) == 0)
            g_free (text);
          break;
        case JOB_MSG_STATUSES:
          read_statuses (reader, NULL);
          break;
        case JOB_MSG_RELAYED:
          job_msg_read_relayed (reader, read_statuses, NULL);
          break;
        case JOB_MSG_QUERY:
          if (job_msg_read_query (reader, &text) == 0)
            g_free (text);
          break;
        case EXECUTOR_MSG_ENDPOINT_REMOVED:
          if (executor_msg_read_endpoint_removed (reader, &text) == 0)
            g_free (text);
          break;
        case EXECUTOR_MSG_ENDPOINT:
          read_relayed_entry (reader);
          break;
        case CLUSTER_MSG_HOSTS:
          cluster_msg_read_hosts (reader, hosts);
          break;
        case DRAIN_MSG_SET:
          read_drains (reader);
          break;
        case DRAIN_MSG_RUNNING_TASKS:
          if (drain_msg_read_running_tasks (reader, &text, &runs) == 0)
            g_free (text);
          break;
        default:
          if (cluster_msg_read_heartbeat (reader, &heartbeat) == 0)
            cluster_heartbeat_clear (&heartbeat);
          break;
        }
      frame_reader_free (reader);
    }
  g_array_unref (hosts);
  g_array_unref (losses);
  g_array_unref (ends);
}

/* --- valid input and its mutation --- */

#define ODD_ENTRY(address, cores, sequence)                                                        \
  "{\"service\":\"s\",\"address\":\"" address "\",\"zone\":\"z\",\"state\":\"ready\","             \
  "\"free_capacity\":{\"cpu_millis\":" cores ",\"mem_mb\":1},\"born\":5,\"sequence\":" sequence    \
  "}"

static const struct
{
  void (*read) (const char *data, size_t size);
  const char *text;
} documents[] = {
  { read_entry,
    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"state\":\"ready\","
    "\"free_capacity\":{\"cpu_millis\":16000,\"mem_mb\":32768,\"gpus\":0},\"labels\":[\"a\","
    "\"r1-3\"],\"clock_ms\":482113,\"sequence\":4,\"born\":1700000000000}" },
  { read_entry, ODD_ENTRY ("10.0.0.1:99999", "16000", "4") },
  { read_entry, ODD_ENTRY ("server.example:80", "1e400", "2.5") },
  { read_entry, ODD_ENTRY ("10.0.0.1:80\\u0000x", "NaN", "-Infinity") },
  { read_entry, ODD_ENTRY ("10.0.0.1:80\\r\\n", "9223372036854775808", "\"4\"") },
  { read_entry, ODD_ENTRY ("10.0.0.1:80",
                           "16000",
                           "4,\"x\":[[[[[[[[[[[[[[[[[[[[{\"a\":{}}]]]]]]]]]]]]]]]]]]]]") },
  { read_entry, ODD_ENTRY ("10.0.0.1:80", "1", "4,\"labels\":[\"\xff\",\"\\ud800\",null,7]") },
  { read_queues,
    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\",\"path_prefix\":\"/p/\","
    "\"timeout_ms\":1500,\"target_latency_ms\":60,\"priority\":2,\"service\":\"s\","
    "\"max_attempts\":3,\"stretch_factor\":1.6}],\"limits\":{\"max_header_bytes\":16384}}" },
  { read_job, "{\"spec\":\"text\",\"best_effort\":true,\"phases\":[{\"count\":4,\"cpu_millis\":500,"
              "\"mem_mb\":256,\"estimated_ms\":900,\"affinity\":\"r1-3\"}]}" },
  { read_poll_result,
    "{\"clock_ms\":482113,\"active\":[[\"5c0e7a21d94b36f8.0.1.17\",2,\"00\",41]],\"finished\":"
    "[[58,\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"]],\"born\":5}" },
  { read_error_answer, "{\"clock_ms\":482113,\"reason\":\"fence\"}" },
};

static GString *
mutate (GRand *rand, const char *data, size_t size)
{
  GString *text = g_string_new_len (data, (gssize) size);
  int changes = g_rand_int_range (rand, 0, 6);

  for (int i = 0; i < changes && text->len > 0; i++)
    {
      gsize position = (gsize) g_rand_int_range (rand, 0, (gint32) text->len);
      switch (g_rand_int_range (rand, 0, 5))
        {
        case 0:
          text->str[position] = (char) g_rand_int_range (rand, 0, 256);
          break;
        case 1:
          g_string_truncate (text, position);
          break;
        case 2:
          g_string_erase (text, (gssize) position, 1);
          break;
        case 3:
          g_string_insert (text, (gssize) position, "99999999999999999999");
          break;
        default:
          g_string_insert_len (text, (gssize) position, text->str, (gssize) MIN (position, 20));
          break;
        }
    }
  return text;
}

static void
test_documents (void)
{
  GRand *rand = g_rand_new_with_seed (rand_seed);

  for (size_t i = 0; i < G_N_ELEMENTS (documents); i++)
    for (int k = 0; k < rounds; k++)
      {
        GString *text = mutate (rand, documents[i].text, strlen (documents[i].text));
        documents[i].read (text->str, text->len);
        g_string_free (text, TRUE);
      }
  g_rand_free (rand);
}

#define FRAME_KIND_COUNT 17

static GBytes *
valid_drain_set (void)
{
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (drain_t));
  drains_t *drains = drains_new ();

  drains_merge (drains, NULL, 0, 7, 0, changes);
  drains_apply_record (drains, "z", 7, true, 0, changes);
  drains_apply_record (drains, "y", 8, false, 0, changes);
  GBytes *frame = drain_msg_set (drains, 10);
  drains_free (drains);
  g_array_unref (changes);
  return frame;
}

static GBytes *
valid_statuses (void)
{
  const job_status_t statuses[] = { { "a", JOB_STATUS_OPEN, 900 }, { "b", JOB_STATUS_FAILED, 0 } };

  return job_msg_statuses ("h", true, statuses, G_N_ELEMENTS (statuses), 0);
}

static GBytes *
valid_relayed (void)
{
  GPtrArray *messages = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);

  g_ptr_array_add (messages, valid_statuses ());
  g_ptr_array_add (messages, valid_statuses ());
  GBytes *frame = job_msg_relayed (messages);
  g_ptr_array_unref (messages);
  return frame;
}

static GBytes *
valid_frame (int kind)
{
  static const int32_t indexes[] = { 0, 1, 2 };
  static const executor_task_end_t ends[] = { { 3, 1, EXECUTOR_DONE, { 0 } },
                                              { 4, 0, EXECUTOR_RETURNED, { 0 } } };
  static const executor_task_end_t failed = {
    3, 1, EXECUTOR_FAILED, { TASK_FAILURE_CRASHES, 5, 1, 3, { 4, 3, 3 } }
  };
  static const crash_loss_t losses[] = { { "j.0.0.1", 1, "e0", 7, true, CRASH_SUSPECTED, 1, NULL },
                                         { "j.0.0.1", 2, "e1", 9, false, CRASH_CONFIRMED, 2,
                                           NULL } };
  executor_batch_t batch = { .batch = 7,
                             .job = "j",
                             .spec = "s",
                             .service = "x",
                             .required_label = "",
                             .preferred_rack = "",
                             .indexes = indexes,
                             .count = 3 };
  cluster_claim_t claim = { (char *) "z", 1234567 };
  cluster_heartbeat_t heartbeat = { .host = (char *) "h",
                                    .data_centre = (char *) "z",
                                    .incarnation = 9,
                                    .clock_ms = 70000,
                                    .echo_ms = 60000 };
  GArray *offers = g_array_new (FALSE, FALSE, sizeof (executor_offer_t));
  GArray *loads = g_array_new (FALSE, FALSE, sizeof (executor_load_t));
  const executor_load_t load = { "x", 64000, 100, 40, { 7, 0, 900000 }, { 0, 0, 1200 } };
  executor_offer_t offer = { "x", 3, 9, 1.2 };
  const cluster_host_t known_host = { (char *) "h", (char *) "127.0.0.1:9", (char *) "z", 250 };
  const executor_entry_t entry = { .endpoint = { .id = "e0",
                                                 .address = "10.0.0.1:80",
                                                 .service = "x",
                                                 .kind = "a",
                                                 .rack = "r",
                                                 .started_at_ms = 5,
                                                 .free = { 16000, 32768, 0 } },
                                   .shard = (char *) "z",
                                   .offset = 7 };
  GBytes *frame = NULL;

  g_array_append_val (offers, offer);
  g_array_append_val (loads, load);
  heartbeat.claims = g_array_new (FALSE, FALSE, sizeof (cluster_claim_t));
  g_array_append_val (heartbeat.claims, claim);
  if (kind == 0)
    frame = executor_msg_submit ("z", 1, &batch, 0);
  else if (kind == 1)
    frame = executor_msg_task_ends (ends, G_N_ELEMENTS (ends));
  else if (kind == 2)
    frame = executor_msg_offer ("z", 4, offers, loads);
  else if (kind == 3)
    frame = executor_msg_cancel_job ("j", true);
  else if (kind == 4)
    frame = executor_msg_endpoint_removed ("e");
  else if (kind == 5)
    frame = cluster_msg_hosts (&known_host, 1);
  else if (kind == 7)
    frame = valid_drain_set ();
  else if (kind == 8)
    frame = drain_msg_running_tasks ("z", 3);
  else if (kind == 9)
    frame = executor_msg_losses (losses, G_N_ELEMENTS (losses));
  else if (kind == 10)
    frame = executor_msg_endpoint (&entry, 0);
  else if (kind == 11)
    frame = executor_msg_task_failure (&failed);
  else if (kind == 12)
    frame = executor_msg_job_cancelled ("j", true, true);
  else if (kind == 13)
    frame = job_msg_query ("j");
  else if (kind == 14)
    frame = valid_statuses ();
  else if (kind == 15)
    frame = valid_relayed ();
  else if (kind == 16)
    frame = executor_msg_surveyed ("z", 7);
  else
    frame = cluster_msg_heartbeat (&heartbeat);
  g_array_unref (heartbeat.claims);
  g_array_unref (offers);
  g_array_unref (loads);
  return frame;
}

static void
test_frames (void)
{
  GRand *rand = g_rand_new_with_seed (rand_seed);

  for (int kind = 0; kind < FRAME_KIND_COUNT; kind++)
    {
      GBytes *frame = valid_frame (kind);
      gsize size = 0;
      const char *data = g_bytes_get_data (frame, &size);
      for (int k = 0; k < rounds; k++)
        {
          GString *text = mutate (rand, data + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES);
          read_frame (text->str, text->len);
          g_string_free (text, TRUE);
        }
      g_bytes_unref (frame);
    }
  g_rand_free (rand);
}

/* Mutated settings are either read as valid values or rejected with a message. */
static void
test_settings (void)
{
  static const char valid_settings[] =
      "node_name=a\nzone=z\nlisten_addrs.frontend=10.0.0.1:80\nlisten_addrs.ready=10.0.0.1:81\n"
      "listen_addrs.control_plane=10.0.0.1:82\nseed_nodes=10.0.0.2:82,x\nplatform.address="
      "10.0.0.9:1\nbounds.max_hold_ms=1000\nbounds.stop_timeout_ms=50\nbounds.grace_period_s=6\n"
      "bounds.retransmit_ms=1300\nbounds.config_apply_ms=2000\nlimits.cpu_fraction=0.25\n";
  GRand *rand = g_rand_new_with_seed (rand_seed);
  char *directory = g_dir_make_tmp ("jaytrail-fuzz-XXXXXX", NULL);
  char *file = g_build_filename (directory, "s.conf", NULL);

  for (int i = 0; i < 2000; i++)
    {
      platform_settings_t *settings = NULL;
      char *message = NULL;
      GString *text = mutate (rand, valid_settings, sizeof valid_settings - 1);
      g_file_set_contents (file, text->str, (gssize) text->len, NULL);
      if (platform_settings_read (file, &settings, &message) == 0)
        {
          CU_ASSERT_TRUE (settings->lease_max_ms >= 0 && settings->cores_milli >= 0);
          platform_settings_free (settings);
        }
      else
        CU_ASSERT_PTR_NOT_NULL (message);
      g_free (message);
      g_string_free (text, TRUE);
    }
  g_unlink (file);
  g_rmdir (directory);
  g_free (file);
  g_free (directory);
  g_rand_free (rand);
}

static const unit_test_t tests[] = {
  { "documents", test_documents },
  { "frames", test_frames },
  { "settings", test_settings },
};

int
main (int argc, char **argv)
{
  if (argc > 2)
    {
      rand_seed = (uint32_t) strtoul (argv[1], NULL, 10);
      rounds = atoi (argv[2]);
    }
  printf ("seed %u, %d of each\n", rand_seed, rounds);
  return unit_run ("site decoders", tests, G_N_ELEMENTS (tests));
}
