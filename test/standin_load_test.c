#include "standin/http_server.h"
#include "standin/load.h"
#include "standin/model.h"

#include <jansson.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define MODEL "draft"
#define LAYERS 4
#define TOKENS 5

/* How the daemon answers. */
enum behaviour
{
  RIGHT,
  WRONG_TOKEN,
  OTHER_REQUEST,  /* answers for another prompt, or books another slot */
  MISSING_TOKEN,  /* leaves out the last token */
  REPEATED_TOKEN, /* sends the first token twice */
  NO_END_EVENT,
  ERROR_EVENT, /* sends an error event after the first token */
  REFUSED,
  LOST,
  NEW_BOOKING /* answers a repeat with another booking */
};

struct daemon
{
  enum behaviour behaviour;
  _Atomic int bookings;
};

struct load_case
{
  const char *name;
  enum behaviour behaviour;
  bool bookings;            /* else drafts */
  const char *outcome;      /* of every answer, except ALSO_ALLOWED */
  const char *also_allowed; /* another outcome that may occur, or NULL */
};

static const struct load_case cases[] = {
  { "right", RIGHT, false, "whole", NULL },
  { "one token differs", WRONG_TOKEN, false, "wrong", NULL },
  { "answer to another prompt", OTHER_REQUEST, false, "wrong", NULL },
  { "a token is missing", MISSING_TOKEN, false, "wrong", NULL },
  { "a token is repeated", REPEATED_TOKEN, false, "wrong", NULL },
  { "no end event", NO_END_EVENT, false, "cut", NULL },
  { "lost", LOST, false, "cut", NULL },
  { "error after the first token", ERROR_EVENT, false, "failed", NULL },
  { "refused", REFUSED, false, "refused", NULL },
  { "booked", RIGHT, true, "whole", NULL },
  { "booking of another slot", OTHER_REQUEST, true, "wrong", NULL },
  { "answer to a booking lost", LOST, true, "cut", NULL },
  { "booking refused", REFUSED, true, "refused", NULL },
  { "repeat answered with another booking", NEW_BOOKING, true, "wrong",
    "whole" },
};

static const char error_event[]
    = "{\"error\":{\"kind\":\"no_capacity\",\"ran\":\"no\","
      "\"retry_after_s\":1}}";

static void
append_token (GString *out, const char *word)
{
  g_string_append_printf (
      out, "data: {\"choices\":[{\"delta\":{\"content\":\"%s \"}}]}\n\n",
      word);
}

/* Appends the streamed answer to CONTENT, with the fault of BEHAVIOUR.  */
static void
stream_answer (enum behaviour behaviour, const char *content, GString *out)
{
  GString *text = g_string_new (NULL);
  char *prompt = g_strdup_printf (
      "user: %s%s\n", content,
      behaviour == OTHER_REQUEST ? " for the other crew" : "");
  md_answer (MODEL, LAYERS, prompt, TOKENS, text);
  gchar **words = g_strsplit (g_strchomp (text->str), " ", -1);
  guint count = g_strv_length (words);
  for (guint i = 0;
       i < count && !(behaviour == MISSING_TOKEN && i == count - 1); i++)
    {
      bool other = behaviour == WRONG_TOKEN && i == count / 2;
      append_token (out, other ? "zuzuzu" : words[i]);
      if (behaviour == REPEATED_TOKEN && i == 0)
        {
          append_token (out, words[i]);
        }
      if (behaviour == ERROR_EVENT)
        {
          g_string_append_printf (out, "data: %s\n\n", error_event);
          break;
        }
    }
  if (behaviour != NO_END_EVENT && behaviour != ERROR_EVENT)
    {
      g_string_append (out, "data: [DONE]\n\n");
    }
  g_strfreev (words);
  g_free (prompt);
  g_string_free (text, TRUE);
}

