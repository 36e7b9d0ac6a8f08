/* Endpoints that turned a request away and said for how long they want no
   others.

   The load: an engine that is out of memory or slots refuses with a time to
   come back.  Requests that are sent to it before cost a round trip each, and
   repeats of the retry budget.  Until its time is over it is capacity that
   isn't there: paths over it are closed, and a request that no other endpoint
   can serve in time is refused at once.  It is not ill, so no failure is
   counted.

   When the time is over, the daemons of a fleet, which an engine turned away
   together, and the callers that they refused, would come back in step and
   fill it at once.  Each adds a random delay in proportion to the time. */
#ifndef CORE_TURNED_AWAY_H
#define CORE_TURNED_AWAY_H

#include <stdint.h>

/* Limit on the time for which an endpoint is kept closed by what it said: a
   day, in microseconds. */
#define TNA_LONGEST_US INT64_C (86400000000)

/* How a stated time was read. */
enum tna_reading
{
  TNA_NOT_STATED,
  TNA_STATED,
  TNA_BOUNDED, /* longer than TNA_LONGEST_US, which holds instead */
  TNA_INVALID  /* no time */
};

/* What becomes of a request that no open endpoint can serve. */
enum tna_action
{
  TNA_WAIT, /* until the first endpoint opens */
  TNA_REFUSE
};

struct tna_request
{
  int64_t age_us;       /* since its arrival */
  int64_t target_us;    /* within which its answer is due; 0: none */
  int64_t remaining_us; /* until its deadline */
};

/* Until when endpoints are closed. */
struct tna_table;

enum tna_reading tna_read (const char *text, int64_t *duration_us);

struct tna_table *tna_create (void);
void tna_destroy (struct tna_table *table);
int64_t tna_close (struct tna_table *table, const char *id, int64_t born_ms,
                   int64_t duration_us, double draw, int64_t now_us);
int64_t tna_opens_us (const struct tna_table *table, const char *id,
                      int64_t born_ms);

enum tna_action tna_decide (const struct tna_request *request,
                            int64_t wait_us);
double tna_retry_after_s (int64_t wait_us, double draw);

#endif
