#include "daemon/control_config.h"

#include "base/clock.h"
#include "base/log.h"
#include "config/parse.h"
#include "daemon/control_peers.h"

#include <string.h>

#define PUBLISH_WAIT_US (10 * CLK_S_US)
#define DRAIN_ATTEMPTS 5
#define LOG_RETENTION_US (INT64_C (48) * 3600 * CLK_S_US)

/* A publisher that waits for the log's order to decide. */
struct publish_wait
{
  uint64_t id;
  const struct opr_publish *publish;
  uint64_t base_version;
  pthread_mutex_t lock;
  pthread_cond_t changed;
  bool answered;
  enum err_kind kind;
  uint64_t version;
};

/* An operator's drains are signs of leaving.  */
static void
take_drains (struct ctl_control *control)
{
  const struct cfg_config *config = control->config;
  for (uint32_t i = 0; i < config->host_count; i++)
    {
      const struct cfg_host *host = &config->hosts[i];
      struct lv_outcome outcome = lv_drain_says (
          control->leaving_hosts, host->name, config->version, host->draining);
      ctl_apply_leaving_outcome (control, &outcome);
    }
}

/* Puts a configuration in force.  It was found valid when it was accepted;
   one that this version cannot read is logged and the old one stays.  */
void
ctl_apply_config (struct ctl_control *control, uint64_t version,
                  const char *yaml, size_t yaml_bytes)
{
  if (control->config != NULL && control->config->version == version)
    {
      return;
    }
  GString *complaints = g_string_new (NULL);
  g_autoptr (GError) error = NULL;
  struct cfg_config *config
      = cfg_parse ("configuration", yaml, yaml_bytes, complaints, &error);
  if (config == NULL)
    {
      lg_line (LOG_ERR, "config-rejected", "version=%lu message=\"%s\"",
               (unsigned long)version, complaints->str);
      g_string_free (complaints, TRUE);
      return;
    }
  config->version = version;
  cfg_config_destroy (control->config);
  g_free (control->config_yaml);
  control->config = config;
  control->config_yaml = g_strndup (yaml, yaml_bytes);
  control->view_outdated = true;
  control->next_fleet_tick_us = 0;
  g_string_free (complaints, TRUE);
  take_drains (control);
  lg_line (LOG_NOTICE, "config-applied", "version=%lu hosts=%u accounts=%u",
           (unsigned long)version, config->host_count, config->account_count);
  ctl_publish_view (control);
}

/* Returns whether this program can put the configuration in force.  */
static bool
is_valid (const char *yaml, size_t bytes, void *user_data)
{
  (void)user_data;
  GString *complaints = g_string_new (NULL);
  struct cfg_config *config
      = cfg_parse ("configuration", yaml, bytes, complaints, NULL);
  bool valid = config != NULL;
  cfg_config_destroy (config);
  g_string_free (complaints, TRUE);
  return valid;
}

/* Creates the machine of the configuration.  */
struct cst *
ctl_create_config_state (uint64_t incarnation)
{
  struct cst_params params
      = cst_params_default (incarnation, LOG_RETENTION_US);
  params.valid = is_valid;
  return cst_create (&params);
}

/* Gives a publisher the answer of the machine.  */
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
  pthread_cond_signal (&wait->changed);
  pthread_mutex_unlock (&wait->lock);
}

static void
begin_publish (struct ctl_control *control, void *data)
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
forget_publish (struct ctl_control *control, void *data)
{
  struct publish_wait *wait = data;
  g_hash_table_remove (control->pending_publications, &wait->id);
}

static void
wait_for_answer (struct publish_wait *wait)
{
  struct timespec until;
  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += PUBLISH_WAIT_US / CLK_S_US;
  int result = 0;
  pthread_mutex_lock (&wait->lock);
  while (!wait->answered && result == 0)
    {
      result = pthread_cond_timedwait (&wait->changed, &wait->lock, &until);
    }
  pthread_mutex_unlock (&wait->lock);
}

/* Checks and publishes a configuration and waits for the log's order to
   decide.  FAILURE: ERR_CONFIG_INVALID and the kinds of cst_publish.  */
