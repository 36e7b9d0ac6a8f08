#include "entry/load_message.h"

#include "base/clock.h"

#include <math.h>
#include <string.h>

/* Returns the time AGE_US in whole milliseconds, for a message.  */
static uint32_t
age_ms (int64_t age_us)
{
  return (uint32_t)CLAMP (age_us / CLK_MS_US, 0, UINT32_MAX);
}

/* Copies the COUNT numbers at STATED to RANKS; those that are missing are 0,
   and further ones are ignored.  */
static void
read_ranks (const uint32_t *stated, size_t count,
            uint32_t ranks[FLT_RANKS_MAX])
{
  memset (ranks, 0, sizeof (uint32_t) * FLT_RANKS_MAX);
  for (size_t rank = 0; rank < MIN (count, FLT_RANKS_MAX); rank++)
    {
      ranks[rank] = stated[rank];
    }
}

/* Adds PARTS and REPORTS, which have room for those of STATEMENT, to MESSAGE.
 */
static void
set_parts (LoadStatement *message, const struct flo_statement *statement,
           LoadPart *parts, LoadReport *reports)
{
  for (size_t i = 0; i < statement->part_count; i++)
    {
      const struct flo_part *part = &statement->parts[i];
      load_part__init (&parts[i]);
      parts[i].id = (char *)part->id;
      parts[i].born_ms = part->born_ms;
      parts[i].requests = part->requests;
      parts[i].n_waiting = FLT_RANKS_MAX;
      parts[i].waiting = (uint32_t *)part->waiting;
      message->parts[i] = &parts[i];
    }
  for (size_t i = 0; i < statement->report_count; i++)
    {
      const struct flo_report *report = &statement->reports[i];
      load_report__init (&reports[i]);
      reports[i].id = (char *)report->id;
      reports[i].born_ms = report->born_ms;
      reports[i].age_ms = age_ms (report->age_us);
      reports[i].alive = report->alive;
      message->reports[i] = &reports[i];
    }
}

/* Returns REQUEST as a message.  The caller frees it.  */
GByteArray *
lmg_pack_request (const struct lmg_request *request)
{
  const struct flo_statement *statement = &request->statement;
  LoadStatement message = LOAD_STATEMENT__INIT;
  LoadPart *parts = g_new (LoadPart, statement->part_count + 1);
  LoadReport *reports = g_new (LoadReport, statement->report_count + 1);
  message.name = (char *)statement->name;
  message.sequence = statement->sequence;
  message.n_parts = statement->part_count;
  message.parts = g_new (LoadPart *, statement->part_count + 1);
  message.n_reports = statement->report_count;
  message.reports = g_new (LoadReport *, statement->report_count + 1);
  message.n_arrived = FLT_RANKS_MAX;
  message.arrived = (uint64_t *)statement->arrived;
  message.wait_ms = request->wait_ms;
  message.deaths_version = request->deaths_version;
  set_parts (&message, statement, parts, reports);
  GByteArray *bytes = g_byte_array_new ();
  g_byte_array_set_size (bytes,
                         (guint)load_statement__get_packed_size (&message));
  load_statement__pack (&message, bytes->data);
  g_free (message.parts);
  g_free (message.reports);
  g_free (parts);
  g_free (reports);
  return bytes;
}

/* Returns the parts of MESSAGE, to which they refer.  The caller frees them.
 */
static struct flo_part *
read_parts (const LoadStatement *message)
{
  struct flo_part *parts = g_new0 (struct flo_part, message->n_parts + 1);
  for (size_t i = 0; i < message->n_parts; i++)
    {
      const LoadPart *part = message->parts[i];
      parts[i].id = part->id;
      parts[i].born_ms = part->born_ms;
      parts[i].requests = part->requests;
      read_ranks (part->waiting, part->n_waiting, parts[i].waiting);
    }
  return parts;
}

