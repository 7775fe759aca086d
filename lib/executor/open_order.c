/* open_order.c -- start orders that an endpoint may still carry out */
#include "executor/open_order.h"

#include <string.h>

static void
free_open_order (void *data)
{
  open_order_t *order = data;

  g_free (order->task);
  g_free (order);
}

GPtrArray *
open_orders_new (void)
{
  return g_ptr_array_new_with_free_func (free_open_order);
}

static open_order_t *
find_order (const GPtrArray *orders, uint64_t serial)
{
  for (guint i = 0; i < orders->len; i++)
    {
      open_order_t *order = orders->pdata[i];
      if (order->serial == serial)
        return order;
    }
  return NULL;
}

void
open_orders_add (GPtrArray *orders,
                 const char *task,
                 int32_t attempt,
                 uint64_t serial,
                 bool answer_due,
                 int64_t until_ms)
{
  open_order_t *order = g_new0 (open_order_t, 1);

  order->task = g_strdup (task);
  order->attempt = attempt;
  order->serial = serial;
  order->answer_due = answer_due;
  order->until_ms = until_ms;
  g_ptr_array_add (orders, order);
}

bool
open_orders_answered (GPtrArray *orders, uint64_t serial)
{
  return g_ptr_array_remove_fast (orders, find_order (orders, serial));
}

void
open_orders_unanswered (GPtrArray *orders, uint64_t serial)
{
  open_order_t *order = find_order (orders, serial);

  if (order != NULL)
    order->answer_due = false;
}

bool
open_orders_may_run (GPtrArray *orders, const char *task)
{
  bool may_run = false;

  for (guint i = 0; i < orders->len; i++)
    {
      open_order_t *order = orders->pdata[i];
      if (order->stopped || strcmp (order->task, task) != 0)
        continue;
      order->stop_required |= !order->answer_due;
      may_run = true;
    }
  return may_run;
}

bool
open_orders_stopped (GPtrArray *orders, const char *task, int32_t attempt)
{
  bool required = false;

  for (guint i = 0; i < orders->len; i++)
    {
      open_order_t *order = orders->pdata[i];
      if (order->attempt == attempt && strcmp (order->task, task) == 0)
        {
          required |= order->stop_required;
          order->stopped |= order->stop_required;
          order->stop_required = false;
        }
    }
  return required;
}

void
open_orders_expire (GPtrArray *orders, int64_t now_ms)
{
  for (guint i = orders->len; i-- > 0;)
    if (((open_order_t *) orders->pdata[i])->until_ms < now_ms)
      g_ptr_array_remove_index_fast (orders, i);
}

void
open_orders_require_stops (GPtrArray *orders)
{
  for (guint i = 0; i < orders->len; i++)
    {
      open_order_t *order = orders->pdata[i];
      order->stop_required = true;
      order->stopped = false;
      order->stop_sent_at_ms = 0;
    }
}

bool
open_orders_may_start (const GPtrArray *orders)
{
  for (guint i = 0; i < orders->len; i++)
    if (((const open_order_t *) orders->pdata[i])->stop_required)
      return true;
  return false;
}
