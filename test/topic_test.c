/* Tests of a reader of a topic against a store that is restored: which calls
   it makes, and which records it passes on. */
#include "base/clock.h"
#include "entry/topic.h"
#include "net/message.h"
#include "net/server.h"
#include "platform/headers.h"
#include "proto/relay.pb-c.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <string.h>

#define TOPIC "keyed.servers"
#define ANSWERS_MAX 8
#define KEYS_MAX 4 /* held by another daemon */
#define HELD_ERA 3 /* of these */
#define TIMEOUT_US (10 * CLK_S_US)

/* Within this time a topic follows another one that the store answers. */
#define SIBLING_US (200 * CLK_MS_US)

enum kind
{
  KIND_END, /* no further answer */
  KIND_NEWEST,
  KIND_READ,
  KIND_STATUS, /* an empty body */
  KIND_HELD,   /* what another daemon holds, with a proof */
  KIND_CUT,    /* the connection is closed after the head */
  KIND_NONE    /* the call is never answered */
};

/* An answer of the store, to whichever call comes next. */
struct answer
{
  enum kind kind;
  const char *era;      /* NULL: not stated */
  uint32_t status;      /* of KIND_STATUS */
  const char *keys;     /* of records, each of one letter */
  int64_t proof_age_us; /* of KIND_HELD */
  uint64_t end;
  bool more;
};

/* Age of a proof that isn't recent. */
#define OLD_PROOF_US (60 * CLK_S_US)

/* How long it takes to find the daemons of a row with `found_late'. */
#define FIND_US (100 * CLK_MS_US)

/* The calls: N: the newest records, A: further ones, R and an offset: a read,
   H: of another daemon for what it holds, P and an offset: a probe.
   The events: E and an era, with ! after a restore; [ and ]: a snapshot, with
   the offset of its end; letters: records; ?: the other daemons are found
   late; U: no daemon that was asked knows the topic; a dot: the topic is
   current. */
struct row
{
  const char *name;
  int64_t probe_us;  /* as in the plan */
  uint32_t holders;  /* number of other daemons to ask */
  bool asks_members; /* if none of these knows the topic */
  uint32_t members;  /* number of these */
  bool found_late;
  struct answer answers[ANSWERS_MAX];
  const char *calls;
  const char *events;
};

