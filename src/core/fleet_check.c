#include "core/fleet_check.h"

#include <string.h>

#define MS_US 1000 /* microseconds in a millisecond */

static void
destroy_finding (gpointer data)
{
  struct fck_finding *finding = data;
  g_free (finding->entry);
  g_free (finding->text);
  g_free (finding);
}

/* Returns an empty list of struct fck_finding.  The caller frees it.  */
GPtrArray *
fck_findings_create (void)
{
  return g_ptr_array_new_with_free_func (destroy_finding);
}

/* Adds a finding on ENTRY, whose text is FORMAT with ARGUMENTS, to
   FINDINGS.  */
static void G_GNUC_PRINTF (4, 0)
    add_text (GPtrArray *findings, enum fck_severity severity,
              const char *entry, const char *format, va_list arguments)
{
  struct fck_finding *finding = g_new0 (struct fck_finding, 1);
  finding->severity = severity;
  finding->entry = g_strdup (entry);
  finding->text = g_strdup_vprintf (format, arguments);
  g_ptr_array_add (findings, finding);
}

/* Adds a finding on ENTRY, such as `route draft', to FINDINGS.  */
void
fck_add_finding (GPtrArray *findings, enum fck_severity severity,
                 const char *entry, const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  add_text (findings, severity, entry, format, arguments);
  va_end (arguments);
}

/* Adds a finding on the entry NAME of KIND, such as "route", to FINDINGS.  */
static void G_GNUC_PRINTF (5, 6)
    add (GPtrArray *findings, enum fck_severity severity, const char *kind,
         const char *name, const char *format, ...)
{
  g_autofree char *entry = g_strconcat (kind, " ", name, NULL);
  va_list arguments;
  va_start (arguments, format);
  add_text (findings, severity, entry, format, arguments);
  va_end (arguments);
}

/* Returns the memory of the largest accelerator that ENGINE runs on; 0: none
   is described.  */
static double
largest_memory_mb (const struct flt_engine_spec *engine)
{
  double largest_mb = 0;
  for (uint32_t i = 0; i < engine->kind_count; i++)
    {
      largest_mb = MAX (largest_mb, engine->kinds[i].memory_mb);
    }
  return largest_mb;
}

/* Finds routes that no request can match.  */
static void
check_match (GPtrArray *findings, const struct flt_config *config,
             const struct flt_route *route)
{
  /* No longer prefix matches the path that is the prefix itself, so another
     result has the same prefix and comes first.  */
  const struct flt_route *match
      = flt_find_route (config, route->host, route->path_prefix);
  if (match != route)
    {
      add (findings, FCK_ERROR, "route", route->name,
           "Never used: route %s has the same host %s and path prefix %s and "
           "comes first. Callers get that route.",
           match->name, route->host, route->path_prefix);
    }
  else if (route->path_prefix[0] != '/' && route->path_prefix[0] != '\0')
    {
      add (findings, FCK_ERROR, "route", route->name,
           "Never used: the path prefix %s doesn't begin with a slash. "
           "Callers get 404.",
           route->path_prefix);
    }
}

/* Finds routes without a service and parts of a split that get nothing.  */
static void
check_split (GPtrArray *findings, const struct flt_config *config,
             const struct flt_route *route)
{
  uint64_t total = 0;
  for (uint32_t i = 0; i < route->split_count; i++)
    {
      total += route->split[i].weight;
    }
  if (route->split_count == 0)
    {
      add (findings, FCK_ERROR, "route", route->name,
           "It has no service, or names none of the configuration. Callers "
           "get 503.");
    }
  else if (total == 0)
    {
      add (findings, FCK_ERROR, "route", route->name,
           "All weights of its split are 0. Callers get 503.");
    }
  for (uint32_t i = 0; total > 0 && i < route->split_count; i++)
    {
      if (route->split[i].weight == 0)
        {
          add (findings, FCK_WARNING, "route", route->name,
               "The weight of service %s is 0, so it gets no request of this "
               "route.",
               config->services[route->split[i].service].name);
        }
    }
}

