/* Faults on request: slow batches, late or swapped answers, refusals. */
#include "standin/engine_private.h"

#include "base/clock.h"

#include <stdlib.h>
#include <time.h>
#include <unistd.h>

/* Exit status for the fault `die'. */
#define DIE_EXIT_STATUS 1

/* Longest time that an answer waits for another to be swapped with. */
#define SWAP_WAIT_MS 100

/* Sets *VALUE to member NAME of BODY when that is an integer.  */
static void
read_number (const json_t *body, const char *name, uint32_t *value)
{
  const json_t *member = json_object_get (body, name);
  if (json_is_integer (member))
    {
      *value = (uint32_t)json_integer_value (member);
    }
}

/* Answers POST /fault: journals and sets the faults in BODY, and returns how
   many answers are left to delay and swap.  Ends the process for `die'.  */
void
fe_handle_fault (struct fe_engine *engine, const json_t *body,
                 struct hs_answer *answer)
{
  const json_t *slow = json_object_get (body, "slow");
  const json_t *leaving = json_object_get (body, "leaving");
  const json_t *refuse = json_object_get (body, "refuse");
  char *text = json_dumps (body, JSON_COMPACT);
  jn_write (engine->options.journal, "fault", ",\"host\":\"%s\",\"fault\":%s",
            engine->options.name, text);
  free (text);
  if (json_is_true (json_object_get (body, "die")))
    {
      _exit (DIE_EXIT_STATUS);
    }
  pthread_mutex_lock (&engine->lock);
  if (json_is_number (slow) && json_number_value (slow) > 0)
    {
      engine->slow_factor = json_number_value (slow);
    }
  engine->leaving = leaving == NULL ? engine->leaving : json_is_true (leaving);
  engine->refusing_steps
      = refuse == NULL ? engine->refusing_steps : json_is_true (refuse);
  read_number (body, "late_answers", &engine->answers_to_delay);
  read_number (body, "late_ms", &engine->answer_delay_ms);
  read_number (body, "cross_answers", &engine->pairs_to_swap);
  g_string_append_printf (answer->body,
                          "{\"late_answers\":%u,\"cross_answers\":%u}",
                          engine->answers_to_delay, engine->pairs_to_swap);
  pthread_mutex_unlock (&engine->lock);
  if (json_is_true (json_object_get (body, "silent_connections")))
    {
      hs_silence_connections (engine->server);
    }
  answer->control = true;
}

/* Waits at most SWAP_WAIT_MS until BODY has been swapped with another answer.
   The lock is held.  */
static void
wait_for_swap (struct fe_engine *engine, const GString *body)
{
  struct timespec until;
  clock_gettime (CLOCK_REALTIME, &until);
  int64_t nanoseconds = until.tv_nsec + INT64_C (1000000) * SWAP_WAIT_MS;
  until.tv_sec += nanoseconds / 1000000000;
  until.tv_nsec = nanoseconds % 1000000000;
  int result = 0;
  while (engine->unswapped_answer == body && result == 0)
    {
      result = pthread_cond_timedwait (&engine->answer_swapped, &engine->lock,
                                       &until);
    }
  if (engine->unswapped_answer == body)
    {
      engine->unswapped_answer = NULL;
    }
}

/* Swaps BODY with the answer that waits for one, or lets BODY wait when there
   is none.  The lock is held.  */
static void
swap_answer (struct fe_engine *engine, GString *body)
{
  if (engine->unswapped_answer == NULL)
    {
      engine->unswapped_answer = body;
      wait_for_swap (engine, body);
      return;
    }
  GString other = *engine->unswapped_answer;
  *engine->unswapped_answer = *body;
  *body = other;
  engine->unswapped_answer = NULL;
  engine->pairs_to_swap--;
  pthread_cond_broadcast (&engine->answer_swapped);
}

/* Applies the answer faults that are set to BODY, the answer of a step: delays
   it, or swaps it with the answer to another request.  */
void
fe_apply_answer_faults (struct fe_engine *engine, GString *body)
{
  pthread_mutex_lock (&engine->lock);
  uint32_t delay_ms = 0;
  if (engine->answers_to_delay > 0)
    {
      engine->answers_to_delay--;
      delay_ms = engine->answer_delay_ms;
    }
  if (engine->pairs_to_swap > 0)
    {
      swap_answer (engine, body);
    }
  pthread_mutex_unlock (&engine->lock);
  if (delay_ms > 0)
    {
      usleep ((useconds_t)(delay_ms * CLK_MS_US));
    }
}
