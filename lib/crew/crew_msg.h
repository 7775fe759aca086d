/* crew_msg.h -- the messages by which hosts tell each other that they are there */
#ifndef CREW_CREW_MSG_H
#define CREW_CREW_MSG_H

#include "crew/crew.h"
#include "wire/frame.h"

typedef enum
{
  CREW_MSG_BEAT = FRAME_CREW_FIRST,
  CREW_MSG_CONFIG_PULL, /* asks for the configuration */
  CREW_MSG_CONFIG,      /* the configuration as the platform gave it */
  CREW_MSG_ROSTER       /* hosts that the sender knows of */
} crew_msg_t;

GBytes *crew_msg_beat (const crew_beat_t *beat);
/* Returns 0, or ERROR_PROTOCOL; clear BEAT with crew_beat_clear (). */
int crew_msg_read_beat (frame_reader_t *reader, crew_beat_t *beat);

GBytes *crew_msg_config_pull (void);
GBytes *crew_msg_config (const void *data, size_t size);
/* *DATA points into the frame. */
int crew_msg_read_config (frame_reader_t *reader, const void **data, size_t *size);

/* A host, and where others reach it. */
typedef struct
{
  char *host;
  char *address;
  char *data_centre;
  int32_t power;
} crew_host_t;
void crew_host_clear (void *host);

GBytes *crew_msg_roster (const crew_host_t *hosts, size_t count);
/* Appends to HOSTS, whose elements are the caller's (crew_host_clear ()). */
int crew_msg_read_roster (frame_reader_t *reader, GArray *hosts);

#endif
