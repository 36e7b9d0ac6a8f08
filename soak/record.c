#include "soak/record.h"

#include "base/clock.h"

/* Returns the part of prompts or the body with the harm NUMBER; free it with
   g_free.  */
char *
srd_harm_text (uint32_t number)
{
  return g_strdup_printf ("bad%u", number);
}

/* Returns a new, empty record; free it with srd_destroy.  */
struct srd_record *
srd_create (void)
{
  struct srd_record *record = g_new0 (struct srd_record, 1);
  record->requests = g_ptr_array_new_with_free_func (g_free);
  record->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  record->arrivals = g_array_new (FALSE, FALSE, sizeof (struct srd_arrival));
  record->answers = g_array_new (FALSE, FALSE, sizeof (struct srd_answer));
  record->orders = g_array_new (FALSE, FALSE, sizeof (struct srd_order));
  record->interruptions
      = g_array_new (FALSE, FALSE, sizeof (struct srd_interruption));
  record->changes = g_array_new (FALSE, FALSE, sizeof (struct srd_change));
  record->drains = g_array_new (FALSE, FALSE, sizeof (struct srd_drain));
  record->faults = g_array_new (FALSE, FALSE, sizeof (struct srd_fault));
  record->restores = g_array_new (FALSE, FALSE, sizeof (struct srd_restore));
  record->processes = g_array_new (FALSE, FALSE, sizeof (struct srd_process));
  record->removals = g_array_new (FALSE, FALSE, sizeof (struct srd_removal));
  record->outages = g_array_new (FALSE, FALSE, sizeof (struct srd_outage));
  record->harms = g_array_new (FALSE, FALSE, sizeof (struct srd_harm));
  record->recovered_us = SRD_NEVER;
  record->ended_us = SRD_NEVER;
  return record;
}

/* Frees RECORD and the requests in it.  */
void
srd_destroy (struct srd_record *record)
{
  g_hash_table_destroy (record->by_id);
  g_ptr_array_free (record->requests, TRUE);
  g_array_free (record->arrivals, TRUE);
  g_array_free (record->answers, TRUE);
  g_array_free (record->orders, TRUE);
  g_array_free (record->interruptions, TRUE);
  g_array_free (record->changes, TRUE);
  g_array_free (record->drains, TRUE);
  g_array_free (record->faults, TRUE);
  g_array_free (record->restores, TRUE);
  g_array_free (record->processes, TRUE);
  g_array_free (record->removals, TRUE);
  g_array_free (record->outages, TRUE);
  g_array_free (record->harms, TRUE);
  g_free (record);
}

/* Adds a request with the new ID to RECORD and returns it.  The request stays
   at its address until the record is freed.  */
struct srd_request *
srd_add_request (struct srd_record *record, const char *id)
{
  struct srd_request *request = g_new0 (struct srd_request, 1);
  g_strlcpy (request->id, id, sizeof request->id);
  request->ended_us = SRD_NEVER;
  request->caller_left_us = SRD_NEVER;
  request->first_run_us = SRD_NEVER;
  g_ptr_array_add (record->requests, request);
  g_hash_table_insert (record->by_id, request->id, request);
  return request;
}

/* Returns the milliseconds from FROM_US to TO_US; -1 if TO_US is never.  */
static double
elapsed_ms (int64_t from_us, int64_t to_us)
{
  return to_us == SRD_NEVER ? -1 : (double)(to_us - from_us) / CLK_MS_US;
}

/* Returns a line about the request ID: its kind, its daemon's process, its
   answer, and times in milliseconds after it was sent, -1 for those that
   haven't come.  Free it with g_free.  Returns NULL if there is no such
   request.  */
