/* Scans a stream of server-sent events (text/event-stream) for whole events
   and their ids.  A sender may stop in the middle of an event, so only whole
   ones are passed on. */
#ifndef NET_EVENT_SCAN_H
#define NET_EVENT_SCAN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct evs_scanner
{
  GByteArray *pending; /* bytes after the last whole event */
  int64_t last_id;     /* of the last whole event passed; -1: none */
  bool out_of_order;   /* an id didn't follow the one before */
};

void evs_init (struct evs_scanner *scanner);
void evs_clear (struct evs_scanner *scanner);
void evs_restart (struct evs_scanner *scanner);
uint32_t evs_feed (struct evs_scanner *scanner, const void *bytes,
                   size_t count, GByteArray *whole);

#endif
