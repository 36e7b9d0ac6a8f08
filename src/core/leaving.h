/* Tracks which endpoints are leaving the fleet.  There are three sources of
   such reports, called causes.  A report of any one cause that an endpoint is
   leaving closes the endpoint to new work.  The endpoint is open again once
   newer reports have withdrawn every cause.  A mark holds the newest report of
   one cause about one endpoint; daemons exchange their marks, so that all of
   them converge.  Endpoints are identified by the name of their host. */
#ifndef CORE_LEAVING_H
#define CORE_LEAVING_H

#include "core/config.h"

#include <stdbool.h>
#include <stdint.h>

/* After an endpoint refused work as leaving or reported that it leaves,
   reports of "not leaving" from the same incarnation are ignored for this
   time.  It is longer than the lag of load reports, so a report that arrives
   later was made after the refusal. */
#define LV_REFUSAL_HOLD_US INT64_C (10000000)

enum lv_cause
{
  LV_LIST,     /* the platform's host list */
  LV_DRAIN,    /* an operator's drain in the configuration */
  LV_ENDPOINT, /* a refusal or load report of the endpoint */
  LV_CAUSE_COUNT
};

/* Whether one endpoint is leaving according to one cause.  Of two marks of the
   same endpoint and cause, the one with the higher ORDER is the newer one. */
struct lv_mark
{
  uint64_t order;       /* LV_LIST: host list version; LV_DRAIN: configuration
                           version; LV_ENDPOINT: number of changes of
                           LEAVING, here and at peers */
  uint64_t incarnation; /* of the endpoint; LV_ENDPOINT only; 0: unknown */
  enum lv_cause cause;
  char host[CFG_NAME_BYTES];
  bool leaving;
};

/* Result of a report. */
struct lv_outcome
{
  bool changed;      /* the endpoint was opened or closed to new work */
  bool notify_peers; /* MARK has to be sent to the peers */
  struct lv_mark mark;
};

struct lv_hosts;

struct lv_hosts *lv_create (void);
void lv_destroy (struct lv_hosts *hosts);
struct lv_outcome lv_apply_host_list (struct lv_hosts *hosts, const char *host,
                                      uint64_t list_version, bool leaving);
struct lv_outcome lv_apply_drain (struct lv_hosts *hosts, const char *host,
                                  uint64_t config_version, bool draining);
struct lv_outcome lv_apply_endpoint_report (struct lv_hosts *hosts,
                                            const char *host,
                                            uint64_t incarnation, bool leaving,
                                            int64_t now_us);
struct lv_outcome lv_apply_peer_mark (struct lv_hosts *hosts,
                                      const struct lv_mark *mark,
                                      int64_t now_us);
bool lv_takes_work (const struct lv_hosts *hosts, const char *host);
uint32_t lv_causes (const struct lv_hosts *hosts, const char *host);
void lv_remove (struct lv_hosts *hosts, const char *host);
bool lv_mark_is_newer (const struct lv_mark *mark, const struct lv_mark *than);

#endif