static const struct row rows[] = {
  { .name = "a store without eras",
    .answers = { { .kind = KIND_NEWEST, .keys = "ab", .end = 5 },
                 { .kind = KIND_READ, .keys = "c", .end = 6 },
                 { .kind = KIND_READ, .keys = "", .end = 6 } },
    .calls = "N R5 R6 ",
    .events = "[ab]5.c.." },
  { .name = "the topic was created again",
    .answers = { { .kind = KIND_NEWEST, .keys = "ab", .end = 5 },
                 { .kind = KIND_READ, .keys = "", .end = 2 },
                 { .kind = KIND_NEWEST, .keys = "c", .end = 2 } },
    .calls = "N R5 N ",
    .events = "[ab]5.[c]2." },
  { .name = "one era",
    .answers = { { .kind = KIND_NEWEST, .era = "3", .keys = "ab", .end = 5 },
                 { .kind = KIND_READ, .era = "3", .keys = "c", .end = 6 } },
    .calls = "N R5 ",
    .events = "E3[ab]5.c." },
  { .name = "a restore whose records look continuous",
    .answers = { { .kind = KIND_NEWEST, .era = "3", .keys = "ab", .end = 5 },
                 { .kind = KIND_READ, .era = "4", .keys = "x", .end = 6 },
                 { .kind = KIND_NEWEST, .era = "4", .keys = "ax", .end = 6 } },
    .calls = "N R5 N ",
    .events = "E3[ab]5.E4![ax]6." },
  { .name = "a restore with the same end",
    .answers = { { .kind = KIND_NEWEST, .era = "3", .keys = "ab", .end = 5 },
                 { .kind = KIND_READ, .era = "4", .keys = "", .end = 5 },
                 { .kind = KIND_NEWEST, .era = "4", .keys = "ax", .end = 5 } },
    .calls = "N R5 N ",
    .events = "E3[ab]5.E4![ax]5." },
  { .name = "a restore to before the position",
    .answers = { { .kind = KIND_NEWEST, .era = "3", .keys = "ab", .end = 5 },
                 { .kind = KIND_STATUS, .era = "4", .status = 410 },
                 { .kind = KIND_NEWEST, .era = "4", .keys = "a", .end = 2 } },
    .calls = "N R5 N ",
    .events = "E3[ab]5.E4![a]2." },
  { .name = "a restore between two pages",
    .answers = { { .kind = KIND_NEWEST,
                   .era = "3",
                   .keys = "ab",
                   .end = 5,
                   .more = true },
                 { .kind = KIND_NEWEST, .era = "4", .keys = "cd", .end = 5 },
                 { .kind = KIND_NEWEST,
                   .era = "4",
                   .keys = "a",
                   .end = 2,
                   .more = true },
                 { .kind = KIND_NEWEST, .era = "4", .keys = "x", .end = 2 } },
    .calls = "N A N A ",
    .events = "E3[abE4![ax]2." },
  { .name = "two restores in a row",
    .answers = { { .kind = KIND_NEWEST, .era = "3", .keys = "ab", .end = 5 },
                 { .kind = KIND_READ, .era = "4", .keys = "x", .end = 6 },
                 { .kind = KIND_NEWEST, .era = "5", .keys = "a", .end = 2 } },
    .calls = "N R5 N ",
    .events = "E3[ab]5.E4!E5![a]2." },
  { .name = "a restore that an error states",
    .answers = { { .kind = KIND_NEWEST, .era = "3", .keys = "ab", .end = 5 },
                 { .kind = KIND_STATUS, .era = "4", .status = 503 },
                 { .kind = KIND_NEWEST, .era = "4", .keys = "a", .end = 2 } },
    .calls = "N R5 N ",
    .events = "E3[ab]5.E4![a]2." },
  { .name = "a restore that an incomplete answer states",
    .answers = { { .kind = KIND_NEWEST, .era = "3", .keys = "ab", .end = 5 },
                 { .kind = KIND_CUT, .era = "4" },
                 { .kind = KIND_NEWEST, .era = "4", .keys = "a", .end = 2 } },
    .calls = "N R5 N ",
    .events = "E3[ab]5.E4![a]2." },
  { .name = "an answer of an earlier era is ignored",
    .answers = { { .kind = KIND_NEWEST, .era = "4", .keys = "ab", .end = 5 },
                 { .kind = KIND_READ, .era = "3", .keys = "x", .end = 6 },
                 { .kind = KIND_READ, .era = "4", .keys = "c", .end = 6 } },
    .calls = "N R5 R5 ",
    .events = "E4[ab]5.c." },
  { .name = "an era that can't be read",
    .answers = { { .kind = KIND_NEWEST, .era = "4", .keys = "ab", .end = 5 },
                 { .kind = KIND_READ, .era = "4x", .keys = "x", .end = 6 },
                 { .kind = KIND_NEWEST, .era = "4", .keys = "c", .end = 6 } },
    .calls = "N R5 N ",
    .events = "E4[ab]5.[c]6." },
  { .name = "the store states its era for the first time",
    .answers = { { .kind = KIND_NEWEST, .keys = "ab", .end = 5 },
                 { .kind = KIND_READ, .era = "1", .keys = "", .end = 5 },
                 { .kind = KIND_NEWEST, .era = "1", .keys = "ab", .end = 5 } },
    .calls = "N R5 N ",
    .events = "[ab]5.E1![ab]5." },
  { .name = "other daemons don't answer",
    .holders = 2,
    .answers = { { .kind = KIND_NEWEST, .era = "3", .keys = "ab", .end = 5 },
                 { .kind = KIND_STATUS, .status = 503 },
                 { .kind = KIND_CUT },
                 { .kind = KIND_READ, .era = "3", .keys = "c", .end = 6 } },
    .calls = "N H H R5 ",
    .events = "E3[ab]5.c." },
  /* Guards against a failed question that is taken for the answer that nobody
     holds more: a removed key was served after a restore. */
  { .name = "members are asked where no other daemon answers",
    .holders = 2,
    .asks_members = true,
    .members = 3,
    .answers = { { .kind = KIND_NEWEST, .era = "3", .keys = "ab", .end = 5 },
                 { .kind = KIND_STATUS, .status = 503 },
                 { .kind = KIND_CUT },
                 { .kind = KIND_CUT },
                 { .kind = KIND_HELD, .keys = "x" },
                 { .kind = KIND_READ, .era = "3", .keys = "c", .end = 6 } },
    .calls = "N H H H H R5 ",
    .events = "E3[ab]5Ux.c." },
  { .name = "members are asked where other daemons have no recent proof",
    .holders = 2,
    .asks_members = true,
    .members = 1,
    .answers
    = { { .kind = KIND_NEWEST, .era = "3", .keys = "ab", .end = 5 },
        { .kind = KIND_HELD, .keys = "" },
        { .kind = KIND_HELD, .keys = "x", .proof_age_us = OLD_PROOF_US },
        { .kind = KIND_HELD, .keys = "y" },
        { .kind = KIND_READ, .era = "3", .keys = "c", .end = 6 } },
    .calls = "N H H H R5 ",
    .events = "E3[ab]5xUy.c." },
  { .name = "no member is asked where another daemon knows the topic",
    .holders = 2,
    .asks_members = true,
    .members = 1,
    .answers = { { .kind = KIND_NEWEST, .era = "3", .keys = "ab", .end = 5 },
                 { .kind = KIND_HELD, .keys = "x" },
                 { .kind = KIND_STATUS, .status = 503 },
                 { .kind = KIND_READ, .era = "3", .keys = "c", .end = 6 } },
    .calls = "N H H R5 ",
    .events = "E3[ab]5x.c." },
  { .name = "nobody knows the topic",
    .holders = 1,
    .asks_members = true,
    .members = 1,
    .answers = { { .kind = KIND_NEWEST, .era = "3", .keys = "ab", .end = 5 },
                 { .kind = KIND_CUT },
                 { .kind = KIND_STATUS, .status = 503 },
                 { .kind = KIND_READ, .era = "3", .keys = "c", .end = 6 } },
    .calls = "N H H R5 ",
    .events = "E3[ab]5U.c." },
  { .name = "there is nobody to ask",
    .asks_members = true,
    .answers = { { .kind = KIND_NEWEST, .era = "3", .keys = "ab", .end = 5 },
                 { .kind = KIND_READ, .era = "3", .keys = "c", .end = 6 } },
    .calls = "N R5 ",
    .events = "E3[ab]5U.c." },
  { .name = "another daemon is found late",
    .holders = 1,
    .found_late = true,
    .answers = { { .kind = KIND_NEWEST, .era = "3", .keys = "ab", .end = 5 },
                 { .kind = KIND_STATUS, .status = 503 },
                 { .kind = KIND_READ, .era = "3", .keys = "c", .end = 6 } },
    .calls = "N H R5 ",
    .events = "E3[ab]5?.c." },
  { .name = "it is found late that there is no other daemon",
    .found_late = true,
    .answers = { { .kind = KIND_NEWEST, .era = "3", .keys = "ab", .end = 5 },
                 { .kind = KIND_READ, .era = "3", .keys = "c", .end = 6 } },
    .calls = "N R5 ",
    .events = "E3[ab]5?.c." },
  /* Guards against an outage whose end is noticed a time-out late. */
  { .name = "a call that a store which is back doesn't answer",
    .probe_us = 400 * CLK_MS_US,
    .answers = { { .kind = KIND_NEWEST, .keys = "ab", .end = 5 },
                 { .kind = KIND_STATUS, .status = 503 },
                 { .kind = KIND_NONE },
                 { .kind = KIND_NONE },
                 { .kind = KIND_READ, .keys = "", .end = 5 },
                 { .kind = KIND_READ, .keys = "c", .end = 6 } },
    .calls = "N R5 R5 P5 P5 R5 ",
    .events = "[ab]5.c." },
};

