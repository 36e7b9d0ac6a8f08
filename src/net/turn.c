#include "net/turn.h"

#include "base/clock.h"
#include "base/log.h"

/* Turns that take longer are logged: callers notice them. */
#define HELD_US (100 * CLK_MS_US)

/* The watch of this thread's loop; NULL: none. */
static _Thread_local struct trn_watch *current;

/* Returns the time by the clock of the event loop.  */
static int64_t
loop_clock_us (void)
{
  return (int64_t)(uv_hrtime () / 1000);
}

/* Ends the work in progress of WATCH at NOW_US.  */
static void
end_work (struct trn_watch *watch, int64_t now_us)
{
  int64_t took_us = now_us - watch->work_since_us;
  if (watch->work != NULL && took_us > watch->longest_work_us)
    {
      watch->longest_work = watch->work;
      watch->longest_work_us = took_us;
    }
  watch->work = NULL;
}

/* Ends a turn of LOOP: the callbacks since LOOP updated its time, which it
   does before timers and after it has waited for events.  That time is in
   milliseconds.  */
static void
end_turn (struct trn_watch *watch, const uv_loop_t *loop)
{
  int64_t now_us = loop_clock_us ();
  int64_t took_us = now_us - (int64_t)uv_now (loop) * CLK_MS_US;
  end_work (watch, now_us);
  cnt_observe_us (watch->turns, took_us);
  if (took_us >= HELD_US)
    {
      lg_line (LOG_WARNING, "loop_held", "turn_ms=%ld work=%s work_ms=%ld",
               (long)(took_us / CLK_MS_US),
               watch->longest_work == NULL ? "-" : watch->longest_work,
               (long)(watch->longest_work_us / CLK_MS_US));
    }
  watch->longest_work = NULL;
  watch->longest_work_us = 0;
}

static void
on_prepare (uv_prepare_t *prepare)
{
  end_turn (prepare->data, prepare->loop);
}

static void
on_check (uv_check_t *check)
{
  end_turn (check->data, check->loop);
}

/* Starts WATCH on LOOP, which this thread runs, and records its turns in the
   histogram TURNS.  WATCH must stay valid as long as LOOP runs; it doesn't
   keep LOOP running.  */
void
trn_start (struct trn_watch *watch, uv_loop_t *loop, struct cnt_series *turns)
{
  *watch = (struct trn_watch){ .turns = turns };
  uv_prepare_init (loop, &watch->prepare);
  uv_check_init (loop, &watch->check);
  watch->prepare.data = watch;
  watch->check.data = watch;
  uv_prepare_start (&watch->prepare, on_prepare);
  uv_check_start (&watch->check, on_check);
  uv_unref ((uv_handle_t *)&watch->prepare);
  uv_unref ((uv_handle_t *)&watch->check);
  current = watch;
}

/* Notes that a callback begins with WORK, a string literal, until the next
   call with other work in the same turn.  Has no effect in threads without a
   watch.  */
void
trn_enter (const char *work)
{
  struct trn_watch *watch = current;
  if (watch == NULL || watch->work == work)
    {
      return;
    }
  int64_t now_us = loop_clock_us ();
  end_work (watch, now_us);
  watch->work = work;
  watch->work_since_us = now_us;
}
