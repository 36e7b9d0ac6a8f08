/* The consumer group of the simulated store, which assigns the store's
   partitions to the group's members. */
#include "standin/fleet_private.h"

#include "base/clock.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define PARTITIONS 6
/* What daemons ask for. */
#define TTL_DEFAULT_MS 2500

static void
destroy_member (gpointer data)
{
  struct sfl_member *member = data;
  g_free (member->name);
  g_free (member);
}

static void
destroy_state (gpointer data)
{
  struct sfl_group_state *state = data;
  g_strfreev (state->names);
  g_free (state);
}

/* Starts the next generation and adds the group, as it is now, to its history.
 */
static void
start_generation (struct sfl_fleet *fleet)
{
  struct sfl_group_state *state = g_new0 (struct sfl_group_state, 1);
  fleet->generation++;
  state->at_us = clk_monotonic_us ();
  state->generation = fleet->generation;
  state->names = g_new0 (char *, fleet->members->len + 1);
  for (guint i = 0; i < fleet->members->len; i++)
    {
      const struct sfl_member *member = g_ptr_array_index (fleet->members, i);
      state->names[i] = g_strdup (member->name);
    }
  g_ptr_array_add (fleet->group_history, state);
}

/* Creates the group of FLEET, which has no members yet.  */
void
sfl_group_open (struct sfl_fleet *fleet)
{
  fleet->group_history = g_ptr_array_new_with_free_func (destroy_state);
  fleet->members = g_ptr_array_new_with_free_func (destroy_member);
  if (fleet->params.group_ttl_ms == 0)
    {
      fleet->params.group_ttl_ms = TTL_DEFAULT_MS;
    }
}

/* Frees the group of FLEET.  */
void
sfl_group_close (struct sfl_fleet *fleet)
{
  g_ptr_array_free (fleet->members, TRUE);
  g_ptr_array_free (fleet->group_history, TRUE);
}

/* Removes members whose last join is older than the group's time to live.  */
static void
expire_members (struct sfl_fleet *fleet)
{
  int64_t oldest_us
      = clk_monotonic_us () - (int64_t)fleet->params.group_ttl_ms * CLK_MS_US;
  for (guint i = fleet->members->len; i-- > 0;)
    {
      const struct sfl_member *member = g_ptr_array_index (fleet->members, i);
      if (member->last_join_us < oldest_us)
        {
          g_ptr_array_remove_index (fleet->members, i);
          start_generation (fleet);
        }
    }
}

/* Returns the index of the member NAME, or the number of members when the
   group has no such member.  */
static guint
find_member (const struct sfl_fleet *fleet, const char *name)
{
  for (guint i = 0; i < fleet->members->len; i++)
    {
      const struct sfl_member *member = g_ptr_array_index (fleet->members, i);
      if (strcmp (member->name, name) == 0)
        {
          return i;
        }
    }
  return fleet->members->len;
}

/* Renews the member NAME, or adds it when the group has no such member.
   Returns the member's index.  */
static guint
renew_member (struct sfl_fleet *fleet, const char *name)
{
  guint index = find_member (fleet, name);
  if (index == fleet->members->len)
    {
      struct sfl_member *added = g_new0 (struct sfl_member, 1);
      added->name = g_strdup (name);
      g_ptr_array_add (fleet->members, added);
      start_generation (fleet);
    }
  struct sfl_member *member = g_ptr_array_index (fleet->members, index);
  member->last_join_us = clk_monotonic_us ();
  return index;
}

/* Returns the name of the member that sent REQUEST, allocated, or NULL.  */
static char *
member_name (const struct msg_message *request)
{
  json_t *root = json_loadb ((const char *)request->body->data,
                             request->body->len, 0, NULL);
  char *name = g_strdup (json_string_value (json_object_get (root, "Member")));
  json_decref (root);
  return name;
}

