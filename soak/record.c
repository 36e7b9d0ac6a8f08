#include "soak/record.h"

/* Creates a record of nothing.  */
struct srd_record *
srd_create (void)
{
  struct srd_record *record = g_new0 (struct srd_record, 1);
  record->requests = g_ptr_array_new_with_free_func (g_free);
  record->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  record->arrivals = g_array_new (FALSE, FALSE, sizeof (struct srd_arrival));
  record->changes = g_array_new (FALSE, FALSE, sizeof (struct srd_change));
  record->leavings = g_array_new (FALSE, FALSE, sizeof (struct srd_leaving));
  record->troubles = g_array_new (FALSE, FALSE, sizeof (struct srd_trouble));
  record->settled_us = SRD_NEVER;
  return record;
}

/* Frees RECORD.  */
void
srd_destroy (struct srd_record *record)
{
  g_hash_table_destroy (record->by_id);
  g_ptr_array_free (record->requests, TRUE);
  g_array_free (record->arrivals, TRUE);
  g_array_free (record->changes, TRUE);
  g_array_free (record->leavings, TRUE);
  g_array_free (record->troubles, TRUE);
  g_free (record);
}

/* Adds the request ID, of which nothing has been seen yet.  It stays where it
   is until the record is freed.  */
struct srd_request *
srd_add_request (struct srd_record *record, const char *id)
{
  struct srd_request *request = g_new0 (struct srd_request, 1);
  g_strlcpy (request->id, id, sizeof request->id);
  request->ended_us = SRD_NEVER;
  request->left_us = SRD_NEVER;
  request->first_run_us = SRD_NEVER;
  g_ptr_array_add (record->requests, request);
  g_hash_table_insert (record->by_id, request->id, request);
  return request;
}

/* Notes that the request ID has reached ENDPOINT.  */
void
srd_arrived (struct srd_record *record, const char *id, uint32_t endpoint,
             int64_t now_us)
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
                                 .number = request->arrivals,
                                 .at_us = now_us };
  g_array_append_val (record->arrivals, arrival);
}

/* Notes that an endpoint runs the request ID.  */
void
srd_runs (struct srd_record *record, const char *id, int64_t now_us)
{
  struct srd_request *request = g_hash_table_lookup (record->by_id, id);
  if (request != NULL)
    {
      request->runs++;
      request->at_work++;
      request->first_run_us = MIN (request->first_run_us, now_us);
    }
}

/* Notes that an endpoint works on the request ID no more.  */
void
srd_rests (struct srd_record *record, const char *id, int64_t now_us)
{
  struct srd_request *request = g_hash_table_lookup (record->by_id, id);
  if (request != NULL && request->at_work > 0)
    {
      request->at_work--;
      request->rested_us = now_us;
    }
}

/* Notes that a trouble begins.  Returns its number for srd_end_trouble.  */
guint
srd_begin_trouble (struct srd_record *record, int64_t now_us)
{
  struct srd_trouble trouble = { .begin_us = now_us, .end_us = SRD_NEVER };
  g_array_append_val (record->troubles, trouble);
  return record->troubles->len - 1;
}

/* Notes that TROUBLE ends.  */
void
srd_end_trouble (struct srd_record *record, guint trouble, int64_t now_us)
{
  g_array_index (record->troubles, struct srd_trouble, trouble).end_us
      = now_us;
}
