/* Deterministic simulation of several daemons, each with a claims state
   machine (core/claims.h), of the log and of the service that they send calls
   to. Faults can be injected into each of these.  A run depends on nothing but
   its seed and the calls of the test. */
#ifndef TEST_SCHEDULE_H
#define TEST_SCHEDULE_H

#include "core/claims.h"

#define SCH_NODES_MAX 8
#define SCH_STEP_US INT64_C (10000)
#define SCH_S_US INT64_C (1000000)

enum sch_append_fault
{
  SCH_APPEND_OK,
  SCH_APPEND_REFUSED,
  SCH_APPEND_REPLY_LOST,   /* stored, but the reply is lost */
  SCH_APPEND_REQUEST_LOST, /* not stored, and no reply */
  SCH_APPEND_DELAYED       /* stored 3.5 s later; the reply is lost */
};

enum sch_service_fault
{
  SCH_SERVICE_OK,
  SCH_SERVICE_NOT_RUN,      /* replies that the call was not run */
  SCH_SERVICE_REPLY_LOST,   /* runs, but the reply is lost */
  SCH_SERVICE_REQUEST_LOST, /* does not run, and no reply */
  SCH_SERVICE_SLOW          /* runs, replies after 1 s */
};

/* A keyed call or an operator's settlement. */
struct sch_call
{
  uint32_t node;
  char *account;
  char *key;
  uint64_t body_hash;
  bool pending;
  bool connection_lost; /* the daemon died, or the caller closed it */
  uint32_t answers;     /* number of answers so far */
  int64_t started_us;
  int64_t answered_us;
  enum err_kind kind;
  enum err_ran ran;
  uint32_t status;
  char body[32];
};

/* A daemon. */
struct sch_node
{
  struct clm *clm; /* NULL: dead */
  uint64_t incarnation;
  bool paused;
  bool disconnected;  /* from the log */
  uint64_t read_from; /* offset of the next record to read */
  uint64_t appends;   /* sent so far */
  struct act_list *actions;
};

struct sch_record
{
  int64_t time_us; /* log time */
  GBytes *bytes;
};

struct sch
{
  int64_t now_us;
  uint64_t random_state;
  struct sch_node nodes[SCH_NODES_MAX];
  uint32_t node_count;
  GArray *log;              /* struct sch_record; the index is the offset */
  uint64_t first_offset;    /* of the oldest record that is not deleted */
  int64_t log_clock_us;     /* log time minus now_us */
  int64_t log_retention_us; /* 0: unlimited */
  bool log_down;
  enum sch_append_fault append_fault;
  enum sch_service_fault service_fault;
  int64_t dispatch_delay_us; /* from ACT_DISPATCH to the send */
  uint32_t reads_per_step;   /* maximum records per daemon */
  GArray *events;            /* struct event, see schedule.c */
  GPtrArray *calls;          /* struct sch_call; index = request id - 1 */
  GHashTable *effects;       /* account and key to number of effects */
  struct clm_params params;
  uint32_t append_fault_percent;  /* random faults, of all appends */
  uint32_t service_fault_percent; /* random faults, of all calls */
};

struct sch *sch_create (uint64_t seed, uint32_t nodes, int64_t lifetime_us);
void sch_destroy (struct sch *sch);
void sch_run (struct sch *sch, int64_t duration_us);
uint32_t sch_random (struct sch *sch, uint32_t bound);

uint32_t sch_call (struct sch *sch, uint32_t node, const char *account,
                   const char *key, uint64_t body_hash);
const struct sch_call *sch_get (const struct sch *sch, uint32_t call);
void sch_caller_gone (struct sch *sch, uint32_t call);
uint32_t sch_effects (const struct sch *sch, const char *account,
                      const char *key);
void sch_settle (struct sch *sch, uint32_t node, uint32_t *call,
                 const char *account, const char *key, bool ran);

void sch_kill (struct sch *sch, uint32_t node);
void sch_start (struct sch *sch, uint32_t node);

#endif