/* Applies a join request without answering it, as when the answer is lost.  */
void
sfl_group_join_unanswered (struct sfl_fleet *fleet,
                           const struct msg_message *request)
{
  g_autofree char *name = member_name (request);
  expire_members (fleet);
  if (name != NULL)
    {
      renew_member (fleet, name);
    }
}

/* Applies a join request, or a leave request when LEAVES is true.  Answers
   CONNECTION with the generation and with the member's partitions: none after
   a leave, or when the request names no member.  */
void
sfl_group_serve (struct sfl_fleet *fleet, struct nsv_connection *connection,
                 const struct msg_message *request, bool leaves)
{
  g_autofree char *name = member_name (request);
  GString *body = g_string_new (NULL);
  expire_members (fleet);
  guint index = fleet->members->len;
  if (name != NULL && !leaves)
    {
      index = renew_member (fleet, name);
    }
  else if (name != NULL && find_member (fleet, name) < index)
    {
      g_ptr_array_remove_index (fleet->members, find_member (fleet, name));
      start_generation (fleet);
      index = fleet->members->len;
    }
  g_string_append_printf (body,
                          "{\"Generation\":%" G_GUINT64_FORMAT
                          ",\"TtlMs\":%" G_GUINT64_FORMAT ",\"parts\":[",
                          fleet->generation, fleet->params.group_ttl_ms);
  for (guint part = 0; index < fleet->members->len && part < PARTITIONS;
       part++)
    {
      if (part % fleet->members->len == index)
        {
          g_string_append_printf (body, "%s[\"t\",%u,0]",
                                  body->str[body->len - 1] == '[' ? "" : ",",
                                  part);
        }
    }
  g_string_append (body, "]}");
  sfl_store_respond (fleet, connection, HTTP_STATUS_OK, body->str, body->len);
  g_string_free (body, TRUE);
}

/* Answers CONNECTION with the owner of each partition.  */
void
sfl_group_list_owners (struct sfl_fleet *fleet,
                       struct nsv_connection *connection)
{
  json_t *rows = json_array ();
  expire_members (fleet);
  for (guint part = 0; fleet->members->len > 0 && part < PARTITIONS; part++)
    {
      const struct sfl_member *owner
          = g_ptr_array_index (fleet->members, part % fleet->members->len);
      json_array_append_new (
          rows, json_pack ("[s,i,s,i]", "t", (int)part, owner->name, 0));
    }
  json_t *root = json_pack ("{s:o}", "parts", rows);
  char *text = json_dumps (root, JSON_COMPACT);
  sfl_store_respond (fleet, connection, HTTP_STATUS_OK, text, strlen (text));
  free (text);
  json_decref (root);
}

/* Starts a new generation.  When the group has several members, the first
   partition moves to another member.  */
void
sfl_rebalance (struct sfl_fleet *fleet)
{
  if (fleet->members->len > 1)
    {
      struct sfl_member *first = g_ptr_array_steal_index (fleet->members, 0);
      g_ptr_array_add (fleet->members, first);
    }
  start_generation (fleet);
}

/* Sets the group back to what it was at COPIED_US.  Its members get their full
   time to live from now on.  */
void
sfl_group_restore (struct sfl_fleet *fleet, int64_t copied_us)
{
  GPtrArray *history = fleet->group_history;
  const struct sfl_group_state *state = NULL;
  g_ptr_array_set_size (fleet->members, 0);
  fleet->generation = 0;
  while (history->len > 0 && state == NULL)
    {
      state = g_ptr_array_index (history, history->len - 1);
      if (state->at_us > copied_us)
        {
          g_ptr_array_remove_index (history, history->len - 1);
          state = NULL;
        }
    }
  for (guint i = 0; state != NULL && state->names[i] != NULL; i++)
    {
      struct sfl_member *member = g_new0 (struct sfl_member, 1);
      member->name = g_strdup (state->names[i]);
      member->last_join_us = clk_monotonic_us ();
      g_ptr_array_add (fleet->members, member);
    }
  if (state != NULL)
    {
      fleet->generation = state->generation;
    }
}