struct run
{
  const struct row *row;
  struct tpc_topic *topic;
  struct nsv_server *server; /* the store */
  struct ncl_client *client;
  char *address;    /* of the store and of all other daemons */
  int64_t found_us; /* monotonic, when the daemons are found; 0: not late */
  size_t answered;
  GString *calls;
  GString *events;
};

/* Appends the page of another daemon that holds the records of ANSWER to
   BODY.  */
static void
add_held (GByteArray *body, const struct answer *answer)
{
  RelayRecord records[KEYS_MAX];
  RelayRecord *pointers[KEYS_MAX];
  char keys[KEYS_MAX][2];
  RelayPage page = RELAY_PAGE__INIT;
  page.era = HELD_ERA;
  page.whole = true;
  page.proof_lead_us = -answer->proof_age_us;
  page.records = pointers;
  for (const char *key = answer->keys; *key != '\0'; key++)
    {
      size_t i = page.n_records++;
      assert_true (i < KEYS_MAX);
      relay_record__init (&records[i]);
      keys[i][0] = *key;
      keys[i][1] = '\0';
      records[i].key = keys[i];
      records[i].value.data = (uint8_t *)"v";
      records[i].value.len = 1;
      pointers[i] = &records[i];
    }
  g_byte_array_set_size (body, (guint)relay_page__get_packed_size (&page));
  relay_page__pack (&page, body->data);
}

