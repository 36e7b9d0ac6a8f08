#include "config/inventory.h"

#include "base/error.h"
#include "base/nearest.h"
#include "config/config_schema.h"
#include "config/csv.h"

#include <math.h>
#include <string.h>

#define UNITS_MAX 5    /* of one column */
#define COLUMNS_MAX 64 /* of the file; csv_parse rejects more */

/* Region of data centres and version of a configuration that is created
   without a base. */
#define DEFAULT_REGION "default"
#define FIRST_VERSION "1"

/* A unit with which the name of a column may end. */
struct unit
{
  const char *name;
  double factor; /* from this unit to that of the configuration's key */
};

/* A column that the register may have. */
struct column_spec
{
  const char *name; /* without `_UNIT' */
  const char *key;  /* of the host in the configuration */
  bool required;
  struct unit units[UNITS_MAX]; /* none: the name has no unit */
};

static const struct column_spec column_specs[] = {
  { .name = "host", .key = "name", .required = true },
  { .name = "address", .key = "address", .required = true },
  { .name = "data_centre", .key = "data_centre", .required = true },
  { .name = "kind", .key = "kind", .required = true },
  { .name = "accelerators", .key = "accelerators", .required = true },
  { .name = "memory",
    .key = "memory_mib",
    .required = true,
    .units = { { "mib", 1 },
               { "gib", 1024 },
               { "tib", 1024.0 * 1024 },
               { "gb", 1e9 / (1024 * 1024) } } },
  { .name = "layer_tokens",
    .key = "layer_tokens_per_s",
    .required = true,
    .units = { { "per_s", 1 }, { "per_ms", 1000 }, { "per_min", 1.0 / 60 } } },
  { .name = "fencing", .key = "fencing" },
  { .name = "role", .key = "role" },
  { .name = "service", .key = "service" },
};

/* A column of the file that is being imported. */
struct csv_column
{
  const struct column_spec *spec; /* NULL: unknown, error already added */
  double factor;                  /* of the unit; 0: the text is used as is */
};

/* Appends the name of SPEC with each of its units to ALLOWED, such as
   `memory_mib, memory_gib'.  */
static void
append_units (const struct column_spec *spec, GString *allowed)
{
  for (size_t i = 0; i < UNITS_MAX && spec->units[i].name != NULL; i++)
    {
      g_string_append_printf (allowed, "%s%s_%s", i == 0 ? "" : ", ",
                              spec->name, spec->units[i].name);
    }
}

/* Sets COLUMN to SPEC and the unit's factor if NAME is the name of SPEC,
   including a known unit if SPEC has units.  Returns true if NAME without its
   unit is the name of SPEC, also when the unit is unknown.  */
static bool
match_column (const struct column_spec *spec, const char *name,
              struct csv_column *column)
{
  size_t name_bytes = strlen (spec->name);
  if (spec->units[0].name == NULL)
    {
      bool same = strcmp (spec->name, name) == 0;
      column->spec = same ? spec : NULL;
      return same;
    }
  if (strncmp (spec->name, name, name_bytes) != 0
      || (name[name_bytes] != '_' && name[name_bytes] != '\0'))
    {
      return false;
    }
  const char *unit = name + name_bytes + (name[name_bytes] == '_');
  for (size_t i = 0; i < UNITS_MAX && spec->units[i].name != NULL; i++)
    {
      if (strcmp (spec->units[i].name, unit) == 0)
        {
          *column = (struct csv_column){ spec, spec->units[i].factor };
        }
    }
  return true;
}

/* Adds an error for the unknown column NAME.  SPEC is the column of that name
   when only the unit is unknown, else NULL.  */
