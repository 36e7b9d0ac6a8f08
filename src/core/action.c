#include "core/action.h"

struct act_list
{
  GArray *actions; /* struct act */
};

/* Releases the references that an action holds.  */
static void
clear_action (gpointer data)
{
  struct act *action = data;
  switch (action->kind)
    {
    case ACT_APPEND:
      g_bytes_unref (action->append.bytes);
      break;
    case ACT_ANSWER:
      g_bytes_unref (action->answer.body);
      break;
    case ACT_APPLY:
      g_bytes_unref (action->apply.yaml);
      break;
    case ACT_DISPATCH:
    case ACT_ANSWER_PUBLISH:
    case ACT_ORDER:
      break;
    }
}

/* Creates an empty list.  */
struct act_list *
act_list_create (void)
{
  struct act_list *list = g_new0 (struct act_list, 1);
  list->actions = g_array_new (FALSE, FALSE, sizeof (struct act));
  g_array_set_clear_func (list->actions, clear_action);
  return list;
}

/* Frees LIST and releases the references in its actions; NULL is allowed.  */
void
act_list_destroy (struct act_list *list)
{
  if (list == NULL)
    {
      return;
    }
  g_array_free (list->actions, TRUE);
  g_free (list);
}

/* Removes all actions and releases their references.  */
void
act_list_clear (struct act_list *list)
{
  g_array_set_size (list->actions, 0);
}

/* Returns the number of actions.  */
uint32_t
act_list_length (const struct act_list *list)
{
  return list->actions->len;
}

/* Returns the action at INDEX, which is valid until the list changes.  */
const struct act *
act_list_get (const struct act_list *list, uint32_t index)
{
  return &g_array_index (list->actions, struct act, index);
}

/* Adds a copy of ACTION at the end.  The list takes over the references in
   ACTION.  */
void
act_list_add (struct act_list *list, const struct act *action)
{
  g_array_append_vals (list->actions, action, 1);
}
