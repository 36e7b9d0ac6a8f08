/* Passes requests on to another daemon while this one can't reach the
   endpoints that would serve them.  For the traffic thread.  See core/reach.h
   for how that is found out. */
#ifndef ENTRY_PASSING_H
#define ENTRY_PASSING_H

#include "entry/traffic.h"

/* What a daemon accepts beyond the limit on heads that the configuration sets:
   a request that is passed on gets headers of the daemon that does so. */
#define PSG_HEAD_BYTES 512

struct psg_passing;

struct psg_passing *psg_create (struct nbr_neighbours *neighbours);
void psg_destroy (struct psg_passing *passing);
void psg_report_answer (struct trf_traffic *traffic,
                        struct fst_endpoint *endpoint, int64_t sent_us);
void psg_report_failure (struct trf_traffic *traffic,
                         const struct fst_endpoint *endpoint, int64_t sent_us);
bool psg_is_cut_off (const struct trf_traffic *traffic, uint32_t service);
bool psg_knows_neighbours (const struct trf_traffic *traffic);
bool psg_is_ready (const struct trf_traffic *traffic);
bool psg_begin_round (struct trf_traffic *traffic, uint32_t service);
void psg_end_round (struct trf_traffic *traffic, uint32_t service,
                    uint32_t probes, uint32_t answers, int64_t began_us);
void psg_report_neighbour (struct trf_traffic *traffic, uint32_t service,
                           const struct fst_endpoint *neighbour, bool serves);
struct fst_endpoint *psg_choose (struct trf_traffic *traffic, uint32_t service,
                                 const GPtrArray *tried);

#endif
