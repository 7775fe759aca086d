/* proxy.h -- a loopback proxy that delays, cuts, silences and resets connections
 *
 * It listens in front of hosts, endpoints, the log and callers.  Who dialed is known from the
 * listener (a log's for each host), from a host's greeting, or from the token of its first order;
 * until then a connection belongs to no name.  A name has a group, its data centre; rules match
 * either.
 *
 * All functions may be called on any thread; they take effect on the proxy's own.
 */
#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include <stdbool.h>
#include <stdint.h>

typedef struct proxy_t proxy_t;

typedef enum
{
  PROXY_HOLD,  /* bytes from FROM to TO wait, as do answers to them: cut without an end */
  PROXY_BREAK, /* connections that carry bytes from FROM to TO, or did, are reset: a cut with ends
                */
  PROXY_DELAY, /* bytes from FROM to TO, and back, are VALUE ms late */
  PROXY_SLOW   /* FROM reads at most VALUE bytes a tick of what TO sends */
} proxy_mode_t;

proxy_t *proxy_new (void);

/* From now on a connection that was opened in a cut, and is ended by the one who dialed before the
 * cut is over, brings nothing.  By default its bytes arrive at the end of the cut. */
void proxy_drop_unsent (proxy_t *proxy);

/* Names a host: its group, and the low bits that mark its tokens. */
void proxy_name (proxy_t *proxy, const char *name, const char *group, int64_t token_tag);

/* Listens on IP:PORT for TO at 127.0.0.1:PORT_THERE.  FROM may be NULL: found out.  Returns 0 or
 * ERROR_IO. */
int proxy_listen (proxy_t *proxy,
                  const char *ip,
                  int port,
                  int port_there,
                  const char *from,
                  const char *to,
                  const char *to_group);

/* From now on MODE holds between connections whose ends match; ONE_WAY: from FROM to TO only,
 * whoever dialed.  NULL matches any name. */
void proxy_rule (proxy_t *proxy,
                 int32_t id,
                 proxy_mode_t mode,
                 const char *from,
                 const char *to,
                 int64_t value,
                 bool one_way);
void proxy_end_rule (proxy_t *proxy, int32_t id);

/* Ends the connections of NAME with a reset, or silences them for good while new ones work. */
void proxy_reset (proxy_t *proxy, const char *name);
void proxy_mute (proxy_t *proxy, const char *name);

void proxy_free (proxy_t *proxy);

#endif
