/* Runs one draft, the generation of text by a model, on the calling traffic
   thread: sends the steps that the request state machine (core/request.h) asks
   for to engines, and passes their results back to it. */
#ifndef DAEMON_DRAFT_H
#define DAEMON_DRAFT_H

#include "daemon/gate.h"
#include "daemon/metrics.h"
#include "daemon/view.h"
#include "endpoint/canceller.h"

struct dft_draft
{
  const char *request_id;
  const char *model; /* a name of the configuration */
  const char *prompt;
  uint32_t max_tokens;
  uint32_t priority;
  int64_t deadline_us; /* monotonic */
};

/* The parts of the daemon that a draft uses. */
struct dft_env
{
  struct gt_gate *gate;
  struct met_metrics *metrics;
  uint32_t account; /* index in the configuration */
  struct vw_store *views;
  struct can_canceller *canceller;
};

/* Called for each token, with its text and the monotonic time at which it was
   received.  Returns false when the caller has gone. */
typedef bool (*dft_on_token) (const char *text, int64_t now_us,
                              void *user_data);

struct dft_run_result
{
  enum err_kind error; /* ERR_NONE: the draft is complete */
  uint32_t tokens;     /* passed to the callback */
  uint32_t attempts;
  bool ended; /* the model ended the text, perhaps before max_tokens */
  char failed_host[CFG_NAME_BYTES]; /* the last that failed a step; "": none */
  GString *path; /* hosts of the last chain, comma-separated; owned by the
                    caller */
};

void dft_run (const struct dft_env *env, const struct dft_draft *draft,
              dft_on_token on_token, void *user_data,
              struct dft_run_result *result);

#endif
