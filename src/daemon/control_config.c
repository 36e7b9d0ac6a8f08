#include "daemon/control_config.h"

#include "base/clock.h"
#include "base/log.h"
#include "config/parse.h"
#include "daemon/control_peers.h"

#include <string.h>

#define PUBLISH_TIMEOUT_US (10 * CLK_S_US)
#define DRAIN_ATTEMPTS_MAX 5

/* How long the platform's log keeps a record: 48 hours. */
#define LOG_RETENTION_US (INT64_C (48) * 3600 * CLK_S_US)

/* A publication and the thread that waits for its answer.  LOCK protects the
   fields below it. */
struct publish_wait
{
  uint64_t id;
  const struct opr_publish *publish;
  uint64_t base_version;
  pthread_mutex_t lock;
  pthread_cond_t answered_cond;
  bool answered;
  enum err_kind kind;
  uint64_t version;
};

/* Marks the hosts as leaving, or not, by the drain flags of the configuration
   in force.  */
static void
apply_drains (struct ctl_control *control)
{
  const struct cfg_config *config = control->config;
  for (uint32_t i = 0; i < config->host_count; i++)
    {
      const struct cfg_host *host = &config->hosts[i];
      struct lv_outcome outcome = lv_apply_drain (
          control->leaving_hosts, host->name, config->version, host->draining);
      ctl_apply_leaving_outcome (control, &outcome);
    }
}

/* Puts the configuration YAML in force as VERSION and publishes a view of it.
   A configuration was checked when it was accepted, but perhaps by another
   release of the program: one that this release can't parse is logged, and the
   previous configuration stays in force.  Called on the control thread.  */
void
ctl_apply_config (struct ctl_control *control, uint64_t version,
                  const char *yaml, size_t yaml_bytes)
{
  if (control->config != NULL && control->config->version == version)
    {
      return;
    }
  GString *parse_errors = g_string_new (NULL);
  g_autoptr (GError) error = NULL;
  struct cfg_config *config
      = cfg_parse ("configuration", yaml, yaml_bytes, parse_errors, &error);
  if (config == NULL)
    {
      lg_line (LOG_ERR, "config-rejected", "version=%lu message=\"%s\"",
               (unsigned long)version, parse_errors->str);
      g_string_free (parse_errors, TRUE);
      return;
    }
  config->version = version;
  cfg_config_destroy (control->config);
  g_free (control->config_yaml);
  control->config = config;
  control->config_yaml = g_strndup (yaml, yaml_bytes);
  control->view_outdated = true;
  control->next_fleet_tick_us = 0;
  g_string_free (parse_errors, TRUE);
  apply_drains (control);
  lg_line (LOG_NOTICE, "config-applied", "version=%lu hosts=%u accounts=%u",
           (unsigned long)version, config->host_count, config->account_count);
  ctl_publish_view (control);
}

/* Implements the callback of struct cst_params.  */
static bool
is_config_valid (const char *yaml, size_t bytes, void *user_data)
{
  (void)user_data;
  GString *parse_errors = g_string_new (NULL);
  struct cfg_config *config
      = cfg_parse ("configuration", yaml, bytes, parse_errors, NULL);
  bool valid = config != NULL;
  cfg_config_destroy (config);
  g_string_free (parse_errors, TRUE);
  return valid;
}

/* Creates the state machine of the configuration.  */
struct cst *
ctl_create_config_state (uint64_t incarnation)
{
  struct cst_params params
      = cst_params_default (incarnation, LOG_RETENTION_US);
  params.valid = is_config_valid;
  return cst_create (&params);
}

/* Passes the state machine's ANSWER on to the thread that published, unless
   that has stopped waiting.  Called on the control thread.  */
void
ctl_answer_publisher (struct ctl_control *control,
                      const struct act_answer_publish *answer)
{
  struct publish_wait *wait = g_hash_table_lookup (
      control->pending_publications, &answer->request_id);
  if (wait == NULL)
    {
      return;
    }
  g_hash_table_remove (control->pending_publications, &answer->request_id);
  pthread_mutex_lock (&wait->lock);
  wait->answered = true;
  wait->kind = answer->kind;
  wait->version = answer->version;
  pthread_cond_signal (&wait->answered_cond);
  pthread_mutex_unlock (&wait->lock);
}

