/* Fuzzes the decoders of the platform's messages: configurations, entries of
   endpoints, pages and answers of the store, and prompt parts.  The first byte
   selects the decoder.  What is decoded must be usable: names and addresses
   are there, and numbers are in their ranges. */
#include "fuzz.h"

#include "platform/configuration.h"
#include "platform/prompt.h"
#include "platform/runner.h"
#include "platform/store.h"

#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes);

static void
decode_configuration (const uint8_t *data, size_t bytes)
{
  struct flt_config *config = pfc_decode (data, bytes, NULL);
  if (config == NULL)
    {
      return;
    }
  for (uint32_t i = 0; i < config->route_count; i++)
    {
      const struct flt_route *route = &config->routes[i];
      if (route->name == NULL || route->host == NULL
          || route->path_prefix == NULL || route->timeout_us < 0)
        {
          fz_fail ("a route lacks a name, a host or a prefix");
        }
      flt_find_route (config, route->host, route->path_prefix);
      for (uint32_t n = 0; n < route->split_count; n++)
        {
          if (route->split[n].service >= config->service_count)
            {
              fz_fail ("a route has a service that isn't there");
            }
        }
    }
  flt_release (config);
}

static void
decode_entry (const uint8_t *data, size_t bytes)
{
  struct rst_endpoint *endpoint
      = pfr_decode_entry ("endpoint-1", data, bytes, NULL);
  if (endpoint == NULL)
    {
      return;
    }
  if (endpoint->service == NULL || endpoint->address == NULL
      || endpoint->layers.first > endpoint->layers.end)
    {
      fz_fail ("an endpoint lacks a service, an address or layers");
    }
  rst_endpoint_destroy (endpoint);
}

/* Checks that each record of PAGE has a key, and clears PAGE.  */
static void
check_page (struct pfs_page *page)
{
  for (guint i = 0; i < page->records->len; i++)
    {
      const struct pfs_record *record = g_ptr_array_index (page->records, i);
      if (record->key == NULL)
        {
          fz_fail ("a record has no key");
        }
    }
  pfs_clear_page (page);
}

static void
decode_read (const uint8_t *data, size_t bytes)
{
  struct pfs_page page;
  pfs_decode_read (data, bytes, 0, &page, NULL);
  check_page (&page);
}

static void
decode_newest (const uint8_t *data, size_t bytes)
{
  struct pfs_page page;
  pfs_decode_newest (data, bytes, &page, NULL);
  check_page (&page);
}

static void
decode_join (const uint8_t *data, size_t bytes)
{
  struct pfs_membership membership = { 0 };
  pfs_decode_join (data, bytes, 8, &membership, NULL);
}

static void
decode_owners (const uint8_t *data, size_t bytes)
{
  GPtrArray *addresses = g_ptr_array_new_with_free_func (g_free);
  pfs_decode_owners (data, bytes, 8, addresses, NULL);
  g_ptr_array_unref (addresses);
}

static void
decode_prompt_parts (const uint8_t *data, size_t bytes)
{
  g_autofree char *text = g_strndup ((const char *)data, bytes);
  g_strfreev (pfp_decode_shared_parts (text));
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes)
{
  static void (*const decoders[]) (const uint8_t *data, size_t bytes) = {
    decode_configuration, decode_entry,  decode_read,         decode_newest,
    decode_join,          decode_owners, decode_prompt_parts,
  };
  if (bytes > 0)
    {
      decoders[data[0] % G_N_ELEMENTS (decoders)](data + 1, bytes - 1);
    }
  return 0;
}
