/* web_server_parser.c -- keeps what the HTTP parser finds in a request, within the size limits */
#include "reactor/web_server_private.h"

#include <string.h>
#include <strings.h>

static int
on_message_begin (http_parser *parser)
{
  connection_t *connection = parser->data;

  g_string_truncate (connection->target, 0);
  g_string_truncate (connection->host, 0);
  g_string_truncate (connection->deadline, 0);
  g_string_truncate (connection->header_name, 0);
  g_string_truncate (connection->body, 0);
  connection->current_header = HEADER_OTHER;
  connection->header_bytes = 0;
  connection->too_large = false;
  return 0;
}

static bool
add_header_bytes (connection_t *connection, size_t size)
{
  connection->header_bytes += size;
  if ((int64_t) connection->header_bytes <= connection->server->limits.header_bytes_max)
    return true;
  connection->too_large = true;
  return false;
}

static int
on_target (http_parser *parser, const char *at, size_t size)
{
  connection_t *connection = parser->data;

  if (!add_header_bytes (connection, size))
    return 1;
  g_string_append_len (connection->target, at, (gssize) size);
  return 0;
}

static int
on_header_field (http_parser *parser, const char *at, size_t size)
{
  connection_t *connection = parser->data;

  if (!add_header_bytes (connection, size))
    return 1;
  if (connection->current_header != HEADER_OTHER)
    {
      connection->current_header = HEADER_OTHER;
      g_string_truncate (connection->header_name, 0);
    }
  g_string_append_len (connection->header_name, at, (gssize) size);
  return 0;
}

static int
on_header_value (http_parser *parser, const char *at, size_t size)
{
  connection_t *connection = parser->data;
  const char *deadline = connection->server->deadline_header;

  if (!add_header_bytes (connection, size))
    return 1;
  if (strcasecmp (connection->header_name->str, "host") == 0)
    {
      connection->current_header = HEADER_HOST;
      g_string_append_len (connection->host, at, (gssize) size);
    }
  else if (deadline != NULL && strcasecmp (connection->header_name->str, deadline) == 0)
    {
      connection->current_header = HEADER_DEADLINE;
      g_string_append_len (connection->deadline, at, (gssize) size);
    }
  else
    g_string_truncate (connection->header_name, 0);
  return 0;
}

static int
on_body (http_parser *parser, const char *at, size_t size)
{
  connection_t *connection = parser->data;

  if ((int64_t) (connection->body->len + size) > connection->server->limits.body_bytes_max)
    {
      connection->too_large = true;
      return 1;
    }
  g_string_append_len (connection->body, at, (gssize) size);
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  http_parser_pause (parser, 1);
  return 0;
}

const http_parser_settings web_parser_settings = {
  .on_message_begin = on_message_begin,
  .on_url = on_target,
  .on_header_field = on_header_field,
  .on_header_value = on_header_value,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};
