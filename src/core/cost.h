/* Estimates of how many tokens the answer to a request will have.

   The load: requests that look alike have answers whose lengths differ by a
   factor of a hundred.  Callers state the most that an answer may have, which
   few reach, and some add a hint, which is right at the median and often far
   off.  The estimates are distributions, learned by route and by account from
   the answers that this daemon has delivered.

   An account can't change what others' requests are taken for by the hints
   that it sends: those that turn out to be wrong by a large factor are learned
   for its own requests alone. */
#ifndef CORE_COST_H
#define CORE_COST_H

#include <stdbool.h>
#include <stdint.h>

/* A stated number of tokens over this multiple of the mean or usual one is no
   estimate. */
#define COS_ABSURD_FACTOR 1000.0

/* What is known of a request before it runs. */
struct cos_request
{
  const char *route;
  const char *account; /* NULL: none */
  double hint;         /* the caller's estimate of the answer; 0: none */
  double most;         /* limit of the answer; 0: none is stated */
  double usual;        /* usual answer of the service; 0: unknown */
};

struct cos_costs;

struct cos_costs *cos_create (void);
void cos_destroy (struct cos_costs *costs);
bool cos_parse_number (const char *text, double *number);
bool cos_parse_counts (const char *text, double *prompt, double *most);
bool cos_clean (struct cos_costs *costs, struct cos_request *request,
                int64_t now_us);
bool cos_report_first (struct cos_costs *costs, const char *account);
double cos_expected_tokens (struct cos_costs *costs,
                            const struct cos_request *request, double written,
                            int64_t now_us);
double cos_quantile_tokens (struct cos_costs *costs,
                            const struct cos_request *request, double written,
                            double quantile, int64_t now_us);
void cos_learn (struct cos_costs *costs, const struct cos_request *request,
                double tokens, bool is_complete, int64_t now_us);

#endif