static void
report_unknown_column (const char *name, const struct column_spec *spec,
                       uint32_t line, struct cmp_list *errors)
{
  const char *known[COLUMNS_MAX];
  GString *allowed = g_string_new (NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (column_specs); i++)
    {
      known[i] = column_specs[i].name;
    }
  if (spec != NULL)
    {
      append_units (spec, allowed);
      cmp_add (errors, line, "%.64s: unknown unit; allowed: %s", name,
               allowed->str);
    }
  else
    {
      const char *nearest
          = near_word (name, known, G_N_ELEMENTS (column_specs));
      for (size_t i = 0; i < G_N_ELEMENTS (column_specs); i++)
        {
          g_string_append (allowed, i == 0 ? "" : ", ");
          if (column_specs[i].units[0].name == NULL)
            {
              g_string_append (allowed, column_specs[i].name);
            }
          append_units (&column_specs[i], allowed);
        }
      cmp_add (errors, line, "%.64s: unknown column%s%s%s; allowed: %s", name,
               nearest == NULL ? "" : ", did you mean '",
               nearest == NULL ? "" : nearest, nearest == NULL ? "" : "'",
               allowed->str);
    }
  g_string_free (allowed, TRUE);
}

/* Returns the column that NAME in the header denotes.  When NAME is unknown,
   adds an error and returns a column without a spec.  */
static struct csv_column
parse_column_name (const char *name, uint32_t line, struct cmp_list *errors)
{
  struct csv_column column = { 0 };
  const struct column_spec *name_match = NULL;
  for (size_t i = 0; i < G_N_ELEMENTS (column_specs) && column.spec == NULL;
       i++)
    {
      if (match_column (&column_specs[i], name, &column)
          && column.spec == NULL)
        {
          name_match = &column_specs[i];
        }
    }
  if (column.spec == NULL)
    {
      report_unknown_column (name, name_match, line, errors);
    }
  return column;
}

/* Returns how many of COLUMNS have SPEC.  */
static uint32_t
count_columns (const struct csv_column *columns, guint column_count,
               const struct column_spec *spec)
{
  uint32_t count = 0;
  for (guint i = 0; i < column_count; i++)
    {
      count += columns[i].spec == spec;
    }
  return count;
}

/* Reads the header ROW into COLUMNS, one element for each field.  Adds errors
   for unknown, duplicate and missing columns.  */
static void
read_header (const struct csv_row *row, struct csv_column *columns,
             struct cmp_list *errors)
{
  for (guint i = 0; i < row->fields->len; i++)
    {
      columns[i] = parse_column_name (g_ptr_array_index (row->fields, i),
                                      row->line, errors);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (column_specs); i++)
    {
      uint32_t count
          = count_columns (columns, row->fields->len, &column_specs[i]);
      if (count > 1)
        {
          cmp_add (errors, row->line,
                   "%s: the column appears %u times; allowed: once",
                   column_specs[i].name, count);
        }
      if (count == 0 && column_specs[i].required)
        {
          cmp_add (errors, row->line, "%s: the column is missing",
                   column_specs[i].name);
        }
    }
}

/* Converts TEXT, a number in the unit of COLUMN, to the unit of the key in the
   configuration.  Returns it as a scalar, or NULL with an error added.  The
   number is rounded down, so that a host's capacity is never overstated.  */
static struct yt_node *
convert_number (const struct csv_column *column, const char *text,
                uint32_t line, struct cmp_list *errors)
{
  char *end = NULL;
  double value = g_ascii_strtod (text, &end);
  if (end == text || *end != '\0' || !isfinite (value) || value < 0)
    {
      cmp_add (errors, line,
               "%s: '%.40s' is not a number; allowed: a number, 0 or more",
               column->spec->name, text);
      return NULL;
    }
  char number[G_ASCII_DTOSTR_BUF_SIZE];
  g_ascii_formatd (number, sizeof number, "%.0f",
                   floor (MIN (value * column->factor, (double)UINT32_MAX)));
  return yt_create_scalar (line, true, number, strlen (number));
}

/* Returns ROW as a map, a host of the configuration.  An empty field counts as
   missing.  A row without a role is a service host if it names a service, else
   an engine.  */
