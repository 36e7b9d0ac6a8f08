/* Internals of the engine stand-in: jobs, streams, requests and the engine's
   state. */
#ifndef STANDIN_ENGINE_PRIVATE_H
#define STANDIN_ENGINE_PRIVATE_H

#include "base/error.h"
#include "standin/engine.h"
#include "standin/http_server.h"
#include "standin/prefix_cache.h"

#include <jansson.h>
#include <pthread.h>

/* A range of layers of one model. */
struct fe_range
{
  uint32_t model; /* index in the options */
  uint32_t first;
  uint32_t end; /* one past the last layer */
};

enum fe_job_state
{
  FE_JOB_WAITING,
  FE_JOB_RUNNING,
  FE_JOB_DONE,
  FE_JOB_DROPPED /* will not run */
};

struct fe_stream;

/* One step of one stream. */
struct fe_job
{
  uint32_t references;
  enum fe_job_state state;
  struct fe_stream *stream; /* NULL once the stream is freed */
  uint32_t step;
  uint32_t priority;
  uint64_t arrival; /* rises from job to job */
  uint64_t *hidden; /* hidden state of each position */
  uint32_t positions;
  uint32_t cached_positions; /* found in the prefix cache, so cost no time */
  pthread_cond_t finished;
  GString *output; /* start of the answer, once done */
};

/* The state of one attempt of a request in one layer range. */
struct fe_stream
{
  struct fe_request *request;
  struct fe_range range;
  uint64_t *kv; /* state of each layer */
  uint32_t positions;
  uint32_t next_step;
  struct fe_job *last_job; /* NULL after an import */
};

/* A request and the streams of its newest attempt. */
struct fe_request
{
  char *id;
  uint32_t attempt; /* highest seen */
  bool cancelled;
  int64_t last_used_us;
  GPtrArray *streams; /* struct fe_stream */
};

struct fe_engine
{
  struct fe_options options;
  struct hs_server *server;
  pthread_t batch_thread;
  pthread_t control_thread;
  pthread_mutex_t lock;         /* guards all members below */
  pthread_cond_t work_ready;    /* a job is queued, or the engine stops */
  pthread_cond_t control_ready; /* a load is queued, or the engine stops */
  bool stopping;
  GHashTable *requests; /* id to struct fe_request */
  GPtrArray *queue;     /* struct fe_job, referenced */
  uint32_t running_jobs;
  uint64_t next_arrival;
  uint64_t kv_layer_positions; /* KV state in use: positions times layers */
  int64_t average_batch_us;    /* moving average of the time of a batch */
  GArray *loaded_ranges;       /* struct fe_range */
  GArray *loading_ranges;      /* struct fe_range, in the order of loading */
  int64_t newest_fence;        /* highest fencing number of an order */
  GString *report;             /* load report, refreshed at an interval */
  struct pfx_cache *cache;
  bool leaving;              /* rejects new streams */
  bool refusing_steps;       /* rejects every step */
  double slow_factor;        /* for the time of a batch */
  uint32_t answers_to_delay; /* step answers left to delay */
  uint32_t answer_delay_ms;
  uint32_t pairs_to_swap;    /* pairs of step answers left to swap */
  GString *unswapped_answer; /* waits for the second of a pair, or NULL */
  pthread_cond_t answer_swapped;
};

/* A parsed call of /v1/step. */
struct fe_step
{
  const char *request;
  uint32_t attempt;
  uint32_t step;
  struct fe_range range;
  uint32_t priority;
  const char *prompt; /* NULL: none */
  size_t prompt_bytes;
  uint64_t *hidden; /* hidden state of each position; owned by the job once
                       queued */
  uint32_t *tokens; /* generated earlier for step 0, else the input token */
  uint32_t token_count;
  uint32_t positions; /* in hidden */
};

enum err_kind fe_run_step (struct fe_engine *engine, struct fe_step *step,
                           uint32_t *expected, GString *output);
enum err_kind fe_cancel (struct fe_engine *engine, const char *request,
                         uint32_t attempt);
enum err_kind fe_export (struct fe_engine *engine, const char *request,
                         uint32_t attempt, const struct fe_range *range,
                         GString *output);
enum err_kind fe_import (struct fe_engine *engine, const char *request,
                         uint32_t attempt, const struct fe_range *range,
                         uint32_t step, const char *kv_hex);
void fe_apply_answer_faults (struct fe_engine *engine, GString *body);
void fe_free_request (gpointer data);
void fe_unref_job (struct fe_job *job);

void *fe_batch_loop (void *data);

enum fe_order_type
{
  FE_ORDER_LOAD,
  FE_ORDER_UNLOAD,
  FE_ORDER_ROLE /* load the range and unload all others */
};

enum err_kind fe_accept_order (struct fe_engine *engine,
                               enum fe_order_type type,
                               const struct fe_range *range, int64_t fence);
void *fe_control_loop (void *data);
bool fe_has_range (const struct fe_engine *engine,
                   const struct fe_range *range);
void fe_render_load (const struct fe_engine *engine, GString *out);
void fe_render_report (const struct fe_engine *engine, GString *out);

void fe_handle_fault (struct fe_engine *engine, const json_t *body,
                      struct hs_answer *answer);
void fe_handle_request (void *user, const struct hs_request *request,
                        struct hs_answer *answer);

#endif