/* Returns the body of ANSWER, which the caller frees.  */
static GByteArray *
build_body (const struct answer *answer)
{
  GByteArray *body = g_byte_array_new ();
  if (answer->kind == KIND_READ)
    {
      const uint64_t head[2] = { GUINT64_TO_BE (answer->end), 0 };
      g_byte_array_append (body, (const guint8 *)head, sizeof head);
      for (const char *key = answer->keys; *key != '\0'; key++)
        {
          const guint8 record[] = { 0, 0, 0, 3, 1, (guint8)*key, 'v' };
          g_byte_array_append (body, record, sizeof record);
        }
    }
  else if (answer->kind == KIND_HELD)
    {
      add_held (body, answer);
    }
  else if (answer->kind == KIND_NEWEST)
    {
      GString *text = g_string_new ("{\"Items\":[");
      for (const char *key = answer->keys; *key != '\0'; key++)
        {
          g_string_append_printf (
              text, "%s{\"Key\":\"%c\",\"Value\":\"dg==\",\"Offset\":0}",
              key == answer->keys ? "" : ",", *key);
        }
      g_string_append_printf (text, "],\"HasMore\":%s,\"End\":%lu}",
                              answer->more ? "true" : "false",
                              (unsigned long)answer->end);
      g_byte_array_append (body, (const guint8 *)text->str, (guint)text->len);
      g_string_free (text, TRUE);
    }
  return body;
}

/* Notes the call of URL.  */
static void
note_call (struct run *run, const char *url)
{
  if (g_str_has_prefix (url, "/api/log-read"))
    {
      g_string_append_printf (run->calls, "%c%lu ",
                              strstr (url, "MaxKb=") ? 'P' : 'R',
                              (unsigned long)msg_query_number (url, "From="));
    }
  else if (!g_str_has_prefix (url, "/api/log-newest"))
    {
      g_string_append (run->calls, "H ");
    }
  else
    {
      g_string_append (run->calls, strstr (url, "After=") ? "A " : "N ");
    }
}

static void
on_request (void *context, struct nsv_connection *connection,
            const struct msg_message *request, const char *method)
{
  (void)method;
  struct run *run = context;
  const struct answer *answer
      = run->answered < ANSWERS_MAX ? &run->row->answers[run->answered] : NULL;
  if (answer == NULL || answer->kind == KIND_END)
    {
      nsv_respond (connection, 503, "", "", 0);
      run->answered++;
      return;
    }
  note_call (run, request->url->str);
  g_autofree char *header
      = answer->era == NULL
            ? g_strdup ("")
            : g_strdup_printf (PFH_STORE_ERA ": %s\r\n", answer->era);
  if (answer->kind == KIND_NONE)
    {
      run->answered++;
      return;
    }
  if (answer->kind == KIND_CUT)
    {
      nsv_begin_response (connection, 200, header, true);
      nsv_abort (connection);
    }
  else
    {
      GByteArray *body = build_body (answer);
      nsv_respond (connection,
                   answer->kind == KIND_STATUS ? answer->status : 200, header,
                   body->data, body->len);
      g_byte_array_free (body, TRUE);
    }
  run->answered++;
}

static void
ignore_end (void *context)
{
  (void)context;
}

static const struct nsv_events server_events = {
  .request = on_request,
  .disconnected = ignore_end,
  .drained = ignore_end,
};

/* Returns COUNT times the address of RUN.  */
static GPtrArray *
list_addresses (const struct run *run, uint32_t count)
{
  GPtrArray *addresses = g_ptr_array_new ();
  for (uint32_t i = 0; i < count; i++)
    {
      g_ptr_array_add (addresses, run->address);
    }
  return addresses;
}

