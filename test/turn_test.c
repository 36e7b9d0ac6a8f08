/* Tests of the watch of an event loop's turns. */
#include "base/clock.h"
#include "base/log.h"
#include "net/turn.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <string.h>
#include <unistd.h>

#define STEPS_MAX 3

/* A turn: what its callbacks do, and for how long. */
struct row
{
  const char *name;
  struct
  {
    const char *work; /* NULL: not named */
    uint32_t ms;
  } steps[STEPS_MAX];
  const char *logged; /* NULL: nothing */
};

struct fixture
{
  const struct row *row;
  uv_timer_t timer;
  uv_async_t async;
};

static const struct row rows[] = {
  { "short", { { "a", 1 }, { "b", 2 } }, NULL },
  { "one work", { { "a", 150 } }, "work=a " },
  { "the longest is named",
    { { "a", 30 }, { "b", 110 }, { "c", 30 } },
    "work=b " },
  { "several together hold the loop",
    { { "a", 60 }, { "b", 40 }, { "c", 40 } },
    "work=a " },
  { "without a name", { { NULL, 130 } }, "work=- " },
};

static void
play (const struct row *row)
{
  for (size_t i = 0; i < STEPS_MAX; i++)
    {
      if (row->steps[i].work != NULL)
        {
          trn_enter (row->steps[i].work);
        }
      usleep (row->steps[i].ms * 1000);
    }
}

/* Plays FIXTURE's row and lets the loop end.  */
static void
run_callback (struct fixture *fixture)
{
  play (fixture->row);
  uv_close ((uv_handle_t *)&fixture->async, NULL);
  uv_close ((uv_handle_t *)&fixture->timer, NULL);
}

static void
on_timer (uv_timer_t *timer)
{
  run_callback (timer->data);
}

static void
on_async (uv_async_t *async)
{
  run_callback (async->data);
}

/* Plays FIXTURE's row in a timer or an event of a watched loop.  Returns what
   was logged.  The caller frees it.  */
static char *
run_row (struct fixture *fixture, bool in_timer, struct cnt_series *turns)
{
  uv_loop_t loop;
  struct trn_watch watch;
  int ends[2];
  char text[4096];
  int output = dup (STDOUT_FILENO);
  uv_loop_init (&loop);
  uv_timer_init (&loop, &fixture->timer);
  uv_async_init (&loop, &fixture->async, on_async);
  fixture->timer.data = fixture;
  fixture->async.data = fixture;
  trn_start (&watch, &loop, turns);
  assert_int_equal (pipe (ends), 0);
  lg_flush ();
  dup2 (ends[1], STDOUT_FILENO);
  if (in_timer)
    {
      uv_timer_start (&fixture->timer, on_timer, 20, 0);
    }
  else
    {
      uv_async_send (&fixture->async);
    }
  uv_run (&loop, UV_RUN_DEFAULT);
  lg_flush ();
  dup2 (output, STDOUT_FILENO);
  close (output);
  close (ends[1]);
  ssize_t count = read (ends[0], text, sizeof text - 1);
  text[MAX (count, 0)] = '\0';
  close (ends[0]);
  uv_close ((uv_handle_t *)&watch.prepare, NULL);
  uv_close ((uv_handle_t *)&watch.check, NULL);
  uv_run (&loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&loop), 0);
  return g_strdup (text);
}

/* A turn that holds the loop is logged with the work that took longest of it,
   whether a timer or an event began it; waiting for events isn't counted.  */
static void
test_turns (void **state)
{
  (void)state;
  struct cnt_set *set = cnt_set_create ();
  struct cnt_series *turns
      = cnt_histogram (set, "kumquatthread_turn_seconds", "", "Turns");
  for (size_t i = 0; i < 2 * G_N_ELEMENTS (rows); i++)
    {
      struct fixture fixture = { .row = &rows[i / 2] };
      const char *logged = fixture.row->logged;
      g_autofree char *log = run_row (&fixture, i % 2 == 0, turns);
      bool is_logged = strstr (log, "event=loop_held") != NULL;
      if (is_logged != (logged != NULL)
          || (logged != NULL && strstr (log, logged) == NULL))
        {
          fail_msg ("%s, timer %d: '%s'", fixture.row->name, i % 2 == 0, log);
        }
    }
  GString *text = g_string_new (NULL);
  cnt_render (set, text);
  assert_non_null (
      strstr (text->str, "kumquatthread_turn_seconds_bucket{le=\"0.2\"}"));
  g_string_free (text, TRUE);
  cnt_set_destroy (set);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_turns),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
