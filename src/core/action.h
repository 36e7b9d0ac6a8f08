/* Actions that the state machines of the control thread request.  The state
   machines do no I/O: each of their functions adds actions to a list, which
   the control thread then carries out. */
#ifndef CORE_ACTION_H
#define CORE_ACTION_H

#include "base/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define ACT_STREAM_BYTES 32 /* of a stream's name, with its final 0 */

enum act_kind
{
  ACT_APPEND,         /* append a record to the log, then report the result */
  ACT_ANSWER,         /* send the final answer to a caller or operator */
  ACT_DISPATCH,       /* send a call, once; its claim has won */
  ACT_APPLY,          /* apply a configuration */
  ACT_ANSWER_PUBLISH, /* answer the publisher of a configuration */
  ACT_ORDER           /* order an endpoint to load or unload layers */
};

/* The state machine that the result of an append is reported to. */
enum act_owner
{
  ACT_OWNER_CLAIMS,
  ACT_OWNER_CONFIG,
  ACT_OWNER_LEASE,
  ACT_OWNER_BURN
};

struct act_append
{
  enum act_owner owner;
  char stream[ACT_STREAM_BYTES];
  uint64_t token; /* identifies the append to its owner */
  GBytes *bytes;  /* the record */
};

struct act_answer
{
  uint64_t request_id;
  enum err_kind kind; /* ERR_NONE: status and body are the recorded answer */
  enum err_ran ran;   /* whether the call ran */
  uint32_t retry_after_s; /* 0: none */
  uint32_t status;        /* HTTP status of a recorded answer */
  GBytes *body;           /* may be NULL */
  bool body_omitted;      /* the recorded answer was too large to keep */
};

struct act_dispatch
{
  uint64_t request_id;
};

struct act_apply
{
  uint64_t version;
  GBytes *yaml;
};

struct act_answer_publish
{
  uint64_t request_id;
  enum err_kind kind; /* ERR_NONE: the configuration was accepted */
  uint64_t version;   /* of the accepted configuration, else the current one */
};

enum act_order_verb
{
  ACT_ORDER_LOAD,
  ACT_ORDER_UNLOAD
};

struct act_order
{
  enum act_order_verb verb;
  uint32_t host;  /* index in the configuration */
  uint32_t model; /* index in the configuration */
  uint32_t first; /* first layer */
  uint32_t end;   /* one past the last layer */
  uint64_t fence; /* fencing token of the lease */
};

struct act
{
  enum act_kind kind;
  union
  {
    struct act_append append;
    struct act_answer answer;
    struct act_dispatch dispatch;
    struct act_apply apply;
    struct act_answer_publish publish;
    struct act_order order;
  };
};

/* A list that owns the references in its actions. */
struct act_list;

struct act_list *act_list_create (void);
void act_list_destroy (struct act_list *list);
void act_list_clear (struct act_list *list);
uint32_t act_list_length (const struct act_list *list);
const struct act *act_list_get (const struct act_list *list, uint32_t index);
void act_list_add (struct act_list *list, const struct act *action);

#endif