/* Tells the topic of RUN which other daemons there are.  */
static void
set_holders (const struct run *run)
{
  g_autoptr (GPtrArray) addresses = list_addresses (run, run->row->holders);
  tpc_set_holders (run->topic, addresses);
}

static void
on_unknown (void *context)
{
  struct run *run = context;
  g_autoptr (GPtrArray) addresses = list_addresses (run, run->row->members);
  g_string_append_c (run->events, 'U');
  tpc_set_members (run->topic, addresses);
}

static void
on_era (void *context, uint64_t era, bool restored)
{
  struct run *run = context;
  g_string_append_printf (run->events, "E%lu%s", (unsigned long)era,
                          restored ? "!" : "");
  if (run->row->found_late)
    {
      run->found_us = clk_monotonic_us () + FIND_US;
    }
  else
    {
      set_holders (run);
    }
}

static void
on_begin (void *context)
{
  struct run *run = context;
  g_string_append_c (run->events, '[');
}

static void
on_end (void *context, uint64_t end)
{
  struct run *run = context;
  g_string_append_printf (run->events, "]%lu", (unsigned long)end);
}

static void
on_record (void *context, const struct pfs_record *record)
{
  struct run *run = context;
  g_string_append (run->events, record->key);
}

static void
on_held (void *context, const struct pfs_record *record, bool same_era)
{
  (void)same_era;
  on_record (context, record);
}

static void
on_current (void *context, int64_t proved_us, uint64_t end)
{
  (void)proved_us;
  (void)end;
  struct run *run = context;
  g_string_append_c (run->events, '.');
}

static void
on_outage (void *context, int64_t away_us, const char *why)
{
  (void)away_us;
  (void)context;
  (void)why;
}

static const struct tpc_events topic_events = {
  .era = on_era,
  .snapshot_begin = on_begin,
  .snapshot_end = on_end,
  .record = on_record,
  .held = on_held,
  .current = on_current,
  .outage = on_outage,
};

static const struct tpc_events member_events = {
  .era = on_era,
  .snapshot_begin = on_begin,
  .snapshot_end = on_end,
  .record = on_record,
  .held = on_held,
  .unknown = on_unknown,
  .current = on_current,
  .outage = on_outage,
};

static size_t
count_answers (const struct row *row)
{
  size_t count = 0;
  while (count < ANSWERS_MAX && row->answers[count].kind != KIND_END)
    {
      count++;
    }
  return count;
}

static void
on_tick (uv_timer_t *timer)
{
  struct run *run = timer->data;
  if (run->found_us != 0 && clk_monotonic_us () >= run->found_us)
    {
      run->found_us = 0;
      g_string_append_c (run->events, '?');
      set_holders (run);
    }
}

/* Starts a store for RUN, and a topic that reads it in LOOP.  */
static void
open_run (struct run *run, uv_loop_t *loop)
{
  const struct nsv_limits limits = {
    .header_bytes_max = 4096,
    .body_bytes_max = 4096,
    .header_timeout_us = CLK_S_US,
    .idle_timeout_us = 10 * CLK_S_US,
    .unsent_bytes_max = 65536,
    .user_timeout_ms = 1000,
    .connections_max = 16,
  };
  const struct ncl_params client_params
      = { .connect_timeout_us = CLK_S_US, .user_timeout_ms = 1000 };
  run->calls = g_string_new (NULL);
  run->events = g_string_new (NULL);
  run->server
      = nsv_create (loop, "127.0.0.1:0", &limits, &server_events, run, NULL);
  assert_non_null (run->server);
  run->address = nsv_address (run->server);
  run->client = ncl_create (loop, &client_params);
  const struct tpc_params params = {
    .client = run->client,
    .loop = loop,
    .address = run->address,
    .topic = TOPIC,
    .plan = {
      .wait_us = CLK_MS_US,
      .interval_us = CLK_MS_US,
      .age_max_us = CLK_S_US,
      .gap_max_us = CLK_S_US,
      .answer_timeout_max_us = CLK_S_US,
      .retry_max_us = 200 * CLK_MS_US,
      .probe_us = run->row->probe_us,
    },
    .events = run->row->asks_members ? &member_events : &topic_events,
    .context = run,
  };
  run->topic = tpc_create (&params);
}

