/* Measures how the time to read a message from outside grows with its bytes:
   the exponent between the smallest and the largest size, which is 1 where the
   time is in proportion to the bytes.  Prints lines `name value unit target'.

     build/release/bench/parsing  */

#include "base/clock.h"
#include "core/roster.h"
#include "net/event_scan.h"
#include "net/message.h"
#include "platform/configuration.h"
#include "platform/prompt.h"
#include "platform/runner.h"
#include "platform/store.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define SMALL_BYTES ((size_t)16 * 1024)
#define LARGE_BYTES ((size_t)1024 * 1024)
#define EVENT_BYTES ((size_t)256 * 1024) /* largest that is accepted */
#define REPEATS 5
#define EXPONENT_MAX 1.1

/* A kind of message: BUILD fills TEXT to about BYTES, READ reads it. */
struct kind
{
  const char *name;
  size_t bytes_max; /* largest that is accepted */
  void (*build) (GString *text, size_t bytes);
  void (*read) (const GString *text);
};

static void
build_event (GString *text, size_t bytes)
{
  g_string_append (text, "id: 1\ndata: ");
  while (text->len < bytes)
    {
      g_string_append_c (text, 'a');
    }
  g_string_append (text, "\n\n");
}

static void
build_event_of_lines (GString *text, size_t bytes)
{
  g_string_append (text, "id: 1\n");
  while (text->len < bytes)
    {
      g_string_append (text, "data: a\n");
    }
  g_string_append (text, "\n");
}

static void
build_events (GString *text, size_t bytes)
{
  for (uint32_t id = 1; text->len < bytes; id++)
    {
      g_string_append_printf (text, "id: %u\ndata: a\n\n", id);
    }
}

/* Feeds TEXT in pieces of STEP bytes to a scanner of events.  */
static void
feed_events (const GString *text, size_t step)
{
  struct evs_scanner scanner;
  GByteArray *complete = g_byte_array_new ();
  evs_init (&scanner);
  for (size_t at = 0; at < text->len; at += step)
    {
      evs_feed (&scanner, text->str + at, MIN (step, text->len - at),
                complete);
    }
  evs_clear (&scanner);
  g_byte_array_free (complete, TRUE);
}

static void
feed_bytes (const GString *text)
{
  feed_events (text, 1);
}

static void
feed_whole (const GString *text)
{
  feed_events (text, text->len);
}

static void
build_headers (GString *text, size_t bytes)
{
  for (uint32_t i = 0; text->len < bytes; i++)
    {
      g_string_append_printf (text, "X-%u:a\n", i);
    }
}

static void
read_headers (const GString *text)
{
  struct msg_message message;
  GString *copy = g_string_new (NULL);
  msg_init (&message);
  for (const char *line = text->str; *line != '\0';)
    {
      const char *colon = strchr (line, ':');
      const char *end = strchr (colon, '\n');
      msg_add_name (&message, line, (size_t)(colon - line));
      msg_add_value (&message, colon + 1, (size_t)(end - colon - 1));
      line = end + 1;
    }
  msg_end_headers (&message);
  msg_is_unambiguous (&message);
  msg_copy_headers (&message, NULL, copy);
  msg_clear (&message);
  g_string_free (copy, TRUE);
}

static void
build_prompt_parts (GString *text, size_t bytes)
{
  for (uint32_t i = 0; text->len < bytes; i++)
    {
      g_string_append_printf (text, "%spart-%u=10", i == 0 ? "" : ",", i);
    }
}

static void
read_prompt_parts (const GString *text)
{
  g_strfreev (pfp_decode_shared_parts (text->str));
}

static void
build_accounts (GString *text, size_t bytes)
{
  g_string_append (text, "{\"Version\":1,\"Routes\":[],\"Tenants\":[");
  for (uint32_t i = 0; text->len < bytes; i++)
    {
      g_string_append_printf (text,
                              "%s{\"Name\":\"t-%u\",\"ApiKeys\":[\"key-%u\"]}",
                              i == 0 ? "" : ",", i, i);
    }
  g_string_append (text, "]}");
}

static void
build_routes (GString *text, size_t bytes)
{
  uint32_t count = (uint32_t)(bytes / 120);
  g_string_append (text, "{\"Version\":1,\"Services\":[");
  for (uint32_t i = 0; i < count; i++)
    {
      g_string_append_printf (text, "%s{\"Name\":\"s-%u\"}", i == 0 ? "" : ",",
                              i);
    }
  g_string_append (text, "],\"Routes\":[");
  for (uint32_t i = 0; i < count; i++)
    {
      g_string_append_printf (
          text,
          "%s{\"Name\":\"r-%u\",\"Hostname\":\"h\",\"PathPrefix\":\"/%u/\","
          "\"Kind\":\"stream\",\"Service\":\"s-%u\"}",
          i == 0 ? "" : ",", i, i, i);
    }
  g_string_append (text, "]}");
}

static void
read_configuration (const GString *text)
{
  struct flt_config *config = pfc_decode (text->str, text->len, NULL);
  g_assert_nonnull (config);
  flt_release (config);
}

static void
build_owners (GString *text, size_t bytes)
{
  g_string_append (text, "[");
  for (uint32_t i = 0; text->len < bytes; i++)
    {
      g_string_append_printf (text,
                              "%s[\"topic\",%u,\"daemon@10.0.%u.%u:1\",0]",
                              i == 0 ? "" : ",", i, i / 256, i % 256);
    }
  g_string_append (text, "]");
}

