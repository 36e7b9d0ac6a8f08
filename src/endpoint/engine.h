/* Client of the HTTP interface of model engines, which is specified in
   docs/interfaces/engine.md.  The functions block until the engine has
   answered or a timeout has expired.  An engine computes ranges of a model's
   layers; a range contains the layers from FIRST up to, but not including,
   END. */
#ifndef ENDPOINT_ENGINE_H
#define ENDPOINT_ENGINE_H

#include "core/snapshot.h"
#include "endpoint/connection.h"

/* A step of a stream in one range.  Step 0 processes the prompt and the tokens
   that are known already, each further step the token of the step before. */
struct eng_step
{
  const char *request; /* id of the request */
  uint32_t attempt;    /* number of the attempt at the request */
  uint32_t step;       /* number of the step in the attempt, from 0 */
  const char *model;
  uint32_t first;
  uint32_t end;
  uint32_t priority;
  const char *prompt;     /* first range, step 0 only */
  const uint32_t *tokens; /* first range only: all are sent with step 0, later
                             only the last one */
  uint32_t token_count;
  const char *activation; /* input of the ranges after the first */
  bool new_connection;    /* don't reuse a connection */
  int64_t timeout_us;
};

/* The answer to a step. */
struct eng_step_answer
{
  char *activation; /* input of the next range; owned; last range: NULL */
  uint32_t token;   /* last range */
  char *text;       /* text of TOKEN; owned; other ranges: NULL */
  bool end;         /* last range: TOKEN ends the text */
  int32_t running;  /* steps that the engine computes now */
  int32_t queued;   /* steps that wait in the engine */
  bool leaving;     /* the engine is leaving */
  uint32_t expected_step; /* with ERR_OUT_OF_ORDER */
};

/* A range of a model's layers. */
struct eng_range
{
  char model[CFG_NAME_BYTES];
  uint32_t first; /* first layer */
  uint32_t end;   /* one past the last layer */
};

/* An engine's load report. */
struct eng_load_report
{
  int32_t running;
  int32_t queued;
  int64_t step_us; /* average duration of a step */
  bool leaving;
  uint64_t fence; /* highest fencing token that the engine has accepted */
  struct eng_range ranges[SNAP_RANGES_MAX]; /* loaded */
  uint32_t range_count;
  struct eng_range loading[SNAP_RANGES_MAX]; /* being loaded */
  uint32_t loading_count;
};

/* An order to load or unload a range. */
struct eng_order
{
  const char *action; /* "load" or "unload" */
  const char *model;
  uint32_t first;
  uint32_t end;
  uint64_t fence; /* fencing token of the sender's lease */
};

enum err_kind eng_step_run (struct con_pool *pool, const struct eng_step *step,
                            struct eng_step_answer *answer);
void eng_step_answer_clear (struct eng_step_answer *answer);
enum err_kind eng_cancel (struct con_pool *pool, const char *request,
                          uint32_t attempt);
bool eng_is_alive (struct con_pool *pool);
enum err_kind eng_load_report_get (struct con_pool *pool,
                                   struct eng_load_report *load);
enum err_kind eng_order_send (struct con_pool *pool,
                              const struct eng_order *order);

#endif
