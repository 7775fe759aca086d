/* cluster_msg.c -- the codec of heartbeats, lists of known hosts, and configuration */
#include "cluster/cluster_msg.h"

#include "base/error.h"

#define CONFIG_BYTES_MAX (4u * 1024 * 1024)
#define CPU_MILLICORES_MAX 1000000
#define INTERVAL_MAX_MS 60000
#define UPTIME_MAX_MS (INT64_C (1) << 50)
#define CLOCK_MAX_MS (INT64_C (1) << 50)
#define HOSTS_MAX 1024

GBytes *
cluster_msg_heartbeat (const cluster_heartbeat_t *heartbeat)
{
  frame_writer_t *writer = frame_begin (CLUSTER_MSG_HEARTBEAT);

  frame_put_string (writer, heartbeat->host);
  frame_put_string (writer, heartbeat->data_centre);
  frame_put_uint (writer, heartbeat->incarnation);
  frame_put_bool (writer, heartbeat->ready);
  frame_put_bool (writer, heartbeat->leaving);
  frame_put_int (writer, heartbeat->cpu_millicores);
  frame_put_int (writer, heartbeat->config_version);
  frame_put_int (writer, heartbeat->uptime_ms);
  frame_put_bool (writer, heartbeat->follows_directory);
  frame_put_int (writer, heartbeat->interval_ms);
  frame_put_uint (writer, heartbeat->expected_epoch);
  frame_put_int (writer, heartbeat->clock_ms);
  frame_put_int (writer, heartbeat->echo_ms);
  frame_put_count (writer, heartbeat->claims->len);
  for (guint i = 0; i < heartbeat->claims->len; i++)
    {
      const cluster_claim_t *claim = &g_array_index (heartbeat->claims, cluster_claim_t, i);
      frame_put_string (writer, claim->shard);
      frame_put_int (writer, claim->token);
    }
  frame_put_uint (writer, heartbeat->drains_end_offset);
  return frame_finish (writer);
}

int
cluster_msg_read_heartbeat (frame_reader_t *reader, cluster_heartbeat_t *heartbeat)
{
  bool names_present = true;

  *heartbeat = (cluster_heartbeat_t){ 0 };
  heartbeat->host = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  heartbeat->data_centre = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  heartbeat->incarnation = frame_get_uint (reader);
  heartbeat->ready = frame_get_bool (reader);
  heartbeat->leaving = frame_get_bool (reader);
  heartbeat->cpu_millicores = (int32_t) frame_get_range (reader, 0, CPU_MILLICORES_MAX);
  heartbeat->config_version = frame_get_int (reader);
  heartbeat->uptime_ms = frame_get_range (reader, 0, UPTIME_MAX_MS);
  heartbeat->follows_directory = frame_get_bool (reader);
  heartbeat->interval_ms = frame_get_range (reader, 0, INTERVAL_MAX_MS);
  heartbeat->expected_epoch = frame_get_uint (reader);
  heartbeat->clock_ms = frame_get_range (reader, 0, CLOCK_MAX_MS);
  heartbeat->echo_ms = frame_get_range (reader, 0, CLOCK_MAX_MS);
  heartbeat->claims = g_array_new (FALSE, FALSE, sizeof (cluster_claim_t));
  size_t count = frame_get_count (reader, CLUSTER_CLAIMS_MAX);
  for (size_t i = 0; i < count && frame_ok (reader); i++)
    {
      cluster_claim_t claim = { 0 };
      claim.shard = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
      claim.token = frame_get_range (reader, 0, INT64_MAX);
      names_present = names_present && claim.shard != NULL;
      g_array_append_val (heartbeat->claims, claim);
    }
  heartbeat->drains_end_offset = frame_get_uint (reader);
  if (frame_ok (reader) && names_present && heartbeat->host != NULL
      && heartbeat->data_centre != NULL)
    return 0;
  cluster_heartbeat_clear (heartbeat);
  return ERROR_PROTOCOL;
}

GBytes *
cluster_msg_config_request (void)
{
  return frame_finish (frame_begin (CLUSTER_MSG_CONFIG_REQUEST));
}

GBytes *
cluster_msg_ended (void)
{
  return frame_finish (frame_begin (CLUSTER_MSG_ENDED));
}

GBytes *
cluster_msg_config (const void *data, size_t size)
{
  frame_writer_t *writer = frame_begin (CLUSTER_MSG_CONFIG);

  frame_put_bytes (writer, data, size);
  return frame_finish (writer);
}

int
cluster_msg_read_config (frame_reader_t *reader, const void **data, size_t *size)
{
  *data = frame_get_bytes (reader, CONFIG_BYTES_MAX, size);
  return frame_ok (reader) && *data != NULL ? 0 : ERROR_PROTOCOL;
}

GBytes *
cluster_msg_hosts (const cluster_host_t *hosts, size_t count)
{
  frame_writer_t *writer = frame_begin (CLUSTER_MSG_HOSTS);

  frame_put_count (writer, MIN (count, HOSTS_MAX));
  for (size_t i = 0; i < MIN (count, HOSTS_MAX); i++)
    {
      frame_put_string (writer, hosts[i].host);
      frame_put_string (writer, hosts[i].address);
      frame_put_string (writer, hosts[i].data_centre);
      frame_put_int (writer, hosts[i].cpu_millicores);
    }
  return frame_finish (writer);
}

int
cluster_msg_read_hosts (frame_reader_t *reader, GArray *hosts)
{
  size_t count = frame_get_count (reader, HOSTS_MAX);
  bool names_present = true;

  for (size_t i = 0; i < count && frame_ok (reader); i++)
    {
      cluster_host_t host = { 0 };
      host.host = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
      host.address = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
      host.data_centre = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
      host.cpu_millicores = (int32_t) frame_get_range (reader, 0, CPU_MILLICORES_MAX);
      names_present =
          names_present && host.host != NULL && host.address != NULL && host.data_centre != NULL;
      g_array_append_val (hosts, host);
    }
  return frame_ok (reader) && names_present ? 0 : ERROR_PROTOCOL;
}

void
cluster_host_clear (void *data)
{
  cluster_host_t *host = data;

  g_free (host->host);
  g_free (host->address);
  g_free (host->data_centre);
}