/* Answers as the daemon USER, with the fault of its behaviour.  */
static void
handle (void *user, const struct hs_request *request, struct hs_answer *answer)
{
  struct daemon *daemon = user;
  enum behaviour behaviour = daemon->behaviour;
  if (strcmp (request->path, "/readyz") == 0)
    {
      return;
    }
  if (behaviour == REFUSED || behaviour == LOST)
    {
      answer->status = 503;
      answer->lost = behaviour == LOST;
      g_string_append (answer->body, error_event);
      return;
    }
  json_t *body = json_loadb (request->body, request->body_bytes, 0, NULL);
  const char *slot = json_string_value (json_object_get (body, "slot"));
  if (slot != NULL)
    {
      int number = behaviour == NEW_BOOKING ? ++daemon->bookings : 1;
      g_string_append_printf (answer->body,
                              "{\"booking\":%d,\"slot\":\"%s%s\"}", number,
                              slot, behaviour == OTHER_REQUEST ? "x" : "");
    }
  else
    {
      const json_t *message
          = json_array_get (json_object_get (body, "messages"), 0);
      stream_answer (behaviour,
                     json_string_value (json_object_get (message, "content")),
                     answer->body);
    }
  json_decref (body);
}

/* Runs a short load against a daemon with the behaviour of ENTRY.  Returns the
   summary.  */
static json_t *
run_load (const struct load_case *entry)
{
  struct daemon state = { .behaviour = entry->behaviour };
  const struct hs_options server = {
    .connections = 8,
    .handler = handle,
    .user = &state,
  };
  struct hs_server *daemon = hs_create (&server, NULL);
  assert_non_null (daemon);
  char *url = g_strdup_printf ("http://127.0.0.1:%u", hs_port (daemon));
  const struct lt_options options = {
    .daemon_urls = { url },
    .daemon_count = 1,
    .accounts = { { .name = (char *)"clerks",
                    .token = (char *)"secret",
                    .streams = entry->bookings ? 0 : 1 } },
    .account_count = 1,
    .model = MODEL,
    .layers = LAYERS,
    .prompt_bytes_min = 8,
    .prompt_bytes_max = 40,
    .tokens_min = TOKENS,
    .tokens_max = TOKENS,
    .service = "bookings",
    .bookings_per_s = entry->bookings ? 100 : 0,
    .booking_attempts = 1,
    .repeat_percent = entry->behaviour == NEW_BOOKING ? 100 : 0,
    .measure_s = entry->behaviour == NEW_BOOKING ? 1 : 0.2,
    .drain_s = 20,
    .threads = 1,
    .seed = 1,
  };
  char *text = lt_run (&options);
  json_t *summary = json_loads (text, 0, NULL);
  free (text);
  g_free (url);
  hs_destroy (daemon);
  return summary;
}

/* Fails unless every answer in OUTCOMES has an outcome that ENTRY allows.
   Returns the number of answers with the main one.  */
static json_int_t
check_outcomes (const struct load_case *entry, json_t *outcomes)
{
  json_int_t total = 0;
  const char *outcome;
  json_t *count;
  json_object_foreach (outcomes, outcome, count)
  {
    if (strcmp (outcome, entry->outcome) == 0)
      {
        total += json_integer_value (count);
      }
    else if (json_integer_value (count) > 0
             && g_strcmp0 (outcome, entry->also_allowed) != 0)
      {
        fail_msg ("%s: %d answers were classified as %s", entry->name,
                  (int)json_integer_value (count), outcome);
      }
  }
  return total;
}

/* Every answer of a daemon with one constant fault gets the outcome of that
   fault.  A load is run again when it counted no such answer, as happens when
   a busy machine keeps it from sending any call.  */
static void
answers_are_classified (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      json_int_t total = 0;
      while (total == 0)
        {
          json_t *summary = run_load (&cases[i]);
          total = check_outcomes (
              &cases[i],
              json_object_get (summary, cases[i].bookings ? "booking_calls"
                                                          : "drafts"));
          json_decref (summary);
        }
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (answers_are_classified),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
