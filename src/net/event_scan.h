/* Splits a stream of server-sent events (text/event-stream) into complete
   events and checks their ids.  Only complete events are passed on, because a
   sender may fail in the middle of one. */
#ifndef NET_EVENT_SCAN_H
#define NET_EVENT_SCAN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct evs_scanner
{
  GByteArray *pending; /* bytes after the last complete event */
  size_t line;         /* start of the first incomplete line of these */
  size_t searched;     /* bytes of these without the end of that line */
  int64_t last_id;     /* of the last event passed on; -1: none */
  uint32_t repeated;   /* events discarded since evs_restart */
  bool needs_ids;      /* each event must have an id */
  bool out_of_order;   /* an id skipped a number, or an event lacks one, since
                          evs_restart */
};

void evs_init (struct evs_scanner *scanner);
void evs_clear (struct evs_scanner *scanner);
void evs_restart (struct evs_scanner *scanner);
uint32_t evs_feed (struct evs_scanner *scanner, const void *bytes,
                   size_t count, GByteArray *complete);

#endif
