#include "entry/directory.h"

#include "base/clock.h"
#include "base/log.h"
#include "net/call.h"
#include "platform/store.h"

#include <string.h>

#define CALL_TIMEOUT_MS 900

/* Daemons that start at the same time publish their addresses within this
   time. */
#define SPREAD_US (3 * CLK_S_US)

/* Pause after a call that failed. */
#define RETRY_US (1 * CLK_S_US)

struct dir_directory
{
  struct dir_params params;
  struct cal_call *write;  /* NULL: none */
  struct cal_call *lookup; /* NULL: none */
  int64_t publish_us;      /* the address is published then, monotonic;
                              INT64_MAX: it is published */
  bool withdrawn;
};

/* Creates the directory's client.  What PARAMS points to must outlive it.  */
struct dir_directory *
dir_create (const struct dir_params *params)
{
  struct dir_directory *directory = g_new0 (struct dir_directory, 1);
  directory->params = *params;
  dir_publish_again (directory);
  return directory;
}

/* Ends the calls of DIRECTORY and frees it.  */
void
dir_destroy (struct dir_directory *directory)
{
  if (directory->write != NULL)
    {
      cal_cancel (directory->write);
    }
  if (directory->lookup != NULL)
    {
      cal_cancel (directory->lookup);
    }
  g_free (directory);
}

/* Publishes this daemon's address soon, as at first: the store may have lost
   it.  */
void
dir_publish_again (struct dir_directory *directory)
{
  directory->publish_us = clk_monotonic_us ()
                          + (int64_t)(g_random_double () * (double)SPREAD_US);
}

static void
on_written (void *context, uint32_t status, const uint8_t *body,
            size_t body_bytes, const char *why)
{
  (void)body;
  (void)body_bytes;
  struct dir_directory *directory = context;
  directory->write = NULL;
  if (status == HTTP_STATUS_OK)
    {
      return;
    }
  lg_line (LOG_INFO, "address_not_published", "status=%u why=\"%s\"", status,
           why);
  directory->publish_us = clk_monotonic_us () + RETRY_US;
}

/* Writes this daemon's record, without an address once it is withdrawn.  */
static void
send_record (struct dir_directory *directory)
{
  const char *address = directory->params.caller_address;
  g_autoptr (GByteArray) body = g_byte_array_new ();
  pfs_append_record (body, directory->params.name,
                     directory->withdrawn ? NULL : (const uint8_t *)address,
                     directory->withdrawn ? 0 : strlen (address));
  g_autofree char *path = pfs_append_path (PFS_DIRECTORY_TOPIC);
  const struct cal_params params = {
    .client = directory->params.client,
    .loop = directory->params.loop,
    .address = directory->params.store_address,
    .method = "POST",
    .path = path,
    .data = body->data,
    .data_bytes = body->len,
    .timeout_ms = CALL_TIMEOUT_MS,
    .done = on_written,
    .context = directory,
  };
  directory->publish_us = INT64_MAX;
  directory->write = cal_send (&params);
}

/* Removes this daemon's address, since it stops.  */
void
dir_withdraw (struct dir_directory *directory)
{
  directory->withdrawn = true;
  directory->publish_us = 0;
  dir_step (directory, clk_monotonic_us ());
}

static void
on_found (void *context, uint32_t status, const uint8_t *body,
          size_t body_bytes, const char *why)
{
  struct dir_directory *directory = context;
  directory->lookup = NULL;
  g_autoptr (GError) error = NULL;
  struct pfs_page page;
  pfs_init_page (&page);
  if (status != HTTP_STATUS_OK
      || !pfs_decode_newest (body, body_bytes, &page, &error))
    {
      lg_line (LOG_INFO, "neighbours_not_found", "status=%u why=\"%s\"",
               status, error != NULL ? error->message : why);
      nbr_ask (directory->params.neighbours);
      pfs_clear_page (&page);
      return;
    }
  g_autoptr (GPtrArray) addresses = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < page.records->len; i++)
    {
      const struct pfs_record *record = g_ptr_array_index (page.records, i);
      if (record->value != NULL)
        {
          g_ptr_array_add (addresses, g_strndup ((const char *)record->value,
                                                 record->value_bytes));
        }
    }
  lg_line (LOG_INFO, "neighbours_found", "count=%u", addresses->len);
  nbr_set (directory->params.neighbours, addresses);
  pfs_clear_page (&page);
}

/* Reads the directory, as far as one answer of the store has it: these are
   more neighbours than a daemon needs.  */
static void
look_up (struct dir_directory *directory)
{
  g_autofree char *path = pfs_newest_path (PFS_DIRECTORY_TOPIC, NULL);
  const struct cal_params params = {
    .client = directory->params.client,
    .loop = directory->params.loop,
    .address = directory->params.store_address,
    .method = "GET",
    .path = path,
    .timeout_ms = CALL_TIMEOUT_MS,
    .done = on_found,
    .context = directory,
  };
  directory->lookup = cal_send (&params);
}

/* Publishes the address if that is due, and looks the neighbours up if they
   are asked for; to be called often.  */
void
dir_step (struct dir_directory *directory, int64_t now_us)
{
  if (directory->write == NULL && now_us >= directory->publish_us)
    {
      send_record (directory);
    }
  if (directory->lookup == NULL
      && nbr_take_question (directory->params.neighbours, now_us))
    {
      look_up (directory);
    }
}