/* Finds times and attempts of ROUTE that contradict each other.  */
static void
check_times (GPtrArray *findings, const struct flt_route *route)
{
  if (route->timeout_us <= 0)
    {
      add (findings, FCK_WARNING, "route", route->name,
           "It has no time-out. Callers that state none may wait without "
           "end.");
    }
  else if (route->target_latency_us > route->timeout_us)
    {
      add (findings, FCK_WARNING, "route", route->name,
           "The target latency of %" G_GINT64_FORMAT
           " ms is above the time-out of %" G_GINT64_FORMAT
           " ms. Callers get a time-out before the target is missed.",
           route->target_latency_us / MS_US, route->timeout_us / MS_US);
    }
  if (route->timeout_us > 0 && route->target_gap_us > route->timeout_us)
    {
      add (findings, FCK_WARNING, "route", route->name,
           "The target pause between events of %" G_GINT64_FORMAT
           " ms is above the time-out of %" G_GINT64_FORMAT
           " ms. Callers get a time-out before the target is missed.",
           route->target_gap_us / MS_US, route->timeout_us / MS_US);
    }
  if (route->attempts_max == 0)
    {
      add (findings, FCK_WARNING, "route", route->name,
           "It allows 0 attempts, which is taken as 1.");
    }
  if (route->repeat == FLT_REPEAT_NEVER && route->attempts_max > 1)
    {
      add (findings, FCK_WARNING, "route", route->name,
           "It allows %u attempts, but its requests may not be repeated. A "
           "request that may have run is not sent again.",
           route->attempts_max);
    }
}

static void
check_services (GPtrArray *findings, const struct flt_config *config)
{
  bool *used = g_new0 (bool, config->service_count);
  for (uint32_t i = 0; i < config->route_count; i++)
    {
      const struct flt_route *route = &config->routes[i];
      for (uint32_t j = 0; j < route->split_count; j++)
        {
          used[route->split[j].service] = true;
        }
    }
  for (uint32_t i = 0; i < config->service_count; i++)
    {
      const struct flt_service *service = &config->services[i];
      if (!used[i])
        {
          add (findings, FCK_WARNING, "service", service->name,
               "No route uses it, so it gets no request.");
        }
      if (service->has_engine && service->engine.slots == 0)
        {
          add (findings, FCK_WARNING, "service", service->name,
               "Its engines have 0 slots. No memory is planned for requests, "
               "so callers may be refused.");
        }
      double memory_mb = largest_memory_mb (&service->engine);
      if (memory_mb > 0 && service->engine.layer_mb > memory_mb)
        {
          add (findings, FCK_ERROR, "service", service->name,
               "A layer has %.0f MB, and its largest kind of accelerator has "
               "%.0f MB. No engine can hold one.",
               service->engine.layer_mb, memory_mb);
        }
    }
  g_free (used);
}

/* Finds accounts without KEYS, and keys that several accounts declare.  */
static void
check_accounts (GPtrArray *findings, const struct flt_config *config,
                const GArray *keys)
{
  bool *has_key = g_new0 (bool, config->account_count);
  for (guint i = 0; i < keys->len; i++)
    {
      const struct fck_key *key = &g_array_index (keys, struct fck_key, i);
      const struct flt_account *account = &config->accounts[key->account];
      const struct flt_account *holder = flt_find_account (config, key->key);
      has_key[key->account] = true;
      if (holder != account)
        {
          add (findings, FCK_ERROR, "account", account->name,
               "Account %s has one of its keys too. Callers with that key "
               "count as %s.",
               holder->name, holder->name);
        }
    }
  for (uint32_t i = 0; i < config->account_count; i++)
    {
      if (!has_key[i])
        {
          add (findings, FCK_WARNING, "account", config->accounts[i].name,
               "It has no key, so nobody can call with it.");
        }
    }
  g_free (has_key);
}

/* Finds limits of 0, which leave callers nothing.  */
static void
check_limits (GPtrArray *findings, const struct flt_limits *limits)
{
  if (limits->header_bytes_max == 0)
    {
      add (findings, FCK_ERROR, "limit", "MaxHeaderBytes",
           "It is 0. Every request is refused.");
    }
  if (limits->body_bytes_max == 0)
    {
      add (findings, FCK_ERROR, "limit", "MaxBodyBytes",
           "It is 0. Every request with a body is refused.");
    }
  if (limits->header_timeout_us <= 0)
    {
      add (findings, FCK_ERROR, "limit", "HeaderTimeoutMs",
           "It is 0. Requests whose header doesn't arrive at once get 408.");
    }
  if (limits->idle_timeout_us <= 0)
    {
      add (findings, FCK_WARNING, "limit", "IdleTimeoutMs",
           "It is 0. Connections are closed soon after each response, and "
           "requests whose body pauses get 408.");
    }
}