static struct yt_node *
read_host (const struct csv_row *row, const struct csv_column *columns,
           struct cmp_list *errors)
{
  struct yt_node *host = yt_create_container (YT_MAP, row->line);
  for (guint i = 0; i < row->fields->len; i++)
    {
      const char *text = g_ptr_array_index (row->fields, i);
      struct yt_node *value = NULL;
      if (columns[i].spec == NULL || text[0] == '\0')
        {
          continue;
        }
      if (columns[i].factor > 0)
        {
          value = convert_number (&columns[i], text, row->line, errors);
        }
      else
        {
          value = yt_create_scalar (row->line, true, text, strlen (text));
        }
      if (value != NULL)
        {
          yt_put (host, columns[i].spec->key, value);
        }
    }
  if (yt_get (host, "role") == NULL)
    {
      const char *role
          = yt_get (host, "service") == NULL ? "engine" : "service";
      yt_put (host, "role",
              yt_create_scalar (row->line, true, role, strlen (role)));
    }
  return host;
}

/* Returns the hosts of the register as a list.  Adds an error for each problem
   and leaves out rows that cannot be read.  Sets HAS_SERVICE_COLUMN when the
   register has the column `service'.  */
static struct yt_node *
read_hosts (const struct inv_file *csv, struct cmp_list *errors,
            bool *has_service_column)
{
  GPtrArray *rows = csv_parse (csv->text, csv->text_bytes, errors);
  struct yt_node *hosts = yt_create_container (YT_LIST, 1);
  struct csv_column columns[COLUMNS_MAX + 1] = { 0 };
  if (rows->len == 0 && errors->count == 0)
    {
      cmp_add (errors, 1, "empty; a header row with column names is needed");
    }
  if (rows->len > 0)
    {
      read_header (g_ptr_array_index (rows, 0), columns, errors);
    }
  bool header_valid = errors->count == 0;
  for (guint i = 1; header_valid && i < rows->len; i++)
    {
      const struct csv_row *header = g_ptr_array_index (rows, 0);
      const struct csv_row *row = g_ptr_array_index (rows, i);
      if (row->fields->len != header->fields->len)
        {
          cmp_add (errors, row->line,
                   "%u fields; allowed: %u, as many as the header has",
                   row->fields->len, header->fields->len);
        }
      else
        {
          g_ptr_array_add (hosts->items, read_host (row, columns, errors));
        }
    }
  *has_service_column
      = count_columns (columns, COLUMNS_MAX,
                       &column_specs[G_N_ELEMENTS (column_specs) - 1])
        > 0;
  g_ptr_array_free (rows, TRUE);
  return hosts;
}

/* Returns true when the value of KEY in MAP is the scalar TEXT.  */
static bool
has_text (const struct yt_node *map, const char *key, const char *text)
{
  const struct yt_node *value = yt_get (map, key);
  return value != NULL && value->type == YT_SCALAR
         && strcmp (value->text, text) == 0;
}

/* Sets `draining' on the hosts in NEW that have the name of a draining host in
   OLD.  */
static void
copy_drains (const struct yt_node *old, const struct yt_node *new)
{
  GHashTable *draining = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < old->items->len; i++)
    {
      const struct yt_node *host = g_ptr_array_index (old->items, i);
      if (has_text (host, "draining", "true"))
        {
          g_hash_table_add (draining, yt_get (host, "name")->text);
        }
    }
  for (guint i = 0; i < new->items->len; i++)
    {
      struct yt_node *host = g_ptr_array_index (new->items, i);
      const struct yt_node *name = yt_get (host, "name");
      if (name != NULL && g_hash_table_contains (draining, name->text))
        {
          yt_put (
              host, "draining",
              yt_create_scalar (host->line, true, "true", strlen ("true")));
        }
    }
  g_hash_table_destroy (draining);
}

/* Moves the hosts with the role `service' from the list OLD to the front of
   NEW.  */
static void
move_service_hosts (struct yt_node *old, struct yt_node *new)
{
  guint moved = 0;
  guint i = 0;
  while (i < old->items->len)
    {
      struct yt_node *host = g_ptr_array_index (old->items, i);
      if (has_text (host, "role", "service"))
        {
          g_ptr_array_steal_index (old->items, i);
          g_ptr_array_insert (new->items, (gint)moved, host);
          moved++;
        }
      else
        {
          i++;
        }
    }
}

