/* The host list of the simulated platform.  Each change becomes visible to
   readers only after a configurable lag.  Thread-safe. */
#ifndef STANDIN_HOST_LIST_H
#define STANDIN_HOST_LIST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct hl_list;

/* A host to add or change. */
struct hl_host
{
  const char *name;
  const char *address; /* NULL: unchanged; empty for a new host */
  const char *role;    /* NULL: unchanged; `engine' for a new host */
  bool leaving;        /* listed as `leaving' instead of `live' */
};

struct hl_list *hl_create (int64_t lag_us);
void hl_destroy (struct hl_list *list);
void hl_set_lag (struct hl_list *list, int64_t lag_us);
int64_t hl_put (struct hl_list *list, const struct hl_host *host,
                int64_t now_us);
void hl_remove (struct hl_list *list, const char *name, int64_t now_us);
int64_t hl_render (struct hl_list *list, int64_t known_version, int64_t now_us,
                   GString *out);

#endif
