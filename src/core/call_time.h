/* Estimates of how long a call of a plain service takes.

   The load: calls of one service that look alike take times that differ by a
   factor of twenty, depending on the route, the method or the size of the
   body.  The estimates are distributions of the times that this daemon has
   measured, by these three. */
#ifndef CORE_CALL_TIME_H
#define CORE_CALL_TIME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct clt_times;
struct clt_class; /* calls that are expected to take the same time */

struct clt_times *clt_create (void);
void clt_destroy (struct clt_times *times);
struct clt_class *clt_find (struct clt_times *times, const char *service,
                            const char *route, const char *method,
                            size_t body_bytes);
void clt_release (struct clt_class *call_class);
void clt_learn (struct clt_class *call_class, int64_t time_us,
                bool is_complete, int64_t now_us);
bool clt_is_known (const struct clt_class *call_class, int64_t now_us);
bool clt_differs (const struct clt_times *times,
                  const struct clt_class *call_class, int64_t now_us);
double clt_remaining_us (const struct clt_class *call_class,
                         int64_t elapsed_us, int64_t now_us);
double clt_service_mean_us (const struct clt_times *times,
                            const struct clt_class *call_class,
                            int64_t now_us);

#endif