char *
srd_describe_request (const struct srd_record *record, const char *id)
{
  static const char *const kinds[SRD_KINDS] = {
    [SRD_DRAFT] = "draft", [SRD_BOOK] = "booking", [SRD_LOOK] = "look-up"
  };
  const struct srd_request *request = g_hash_table_lookup (record->by_id, id);
  if (request == NULL)
    {
      return NULL;
    }
  int64_t sent_us = request->sent_us;
  const struct srd_process *process
      = srd_find_process (record, request->daemon, sent_us);
  GString *text = g_string_new (NULL);
  g_string_append_printf (
      text,
      "%s: %s sent at %.3f to entry-%u, process %u (started %.0f, told to "
      "stop or ended %.0f), status %u, %s, ended %.0f, deadline %.0f, %u runs "
      "(first %.0f, last ended %.0f)",
      id, kinds[request->kind], (double)sent_us / CLK_S_US, request->daemon,
      request->start_number, elapsed_ms (sent_us, request->daemon_started_us),
      elapsed_ms (sent_us, process->ended_us), request->status,
      request->complete ? "complete" : "incomplete",
      elapsed_ms (sent_us, request->ended_us),
      elapsed_ms (sent_us, request->deadline_us), request->runs,
      elapsed_ms (sent_us, request->first_run_us),
      elapsed_ms (sent_us, request->last_run_end_us));
  if (request->sender != request->daemon)
    {
      g_string_append_printf (text, ", passed on to entry-%u",
                              request->sender);
    }
  for (guint i = 0; i < record->arrivals->len; i++)
    {
      const struct srd_arrival *arrival
          = &g_array_index (record->arrivals, struct srd_arrival, i);
      if (arrival->request == request)
        {
          g_string_append_printf (text, ", at endpoint %u (instance %u) %.0f",
                                  arrival->endpoint, arrival->instance,
                                  elapsed_ms (sent_us, arrival->at_us));
        }
    }
  return g_string_free (text, FALSE);
}

/* Records that the request ID arrived at INSTANCE of ENDPOINT at NOW_US.
   Ignores an unknown ID.  */
void
srd_add_arrival (struct srd_record *record, const char *id, uint32_t endpoint,
                 uint32_t instance, int64_t now_us)
{
  struct srd_request *request = g_hash_table_lookup (record->by_id, id);
  if (request == NULL)
    {
      return;
    }
  request->arrivals++;
  request->last_arrival_us = now_us;
  struct srd_arrival arrival = { .request = request,
                                 .endpoint = endpoint,
                                 .instance = instance,
                                 .number = request->arrivals,
                                 .at_us = now_us };
  g_array_append_val (record->arrivals, arrival);
}

/* Records ANSWER to the request ID; only an answer that states something of
   its endpoint is kept.  Ignores an unknown ID.  */
void
srd_add_answer (struct srd_record *record, const char *id,
                const struct srd_answer *answer)
{
  struct srd_request *request = g_hash_table_lookup (record->by_id, id);
  if (request == NULL)
    {
      return;
    }
  request->answer = 0;
  if (answer->leaving || answer->turn_away_us > 0)
    {
      struct srd_answer kept = *answer;
      kept.request = request;
      kept.passed_on_us = SRD_NEVER;
      g_array_append_val (record->answers, kept);
      request->answer = record->answers->len;
    }
}

/* Records that the last answer to REQUEST reached its caller at NOW_US.  */
void
srd_pass_on (struct srd_record *record, const struct srd_request *request,
             int64_t now_us)
{
  if (request->answer > 0)
    {
      g_array_index (record->answers, struct srd_answer, request->answer - 1)
          .passed_on_us
          = now_us;
    }
}

/* Records that the connections between DAEMON and ENDPOINT, each of which may
   be SRD_ALL, were interrupted at NOW_US; with all endpoints, DAEMON was
   frozen.  Returns the index for srd_end_interruption.  */
guint
srd_begin_interruption (struct srd_record *record, uint32_t daemon,
                        uint32_t endpoint, int64_t now_us)
{
  struct srd_interruption interruption = { .daemon = daemon,
                                           .endpoint = endpoint,
                                           .begin_us = now_us,
                                           .end_us = SRD_NEVER };
  g_array_append_val (record->interruptions, interruption);
  return record->interruptions->len - 1;
}