/* Returns the tree of a new configuration with version 1, the data centres
   that HOSTS name, and no hosts.  */
static struct yt_node *
create_base (const struct yt_node *hosts)
{
  struct yt_node *root = yt_create_container (YT_MAP, 1);
  struct yt_node *centres = yt_create_container (YT_LIST, 1);
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < hosts->items->len; i++)
    {
      const struct yt_node *name
          = yt_get (g_ptr_array_index (hosts->items, i), "data_centre");
      if (name == NULL || !g_hash_table_add (seen, name->text))
        {
          continue;
        }
      struct yt_node *centre = yt_create_container (YT_MAP, name->line);
      yt_put (centre, "name",
              yt_create_scalar (name->line, true, name->text,
                                strlen (name->text)));
      yt_put (centre, "region",
              yt_create_scalar (name->line, true, DEFAULT_REGION,
                                strlen (DEFAULT_REGION)));
      g_ptr_array_add (centres->items, centre);
    }
  g_hash_table_destroy (seen);
  yt_put (root, "version",
          yt_create_scalar (1, true, FIRST_VERSION, strlen (FIRST_VERSION)));
  yt_put (root, "data_centres", centres);
  return root;
}

/* Returns the tree of BASE with the version incremented, or NULL with errors
   added when BASE is not a valid configuration.  */
static struct yt_node *
read_base (const struct inv_file *base, struct cmp_list *errors)
{
  struct yt_node *root = cfg_parse_tree (base->text, base->text_bytes, errors);
  struct cfg_config *config = cfg_read_tree (root, errors);
  if (config == NULL)
    {
      yt_destroy (root);
      return NULL;
    }
  char *version = g_strdup_printf ("%" G_GUINT64_FORMAT, config->version + 1);
  yt_put (root, "version",
          yt_create_scalar (1, true, version, strlen (version)));
  g_free (version);
  cfg_config_destroy (config);
  return root;
}

/* Replaces the hosts in ROOT by HOSTS, which ROOT owns from then on.  Keeps
   the `draining' flag of hosts with the same name and, unless
   HAS_SERVICE_COLUMN, the hosts of services.  */
static void
replace_hosts (struct yt_node *root, struct yt_node *hosts,
               bool has_service_column)
{
  struct yt_node *old = yt_get (root, "hosts");
  if (old != NULL)
    {
      copy_drains (old, hosts);
    }
  if (old != NULL && !has_service_column)
    {
      move_service_hosts (old, hosts);
    }
  yt_put (root, "hosts", hosts);
}

/* Returns the configuration BASE with its hosts replaced by those of the asset
   register CSV and its version incremented.  A host keeps the `draining' flag
   of the host in BASE with the same name, and hosts of services are kept when
   the register has no column `service'.  If BASE is NULL, the result is a new
   configuration, version 1, with the data centres that the register names.
   Returns NULL with ERR_CONFIG_INVALID when either file has errors, and adds
   one line for each error to MESSAGES.  The caller frees the result with
   cfg_config_destroy.  */
struct cfg_config *
inv_import (const struct inv_file *csv, const struct inv_file *base,
            GString *messages, GError **error)
{
  struct cmp_list base_errors = { .text = messages };
  struct yt_node *root = NULL;
  if (base != NULL)
    {
      base_errors.file_name = base->name;
      root = read_base (base, &base_errors);
      cmp_set_error (&base_errors, ERR_CONFIG_INVALID, error);
      if (root == NULL)
        {
          return NULL;
        }
    }
  struct cmp_list errors = { .file_name = csv->name, .text = messages };
  bool has_service_column = false;
  struct yt_node *hosts = read_hosts (csv, &errors, &has_service_column);
  if (root == NULL)
    {
      root = create_base (hosts);
    }
  replace_hosts (root, hosts, has_service_column);
  struct cfg_config *config = cfg_read_tree (root, &errors);
  yt_destroy (root);
  cmp_set_error (&errors, ERR_CONFIG_INVALID, error);
  return config;
}
