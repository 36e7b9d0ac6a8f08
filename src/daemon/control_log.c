/* Passes what the log threads (log_io.h) read and append on to the state
   machine that owns the stream or the append, on the control thread. */
#include "base/clock.h"
#include "base/log.h"
#include "daemon/control_burn.h"
#include "daemon/control_orders.h"

#include <string.h>

/* The result of a read.  The contents of the records in `page' are only valid
   on the reader thread; `bytes' has copies. */
struct page_event
{
  char *stream;
  bool read_ok;         /* false: the read failed */
  int64_t requested_us; /* monotonic; the page shows the log as of then */
  struct plog_page page;
  GPtrArray *bytes; /* GBytes, one for each record */
};

/* The result of an append. */
struct append_event
{
  enum act_owner owner;
  uint64_t token;
  enum err_kind result;
  uint64_t offset;
  bool log_unavailable;
};

/* Passes one record of STREAM to the state machine of the stream.  */
static void
handle_record (struct ctl_control *control, const char *stream,
               const struct plog_record *record, GBytes *bytes)
{
  if (strcmp (stream, CST_STREAM) == 0)
    {
      cst_log_record (control->config_state, record->offset, record->time_us,
                      bytes, clk_monotonic_us (), control->actions);
    }
  else if (strcmp (stream, LSE_STREAM) == 0)
    {
      lse_log_record (ctl_lease (control), record->offset, record->time_us,
                      bytes, clk_monotonic_us ());
    }
  else if (g_str_has_prefix (stream, "claims-"))
    {
      clm_log_record (control->claims, stream, record->offset, record->time_us,
                      bytes, clk_monotonic_us (), control->actions);
    }
}

/* Tells the state machine of the stream which offsets the log holds, as of the
   time at which the page was requested.  */
static void
handle_position (struct ctl_control *control, const struct page_event *event)
{
  int64_t now_us = event->requested_us;
  control->last_log_read_us = now_us;
  if (strcmp (event->stream, CST_STREAM) == 0)
    {
      cst_log_position (control->config_state, event->page.first,
                        event->page.next, now_us);
    }
  else if (strcmp (event->stream, LSE_STREAM) == 0)
    {
      lse_log_position (ctl_lease (control), event->page.first,
                        event->page.next, now_us);
    }
  else if (g_str_has_prefix (event->stream, "claims-"))
    {
      clm_log_position (control->claims, event->stream, event->page.first,
                        event->page.next, now_us);
    }
}

static void
handle_page_event (struct ctl_control *control, void *data)
{
  struct page_event *event = data;
  for (size_t i = 0; event->read_ok && i < event->page.record_count; i++)
    {
      handle_record (control, event->stream, &event->page.records[i],
                     g_ptr_array_index (event->bytes, i));
    }
  if (event->read_ok)
    {
      handle_position (control, event);
    }
  else if (event->page.unavailable)
    {
      clm_log_unavailable (control->claims, clk_monotonic_us ());
    }
  ctl_perform_actions (control);
  ctl_publish_view (control);
  g_free (event->stream);
  g_free (event->page.records);
  g_ptr_array_free (event->bytes, TRUE);
  g_free (event);
}

static void
unref_bytes (gpointer data)
{
  g_bytes_unref (data);
}

/* Posts a copy of a page of STREAM, or the failure RESULT to read it, to the
   control thread.  Implements lio_on_page; called on a reader thread.  */
void
ctl_handle_log_page (const char *stream, enum err_kind result,
                     const struct plog_page *page, int64_t requested_us,
                     void *user_data)
{
  struct page_event *event = g_new0 (struct page_event, 1);
  event->stream = g_strdup (stream);
  event->bytes = g_ptr_array_new_with_free_func (unref_bytes);
  event->read_ok = result == ERR_NONE;
  event->requested_us = requested_us;
  event->page = *page;
  event->page.records = NULL;
  if (event->read_ok)
    {
      event->page.records = g_memdup2 (
          page->records, sizeof *page->records * page->record_count);
      for (size_t i = 0; i < page->record_count; i++)
        {
          g_ptr_array_add (event->bytes,
                           g_bytes_new (page->records[i].bytes,
                                        page->records[i].byte_count));
        }
    }
  ctl_post (user_data, handle_page_event, event);
}

static void
handle_claims_append (struct ctl_control *control,
                      const struct append_event *event)
{
  int64_t now_us = clk_monotonic_us ();
  switch (event->result)
    {
    case ERR_NONE:
      clm_append_done (control->claims, event->token, event->offset, now_us,
                       control->actions);
      return;
    case ERR_LOG_UNAVAILABLE:
      clm_append_refused (control->claims, event->token, now_us,
                          control->actions);
      return;
    default:
      clm_append_unknown (control->claims, event->token, now_us,
                          control->actions);
      return;
    }
}

static void
handle_config_append (struct ctl_control *control,
                      const struct append_event *event)
{
  int64_t now_us = clk_monotonic_us ();
  switch (event->result)
    {
    case ERR_NONE:
      cst_append_done (control->config_state, event->token, event->offset,
                       now_us, control->actions);
      return;
    case ERR_LOG_UNAVAILABLE:
      cst_append_refused (control->config_state, event->token, now_us,
                          control->actions);
      return;
    default:
      cst_append_unknown (control->config_state, event->token, now_us,
                          control->actions);
      return;
    }
}

static void
handle_lease_append (struct ctl_control *control,
                     const struct append_event *event)
{
  int64_t now_us = clk_monotonic_us ();
  switch (event->result)
    {
    case ERR_NONE:
      lse_append_done (ctl_lease (control), event->token, event->offset,
                       now_us);
      return;
    case ERR_LOG_UNAVAILABLE:
      lse_append_refused (ctl_lease (control), event->token, now_us);
      return;
    default:
      lse_append_lost (ctl_lease (control), event->token, now_us);
      return;
    }
}

static void
handle_append_event (struct ctl_control *control, void *data)
{
  struct append_event *event = data;
  if (event->log_unavailable)
    {
      clm_log_unavailable (control->claims, clk_monotonic_us ());
    }
  switch (event->owner)
    {
    case ACT_OWNER_CLAIMS:
      handle_claims_append (control, event);
      break;
    case ACT_OWNER_CONFIG:
      handle_config_append (control, event);
      break;
    case ACT_OWNER_BURN:
      ctl_burn_handle_append_result (control, event->token, event->result);
      break;
    case ACT_OWNER_LEASE:
      handle_lease_append (control, event);
      break;
    }
  ctl_perform_actions (control);
  g_free (event);
}

/* Posts the result of an append to the control thread.  Implements
   lio_on_append; called on an appender thread.  */
void
ctl_handle_append_result (enum act_owner owner, uint64_t token,
                          enum err_kind result, uint64_t offset,
                          bool log_unavailable, void *user_data)
{
  struct append_event *event = g_new0 (struct append_event, 1);
  *event = (struct append_event){
    .owner = owner,
    .token = token,
    .result = result,
    .offset = offset,
    .log_unavailable = log_unavailable,
  };
  ctl_post (user_data, handle_append_event, event);
}