static void
start_publication (struct ctl_control *control, void *data)
{
  struct publish_wait *wait = data;
  struct cst_publication publication = {
    .request_id = wait->id,
    .base_version = wait->base_version,
    .publisher = wait->publish->publisher,
    .yaml = g_bytes_new (wait->publish->yaml, wait->publish->yaml_bytes),
  };
  g_hash_table_insert (control->pending_publications, &wait->id, wait);
  cst_publish (control->config_state, &publication, clk_monotonic_us (),
               control->actions);
  g_bytes_unref (publication.yaml);
  ctl_perform_actions (control);
}

static void
remove_pending (struct ctl_control *control, void *data)
{
  struct publish_wait *wait = data;
  g_hash_table_remove (control->pending_publications, &wait->id);
}

/* Waits until the publication is answered, at most PUBLISH_TIMEOUT_US.  */
static void
wait_for_publish_answer (struct publish_wait *wait)
{
  struct timespec until;
  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += PUBLISH_TIMEOUT_US / CLK_S_US;
  int result = 0;
  pthread_mutex_lock (&wait->lock);
  while (!wait->answered && result == 0)
    {
      result
          = pthread_cond_timedwait (&wait->answered_cond, &wait->lock, &until);
    }
  pthread_mutex_unlock (&wait->lock);
}

/* Checks and publishes a configuration, and waits until its place in the log
   decides whether it is accepted.  Sets VERSION to the accepted version, else
   to the one in force, or 0 when there was no answer in time.  FAILURE:
   ERR_CONFIG_INVALID with the parser's messages, ERR_APPEND_UNKNOWN when there
   was no answer within PUBLISH_TIMEOUT_US, and the kinds of cst_publish.  */
bool
ctl_config_publish (struct ctl_control *control,
                    const struct opr_publish *publish, uint64_t *version,
                    struct err_failure *failure)
{
  GString *parse_errors = g_string_new (NULL);
  g_autoptr (GError) error = NULL;
  struct cfg_config *config
      = cfg_parse ("configuration", publish->yaml, publish->yaml_bytes,
                   parse_errors, &error);
  if (config == NULL)
    {
      err_set_failure (failure, ERR_CONFIG_INVALID, parse_errors->str);
      g_string_free (parse_errors, TRUE);
      return false;
    }
  struct publish_wait wait = {
    .id = ctl_new_id (control),
    .publish = publish,
    .base_version = config->version - 1,
    .kind = ERR_APPEND_UNKNOWN,
  };
  cfg_config_destroy (config);
  g_string_free (parse_errors, TRUE);
  pthread_mutex_init (&wait.lock, NULL);
  pthread_cond_init (&wait.answered_cond, NULL);
  ctl_call (control, start_publication, &wait);
  wait_for_publish_answer (&wait);
  ctl_call (control, remove_pending, &wait);
  pthread_cond_destroy (&wait.answered_cond);
  pthread_mutex_destroy (&wait.lock);
  *version = wait.version;
  if (wait.kind != ERR_NONE)
    {
      err_set_failure (failure, wait.kind, NULL);
    }
  return wait.kind == ERR_NONE;
}

/* A copy of the configuration in force, for use on other threads. */
struct config_copy
{
  char *yaml;        /* owned; NULL: no configuration is in force */
  uint64_t version;  /* 0: none */
  uint32_t in_force; /* daemons that have this version in force */
  uint32_t daemons;  /* daemons that are alive */
};

static void
copy_config (struct ctl_control *control, void *data)
{
  struct config_copy *copy = data;
  copy->yaml = g_strdup (control->config_yaml);
  copy->version = control->config != NULL ? control->config->version : 0;
  copy->daemons = mem_active_count (control->members);
  copy->in_force = mem_in_force_count (control->members, copy->version);
}

/* Returns the configuration in force as JSON, owned by the caller, with the
   number of daemons that have it in force.  Returns NULL before the first
   configuration, with FAILURE set to ERR_NOT_READY.  */