static void
read_owners (const GString *text)
{
  GPtrArray *addresses = g_ptr_array_new_with_free_func (g_free);
  g_assert_true (
      pfs_decode_owners (text->str, text->len, UINT32_MAX, addresses, NULL));
  g_ptr_array_unref (addresses);
}

/* Builds a page of records with keys of their own.  */
static void
build_page (GString *text, size_t bytes)
{
  g_string_append_len (text, "\0\0\0\0\1\0\0\0\0\0\0\0\0\0\0\0", 16);
  for (uint32_t i = 0; text->len < bytes; i++)
    {
      g_autofree char *key = g_strdup_printf ("key-%u", i);
      const char lengths[]
          = { 0, 0, 0, (char)(strlen (key) + 6), (char)strlen (key) };
      g_string_append_len (text, lengths, sizeof lengths);
      g_string_append_printf (text, "%svalue", key);
    }
}

static void
read_page (const GString *text)
{
  struct pfs_page page;
  g_assert_true (pfs_decode_read (text->str, text->len, 0, &page, NULL));
  pfs_clear_page (&page);
}

static void
build_newest (GString *text, size_t bytes)
{
  g_string_append (text, "{\"End\":1000000,\"Items\":[");
  for (uint32_t i = 0; text->len < bytes; i++)
    {
      g_string_append_printf (
          text, "%s{\"Key\":\"key-%u\",\"Offset\":%u,\"Value\":\"YQ==\"}",
          i == 0 ? "" : ",", i, i);
    }
  g_string_append (text, "]}");
}

static void
read_newest (const GString *text)
{
  struct pfs_page page;
  g_assert_true (pfs_decode_newest (text->str, text->len, &page, NULL));
  pfs_clear_page (&page);
}

static void
build_endpoints (GString *text, size_t bytes)
{
  for (uint32_t i = 0; text->len < bytes; i++)
    {
      g_string_append_printf (
          text,
          "{\"Service\":\"s\",\"Address\":\"10.0.%u.%u:80\",\"Zone\":\"z\","
          "\"Slots\":64,\"State\":\"ready\",\"born\":1}\n",
          i / 256 % 256, i % 256);
    }
}

/* Decodes the entries of endpoints, one a line, into a roster.  */
static void
read_endpoints (const GString *text)
{
  struct rst *roster = rst_create (0);
  const char *line = text->str;
  for (uint32_t i = 0; *line != '\0'; i++)
    {
      g_autofree char *id = g_strdup_printf ("endpoint-%u", i);
      const char *end = strchr (line, '\n');
      rst_update (roster,
                  pfr_decode_entry (id, line, (size_t)(end - line), NULL), i,
                  i);
      line = end + 1;
    }
  rst_list_read (roster, 1, 1);
  rst_destroy (roster);
}

static const struct kind kinds[] = {
  { "event_in_bytes", EVENT_BYTES, build_event, feed_bytes },
  { "event_of_lines_in_bytes", EVENT_BYTES, build_event_of_lines, feed_bytes },
  { "events", LARGE_BYTES, build_events, feed_whole },
  { "events_in_bytes", LARGE_BYTES, build_events, feed_bytes },
  { "headers", LARGE_BYTES, build_headers, read_headers },
  { "prompt_parts", LARGE_BYTES, build_prompt_parts, read_prompt_parts },
  { "accounts", LARGE_BYTES, build_accounts, read_configuration },
  { "routes", LARGE_BYTES, build_routes, read_configuration },
  { "owners", LARGE_BYTES, build_owners, read_owners },
  { "page", LARGE_BYTES, build_page, read_page },
  { "newest", LARGE_BYTES, build_newest, read_newest },
  { "endpoints", LARGE_BYTES, build_endpoints, read_endpoints },
};

/* Returns the shortest time, in microseconds, in which KIND reads a message of
   BYTES, and sets LENGTH to its length.  */
static double
measure_us (const struct kind *kind, size_t bytes, size_t *length)
{
  GString *text = g_string_new (NULL);
  int64_t shortest_us = INT64_MAX;
  kind->build (text, bytes);
  for (uint32_t i = 0; i < REPEATS; i++)
    {
      int64_t began_us = clk_monotonic_us ();
      kind->read (text);
      shortest_us = MIN (shortest_us, clk_monotonic_us () - began_us);
    }
  *length = text->len;
  g_string_free (text, TRUE);
  return (double)MAX (shortest_us, 1);
}

int
main (void)
{
  setvbuf (stdout, NULL, _IOLBF, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      size_t small_bytes = 0;
      size_t large_bytes = 0;
      double small_us = measure_us (&kinds[i], SMALL_BYTES, &small_bytes);
      double large_us
          = measure_us (&kinds[i], kinds[i].bytes_max, &large_bytes);
      double exponent = log (large_us / small_us)
                        / log ((double)large_bytes / (double)small_bytes);
      printf ("parsing.%s.time %.0f us -\n", kinds[i].name, large_us);
      printf ("parsing.%s.exponent %.2f - <=%.1f\n", kinds[i].name, exponent,
              EXPONENT_MAX);
    }
  return 0;
}
