/* proxy.c -- a loopback proxy that delays, cuts, silences and resets connections
 *
 * One thread with an event loop.  A connection is two pipes; each takes what one side sends,
 * keeps it while a rule holds it, and writes it to the other side.  Rules are looked up
 * when bytes move, so that they begin and end for open connections too.
 */
#include "tests/soak/proxy.h"

#include "base/error.h"
#include "reactor/loop.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TICK_MS 2
#define TOKEN_FIELD "\"fencing_token\":"
#define TOKEN_TAG_MASK 255
/* A greeting names its host within its first bytes. */
#define GREETING_BYTES 64

typedef struct
{
  char *name;
  char *group;
  int64_t token_tag;
} name_t;

typedef struct
{
  int32_t id;
  proxy_mode_t mode;
  char *from;
  char *to;
  int64_t value;
  bool one_way;
} rule_t;

typedef struct
{
  proxy_t *proxy;
  int port_there;
  char *from;
  char *to;
  char *to_group;
} door_t;

/* Bytes that may go on at DUE_MS. */
typedef struct
{
  int64_t due_ms;
  struct evbuffer *bytes;
} parcel_t;

typedef struct
{
  struct bufferevent *side;
  GQueue parcels; /* parcel_t: what this side has sent */
  bool ended;     /* this side has ended */
} end_t;

typedef struct
{
  const door_t *door;
  const name_t *from; /* NULL while it is not known */
  end_t ends[2];      /* of the one who dialed, and of the one behind the door */
  bool muted;
  bool moved;   /* bytes have been taken */
  bool pending; /* it has bytes to move, or an end to pass on */
} pair_t;

struct proxy_t
{
  loop_t *loop;
  GThread *thread;
  GPtrArray *names;
  GPtrArray *rules;
  GHashTable *pairs;
  GPtrArray *doors;
  GPtrArray *listeners;
  bool drops_unsent;
};

/* --- rules --- */

static bool
matches (const char *pattern, const char *name, const char *group)
{
  return pattern == NULL || g_strcmp0 (pattern, name) == 0 || g_strcmp0 (pattern, group) == 0;
}

/* The strongest VALUE of a rule of MODE for bytes that the side SENDER of PAIR sends; -1 if there
 * is none. */
static int64_t
rule_value (const proxy_t *proxy, const pair_t *pair, int sender, proxy_mode_t mode)
{
  const char *names[] = { pair->from != NULL ? pair->from->name : "?", pair->door->to };
  const char *groups[] = { pair->from != NULL ? pair->from->group : "?", pair->door->to_group };
  int64_t value = -1;

  for (guint i = 0; i < proxy->rules->len; i++)
    {
      const rule_t *rule = proxy->rules->pdata[i];
      int other = 1 - sender;
      if (rule->mode != mode)
        continue;
      bool along = matches (rule->from, names[sender], groups[sender])
                   && matches (rule->to, names[other], groups[other]);
      bool back = !rule->one_way && matches (rule->from, names[other], groups[other])
                  && matches (rule->to, names[sender], groups[sender]);
      /* What stays inside a group is not cut when the group is. */
      bool inside = g_strcmp0 (groups[0], groups[1]) == 0 && g_strcmp0 (rule->from, groups[0]) == 0;
      if ((along || back) && !inside)
        value = MAX (value, rule->value);
    }
  return value;
}

/* --- who dials --- */

static void
find_source (const proxy_t *proxy, pair_t *pair, struct evbuffer *bytes)
{
  size_t size = evbuffer_get_length (bytes);
  const char *data = (const char *) evbuffer_pullup (bytes, -1);

  if (pair->from != NULL || data == NULL)
    return;
  const char *field = memmem (data, size, TOKEN_FIELD, strlen (TOKEN_FIELD));
  int64_t token = field != NULL ? atoll (field + strlen (TOKEN_FIELD)) : 0;
  for (guint i = 0; i < proxy->names->len; i++)
    {
      const name_t *name = proxy->names->pdata[i];
      bool greets =
          memmem (data, MIN (size, GREETING_BYTES), name->name, strlen (name->name)) != NULL;
      if (greets || (token != 0 && (token & TOKEN_TAG_MASK) == name->token_tag))
        pair->from = name;
    }
}

static const name_t *
find_name (const proxy_t *proxy, const char *name)
{
  for (guint i = 0; i < proxy->names->len; i++)
    if (g_strcmp0 (((name_t *) proxy->names->pdata[i])->name, name) == 0)
      return proxy->names->pdata[i];
  return NULL;
}

/* --- pairs --- */

