/* The aggregator's table of the requests that all daemons have in progress at
   each first engine (an engine at which paths begin), and of the engines that
   they have found dead.

   The load: in a fleet of hundreds of daemons each one sends a few streams a
   second to a dozen first engines, so its own streams show the queue of an
   engine only seconds after it has built up, and each daemon runs into a dead
   engine by itself.  The sums over all daemons show both within a statement's
   interval.

   A statement replaces the earlier one of its daemon, and is dropped if the
   daemon doesn't renew it, so the part of a daemon that died is removed.  Two
   daemons must report a death before others take the engine for dead, since
   one daemon may be cut off without knowing it yet. */
#ifndef CORE_FLEET_LOAD_H
#define CORE_FLEET_LOAD_H

#include "core/fleet.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Limits of a table; what is beyond them is refused. */
#define FLO_DAEMONS_MAX 1024
#define FLO_PARTS_MAX 256 /* first engines of one daemon */
#define FLO_ENGINES_MAX 1024
#define FLO_DEATHS_MAX 64
#define FLO_REQUESTS_MAX 65536 /* of one daemon at one engine */

#define FLO_EXPIRY_US INT64_C (1500000) /* of a statement */
#define FLO_DEATH_US                                                          \
  INT64_C (2000000) /* how long a report of a death counts                    \
                     */

/* Reports of so many daemons make an engine dead for all. */
#define FLO_REPORTERS_MIN 2

/* What one daemon has in progress at one first engine. */
struct flo_part
{
  const char *id;
  int64_t born_ms; /* start of the engine's incarnation */
  uint32_t requests;
  uint32_t waiting[FLT_RANKS_MAX]; /* those of them that wait for their first
                                  event */
};

/* An engine that a daemon has found dead, or alive after a report. */
struct flo_report
{
  const char *id;
  int64_t born_ms;
  int64_t age_us; /* since it was found so */
  bool alive;
};

struct flo_statement
{
  const char *name;  /* of the daemon */
  uint64_t sequence; /* rises with each statement of the daemon */
  const struct flo_part *parts;
  size_t part_count;
  const struct flo_report *reports;
  size_t report_count;
  uint64_t arrived[FLT_RANKS_MAX]; /* requests since the daemon's start */
};

/* The requests at one first engine. */
struct flo_total
{
  uint32_t requests;
  uint32_t waiting[FLT_RANKS_MAX]; /* for their first event */
  uint32_t daemons;                /* that state requests there */
  int64_t age_us;                  /* of the oldest part */
};

struct flo_sum
{
  const char *id;
  int64_t born_ms;
  struct flo_total total;
};

struct flo_death
{
  const char *id;
  int64_t born_ms;
  uint32_t reporters;
  int64_t age_us; /* of the newest report */
};

enum flo_merged
{
  FLO_TAKEN,
  FLO_OLDER,  /* a later statement of the daemon is known */
  FLO_REFUSED /* can't be true, or is beyond the limits */
};

struct flo_table;

struct flo_table *flo_create (void);
void flo_destroy (struct flo_table *table);
enum flo_merged flo_merge (struct flo_table *table,
                           const struct flo_statement *statement,
                           int64_t now_us);
bool flo_read (struct flo_table *table, const char *id, int64_t born_ms,
               int64_t now_us, struct flo_total *total);
GArray *flo_list (struct flo_table *table, int64_t now_us);
GArray *flo_list_dead (struct flo_table *table, int64_t now_us);
void flo_rates (struct flo_table *table, int64_t now_us,
                double per_s[FLT_RANKS_MAX]);
uint32_t flo_daemons (struct flo_table *table, int64_t now_us);
uint64_t flo_deaths_version (const struct flo_table *table);
bool flo_is_valid_id (const char *id);

#endif
