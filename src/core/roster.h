/* The endpoints that may get work, as the platform's list tells of them.
   Answers the loads of releases, scale-ins and outages of the list: an
   endpoint that leaves gets no new work, one that was only forgotten while the
   list was away stays in use until the list had time to name it again. */
#ifndef CORE_ROSTER_H
#define CORE_ROSTER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct rst_layers
{
  uint32_t first;
  uint32_t end; /* one past the last layer; equal to first: none */
};

/* One endpoint as it describes itself.  Strings are owned. */
struct rst_endpoint
{
  char *id;
  char *service;
  char *address; /* IP:PORT */
  char *data_centre;
  char *kind; /* of accelerator; NULL for plain services */
  uint32_t slots;
  bool leaving;
  int64_t born_ms; /* start of this incarnation; 0 where it isn't told */
  struct rst_layers layers;
  bool busy; /* an order is under way */
};

struct rst;

struct rst *rst_create (void);
void rst_destroy (struct rst *roster);
void rst_endpoint_destroy (struct rst_endpoint *endpoint);
struct rst_endpoint *rst_endpoint_copy (const struct rst_endpoint *endpoint);
bool rst_take (struct rst *roster, struct rst_endpoint *endpoint,
               uint64_t offset);
bool rst_remove (struct rst *roster, const char *id, uint64_t offset,
                 int64_t now_us);
void rst_begin_full (struct rst *roster);
bool rst_end_full (struct rst *roster, uint64_t offset, int64_t now_us);
void rst_outage (struct rst *roster);
void rst_contact (struct rst *roster, int64_t now_us);
bool rst_tick (struct rst *roster, int64_t now_us);
GPtrArray *rst_list (struct rst *roster);

#endif