/* Returns the findings on CONFIG, whose text declares KEYS, an array of struct
   fck_key: routes, services, accounts and limits in this order.  The caller
   frees the array.  */
GPtrArray *
fck_check (const struct flt_config *config, const GArray *keys)
{
  GPtrArray *findings = fck_findings_create ();
  for (uint32_t i = 0; i < config->route_count; i++)
    {
      check_match (findings, config, &config->routes[i]);
      check_split (findings, config, &config->routes[i]);
      check_times (findings, &config->routes[i]);
    }
  check_services (findings, config);
  check_accounts (findings, config, keys);
  check_limits (findings, &config->limits);
  return findings;
}

/* Returns a table from names to indexes + 1 of the COUNT items of
   ITEM_BYTES at ITEMS, each of which begins with its name.  As in
   flt_find_service, the first item of a name counts.  */
static GHashTable *
index_names (const void *items, uint32_t count, size_t item_bytes)
{
  GHashTable *table = g_hash_table_new (g_str_hash, g_str_equal);
  for (uint32_t i = 0; i < count; i++)
    {
      char *name = *(char *const *)(const void *)((const char *)items
                                                  + i * item_bytes);
      if (!g_hash_table_contains (table, name))
        {
          g_hash_table_insert (table, name, GUINT_TO_POINTER (i + 1));
        }
    }
  return table;
}

/* Returns the index of NAME in TABLE of index_names, or FLT_NO_INDEX.  */
static uint32_t
find_name (GHashTable *table, const char *name)
{
  guint index_plus_one = GPOINTER_TO_UINT (g_hash_table_lookup (table, name));
  return index_plus_one == 0 ? FLT_NO_INDEX : index_plus_one - 1;
}

/* Returns the services of ROUTE with their weights, as `draft 9, draft-2 1',
   or the only service, or `none'.  The caller frees the text.  */
static char *
describe_split (const struct flt_config *config, const struct flt_route *route)
{
  GString *text = g_string_new (route->split_count == 0 ? "none" : "");
  for (uint32_t i = 0; i < route->split_count; i++)
    {
      const char *name = config->services[route->split[i].service].name;
      g_string_append_printf (text, "%s%s", i == 0 ? "" : ", ", name);
      if (route->split_count > 1)
        {
          g_string_append_printf (text, " %u", route->split[i].weight);
        }
    }
  return g_string_free (text, FALSE);
}

/* Returns true when a route of CONFIG that comes first hides ROUTE.  */
static bool
is_hidden (const struct flt_config *config, const struct flt_route *route)
{
  return flt_find_route (config, route->host, route->path_prefix) != route;
}

/* Returns what callers of the host and prefix of OLD get in CONFIG: `route
   NAME' or `404'.  The caller frees the text.  */
static char *
describe_successor (const struct flt_config *config,
                    const struct flt_route *old)
{
  const struct flt_route *route
      = flt_find_route (config, old->host, old->path_prefix);
  return route == NULL ? g_strdup ("404")
                       : g_strdup_printf ("route %s", route->name);
}

/* Adds what callers notice of the change of one route from OLD to NEW.  */
static void
compare_route (GPtrArray *changes, const struct flt_config *old_config,
               const struct flt_route *old,
               const struct flt_config *new_config,
               const struct flt_route *new)
{
  if (strcmp (old->host, new->host) != 0
      || strcmp (old->path_prefix, new->path_prefix) != 0)
    {
      g_autofree char *successor = describe_successor (new_config, old);
      add (changes, FCK_CHANGE, "route", new->name,
           "It moves from host %s, path prefix %s to host %s, path prefix %s. "
           "Callers of the old address get %s.",
           old->host, old->path_prefix, new->host, new->path_prefix,
           successor);
    }
  g_autofree char *old_split = describe_split (old_config, old);
  g_autofree char *new_split = describe_split (new_config, new);
  if (strcmp (old_split, new_split) != 0)
    {
      add (changes, FCK_CHANGE, "route", new->name,
           "Its service changes from %s to %s. Callers get responses of the "
           "new one.",
           old_split, new_split);
    }
  if (old->timeout_us != new->timeout_us)
    {
      bool shorter
          = new->timeout_us > 0
            && (new->timeout_us < old->timeout_us || old->timeout_us <= 0);
      add (changes, FCK_CHANGE, "route", new->name,
           "Its time-out changes from %" G_GINT64_FORMAT
           " to %" G_GINT64_FORMAT " ms%s. Callers get a time-out %s.",
           old->timeout_us / MS_US, new->timeout_us / MS_US,
           old->timeout_us <= 0 || new->timeout_us <= 0 ? " (0: none)" : "",
           shorter ? "earlier" : "later");
    }
  if (old->priority != new->priority)
    {
      add (changes, FCK_CHANGE, "route", new->name,
           "Its priority changes from %u to %u (0 is the highest). Under "
           "overload its callers are refused %s.",
           old->priority, new->priority,
           new->priority < old->priority ? "later" : "earlier");
    }
  bool needed = flt_needs_account (old_config, old);
  if (needed != flt_needs_account (new_config, new))
    {
      add (changes, FCK_CHANGE, "route", new->name,
           needed ? "It needs no key any more. Everybody can call it."
                  : "It needs a key now. Callers without one get 401.");
    }
}

