/* This daemon's side of the exchange of load between daemons: tells an
   aggregator the streams that it has in progress at each engine at which paths
   begin, and which engines it has found dead, and learns the same of all
   others (core/fleet_load.h, core/fleet_known.h).  Runs on the traffic thread.

   The aggregator is the first relay of the settings that answers.  An
   exchange takes place only in a crowded fleet, and only while this daemon
   serves streams.  */
#ifndef ENTRY_LOAD_EXCHANGE_H
#define ENTRY_LOAD_EXCHANGE_H

#include "core/evidence.h"
#include "core/fleet_load.h"
#include "entry/traffic.h"

/* Called when other daemons report the engine ID dead, in its incarnation that
   started at BORN_MS: CONFIRMED by several of them, or suspected.  FOUND_US,
   monotonic, is when it was found so.  */
typedef void (*lex_dead) (void *context, const char *id, int64_t born_ms,
                          bool confirmed, int64_t found_us);

struct lex_exchange;

struct lex_exchange *lex_create (struct trf_traffic *traffic, lex_dead dead,
                                 void *context);
void lex_destroy (struct lex_exchange *exchange);
void lex_step (struct lex_exchange *exchange, bool crowded, int64_t now_us);
void lex_count_arrival (struct lex_exchange *exchange, uint32_t service,
                        uint32_t rank, int64_t now_us);
void lex_report_failure (struct lex_exchange *exchange,
                         const struct fst_endpoint *endpoint,
                         enum evd_failure_kind kind, bool in_backoff,
                         int64_t now_us);
bool lex_total (const struct lex_exchange *exchange,
                const struct fst_endpoint *endpoint, int64_t now_us,
                struct flo_total *total);
bool lex_rates (const struct lex_exchange *exchange, int64_t now_us,
                double per_s[FLT_RANKS_MAX]);
void lex_update_gauges (const struct lex_exchange *exchange, int64_t now_us);

#endif
