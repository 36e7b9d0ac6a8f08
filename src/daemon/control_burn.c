#include "daemon/control_burn.h"

#include "base/clock.h"
#include "base/log.h"
#include "daemon/control_private.h"

#include <inttypes.h>
#include <string.h>

#define READ_PAGE_RECORDS_MAX 256

/* Limits the pages that are read from the log for one report. */
#define READ_PAGES_MAX 4096

/* Between appends during a stop.  Each uses up a sequence of the bucket. */
#define STOP_FLUSH_INTERVAL_US (BRN_BUCKET_S * CLK_S_US / BRN_SEQUENCES_MAX)

/* Time for the last appends of a stop: that of one append that is in progress,
   as in plog_append. */
#define FINISH_MAX_US (2 * CLK_S_US)

/* How often it is checked whether the log has confirmed an append. */
#define FINISH_POLL_US (10 * CLK_MS_US)

/* Returns the name of HOST's data centre, or "" for an unknown host.  */
static const char *
data_centre_of_host (const struct cfg_config *config, const char *host)
{
  const struct cfg_host *found = cfg_find_host (config, host);
  return found != NULL ? config->data_centres[found->data_centre].name : "";
}

static void
observe_event (struct ctl_control *control, void *data)
{
  struct brn_event *event = data;
  const struct cfg_account *account
      = control->config != NULL
            ? cfg_find_account (control->config, event->account)
            : NULL;
  if (account != NULL)
    {
      struct brn_outcome outcome = {
        .account = event->account,
        .work = event->work,
        .error = event->error,
        .first_token_us = event->first_token_us,
        .between_tokens_us = event->between_tokens_us,
        .settled_us = event->settled_us,
        .endpoint = event->endpoint,
        .data_centre = data_centre_of_host (control->config, event->endpoint),
        .objective = &account->objective,
      };
      brn_observe (control->burn, &outcome, clk_real_us ());
    }
  g_free (event);
}

/* Counts a request by how it ended.  Requests of accounts that aren't in the
   configuration are ignored.  EVENT is copied.  Thread-safe.  */
void
ctl_burn_observe (struct ctl_control *control, const struct brn_event *event)
{
  ctl_post (control, observe_event, g_memdup2 (event, sizeof *event));
}

/* Requests an append of the new counts to the burn stream of the log, every
   minute and, when the daemon is stopping, at once and then every
   STOP_FLUSH_INTERVAL_US.  Called periodically on the control thread.  */
void
ctl_burn_tick (struct ctl_control *control)
{
  int64_t now_us = clk_monotonic_us ();
  bool flush = control->stopping && now_us >= control->next_burn_flush_us;
  if (flush)
    {
      control->next_burn_flush_us = now_us + STOP_FLUSH_INTERVAL_US;
    }
  brn_tick (control->burn, now_us, clk_real_us (), flush, control->actions);
  ctl_perform_actions (control);
}

/* Passes on the result of the append that ctl_burn_tick requested and TOKEN
   identifies.
   Called on the control thread.  */
void
ctl_burn_handle_append_result (struct ctl_control *control, uint64_t token,
                               enum err_kind result)
{
  brn_append_result (control->burn, token, result, clk_monotonic_us ());
}

static void
finish_burn (struct ctl_control *control, void *data)
{
  (void)data;
  brn_finish (control->burn);
}

/* Requests the next append, if there is one.  Sets DATA, a bool, to whether
   the log hasn't confirmed all yet.  */
static void
append_rest (struct ctl_control *control, void *data)
{
  bool *pending = data;
  ctl_burn_tick (control);
  *pending = brn_unconfirmed (control->burn).records > 0;
}

/* Appends all counts that the log hasn't confirmed, for at most FINISH_MAX_US.
   No request may be counted any more.  Must not be called on the control
   thread.  */
void
ctl_burn_finish (struct ctl_control *control)
{
  int64_t end_us = clk_monotonic_us () + FINISH_MAX_US;
  bool pending = true;
  ctl_call (control, finish_burn, NULL);
  ctl_call (control, append_rest, &pending);
  while (pending && clk_monotonic_us () < end_us)
    {
      g_usleep ((gulong)FINISH_POLL_US);
      ctl_call (control, append_rest, &pending);
    }
}

/* Logs what the log hasn't confirmed.  Called when the control thread and the
   appender threads have ended.  */