static void
compare_routes (GPtrArray *changes, const struct flt_config *old,
                const struct flt_config *new)
{
  GHashTable *old_names
      = index_names (old->routes, old->route_count, sizeof *old->routes);
  GHashTable *new_names
      = index_names (new->routes, new->route_count, sizeof *new->routes);
  for (uint32_t i = 0; i < old->route_count; i++)
    {
      const struct flt_route *route = &old->routes[i];
      uint32_t index = find_name (new_names, route->name);
      if (index != FLT_NO_INDEX)
        {
          compare_route (changes, old, route, new, &new->routes[index]);
        }
      else if (is_hidden (old, route))
        {
          add (changes, FCK_CHANGE, "route", route->name,
               "It is gone. Another route hid it, so callers notice nothing.");
        }
      else
        {
          g_autofree char *successor = describe_successor (new, route);
          add (changes, FCK_CHANGE, "route", route->name,
               "It is gone. Callers of host %s, path prefix %s get %s.",
               route->host, route->path_prefix, successor);
        }
    }
  for (uint32_t i = 0; i < new->route_count; i++)
    {
      const struct flt_route *route = &new->routes[i];
      if (find_name (old_names, route->name) != FLT_NO_INDEX)
        {
          continue;
        }
      if (is_hidden (new, route))
        {
          add (
              changes, FCK_CHANGE, "route", route->name,
              "It is new. Another route hides it, so callers notice nothing.");
        }
      else
        {
          add (changes, FCK_CHANGE, "route", route->name,
               "It is new. Callers of host %s, path prefix %s get it%s.",
               route->host, route->path_prefix,
               flt_needs_account (new, route) ? " with a key" : "");
        }
    }
  g_hash_table_destroy (old_names);
  g_hash_table_destroy (new_names);
}

static void
compare_services (GPtrArray *changes, const struct flt_config *old,
                  const struct flt_config *new)
{
  GHashTable *old_names
      = index_names (old->services, old->service_count, sizeof *old->services);
  GHashTable *new_names
      = index_names (new->services, new->service_count, sizeof *new->services);
  for (uint32_t i = 0; i < old->service_count; i++)
    {
      if (find_name (new_names, old->services[i].name) == FLT_NO_INDEX)
        {
          add (changes, FCK_CHANGE, "service", old->services[i].name,
               "It is gone. Callers get no more responses of it.");
        }
    }
  for (uint32_t i = 0; i < new->service_count; i++)
    {
      if (find_name (old_names, new->services[i].name) == FLT_NO_INDEX)
        {
          add (changes, FCK_CHANGE, "service", new->services[i].name,
               "It is new. Callers notice it only through routes that use "
               "it.");
        }
    }
  g_hash_table_destroy (old_names);
  g_hash_table_destroy (new_names);
}

/* A key of the old configuration: its account there and the one that it has in
   the new configuration, FLT_NO_INDEX if none. */
struct key_change
{
  uint32_t from;
  uint32_t to;
};

static gint
order_key_changes (gconstpointer left, gconstpointer right)
{
  const struct key_change *a = left;
  const struct key_change *b = right;
  return a->from != b->from ? (a->from > b->from) - (a->from < b->from)
                            : (a->to > b->to) - (a->to < b->to);
}

/* Adds how many keys each account loses, and to whom.  Keys themselves are
   secret.  */
