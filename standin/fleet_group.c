/* The group of the stand-in store: deals its partitions to the members. */
#include "standin/fleet_private.h"

#include "base/clock.h"

#include <jansson.h>
#include <string.h>

#define PARTITIONS 2
#define TTL_MS 1000

static void
destroy_member (gpointer data)
{
  struct sfl_member *member = data;
  g_free (member->name);
  g_free (member);
}

/* Opens the group of FLEET, without members.  */
void
sfl_group_open (struct sfl_fleet *fleet)
{
  fleet->members = g_ptr_array_new_with_free_func (destroy_member);
  if (fleet->params.group_ttl_ms == 0)
    {
      fleet->params.group_ttl_ms = TTL_MS;
    }
}

/* Closes what sfl_group_open opened.  */
void
sfl_group_close (struct sfl_fleet *fleet)
{
  g_ptr_array_free (fleet->members, TRUE);
}

/* Takes the members out that were silent for too long.  */
static void
expire_members (struct sfl_fleet *fleet)
{
  int64_t oldest_us
      = clk_monotonic_us () - (int64_t)fleet->params.group_ttl_ms * CLK_MS_US;
  for (guint i = fleet->members->len; i-- > 0;)
    {
      const struct sfl_member *member = g_ptr_array_index (fleet->members, i);
      if (member->heard_us < oldest_us)
        {
          g_ptr_array_remove_index (fleet->members, i);
          fleet->generation++;
        }
    }
}

/* Returns the index of the member NAME, or the number of members.  */
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

/* Returns the index of the member NAME, which joins at need.  */
static guint
note_member (struct sfl_fleet *fleet, const char *name)
{
  guint index = find_member (fleet, name);
  if (index == fleet->members->len)
    {
      struct sfl_member *fresh = g_new0 (struct sfl_member, 1);
      fresh->name = g_strdup (name);
      g_ptr_array_add (fleet->members, fresh);
      fleet->generation++;
    }
  struct sfl_member *member = g_ptr_array_index (fleet->members, index);
  member->heard_us = clk_monotonic_us ();
  return index;
}

/* Returns the member's name in REQUEST, allocated, or NULL.  */
static char *
member_name (const struct msg_message *request)
{
  json_t *root = json_loadb ((const char *)request->body->data,
                             request->body->len, 0, NULL);
  char *name = g_strdup (json_string_value (json_object_get (root, "Member")));
  json_decref (root);
  return name;
}

/* Takes the joining of a member without an answer.  */
void
sfl_group_note (struct sfl_fleet *fleet, const struct msg_message *request)
{
  g_autofree char *name = member_name (request);
  expire_members (fleet);
  if (name != NULL)
    {
      note_member (fleet, name);
    }
}

/* Takes a joining or a leaving and answers CONNECTION.  */
void
sfl_group_call (struct sfl_fleet *fleet, struct nsv_connection *connection,
                const struct msg_message *request, bool leaves)
{
  g_autofree char *name = member_name (request);
  GString *body = g_string_new (NULL);
  expire_members (fleet);
  guint index = fleet->members->len;
  if (name != NULL && !leaves)
    {
      index = note_member (fleet, name);
    }
  else if (name != NULL && find_member (fleet, name) < index)
    {
      g_ptr_array_remove_index (fleet->members, find_member (fleet, name));
      fleet->generation++;
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
  nsv_answer (connection, HTTP_STATUS_OK, "", body->str, body->len);
  g_string_free (body, TRUE);
}

/* Deals all partitions anew, so that another member gets the first one.  */
void
sfl_deal_anew (struct sfl_fleet *fleet)
{
  fleet->generation++;
  if (fleet->members->len > 1)
    {
      struct sfl_member *first = g_ptr_array_steal_index (fleet->members, 0);
      g_ptr_array_add (fleet->members, first);
    }
}