void
ctl_burn_log_unconfirmed (const struct ctl_control *control)
{
  struct brn_unconfirmed left = brn_unconfirmed (control->burn);
  if (left.records > 0)
    {
      lg_line (LOG_WARNING, "burn-records-unconfirmed",
               "records=%u requests=%" PRIu64, left.records, left.requests);
    }
}

/* Logs and counts that the record at OFFSET isn't merged.  */
static void
reject_record (struct ctl_control *control, uint64_t offset,
               enum brn_merge_result reason)
{
  lg_line (LOG_WARNING, "burn-record-rejected", "offset=%" PRIu64 " reason=%s",
           offset, brn_merge_result_name (reason));
  cnt_add (control->params.metrics->burn_rejected, 1);
}

static void
merge_record (struct ctl_control *control, const struct plog_record *record)
{
  GBytes *bytes = g_bytes_new (record->bytes, record->byte_count);
  struct brn_record *burn = brn_unpack (bytes);
  enum brn_merge_result result
      = burn != NULL ? brn_merge (control->burn, burn, clk_real_us ())
                     : BRN_MALFORMED;
  if (result != BRN_MERGED && result != BRN_DUPLICATE)
    {
      reject_record (control, record->offset, result);
    }
  brn_record_destroy (burn);
  g_bytes_unref (bytes);
}

/* The result of a read of the burn stream. */
struct burn_read
{
  uint64_t from; /* offset */
  enum err_kind error;
  struct plog_page page;
  bool more; /* set by handle_read: there may be further records */
};

/* Merges the records of a read, also those before a malformed one.  Another
   report may have read some of them meanwhile.  Skips the first record when it
   can't be read though the log says that there is one: it would be read again
   for each report.  */
static void
handle_read (struct ctl_control *control, void *data)
{
  struct burn_read *read = data;
  const struct plog_page *page = &read->page;
  uint64_t *next = &control->next_burn_offset;
  *next = MAX (*next, page->first);
  uint64_t start = MAX (read->from, page->first);
  for (size_t i = 0; i < page->record_count; i++)
    {
      uint64_t offset = page->records[i].offset;
      if (offset < start || offset >= page->next)
        {
          reject_record (control, offset, BRN_MALFORMED);
        }
      else if (offset >= *next)
        {
          merge_record (control, &page->records[i]);
          *next = offset + 1;
        }
    }
  bool malformed = read->error == ERR_PROTOCOL || page->record_count > 0;
  if (malformed && *next == start && start < page->next)
    {
      if (page->record_count == 0)
        {
          reject_record (control, start, BRN_MALFORMED);
        }
      *next = start + 1;
    }
  read->more = *next > read->from;
  lio_log_change (BRN_STREAM, read->more ? ERR_NONE : read->error,
                  &control->last_burn_read);
}

static void
get_next_offset (struct ctl_control *control, void *data)
{
  uint64_t *offset = data;
  *offset = control->next_burn_offset;
}

/* Reads the records that daemons have appended to the log since the last
   report, and merges them; this daemon's own aren't counted again.  Stops
   at the first failure, which is logged, and after READ_PAGES_MAX pages; the
   next report continues from there.  */
static void
read_records (struct ctl_control *control)
{
  struct plog_client *client
      = plog_create (control->params.settings->log_urls);
  bool more = true;
  for (int i = 0; i < READ_PAGES_MAX && more; i++)
    {
      struct burn_read read = { .from = 0 };
      ctl_call (control, get_next_offset, &read.from);
      read.error = plog_read (client, BRN_STREAM, read.from,
                              READ_PAGE_RECORDS_MAX, 0, &read.page);
      ctl_call (control, handle_read, &read);
      more = read.more;
      plog_page_clear (&read.page);
    }
  plog_destroy (client);
}

static void
build_report (struct ctl_control *control, void *data)
{
  json_t **json = data;
  if (control->config == NULL)
    {
      *json = json_object ();
      return;
    }
  struct brn_report *report
      = brn_report (control->burn, control->config, clk_real_us ());
  *json = brn_report_to_json (report);
  brn_report_destroy (report);
}

/* Returns the report over all daemons, owned by the caller; an empty object
   before the first configuration.  If the log can't be read to its end, the
   report covers the records read so far.  Other daemons' records are read from
   the log only now, so that a daemon that is never asked for a report reads
   none.  Must not be called on the control thread.  */
json_t *
ctl_burn_report (struct ctl_control *control)
{
  json_t *json = NULL;
  read_records (control);
  ctl_call (control, build_report, &json);
  return json;
}