static void
compare_keys (GPtrArray *changes, const struct flt_config *old,
              const struct flt_config *new)
{
  GArray *moves = g_array_new (FALSE, FALSE, sizeof (struct key_change));
  GHashTableIter iterator;
  gpointer key = NULL;
  gpointer value = NULL;
  g_hash_table_iter_init (&iterator, old->account_by_key);
  while (g_hash_table_iter_next (&iterator, &key, &value))
    {
      const struct flt_account *holder = flt_find_account (new, key);
      struct key_change move = {
        .from = GPOINTER_TO_UINT (value) - 1,
        .to
        = holder == NULL ? FLT_NO_INDEX : (uint32_t)(holder - new->accounts),
      };
      if (holder == NULL
          || strcmp (holder->name, old->accounts[move.from].name) != 0)
        {
          g_array_append_val (moves, move);
        }
    }
  g_array_sort (moves, order_key_changes);
  guint count = 0;
  for (guint i = 0; i < moves->len; i++)
    {
      struct key_change *move = &g_array_index (moves, struct key_change, i);
      count++;
      if (i + 1 < moves->len && order_key_changes (move, move + 1) == 0)
        {
          continue;
        }
      const char *name = old->accounts[move->from].name;
      if (move->to == FLT_NO_INDEX)
        {
          add (changes, FCK_CHANGE, "account", name,
               "%u of its keys %s taken away. Callers with %s get 401.", count,
               count == 1 ? "is" : "are", count == 1 ? "it" : "them");
        }
      else
        {
          add (changes, FCK_CHANGE, "account", name,
               "%u of its keys %s to account %s. Callers with %s count as "
               "that account.",
               count, count == 1 ? "goes" : "go", new->accounts[move->to].name,
               count == 1 ? "it" : "them");
        }
      count = 0;
    }
  g_array_free (moves, TRUE);
}

/* Returns `the route's' or the priority as text, which the caller frees.  */
static char *
describe_priority (uint32_t priority)
{
  return priority == FLT_NO_INDEX ? g_strdup ("the route's")
                                  : g_strdup_printf ("%u", priority);
}

static void
compare_accounts (GPtrArray *changes, const struct flt_config *old,
                  const struct flt_config *new)
{
  GHashTable *old_names
      = index_names (old->accounts, old->account_count, sizeof *old->accounts);
  GHashTable *new_names
      = index_names (new->accounts, new->account_count, sizeof *new->accounts);
  for (uint32_t i = 0; i < old->account_count; i++)
    {
      const struct flt_account *account = &old->accounts[i];
      uint32_t index = find_name (new_names, account->name);
      if (index == FLT_NO_INDEX)
        {
          add (
              changes, FCK_CHANGE, "account", account->name,
              "It is gone. Its keys get 401 unless another account has them.");
        }
      else if (new->accounts[index].priority != account->priority)
        {
          g_autofree char *before = describe_priority (account->priority);
          g_autofree char *after
              = describe_priority (new->accounts[index].priority);
          add (changes, FCK_CHANGE, "account", account->name,
               "Its priority changes from %s to %s (0 is the highest). Under "
               "overload its callers are refused in another order.",
               before, after);
        }
    }
  for (uint32_t i = 0; i < new->account_count; i++)
    {
      if (find_name (old_names, new->accounts[i].name) == FLT_NO_INDEX)
        {
          add (changes, FCK_CHANGE, "account", new->accounts[i].name,
               "It is new. Callers can use its keys.");
        }
    }
  g_hash_table_destroy (old_names);
  g_hash_table_destroy (new_names);
  compare_keys (changes, old, new);
}

/* Returns the differences of NEW from OLD that callers notice, as findings
   with FCK_CHANGE: routes, services and accounts in this order.  Entries are
   the same when their names are.  An error is added when daemons that have OLD
   would ignore NEW for its version.  The caller frees the array.  */
GPtrArray *
fck_compare (const struct flt_config *old, const struct flt_config *new)
{
  GPtrArray *changes = fck_findings_create ();
  compare_routes (changes, old, new);
  compare_services (changes, old, new);
  compare_accounts (changes, old, new);
  if (new->version < old->version
      || (new->version == old->version && changes->len > 0))
    {
      g_autofree char *version
          = g_strdup_printf ("%" G_GUINT64_FORMAT, new->version);
      add (changes, FCK_ERROR, "version", version,
           "It isn't above %" G_GUINT64_FORMAT
           ", the version in force. Daemons ignore the configuration, and "
           "callers notice nothing of it.",
           old->version);
    }
  return changes;
}
