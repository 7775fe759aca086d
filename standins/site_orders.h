/* site_orders.h -- the orders to a stand-in endpoint: starts, stops and polls over HTTP
 *
 * A poll may wait for an end.  An order that is to be late is kept as text, gets no answer and is
 * carried out by a tick.
 *
 * Runs on the loop's thread.  Private to the stand-in endpoint.
 */
#ifndef STANDINS_SITE_ORDERS_H
#define STANDINS_SITE_ORDERS_H

#include "standins/site_endpoint_state.h"

void site_orders_init (site_endpoint_t *endpoint);

/* Handlers of the endpoint's listener; DATA is the endpoint. */
void site_orders_take (web_request_t *request, void *data);
void site_orders_abandoned (web_request_t *request, void *data);

/* Carries out the late orders that are due and answers the polls that need not wait any more. */
void site_orders_tick (site_endpoint_t *endpoint, int64_t now_ms);

#endif
