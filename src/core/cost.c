#include "core/cost.h"

#include "core/log_histogram.h"
#include "core/oldest.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Limit on the kinds of requests that are told apart; one takes 1.1 KB. */
#define KINDS_MAX 512

/* Limit on the accounts whose bad input has been reported. */
#define REPORTED_MAX 1024

/* Length, in tokens, at the middle of the histograms of lengths. */
#define LENGTH_UNIT 1024.0

/* Spread of the distribution that is assumed before there are samples, and the
   number of samples that it counts as.  It is the spread of the ratio of real
   to hinted lengths of the deployments' callers. */
#define PRIOR_SPREAD 0.9
#define PRIOR_WEIGHT 10.0

/* Answer assumed when neither a usual length nor a limit is known. */
#define DEFAULT_LENGTH 256.0

/* Samples from which an account's own distribution is used, and from which the
   mean length of a route is known. */
#define ACCOUNT_SAMPLES 50.0
#define KNOWN_SAMPLES 20.0

/* Limit on the exponent of hints, see struct hint_fit. */
#define EXPONENT_MAX 2.0

/* A hint that is wrong by more than this factor isn't learned for other
   accounts.  With a spread of 0.9 that is one in 10,000 honest ones. */
#define WILD_FACTOR 32.0

/* An account whose median hint is wrong by more than this factor, from this
   many samples on, gives no hints.  The median of five honest hints is that
   far off once in 30,000 times. */
#define UNRELIABLE_FACTOR 8.0
#define UNRELIABLE_SAMPLES 5.0

/* Answers over their stated limit after which an account's limits aren't
   believed. */
#define OVER_LIMIT_MAX 5

/* Limit on stated numbers; sums of larger ones would lose their last digits,
   and what is added would not be what is taken off again. */
#define NUMBER_MAX 1e9

/* How lengths follow hints.  Where hints scatter about the real length, a
   large hint is too large more often than too small, and the expected length
   grows with less than its first power; the fit is a regression of the
   logarithms.  Sums decay as the histograms do. */
struct hint_fit
{
  double weight;
  double hints;    /* sum of the logarithms */
  double lengths;  /* likewise */
  double squares;  /* of the logarithms of hints */
  double products; /* of both logarithms */
  int64_t updated_us;
};

/* What is learned of the requests of a route, or of one account on it. */
struct kind
{
  struct hint_fit fit;
  struct lhg_histogram ratios;  /* real to hinted length; of accounts only */
  struct lhg_histogram fitted;  /* real length to that by `fit' */
  struct lhg_histogram lengths; /* in LENGTH_UNIT */
  uint32_t over_limit; /* answers that were longer than their stated limit */
  uint64_t used;       /* number of the newest use */
};

struct cos_costs
{
  GHashTable *kinds;    /* route, or route and account, to struct kind */
  GHashTable *reported; /* set of names of accounts */
  uint64_t uses;
};

/* Creates estimates without samples.  The caller frees them with
   cos_destroy.  */
struct cos_costs *
cos_create (void)
{
  struct cos_costs *costs = g_new0 (struct cos_costs, 1);
  costs->kinds
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  costs->reported
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return costs;
}

/* Frees COSTS.  */
void
cos_destroy (struct cos_costs *costs)
{
  g_hash_table_destroy (costs->kinds);
  g_hash_table_destroy (costs->reported);
  g_free (costs);
}

/* Sets NUMBER to the one in TEXT that END follows at.  Returns false unless it
   is a count of tokens: 0, or from 1 to NUMBER_MAX.  */
static bool
parse_part (const char *text, char **end, double *number)
{
  *number = g_ascii_strtod (text, end);
  bool valid = *end != text
               && (*number == 0 || (*number >= 1 && *number <= NUMBER_MAX));
  *number = valid ? *number : 0;
  return valid;
}

/* Sets NUMBER to the number of tokens in TEXT; 0 if TEXT is NULL.  Returns
   false, with 0, when it is no such number.  */
bool
cos_parse_number (const char *text, double *number)
{
  char *end = NULL;
  *number = 0;
  if (text == NULL)
    {
      return true;
    }
  bool valid
      = parse_part (text, &end, number) && end[strspn (end, " \t")] == '\0';
  *number = valid ? *number : 0;
  return valid;
}

/* Sets PROMPT and MOST to the numbers of tokens in TEXT, "prompt,output".  One
   that is missing or isn't valid is 0.  Returns false when one isn't
   valid.  */
bool
cos_parse_counts (const char *text, double *prompt, double *most)
{
  char *end = NULL;
  *prompt = 0;
  *most = 0;
  if (text == NULL)
    {
      return true;
    }
  bool valid = parse_part (text, &end, prompt);
  end += strspn (end, " \t");
  if (*end != ',')
    {
      return valid && *end == '\0';
    }
  return cos_parse_number (end + 1, most) && valid;
}