/* Records that the interruption with the index INTERRUPTION ended at NOW_US.
 */
void
srd_end_interruption (struct srd_record *record, guint interruption,
                      int64_t now_us)
{
  g_array_index (record->interruptions, struct srd_interruption, interruption)
      .end_us
      = now_us;
}

/* Records that DAEMON, which may be SRD_ALL, couldn't rely on the store from
   NOW_US on.  Returns the index for srd_end_outage.  */
guint
srd_begin_outage (struct srd_record *record, uint32_t daemon, int64_t now_us)
{
  struct srd_outage outage
      = { .daemon = daemon, .begin_us = now_us, .end_us = SRD_NEVER };
  g_array_append_val (record->outages, outage);
  return record->outages->len - 1;
}

/* Records that the outage with the index OUTAGE ended at NOW_US.  */
void
srd_end_outage (struct srd_record *record, guint outage, int64_t now_us)
{
  g_array_index (record->outages, struct srd_outage, outage).end_us = now_us;
}

/* Records that a process of DAEMON with START_NUMBER started at NOW_US.  */
void
srd_begin_process (struct srd_record *record, uint32_t daemon,
                   uint32_t start_number, int64_t now_us)
{
  struct srd_process process = { .daemon = daemon,
                                 .start_number = start_number,
                                 .started_us = now_us,
                                 .ended_us = SRD_NEVER };
  g_array_append_val (record->processes, process);
}

/* Records that the newest process of DAEMON ended at NOW_US, unless its end
   was recorded before.  */
void
srd_end_process (struct srd_record *record, uint32_t daemon, int64_t now_us)
{
  for (guint i = record->processes->len; i-- > 0;)
    {
      struct srd_process *process
          = &g_array_index (record->processes, struct srd_process, i);
      if (process->daemon == daemon)
        {
          process->ended_us = MIN (process->ended_us, now_us);
          return;
        }
    }
}

/* Returns the process that DAEMON had at AT_US, or its last one before; NULL
   if there is none.  */
const struct srd_process *
srd_find_process (const struct srd_record *record, uint32_t daemon,
                  int64_t at_us)
{
  const struct srd_process *found = NULL;
  for (guint i = 0; i < record->processes->len; i++)
    {
      const struct srd_process *process
          = &g_array_index (record->processes, struct srd_process, i);
      if (process->daemon == daemon && process->started_us <= at_us)
        {
          found = process;
        }
    }
  return found;
}

/* Records that an endpoint began to run the request ID at NOW_US.  Ignores an
   unknown ID.  */
void
srd_begin_run (struct srd_record *record, const char *id, int64_t now_us)
{
  struct srd_request *request = g_hash_table_lookup (record->by_id, id);
  if (request != NULL)
    {
      request->runs++;
      request->active_runs++;
      request->first_run_us = MIN (request->first_run_us, now_us);
    }
}

/* Records that an endpoint stopped running the request ID at NOW_US.  Ignores
   an unknown ID, and a request that no endpoint runs.  */
void
srd_end_run (struct srd_record *record, const char *id, int64_t now_us)
{
  struct srd_request *request = g_hash_table_lookup (record->by_id, id);
  if (request != NULL && request->active_runs > 0)
    {
      request->active_runs--;
      request->last_run_end_us = now_us;
    }
}

/* Records that a fault began at NOW_US.  Returns its index, which
   srd_end_fault takes.  */
guint
srd_begin_fault (struct srd_record *record, int64_t now_us)
{
  struct srd_fault fault = { .begin_us = now_us, .end_us = SRD_NEVER };
  g_array_append_val (record->faults, fault);
  return record->faults->len - 1;
}

/* Records that the fault with the index FAULT ended at NOW_US.  */
void
srd_end_fault (struct srd_record *record, guint fault, int64_t now_us)
{
  g_array_index (record->faults, struct srd_fault, fault).end_us = now_us;
}