static void
free_parcel (void *data)
{
  parcel_t *parcel = data;

  evbuffer_free (parcel->bytes);
  g_free (parcel);
}

static void
set_linger (struct bufferevent *side)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (bufferevent_getfd (side), SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

static void
free_pair (void *data)
{
  pair_t *pair = data;

  for (int i = 0; i < 2; i++)
    {
      bufferevent_free (pair->ends[i].side);
      g_queue_clear_full (&pair->ends[i].parcels, free_parcel);
    }
  g_free (pair);
}

static void
reset_pair (proxy_t *proxy, pair_t *pair)
{
  set_linger (pair->ends[0].side);
  set_linger (pair->ends[1].side);
  g_hash_table_remove (proxy->pairs, pair);
}

/* Takes what SENDER has sent, unless it is held. */
static void
take (const proxy_t *proxy, pair_t *pair, int sender, int64_t now_ms)
{
  end_t *end = &pair->ends[sender];
  struct evbuffer *in = bufferevent_get_input (end->side);
  size_t size = evbuffer_get_length (in);

  if (size == 0 || pair->muted || rule_value (proxy, pair, sender, PROXY_HOLD) >= 0)
    return;
  int64_t slow = rule_value (proxy, pair, sender, PROXY_SLOW);
  int64_t delay_ms = MAX (rule_value (proxy, pair, sender, PROXY_DELAY), 0);
  if (slow >= 0)
    size = MIN (size, (size_t) slow);
  pair->moved = true;
  parcel_t *parcel = g_new0 (parcel_t, 1);
  parcel->due_ms = now_ms + delay_ms;
  parcel->bytes = evbuffer_new ();
  evbuffer_remove_buffer (in, parcel->bytes, size);
  g_queue_push_tail (&end->parcels, parcel);
}

static void
pass_on (pair_t *pair, int sender, int64_t now_ms)
{
  end_t *end = &pair->ends[sender];
  struct evbuffer *out = bufferevent_get_output (pair->ends[1 - sender].side);
  parcel_t *parcel = NULL;

  while ((parcel = g_queue_peek_head (&end->parcels)) != NULL && parcel->due_ms <= now_ms)
    {
      evbuffer_add_buffer (out, parcel->bytes);
      free_parcel (g_queue_pop_head (&end->parcels));
    }
}

/* One side has ended and all that it sent has been written: so does the other. */
static bool
is_over (const pair_t *pair)
{
  for (int i = 0; i < 2; i++)
    {
      const end_t *end = &pair->ends[i];
      const end_t *other = &pair->ends[1 - i];
      bool held = pair->muted && !other->ended;
      if (end->ended && !held && end->parcels.length == 0
          && evbuffer_get_length (bufferevent_get_input (end->side)) == 0
          && evbuffer_get_length (bufferevent_get_output (other->side)) == 0)
        return true;
    }
  return false;
}

static bool
is_pending (const pair_t *pair)
{
  for (int i = 0; i < 2; i++)
    {
      const end_t *end = &pair->ends[i];
      if (end->ended || end->parcels.length > 0
          || evbuffer_get_length (bufferevent_get_input (end->side)) > 0)
        return true;
    }
  return false;
}

static void
move (proxy_t *proxy, pair_t *pair)
{
  int64_t now_ms = g_get_monotonic_time () / 1000;

  if (rule_value (proxy, pair, 0, PROXY_BREAK) >= 0)
    {
      reset_pair (proxy, pair);
      return;
    }
  for (int i = 0; i < 2; i++)
    {
      take (proxy, pair, i, now_ms);
      pass_on (pair, i, now_ms);
    }
  /* An end that is cut off is not noticed while the cut lasts. */
  if (is_over (pair) && rule_value (proxy, pair, pair->ends[1].ended, PROXY_HOLD) < 0)
    g_hash_table_remove (proxy->pairs, pair);
  else
    pair->pending = is_pending (pair);
}

static void
on_readable (struct bufferevent *side, void *data)
{
  pair_t *pair = data;
  proxy_t *proxy = pair->door->proxy;

  if (side == pair->ends[0].side)
    find_source (proxy, pair, bufferevent_get_input (side));
  move (proxy, pair);
}

static void
on_event (struct bufferevent *side, short what, void *data)
{
  pair_t *pair = data;

  if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
    return;
  pair->ends[side == pair->ends[1].side].ended = true;
  pair->pending = true;
  if (pair->door->proxy->drops_unsent && !pair->moved && pair->ends[0].ended)
    {
      reset_pair (pair->door->proxy, pair);
      return;
    }
  if ((what & BEV_EVENT_ERROR) && !pair->muted
      && rule_value (pair->door->proxy, pair, side == pair->ends[1].side, PROXY_HOLD) < 0)
    reset_pair (pair->door->proxy, pair);
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int size,
           void *data)
{
  const door_t *door = data;
  proxy_t *proxy = door->proxy;
  struct event_base *base = loop_event_base (proxy->loop);
  struct sockaddr_in there = { .sin_family = AF_INET,
                               .sin_port = htons ((uint16_t) door->port_there),
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  pair_t *pair = g_new0 (pair_t, 1);

  (void) listener;
  (void) address;
  (void) size;
  pair->door = door;
  pair->from = find_name (proxy, door->from);
  pair->ends[0].side = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  pair->ends[1].side = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  for (int i = 0; i < 2; i++)
    {
      g_queue_init (&pair->ends[i].parcels);
      bufferevent_setcb (pair->ends[i].side, on_readable, NULL, on_event, pair);
      bufferevent_enable (pair->ends[i].side, EV_READ | EV_WRITE);
    }
  g_hash_table_add (proxy->pairs, pair);
  if (bufferevent_socket_connect (pair->ends[1].side, (struct sockaddr *) &there, sizeof there)
      != 0)
    reset_pair (proxy, pair);
}

/* Moves the pairs that wait for time or for the end of a rule, or ALL of them. */
static void
move_pairs (proxy_t *proxy, bool all)
{
  GPtrArray *pairs = g_ptr_array_new ();
  GHashTableIter iter;
  void *key = NULL;

  g_hash_table_iter_init (&iter, proxy->pairs);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (all || ((const pair_t *) key)->pending)
      g_ptr_array_add (pairs, key);
  for (guint i = 0; i < pairs->len; i++)
    move (proxy, pairs->pdata[i]);
  g_ptr_array_unref (pairs);
}

static void
on_tick (void *data)
{
  move_pairs (data, false);
}

/* --- requests from other threads --- */

typedef enum
{
  ASK_RULE,
  ASK_END_RULE,
  ASK_RESET,
  ASK_MUTE,
  ASK_STOP
} ask_kind_t;

typedef struct
{
  proxy_t *proxy;
  ask_kind_t kind;
  rule_t *rule;
  int32_t id;
  char *name;
} ask_t;

static void
free_rule (void *data)
{
  rule_t *rule = data;

  g_free (rule->from);
  g_free (rule->to);
  g_free (rule);
}

static void
end_rules (proxy_t *proxy, int32_t id)
{
  for (guint i = proxy->rules->len; i-- > 0;)
    if (((rule_t *) proxy->rules->pdata[i])->id == id)
      g_ptr_array_remove_index_fast (proxy->rules, i);
}

static void
hurt_pairs (proxy_t *proxy, const char *name, bool reset)
{
  GList *pairs = g_hash_table_get_keys (proxy->pairs);

  for (GList *at = pairs; at != NULL; at = at->next)
    {
      pair_t *pair = at->data;
      if (!(pair->from != NULL && strcmp (pair->from->name, name) == 0)
          && strcmp (pair->door->to, name) != 0)
        continue;
      if (reset)
        reset_pair (proxy, pair);
      else
        pair->muted = true;
    }
  g_list_free (pairs);
}

static void
carry_out (void *data)
{
  ask_t *ask = data;
  proxy_t *proxy = ask->proxy;

  switch (ask->kind)
    {
    case ASK_RULE:
      g_ptr_array_add (proxy->rules, ask->rule);
      move_pairs (proxy, true);
      break;
    case ASK_END_RULE:
      end_rules (proxy, ask->id);
      break;
    case ASK_RESET:
    case ASK_MUTE:
      hurt_pairs (proxy, ask->name, ask->kind == ASK_RESET);
      break;
    case ASK_STOP:
    default:
      loop_stop (proxy->loop);
      break;
    }
  g_free (ask->name);
  g_free (ask);
}

static void
ask (proxy_t *proxy, ask_kind_t kind, rule_t *rule, int32_t id, const char *name)
{
  ask_t *request = g_new0 (ask_t, 1);

  *request = (ask_t){ proxy, kind, rule, id, g_strdup (name) };
  loop_post (proxy->loop, carry_out, request);
}

void
proxy_rule (proxy_t *proxy,
            int32_t id,
            proxy_mode_t mode,
            const char *from,
            const char *to,
            int64_t value,
            bool one_way)
{
  rule_t *rule = g_new0 (rule_t, 1);

  *rule = (rule_t){ id, mode, g_strdup (from), g_strdup (to), value, one_way };
  ask (proxy, ASK_RULE, rule, id, NULL);
}

void
proxy_end_rule (proxy_t *proxy, int32_t id)
{
  ask (proxy, ASK_END_RULE, NULL, id, NULL);
}

void
proxy_reset (proxy_t *proxy, const char *name)
{
  ask (proxy, ASK_RESET, NULL, 0, name);
}

void
proxy_mute (proxy_t *proxy, const char *name)
{
  ask (proxy, ASK_MUTE, NULL, 0, name);
}

/* --- start and end --- */

typedef struct
{
  proxy_t *proxy;
  door_t *door;
  struct sockaddr_in address;
  GMutex lock;
  GCond done;
  bool finished;
  bool good;
} opening_t;

static void
open_door (void *data)
{
  opening_t *opening = data;
  struct evconnlistener *listener =
      evconnlistener_new_bind (loop_event_base (opening->proxy->loop), on_accept, opening->door,
                               LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                               (struct sockaddr *) &opening->address, sizeof opening->address);

  if (listener != NULL)
    g_ptr_array_add (opening->proxy->listeners, listener);
  g_mutex_lock (&opening->lock);
  opening->good = listener != NULL;
  opening->finished = true;
  g_cond_signal (&opening->done);
  g_mutex_unlock (&opening->lock);
}

int
proxy_listen (proxy_t *proxy,
              const char *ip,
              int port,
              int port_there,
              const char *from,
              const char *to,
              const char *to_group)
{
  door_t *door = g_new0 (door_t, 1);
  opening_t opening = { .proxy = proxy, .door = door };

  *door = (door_t){ proxy, port_there, g_strdup (from), g_strdup (to), g_strdup (to_group) };
  opening.address =
      (struct sockaddr_in){ .sin_family = AF_INET, .sin_port = htons ((uint16_t) port) };
  inet_pton (AF_INET, ip, &opening.address.sin_addr);
  g_ptr_array_add (proxy->doors, door);
  g_mutex_init (&opening.lock);
  g_cond_init (&opening.done);
  loop_post (proxy->loop, open_door, &opening);
  g_mutex_lock (&opening.lock);
  while (!opening.finished)
    g_cond_wait (&opening.done, &opening.lock);
  g_mutex_unlock (&opening.lock);
  g_mutex_clear (&opening.lock);
  g_cond_clear (&opening.done);
  return opening.good ? 0 : ERROR_IO;
}

static void *
run (void *data)
{
  loop_run (((proxy_t *) data)->loop);
  return NULL;
}

static void
free_name (void *data)
{
  name_t *name = data;

  g_free (name->name);
  g_free (name->group);
  g_free (name);
}

static void
free_door (void *data)
{
  door_t *door = data;

  g_free (door->from);
  g_free (door->to);
  g_free (door->to_group);
  g_free (door);
}

static void
free_listener (void *data)
{
  evconnlistener_free (data);
}

proxy_t *
proxy_new (void)
{
  proxy_t *proxy = g_new0 (proxy_t, 1);

  proxy->names = g_ptr_array_new_with_free_func (free_name);
  proxy->rules = g_ptr_array_new_with_free_func (free_rule);
  proxy->doors = g_ptr_array_new_with_free_func (free_door);
  proxy->listeners = g_ptr_array_new_with_free_func (free_listener);
  proxy->pairs = g_hash_table_new_full (NULL, NULL, free_pair, NULL);
  proxy->loop = loop_new (TICK_MS, on_tick, proxy);
  proxy->thread = g_thread_new ("proxy", run, proxy);
  return proxy;
}

void
proxy_drop_unsent (proxy_t *proxy)
{
  proxy->drops_unsent = true;
}

void
proxy_name (proxy_t *proxy, const char *name, const char *group, int64_t token_tag)
{
  name_t *entry = g_new0 (name_t, 1);

  *entry = (name_t){ g_strdup (name), g_strdup (group), token_tag };
  /* Names are told before there are connections. */
  g_ptr_array_add (proxy->names, entry);
}

void
proxy_free (proxy_t *proxy)
{
  ask (proxy, ASK_STOP, NULL, 0, NULL);
  g_thread_join (proxy->thread);
  g_hash_table_unref (proxy->pairs);
  g_ptr_array_unref (proxy->listeners);
  g_ptr_array_unref (proxy->doors);
  g_ptr_array_unref (proxy->rules);
  g_ptr_array_unref (proxy->names);
  loop_free (proxy->loop);
  g_free (proxy);
}