/* Like read_parts, for the reports.  */
static struct flo_report *
read_reports (const LoadStatement *message)
{
  struct flo_report *reports
      = g_new0 (struct flo_report, message->n_reports + 1);
  for (size_t i = 0; i < message->n_reports; i++)
    {
      const LoadReport *report = message->reports[i];
      reports[i] = (struct flo_report){
        .id = report->id,
        .born_ms = report->born_ms,
        .age_us = report->age_ms * CLK_MS_US,
        .alive = report->alive,
      };
    }
  return reports;
}

/* Reads REQUEST from the COUNT BYTES.  Returns false when they are no such
   message; else the caller clears REQUEST.  */
bool
lmg_read_request (const void *bytes, size_t count, struct lmg_request *request)
{
  LoadStatement *message = load_statement__unpack (NULL, count, bytes);
  *request = (struct lmg_request){ .message = message };
  if (message == NULL)
    {
      return false;
    }
  request->wait_ms = message->wait_ms;
  request->deaths_version = message->deaths_version;
  request->statement = (struct flo_statement){
    .name = message->name,
    .sequence = message->sequence,
    .parts = read_parts (message),
    .part_count = message->n_parts,
    .reports = read_reports (message),
    .report_count = message->n_reports,
  };
  for (size_t rank = 0; rank < MIN (message->n_arrived, FLT_RANKS_MAX); rank++)
    {
      request->statement.arrived[rank] = message->arrived[rank];
    }
  return true;
}

/* Frees what lmg_read_request has put into REQUEST.  */
void
lmg_clear_request (struct lmg_request *request)
{
  g_free ((struct flo_part *)request->statement.parts);
  g_free ((struct flo_report *)request->statement.reports);
  load_statement__free_unpacked (request->message, NULL);
}

/* Returns the messages of SUMS, struct flo_sum, to which they refer.  The
   caller frees them.  */
static LoadSum *
set_sums (LoadAnswer *message, const GArray *sums)
{
  LoadSum *stated = g_new (LoadSum, sums->len + 1);
  message->n_sums = sums->len;
  message->sums = g_new (LoadSum *, sums->len + 1);
  for (guint i = 0; i < sums->len; i++)
    {
      const struct flo_sum *sum = &g_array_index (sums, struct flo_sum, i);
      load_sum__init (&stated[i]);
      stated[i].id = (char *)sum->id;
      stated[i].born_ms = sum->born_ms;
      stated[i].requests = sum->total.requests;
      stated[i].n_waiting = FLT_RANKS_MAX;
      stated[i].waiting = (uint32_t *)sum->total.waiting;
      stated[i].daemons = sum->total.daemons;
      stated[i].age_ms = age_ms (sum->total.age_us);
      message->sums[i] = &stated[i];
    }
  return stated;
}

/* Like set_sums, for DEATHS, struct flo_death.  */
static LoadDeath *
set_deaths (LoadAnswer *message, const GArray *deaths)
{
  LoadDeath *stated = g_new (LoadDeath, deaths->len + 1);
  message->n_deaths = deaths->len;
  message->deaths = g_new (LoadDeath *, deaths->len + 1);
  for (guint i = 0; i < deaths->len; i++)
    {
      const struct flo_death *death
          = &g_array_index (deaths, struct flo_death, i);
      load_death__init (&stated[i]);
      stated[i].id = (char *)death->id;
      stated[i].born_ms = death->born_ms;
      stated[i].reporters = death->reporters;
      stated[i].age_ms = age_ms (death->age_us);
      message->deaths[i] = &stated[i];
    }
  return stated;
}

/* Returns the answer that TABLE gives at NOW_US as a message.  The caller
   frees it.  */
