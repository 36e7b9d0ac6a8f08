/* Chooses endpoints of plain services for requests: by the number of requests
   in progress, or by their expected remaining time where the calls of the
   service differ. */
#ifndef ENTRY_ENDPOINT_CHOOSING_H
#define ENTRY_ENDPOINT_CHOOSING_H

#include "core/call_time.h"
#include "entry/fleet_state.h"

/* How a call ended at an endpoint. */
enum epc_end
{
  EPC_ANSWERED, /* with a success */
  EPC_LEFT,     /* before its answer: its time is at least what it took */
  EPC_NO_TIME   /* in a way that shows nothing of its time */
};

/* A call in progress at an endpoint.  All zero: none. */
struct epc_call
{
  GList link; /* in the endpoint's queue; its data is the call */
  struct clt_class *call_class;
  int64_t sent_us;
  int64_t began_us; /* when it took a slot of the daemon's share; 0: it waits
                       for one */
  bool is_counted;
  bool found_slot; /* it didn't wait for that */
};

struct fst_endpoint *epc_choose (struct fst_fleet *fleet, uint32_t service,
                                 const GPtrArray *tried,
                                 const struct clt_times *times,
                                 const struct clt_class *call_class,
                                 int64_t now_us);
void epc_begin_call (const struct fst_fleet *fleet,
                     struct fst_endpoint *endpoint, struct epc_call *call,
                     struct clt_class *call_class, int64_t now_us);
void epc_end_call (struct fst_endpoint *endpoint, struct epc_call *call,
                   enum epc_end end, int64_t now_us);

#endif