json_t *
ctl_config_show (struct ctl_control *control, struct err_failure *failure)
{
  struct config_copy current = { .yaml = NULL };
  ctl_call (control, copy_config, &current);
  if (current.yaml == NULL)
    {
      err_set_failure (failure, ERR_NOT_READY, NULL);
      return NULL;
    }
  json_t *json = json_pack ("{s:I, s:i, s:i, s:s}", "version",
                            (json_int_t)current.version, "in_force",
                            (int)current.in_force, "daemons",
                            (int)current.daemons, "yaml", current.yaml);
  g_free (current.yaml);
  return json;
}

static struct cfg_host *
find_host (struct cfg_config *config, const char *name)
{
  for (uint32_t i = 0; i < config->host_count; i++)
    {
      if (strcmp (config->hosts[i].name, name) == 0)
        {
          return &config->hosts[i];
        }
    }
  return NULL;
}

/* Returns the YAML of the version after CURRENT, which differs from it in the
   drain flag of HOST; owned by the caller.  Returns NULL when there is no such
   host.  */
static char *
emit_with_drain (const struct config_copy *current, const char *host,
                 bool draining)
{
  GString *parse_errors = g_string_new (NULL);
  struct cfg_config *config
      = cfg_parse ("configuration", current->yaml, strlen (current->yaml),
                   parse_errors, NULL);
  char *yaml = NULL;
  struct cfg_host *found = config != NULL ? find_host (config, host) : NULL;
  if (found != NULL)
    {
      found->draining = draining;
      config->version = current->version + 1;
      config->base_version = current->version;
      yaml = cfg_emit (config);
    }
  cfg_config_destroy (config);
  g_string_free (parse_errors, TRUE);
  return yaml;
}

/* Publishes the configuration in force with the drain flag of HOST changed to
   DRAINING.  When another publication was accepted first, tries again on top
   of it, up to DRAIN_ATTEMPTS_MAX times in all.  Sets VERSION and FAILURE like
   ctl_config_publish; FAILURE may also be ERR_NOT_FOUND for an unknown host,
   or ERR_NOT_READY before the first configuration.  */
bool
ctl_config_drain (struct ctl_control *control, const char *host, bool draining,
                  uint64_t *version, struct err_failure *failure)
{
  bool accepted = false;
  failure->kind = ERR_CONFIG_STALE_BASE;
  for (int i = 0; i < DRAIN_ATTEMPTS_MAX && !accepted
                  && failure->kind == ERR_CONFIG_STALE_BASE;
       i++)
    {
      struct config_copy current = { .yaml = NULL };
      ctl_call (control, copy_config, &current);
      char *yaml = current.yaml != NULL
                       ? emit_with_drain (&current, host, draining)
                       : NULL;
      if (yaml == NULL)
        {
          err_set_failure (
              failure, current.yaml != NULL ? ERR_NOT_FOUND : ERR_NOT_READY,
              NULL);
        }
      else
        {
          struct opr_publish publish = {
            .yaml = yaml,
            .yaml_bytes = strlen (yaml),
            .publisher = "drain",
          };
          accepted = ctl_config_publish (control, &publish, version, failure);
        }
      g_free (yaml);
      g_free (current.yaml);
    }
  return accepted;
}

static void
add_history_entries (struct ctl_control *control, void *data)
{
  uint32_t count = cst_history_length (control->config_state);
  for (uint32_t i = 0; i < count; i++)
    {
      const struct cst_version *entry
          = cst_history_get (control->config_state, i);
      json_array_append_new (
          data, json_pack ("{s:I, s:I, s:s, s:I}", "version",
                           (json_int_t)entry->version, "published_s",
                           (json_int_t)(entry->published_us / CLK_S_US),
                           "publisher", entry->publisher, "bytes",
                           (json_int_t)g_bytes_get_size (entry->yaml)));
    }
}

/* Returns the versions in the state machine's history as JSON, owned by the
   caller.  */
json_t *
ctl_config_history (struct ctl_control *control)
{
  json_t *versions = json_array ();
  ctl_call (control, add_history_entries, versions);
  return json_pack ("{s:o}", "versions", versions);
}
