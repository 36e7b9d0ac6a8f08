#include "entry/holders.h"

#include "base/clock.h"
#include "base/log.h"

#include <string.h>

/* Limit on the members that are asked where no relay knows the operator's
   topic.  When the whole fleet starts again nobody knows it, and each daemon
   would ask all others. */
#define MEMBERS_ASKED_MAX 8

struct hld_holders
{
  struct hld_params params;
  int64_t find_until_us; /* monotonic, until when the daemons that the topics
                            ask are looked for; 0: they are known */
  int64_t members_until_us; /* the same for the operator's topic and members
                               beside the relays */
};

/* Creates the search for daemons.  What PARAMS point to must outlive the
   result, which the caller frees with hld_destroy.  */
struct hld_holders *
hld_create (const struct hld_params *params)
{
  struct hld_holders *holders = g_new0 (struct hld_holders, 1);
  holders->params = *params;
  return holders;
}

/* Frees HOLDERS, which may be NULL.  No lookup of the group may be under way
   any more.  */
void
hld_destroy (struct hld_holders *holders)
{
  g_free (holders);
}

/* Adds those of the addresses FOUND to ADDRESSES that are neither OWN_ADDRESS
   nor among them yet.  */
void
hld_add_others (const GPtrArray *found, const char *own_address,
                GPtrArray *addresses)
{
  for (guint i = 0; i < found->len; i++)
    {
      char *address = g_ptr_array_index (found, i);
      if (strcmp (address, own_address) != 0
          && !g_ptr_array_find_with_equal_func (addresses, address,
                                                g_str_equal, NULL))
        {
          g_ptr_array_add (addresses, address);
        }
    }
}

/* Makes all topics ask the daemons at ADDRESSES.  */
static void
set_holders (struct hld_holders *holders, const GPtrArray *addresses)
{
  holders->find_until_us = 0;
  for (uint32_t i = 0; i < holders->params.topic_count; i++)
    {
      tpc_set_holders (holders->params.topics[i], addresses);
    }
}

/* Makes the operator's topic ask members that are drawn from ADDRESSES, which
   are reordered.  */
static void
set_members (struct hld_holders *holders, GPtrArray *addresses)
{
  guint count = MIN (addresses->len, MEMBERS_ASKED_MAX);
  lg_line (LOG_NOTICE, "members_asked",
           "why=\"no relay knows the operator's topic\" asked=%u found=%u",
           count, addresses->len);
  for (guint i = 0; i < count; i++)
    {
      gint32 drawn = g_random_int_range ((gint32)i, (gint32)addresses->len);
      gpointer address = addresses->pdata[i];
      addresses->pdata[i] = addresses->pdata[drawn];
      addresses->pdata[drawn] = address;
    }
  g_ptr_array_set_size (addresses, (gint)count);
  holders->members_until_us = 0;
  tpc_set_members (holders->params.operator_topic, addresses);
}

/* Handles the addresses of the group's members.  After a lookup that failed
   FOUND is NULL, and the next hld_step repeats it.  */
static void
on_members_found (void *context, const GPtrArray *found)
{
  struct hld_holders *holders = context;
  if (found == NULL)
    {
      return;
    }
  g_autoptr (GPtrArray) others = g_ptr_array_new ();
  hld_add_others (found, holders->params.own_address, others);
  if (holders->find_until_us != 0)
    {
      set_holders (holders, others);
    }
  if (holders->members_until_us != 0)
    {
      set_members (holders, others);
    }
}

/* Looks for daemons that are needed and not found yet.  To be called at each
   tick.  */
void
hld_step (struct hld_holders *holders)
{
  int64_t now_us = clk_monotonic_us ();
  bool has_relays = holders->params.relays->len > 0;
  if (holders->find_until_us != 0
      && (has_relays || now_us > holders->find_until_us))
    {
      set_holders (holders, holders->params.relays);
    }
  /* Without relays all members were asked. */
  if (holders->members_until_us != 0
      && (!has_relays || now_us > holders->members_until_us))
    {
      g_autoptr (GPtrArray) nobody = g_ptr_array_new ();
      set_members (holders, nobody);
    }
  if (holders->find_until_us != 0 || holders->members_until_us != 0)
    {
      grp_find_members (holders->params.group, on_members_found, holders);
    }
}

/* Looks for the daemons that the topics are to ask in the present era.  */
void
hld_find (struct hld_holders *holders)
{
  holders->find_until_us = clk_monotonic_us () + holders->params.lookup_max_us;
  hld_step (holders);
}

/* Looks for members that the operator's topic is to ask, since no relay knows
   it.  */
void
hld_find_members (struct hld_holders *holders)
{
  holders->members_until_us
      = clk_monotonic_us () + holders->params.lookup_max_us;
  hld_step (holders);
}