/* Ends the topic and the store of RUN; the loop must run once more.  */
static void
close_run (struct run *run)
{
  tpc_destroy (run->topic);
  ncl_destroy (run->client);
  nsv_destroy (run->server);
  g_free (run->address);
  g_string_free (run->calls, TRUE);
  g_string_free (run->events, TRUE);
}

/* Lets LOOP run until the topic of RUN has read COUNT answers.  */
static void
await_answers (const struct run *run, uv_loop_t *loop, size_t count)
{
  int64_t end_us = clk_monotonic_us () + TIMEOUT_US;
  while (run->answered < count && clk_monotonic_us () < end_us)
    {
      uv_run (loop, UV_RUN_ONCE);
    }
}

static void
test_rows (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct run run = { .row = &rows[i] };
      uv_loop_t loop;
      uv_timer_t tick;
      uv_loop_init (&loop);
      uv_timer_init (&loop, &tick);
      tick.data = &run;
      uv_timer_start (&tick, on_tick, 20, 20);
      open_run (&run, &loop);
      await_answers (&run, &loop, count_answers (&rows[i]) + 1);
      if (strcmp (run.calls->str, rows[i].calls) != 0
          || strcmp (run.events->str, rows[i].events) != 0)
        {
          fail_msg ("%s: calls '%s', events '%s'", rows[i].name,
                    run.calls->str, run.events->str);
        }
      close_run (&run);
      uv_close ((uv_handle_t *)&tick, NULL);
      uv_run (&loop, UV_RUN_DEFAULT);
      uv_loop_close (&loop);
    }
}

/* Guards against keys that are refused long after the store is back: a topic
   waited for the time-out of a call, or for its next turn, while another topic
   of the same daemon had been answered.  */
static void
test_siblings (void **state)
{
  (void)state;
  static const struct
  {
    const char *name;
    struct row waiting;  /* the topic whose third call is due */
    struct row answered; /* the one whose third call is answered */
  } cases[] = {
    { .name = "a call that isn't answered",
      .waiting.answers = { { .kind = KIND_NEWEST, .keys = "a", .end = 5 },
                           { .kind = KIND_STATUS, .status = 503 },
                           { .kind = KIND_NONE },
                           { .kind = KIND_READ, .keys = "", .end = 5 } },
      .answered.answers = { { .kind = KIND_NEWEST, .keys = "a", .end = 5 },
                            { .kind = KIND_STATUS, .status = 503 },
                            { .kind = KIND_STATUS, .status = 503 },
                            { .kind = KIND_READ, .keys = "", .end = 5 } } },
    { .name = "a probe is answered",
      .waiting.answers = { { .kind = KIND_NEWEST, .keys = "a", .end = 5 },
                           { .kind = KIND_STATUS, .status = 503 },
                           { .kind = KIND_NONE },
                           { .kind = KIND_READ, .keys = "", .end = 5 } },
      .answered.probe_us = 500 * CLK_MS_US,
      .answered.answers = { { .kind = KIND_NEWEST, .keys = "a", .end = 5 },
                            { .kind = KIND_STATUS, .status = 503 },
                            { .kind = KIND_NONE },
                            { .kind = KIND_READ, .keys = "", .end = 5 } } },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct run waiting = { .row = &cases[i].waiting };
      struct run answered = { .row = &cases[i].answered };
      uv_loop_t loop;
      uv_loop_init (&loop);
      open_run (&waiting, &loop);
      open_run (&answered, &loop);
      struct tpc_topic *const topics[] = { waiting.topic, answered.topic };
      tpc_set_siblings (waiting.topic, topics, G_N_ELEMENTS (topics));
      tpc_set_siblings (answered.topic, topics, G_N_ELEMENTS (topics));
      await_answers (&answered, &loop, count_answers (answered.row));
      int64_t since_us = clk_monotonic_us ();
      await_answers (&waiting, &loop, count_answers (waiting.row));
      int64_t waited_us = clk_monotonic_us () - since_us;
      if (waited_us > SIBLING_US)
        {
          fail_msg ("%s: %ld ms", cases[i].name,
                    (long)(waited_us / CLK_MS_US));
        }
      close_run (&waiting);
      close_run (&answered);
      uv_run (&loop, UV_RUN_DEFAULT);
      uv_loop_close (&loop);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_rows),
    cmocka_unit_test (test_siblings),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