bool
ctl_config_publish (struct ctl_control *control,
                    const struct opr_publish *publish, uint64_t *version,
                    struct err_failure *failure)
{
  GString *complaints = g_string_new (NULL);
  g_autoptr (GError) error = NULL;
  struct cfg_config *config = cfg_parse (
      "configuration", publish->yaml, publish->yaml_bytes, complaints, &error);
  if (config == NULL)
    {
      err_fail (failure, ERR_CONFIG_INVALID, complaints->str);
      g_string_free (complaints, TRUE);
      return false;
    }
  struct publish_wait wait = {
    .id = ctl_new_id (control),
    .publish = publish,
    .base_version = config->version - 1,
    .kind = ERR_APPEND_UNKNOWN,
  };
  cfg_config_destroy (config);
  g_string_free (complaints, TRUE);
  pthread_mutex_init (&wait.lock, NULL);
  pthread_cond_init (&wait.changed, NULL);
  ctl_call (control, begin_publish, &wait);
  wait_for_answer (&wait);
  ctl_call (control, forget_publish, &wait);
  pthread_cond_destroy (&wait.changed);
  pthread_mutex_destroy (&wait.lock);
  *version = wait.version;
  if (wait.kind != ERR_NONE)
    {
      err_fail (failure, wait.kind, NULL);
    }
  return wait.kind == ERR_NONE;
}

/* A copy of what is in force, for another thread. */
struct shown
{
  char *yaml; /* NULL: nothing is in force */
  uint64_t version;
  uint32_t in_force; /* daemons that have it in force */
  uint32_t daemons;  /* alive */
};

static void
copy_shown (struct ctl_control *control, void *data)
{
  struct shown *shown = data;
  shown->yaml = g_strdup (control->config_yaml);
  shown->version = control->config != NULL ? control->config->version : 0;
  shown->daemons = mem_alive_count (control->members);
  shown->in_force = mem_in_force_count (control->members, shown->version);
}

/* Returns the configuration in force, owned by the caller.  FAILURE:
   ERR_NOT_READY before the first.  */
json_t *
ctl_config_show (struct ctl_control *control, struct err_failure *failure)
{
  struct shown shown = { .yaml = NULL };
  ctl_call (control, copy_shown, &shown);
  if (shown.yaml == NULL)
    {
      err_fail (failure, ERR_NOT_READY, NULL);
      return NULL;
    }
  json_t *json = json_pack (
      "{s:I, s:i, s:i, s:s}", "version", (json_int_t)shown.version, "in_force",
      (int)shown.in_force, "daemons", (int)shown.daemons, "yaml", shown.yaml);
  g_free (shown.yaml);
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

/* Returns the YAML of SHOWN with the drain of HOST set, as the next version;
   NULL when there is no such host.  */
static char *
with_drain (const struct shown *shown, const char *host, bool draining)
{
  GString *complaints = g_string_new (NULL);
  struct cfg_config *config = cfg_parse (
      "configuration", shown->yaml, strlen (shown->yaml), complaints, NULL);
  char *yaml = NULL;
  struct cfg_host *found = config != NULL ? find_host (config, host) : NULL;
  if (found != NULL)
    {
      found->draining = draining;
      config->version = shown->version + 1;
      config->base_version = shown->version;
      yaml = cfg_emit (config);
    }
  cfg_config_destroy (config);
  g_string_free (complaints, TRUE);
  return yaml;
}

/* Publishes the configuration in force with the drain of HOST set, again when
   another publisher was first.  FAILURE: ERR_NOT_FOUND, ERR_NOT_READY and
   those of ctl_config_publish.  */
bool
ctl_config_drain (struct ctl_control *control, const char *host, bool draining,
                  uint64_t *version, struct err_failure *failure)
{
  bool accepted = false;
  failure->kind = ERR_CONFIG_STALE_BASE;
  for (int i = 0; i < DRAIN_ATTEMPTS && !accepted
                  && failure->kind == ERR_CONFIG_STALE_BASE;
       i++)
    {
      struct shown shown = { .yaml = NULL };
      ctl_call (control, copy_shown, &shown);
      char *yaml
          = shown.yaml != NULL ? with_drain (&shown, host, draining) : NULL;
      if (yaml == NULL)
        {
          err_fail (failure,
                    shown.yaml != NULL ? ERR_NOT_FOUND : ERR_NOT_READY, NULL);
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
      g_free (shown.yaml);
    }
  return accepted;
}

static void
list_history (struct ctl_control *control, void *data)
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

/* Returns the versions that are remembered, owned by the caller.  */
json_t *
ctl_config_history (struct ctl_control *control)
{
  json_t *versions = json_array ();
  ctl_call (control, list_history, versions);
  return json_pack ("{s:o}", "versions", versions);
}
