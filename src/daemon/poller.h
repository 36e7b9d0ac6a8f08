/* Threads that read the load reports of engines, on request, and the
   platform's host list, periodically. */
#ifndef DAEMON_POLLER_H
#define DAEMON_POLLER_H

#include "endpoint/endpoint.h"
#include "endpoint/engine.h"
#include "platform/host_list.h"

struct pol_poller;

/* Called on the poller's threads.  LOAD and LIST are valid until the
   callback returns. */
struct pol_callbacks
{
  /* A load poll has ended.  LOAD is valid when ERROR is ERR_NONE. */
  void (*on_load) (struct ept_endpoint *endpoint, enum err_kind error,
                   const struct eng_load_report *load, void *user_data);
  /* A new version of the host list was read. */
  void (*on_host_list) (const struct hl_list *list, void *user_data);
};

struct pol_poller *pol_create (const char *host_list_url,
                               const struct pol_callbacks *callbacks,
                               void *user_data);
void pol_destroy (struct pol_poller *poller);
void pol_poll_load (struct pol_poller *poller, struct ept_endpoint *endpoint);

#endif