static uint64_t
kind_used (gconstpointer entry)
{
  return ((const struct kind *)entry)->used;
}

/* Returns the kind of the requests of ACCOUNT on ROUTE, or of all on ROUTE if
   ACCOUNT is NULL.  It stays until two other kinds have been looked up.  */
static struct kind *
find_kind (struct cos_costs *costs, const char *route, const char *account)
{
  g_autofree char *key = account == NULL
                             ? g_strdup (route)
                             : g_strdup_printf ("%s\n%s", route, account);
  struct kind *kind = g_hash_table_lookup (costs->kinds, key);
  if (kind == NULL)
    {
      if (g_hash_table_size (costs->kinds) >= KINDS_MAX)
        {
          old_remove (costs->kinds, kind_used);
        }
      kind = g_new0 (struct kind, 1);
      g_hash_table_insert (costs->kinds, g_steal_pointer (&key), kind);
    }
  kind->used = ++costs->uses;
  return kind;
}

/* Returns the kind of the requests of REQUEST's account on its route.  Those
   without an account are one account together.  */
static struct kind *
find_own_kind (struct cos_costs *costs, const struct cos_request *request)
{
  return find_kind (costs, request->route,
                    request->account == NULL ? "" : request->account);
}

/* Adds the sample of a HINT and a LENGTH to FIT at NOW_US.  */
static void
add_to_fit (struct hint_fit *fit, double hint, double length, int64_t now_us)
{
  double factor = lhg_decay (fit->updated_us, now_us);
  double x = log (hint);
  double y = log (length);
  fit->weight = fit->weight * factor + 1;
  fit->hints = fit->hints * factor + x;
  fit->lengths = fit->lengths * factor + y;
  fit->squares = fit->squares * factor + x * x;
  fit->products = fit->products * factor + x * y;
  fit->updated_us = MAX (now_us, fit->updated_us);
}

/* Returns the length that FIT gives for HINT, but for a constant factor.  The
   exponent is 1 without samples, which the prior keeps it near for the
   first.  */
static double
fit_length (const struct hint_fit *fit, double hint)
{
  const double prior = PRIOR_WEIGHT * PRIOR_SPREAD * PRIOR_SPREAD;
  if (fit->weight < 1)
    {
      return hint;
    }
  double mean = fit->hints / fit->weight;
  double variance = MAX (fit->squares - fit->hints * mean, 0);
  double covariance = fit->products - fit->lengths * mean;
  double exponent = (covariance + prior) / (variance + prior);
  return exp (mean + CLAMP (exponent, 0, EXPONENT_MAX) * (log (hint) - mean));
}

/* Returns whether the hints of the account whose requests are OWN say
   nothing.  */
static bool
is_unreliable (const struct kind *own, int64_t now_us)
{
  double median = lhg_quantile (&own->ratios, 0, 0.5);
  return lhg_weight (&own->ratios, now_us) >= UNRELIABLE_SAMPLES
         && (median > UNRELIABLE_FACTOR || median < 1 / UNRELIABLE_FACTOR);
}

/* Returns the usual length of the answer to REQUEST.  */
static double
usual_length (const struct cos_request *request)
{
  double length = request->usual > 0 ? request->usual : DEFAULT_LENGTH;
  return request->most > 0 ? MIN (length, request->most) : length;
}

/* Takes what is absurd, or what its account has been wrong with, out of
   REQUEST.  Returns false when there was such a thing.  */
bool
cos_clean (struct cos_costs *costs, struct cos_request *request,
           int64_t now_us)
{
  const struct kind *all = find_kind (costs, request->route, NULL);
  double mean = lhg_weight (&all->lengths, now_us) >= KNOWN_SAMPLES
                    ? lhg_mean (&all->lengths, 0, INFINITY) * LENGTH_UNIT
                    : MAX (request->usual, DEFAULT_LENGTH);
  const struct kind *own = find_own_kind (costs, request);
  bool absurd_hint = request->hint > mean * COS_ABSURD_FACTOR;
  bool absurd_most = request->most > mean * COS_ABSURD_FACTOR;
  bool unreliable = request->hint > 0 && is_unreliable (own, now_us);
  if (absurd_hint || unreliable)
    {
      request->hint = 0;
    }
  bool exceeded = request->most > 0 && own->over_limit >= OVER_LIMIT_MAX;
  if (absurd_most || exceeded)
    {
      request->most = 0;
    }
  return !absurd_hint && !absurd_most && !unreliable && !exceeded;
}

/* Returns whether bad input of ACCOUNT, NULL for none, is reported for the
   first time.  */
bool
cos_report_first (struct cos_costs *costs, const char *account)
{
  return g_hash_table_size (costs->reported) < REPORTED_MAX
         && g_hash_table_add (costs->reported,
                              g_strdup (account == NULL ? "" : account));
}

/* Sets HISTOGRAM to the distribution of the length of the answer to REQUEST,
   in a unit that it returns.  IS_LEARNED: there are samples.  */
