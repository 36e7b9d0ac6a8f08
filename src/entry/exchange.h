/* One exchange: a request of a caller from its arrival to its answer, with
   every attempt to have an endpoint serve it. */
#ifndef ENTRY_EXCHANGE_H
#define ENTRY_EXCHANGE_H

#include "entry/traffic.h"

void exg_start (struct trf_traffic *traffic, struct nsv_connection *caller,
                const struct msg_message *request, const char *method);
void exg_serve (struct trf_traffic *traffic, struct nsv_connection *caller,
                const struct msg_message *request, const char *method,
                int64_t arrived_us);
int64_t exg_time_left_us (const struct flt_config *config,
                          const struct msg_message *request);
void exg_check_streams (struct trf_traffic *traffic,
                        const struct fst_endpoint *engine);
void exg_expedite_checks (struct trf_traffic *traffic,
                          const struct fst_endpoint *engine);
void exg_withdraw_unsent (struct trf_traffic *traffic,
                          const struct fst_endpoint *endpoint);
void exg_stop_quarantined (struct trf_traffic *traffic);
void exg_stop_all (struct trf_traffic *traffic);
void exg_refuse_incomplete (struct trf_traffic *traffic,
                            struct nsv_connection *caller,
                            const struct msg_message *request,
                            const char *why);

#endif
