#include "config/entry_settings.h"

#include "base/error.h"
#include "base/memory.h"
#include "config/file.h"
#include "config/schema.h"

#include <syslog.h>

#define SETTINGS_BYTES_MAX ((size_t)64 * 1024)
#define DEPTH_MAX 2
#define NODES_MAX 200
#define RELAYS_MAX 16
#define DURATION_MAX 86400000 /* in the unit of the key: ms or s */
#define RETRY_RATIO_MAX 1000
#define RETRY_SLACK_MAX 1e9
#define DESCRIPTORS_MIN 256
#define QUARANTINE_US INT64_C (3000000)
#define SETTLE_US INT64_C (3000000)
#define US_PER_MS 1000
#define US_PER_S 1000000

static const char *const log_levels[]
    = { "emerg",  "alert", "crit",  "err", "warning",
        "notice", "info",  "debug", NULL };

static const struct ens_settings defaults = { .membership_min_us = US_PER_S,
                                              .quarantine_us = QUARANTINE_US,
                                              .settle_us = SETTLE_US,
                                              .memory_mb = MEM_DEFAULT_MB,
                                              .log_level = LOG_INFO };

/* NOLINTBEGIN(bugprone-macro-parentheses): the arguments are member names and
   units, which cannot be in parentheses. */

/* A required address to listen on.  The name of MEMBER is also the key.  */
#define ADDRESS(member)                                                       \
  {                                                                           \
    .key = #member, .type = SCH_STRING,                                       \
    SCH_MEMBER (struct ens_settings, member), .required = true,               \
    .check = sch_check_listen_address                                         \
  }

/* A duration, in a file unit of UNIT_US microseconds.  */
#define DURATION(name, member, unit_us, is_required)                          \
  {                                                                           \
    .key = name, .type = SCH_UNSIGNED,                                        \
    SCH_MEMBER (struct ens_settings, member), .required = is_required,        \
    .max = DURATION_MAX, .scale = unit_us, .decimal = true                    \
  }
/* NOLINTEND(bugprone-macro-parentheses) */

static const struct sch_field fields[] = {
  { .key = "name",
    .type = SCH_STRING,
    SCH_MEMBER (struct ens_settings, name),
    .required = true,
    .check = sch_check_name },
  { .key = "data_centre",
    .type = SCH_STRING,
    SCH_MEMBER (struct ens_settings, data_centre),
    .required = true,
    .check = sch_check_name },
  ADDRESS (caller_address),
  ADDRESS (ready_address),
  ADDRESS (metrics_address),
  ADDRESS (store_address),
  ADDRESS (relay_address),
  { .key = "relays",
    .type = SCH_STRING_LIST,
    SCH_MEMBER (struct ens_settings, relays),
    .max = RELAYS_MAX,
    .check = sch_check_address },
  { .key = "store_partitions",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct ens_settings, store_partitions),
    .required = true,
    .min = 1,
    .max = UINT32_MAX,
    .decimal = true },
  { .key = "descriptors",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct ens_settings, descriptors),
    .required = true,
    .min = DESCRIPTORS_MIN,
    .max = UINT32_MAX,
    .decimal = true },
  { .key = "memory_mb",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct ens_settings, memory_mb),
    .min = 1,
    .max = MEM_MAX_MB,
    .decimal = true },
  DURATION ("drain_ms", drain_us, US_PER_MS, true),
  DURATION ("config_ms", config_apply_max_us, US_PER_MS, true),
  DURATION ("revoke_ms", revoke_us, US_PER_MS, true),
  DURATION ("quarantine_ms", quarantine_us, US_PER_MS, false),
  DURATION ("settle_ms", settle_us, US_PER_MS, false),
  DURATION ("stop_s", stop_us, US_PER_S, true),
  DURATION ("retry_window_s", retry_window_us, US_PER_S, true),
  DURATION ("membership_min_ms", membership_min_us, US_PER_MS, false),
  { .key = "retry_ratio",
    .type = SCH_FRACTION,
    SCH_MEMBER (struct ens_settings, retry_ratio),
    .required = true,
    .min_fraction = 0,
    .max_fraction = RETRY_RATIO_MAX },
  { .key = "retry_slack",
    .type = SCH_FRACTION,
    SCH_MEMBER (struct ens_settings, retry_slack),
    .required = true,
    .min_fraction = 0,
    .max_fraction = RETRY_SLACK_MAX },
  { .key = "log_level",
    .type = SCH_CHOICE,
    SCH_MEMBER (struct ens_settings, log_level),
    .choices = log_levels },
};

static const struct sch_schema schema = {
  .bytes = sizeof (struct ens_settings),
  .defaults = &defaults,
  .fields = fields,
  .field_count = G_N_ELEMENTS (fields),
};

static const struct yt_limits limits = {
  .text_bytes_max = SETTINGS_BYTES_MAX,
  .depth_max = DEPTH_MAX,
  .nodes_max = NODES_MAX,
};

/* Reads the settings of an entry daemon from the YAML file PATH.  Returns NULL
   with ERR_SETTINGS when the file cannot be read or has errors, and adds one
   line for each error to MESSAGES.  The caller frees the result with
   ens_destroy.  */
struct ens_settings *
ens_load (const char *path, GString *messages, GError **error)
{
  struct cmp_list errors = { .file_name = path, .text = messages };
  char *text = NULL;
  size_t bytes = 0;
  GError *read_error = NULL;
  if (!cfg_read_file (path, SETTINGS_BYTES_MAX, &text, &bytes, &read_error))
    {
      g_string_append_printf (messages, "%s\n", read_error->message);
      g_propagate_error (error, read_error);
      return NULL;
    }
  struct ens_settings *settings = g_new0 (struct ens_settings, 1);
  struct yt_node *root = yt_parse (text, bytes, &limits, &errors);
  if (root != NULL)
    {
      sch_read (&schema, root, settings, &errors);
    }
  yt_destroy (root);
  g_free (text);
  cmp_set_error (&errors, ERR_SETTINGS, error);
  if (errors.count > 0)
    {
      ens_destroy (settings);
      return NULL;
    }
  return settings;
}

/* Frees SETTINGS; NULL is allowed.  */
void
ens_destroy (struct ens_settings *settings)
{
  if (settings == NULL)
    {
      return;
    }
  g_free (settings->name);
  g_free (settings->data_centre);
  g_free (settings->caller_address);
  g_free (settings->ready_address);
  g_free (settings->metrics_address);
  g_free (settings->store_address);
  g_free (settings->relay_address);
  g_strfreev (settings->relays);
  g_free (settings);
}
