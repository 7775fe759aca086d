/* cluster_msg.h -- the codec of heartbeats, lists of known hosts, and configuration
 *
 * Functions that write return a whole frame, which the caller unrefs.  Functions that read return
 * 0, or ERROR_PROTOCOL for anything but a valid message.
 */
#ifndef CLUSTER_CLUSTER_MSG_H
#define CLUSTER_CLUSTER_MSG_H

#include "cluster/cluster.h"
#include "wire/frame.h"

typedef enum
{
  CLUSTER_MSG_HEARTBEAT = FRAME_CLUSTER_FIRST,
  CLUSTER_MSG_CONFIG_REQUEST, /* requests the configuration */
  CLUSTER_MSG_CONFIG,         /* the configuration in the form in which the platform gave it */
  CLUSTER_MSG_HOSTS,          /* hosts that the sender knows, with their addresses */
  CLUSTER_MSG_ENDED           /* the sender, which was stopped, serves no more and ends */
} cluster_msg_t;

GBytes *cluster_msg_heartbeat (const cluster_heartbeat_t *heartbeat);
/* Clear HEARTBEAT with cluster_heartbeat_clear ().  It is empty after an error. */
int cluster_msg_read_heartbeat (frame_reader_t *reader, cluster_heartbeat_t *heartbeat);

GBytes *cluster_msg_config_request (void);
/* CLUSTER_MSG_ENDED, which has no fields. */
GBytes *cluster_msg_ended (void);
GBytes *cluster_msg_config (const void *data, size_t size);
/* *DATA points into the frame of READER. */
int cluster_msg_read_config (frame_reader_t *reader, const void **data, size_t *size);

/* A host, and the address at which others connect to it. */
typedef struct
{
  char *host;
  char *address;
  char *data_centre;
  int32_t cpu_millicores;
} cluster_host_t;
void cluster_host_clear (void *host);

/* Writes the first 1024 of HOSTS at most. */
GBytes *cluster_msg_hosts (const cluster_host_t *hosts, size_t count);
/* Appends cluster_host_t to HOSTS, also on failure.  The caller frees the elements with
 * cluster_host_clear (). */
int cluster_msg_read_hosts (frame_reader_t *reader, GArray *hosts);

#endif