GByteArray *
lmg_pack_answer (struct flo_table *table, int64_t now_us)
{
  LoadAnswer message = LOAD_ANSWER__INIT;
  double per_s[FLT_RANKS_MAX];
  float rates[FLT_RANKS_MAX];
  g_autoptr (GArray) sums = flo_list (table, now_us);
  g_autoptr (GArray) deaths = flo_list_dead (table, now_us);
  flo_rates (table, now_us, per_s);
  for (uint32_t rank = 0; rank < FLT_RANKS_MAX; rank++)
    {
      rates[rank] = (float)per_s[rank];
    }
  LoadSum *stated_sums = set_sums (&message, sums);
  LoadDeath *stated_deaths = set_deaths (&message, deaths);
  message.daemons = flo_daemons (table, now_us);
  message.n_arrivals_per_s = FLT_RANKS_MAX;
  message.arrivals_per_s = rates;
  message.deaths_version = flo_deaths_version (table);
  GByteArray *bytes = g_byte_array_new ();
  g_byte_array_set_size (bytes,
                         (guint)load_answer__get_packed_size (&message));
  load_answer__pack (&message, bytes->data);
  g_free (message.sums);
  g_free (message.deaths);
  g_free (stated_sums);
  g_free (stated_deaths);
  return bytes;
}

/* Reads the sums and deaths of ANSWER from its message, without those that
   can't be true.  */
static void
read_lists (struct lmg_answer *answer)
{
  const LoadAnswer *message = answer->message;
  for (size_t i = 0; i < message->n_sums; i++)
    {
      const LoadSum *stated = message->sums[i];
      struct flo_sum sum = {
        .id = stated->id,
        .born_ms = stated->born_ms,
        .total = {
          .requests = stated->requests,
          .daemons = stated->daemons,
          .age_us = stated->age_ms * CLK_MS_US,
        },
      };
      read_ranks (stated->waiting, stated->n_waiting, sum.total.waiting);
      if (flo_is_valid_id (sum.id))
        {
          g_array_append_val (answer->sums, sum);
        }
    }
  for (size_t i = 0; i < message->n_deaths; i++)
    {
      const LoadDeath *stated = message->deaths[i];
      const struct flo_death death = {
        .id = stated->id,
        .born_ms = stated->born_ms,
        .reporters = stated->reporters,
        .age_us = stated->age_ms * CLK_MS_US,
      };
      if (flo_is_valid_id (death.id) && death.age_us <= FLO_DEATH_US)
        {
          g_array_append_val (answer->deaths, death);
        }
    }
}

/* Reads ANSWER from the COUNT BYTES.  Returns false when they are no such
   message, or longer than any aggregator's; else the caller clears ANSWER.  */
bool
lmg_read_answer (const void *bytes, size_t count, struct lmg_answer *answer)
{
  LoadAnswer *message = load_answer__unpack (NULL, count, bytes);
  if (message == NULL || message->n_deaths > FLO_DEATHS_MAX
      || message->n_sums > FLO_ENGINES_MAX + FLO_PARTS_MAX)
    {
      load_answer__free_unpacked (message, NULL);
      return false;
    }
  *answer = (struct lmg_answer){
    .sums = g_array_new (FALSE, FALSE, sizeof (struct flo_sum)),
    .deaths = g_array_new (FALSE, FALSE, sizeof (struct flo_death)),
    .deaths_version = message->deaths_version,
    .message = message,
  };
  read_lists (answer);
  answer->known.sums
      = (const struct flo_sum *)(const void *)answer->sums->data;
  answer->known.sum_count = answer->sums->len;
  answer->known.daemons = message->daemons;
  for (size_t rank = 0; rank < MIN (message->n_arrivals_per_s, FLT_RANKS_MAX);
       rank++)
    {
      double per_s = message->arrivals_per_s[rank];
      answer->known.per_s[rank] = isfinite (per_s) ? MAX (per_s, 0) : 0;
    }
  return true;
}

/* Frees what lmg_read_answer has put into ANSWER.  */
void
lmg_clear_answer (struct lmg_answer *answer)
{
  g_array_unref (answer->sums);
  g_array_unref (answer->deaths);
  load_answer__free_unpacked (answer->message, NULL);
}
