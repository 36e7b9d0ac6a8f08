/* Client of the host list, which the platform, the system that provides the
   hosts and the log, serves over HTTP.  The list may lag behind the hosts'
   actual state.  HTTP interface: docs/interfaces/log.md. */
#ifndef PLATFORM_HOST_LIST_H
#define PLATFORM_HOST_LIST_H

#include "core/config.h"
#include "endpoint/connection.h"

struct hl_host
{
  char name[CFG_NAME_BYTES];
  char address[CFG_ADDRESS_BYTES];
  bool leaving;   /* the platform announced the host's removal */
  bool is_daemon; /* runs one of this router's daemons, not an engine */
};

struct hl_list
{
  uint64_t version; /* rises with each change of the list */
  struct hl_host *hosts;
  uint32_t host_count;
};

enum err_kind hl_get (struct con_pool *pool, uint64_t newer_than,
                      struct hl_list *list, bool *changed);
void hl_clear (struct hl_list *list);

#endif