static double
find_distribution (struct cos_costs *costs, const struct cos_request *request,
                   int64_t now_us, struct lhg_histogram *histogram,
                   bool *is_learned)
{
  const struct kind *all = find_kind (costs, request->route, NULL);
  const struct kind *own = find_own_kind (costs, request);
  bool by_hint = request->hint > 0;
  const struct lhg_histogram *known = by_hint ? &own->fitted : &own->lengths;
  const struct kind *kind
      = lhg_weight (known, now_us) >= ACCOUNT_SAMPLES ? own : all;
  *histogram = by_hint ? kind->fitted : kind->lengths;
  double unit = by_hint ? fit_length (&kind->fit, request->hint) : LENGTH_UNIT;
  double weight = lhg_weight (histogram, now_us);
  *is_learned = weight >= 1;
  /* The usual length is a mean, a hint a median. */
  double median = by_hint ? 1
                          : usual_length (request) / LENGTH_UNIT
                                * exp (-PRIOR_SPREAD * PRIOR_SPREAD / 2);
  /* The prior fades with the samples, so that it doesn't hold back a shift.
     The histogram's weights are those of its newest sample's time. */
  double prior = PRIOR_WEIGHT * PRIOR_WEIGHT / (PRIOR_WEIGHT + weight);
  prior *= weight > 0 ? histogram->weight / weight : 1;
  lhg_add_log_normal (histogram, median, PRIOR_SPREAD, prior);
  return unit;
}

/* Returns LENGTH, of which WRITTEN tokens have been written, within the limit
   that REQUEST states.  */
static double
limit_length (const struct cos_request *request, double length, double written)
{
  double most = request->most > 0 ? request->most : NUMBER_MAX;
  return MAX (MIN (length, most), MAX (written, 1));
}

/* Returns the expected length of the answer to REQUEST, of which WRITTEN
   tokens have been written.  */
double
cos_expected_tokens (struct cos_costs *costs,
                     const struct cos_request *request, double written,
                     int64_t now_us)
{
  struct lhg_histogram histogram;
  bool is_learned = false;
  double unit
      = find_distribution (costs, request, now_us, &histogram, &is_learned);
  double plain = request->hint > 0 ? request->hint : usual_length (request);
  if (!is_learned && plain > written)
    {
      return limit_length (request, plain, written);
    }
  double most = request->most > 0 ? request->most / unit : INFINITY;
  double mean = lhg_mean (&histogram, written / unit, most) * unit;
  return limit_length (request, mean, written);
}

/* Returns the length that the part QUANTILE of the answers to requests like
   REQUEST doesn't exceed, of those that have more than WRITTEN tokens.  */
double
cos_quantile_tokens (struct cos_costs *costs,
                     const struct cos_request *request, double written,
                     double quantile, int64_t now_us)
{
  struct lhg_histogram histogram;
  bool is_learned = false;
  double unit
      = find_distribution (costs, request, now_us, &histogram, &is_learned);
  return limit_length (
      request, lhg_quantile (&histogram, written / unit, quantile) * unit,
      written);
}

static void
add_sample (struct lhg_histogram *histogram, double value, bool is_complete,
            int64_t now_us)
{
  (is_complete ? lhg_add : lhg_add_lower_bound) (histogram, value, now_us);
}

/* Records for KIND that the answer with HINT had TOKENS, or at least these if
   it isn't complete.  */
static void
learn_hint (struct kind *kind, double hint, double tokens, bool is_complete,
            int64_t now_us)
{
  add_sample (&kind->fitted, tokens / fit_length (&kind->fit, hint),
              is_complete, now_us);
  if (is_complete)
    {
      add_to_fit (&kind->fit, hint, tokens, now_us);
    }
}

/* Records that the answer to REQUEST, as its caller stated it, had TOKENS, or
   at least these if it isn't complete.  */
void
cos_learn (struct cos_costs *costs, const struct cos_request *request,
           double tokens, bool is_complete, int64_t now_us)
{
  struct kind *all = find_kind (costs, request->route, NULL);
  struct kind *own = find_own_kind (costs, request);
  if (tokens <= 0)
    {
      return;
    }
  add_sample (&all->lengths, tokens / LENGTH_UNIT, is_complete, now_us);
  add_sample (&own->lengths, tokens / LENGTH_UNIT, is_complete, now_us);
  own->over_limit += request->most > 0 && tokens > request->most;
  if (request->hint <= 0)
    {
      return;
    }
  double ratio = tokens / request->hint;
  bool is_wild
      = ratio > WILD_FACTOR || (is_complete && ratio < 1 / WILD_FACTOR);
  add_sample (&own->ratios, ratio, is_complete, now_us);
  learn_hint (own, request->hint, tokens, is_complete, now_us);
  if (!is_wild && !is_unreliable (own, now_us))
    {
      learn_hint (all, request->hint, tokens, is_complete, now_us);
    }
}
