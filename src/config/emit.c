#include "config/config_schema.h"
#include "config/parse.h"

#include <string.h>
#include <yaml.h>

/* The state of writing a configuration. */
struct yaml_writer
{
  yaml_emitter_t emitter;
  const struct cfg_config *config;
  GString *out;
};

static int
append_output (void *data, unsigned char *buffer, size_t bytes)
{
  GString *out = data;
  g_string_append_len (out, (const char *)buffer, (gssize)bytes);
  return 1;
}

/* Passes EVENT to the emitter, which frees it.  */
static void
emit_event (struct yaml_writer *writer, yaml_event_t *event)
{
  if (!yaml_emitter_emit (&writer->emitter, event))
    {
      g_error ("out of memory: %s", writer->emitter.problem);
    }
}

/* Returns true when TEXT must be quoted because a YAML parser could read it as
   a type other than text.  */
static bool
needs_quotes (const char *text)
{
  static const char *const words[]
      = { "null", "true", "false", "yes", "no", "on", "off", "y", "n", NULL };
  char *lower = g_ascii_strdown (text, -1);
  bool word = g_strv_contains (words, lower);
  g_free (lower);
  return word || !(g_ascii_isalpha (text[0]) || text[0] == '/');
}

static void
emit_scalar (struct yaml_writer *writer, const char *text, bool quoted)
{
  yaml_event_t event;
  yaml_scalar_event_initialize (
      &event, NULL, NULL, (const yaml_char_t *)text, (int)strlen (text), 1, 1,
      quoted ? YAML_DOUBLE_QUOTED_SCALAR_STYLE : YAML_ANY_SCALAR_STYLE);
  emit_event (writer, &event);
}

static void
emit_value (struct yaml_writer *writer, const struct sch_field *field,
            const void *item)
{
  GString *value = g_string_new (NULL);
  sch_print (&cfg_schema, writer->config, field, item, value);
  bool is_text = field->type == SCH_CHAR_ARRAY || field->type == SCH_REFERENCE;
  emit_scalar (writer, value->str, is_text && needs_quotes (value->str));
  g_string_free (value, TRUE);
}

static void emit_map (struct yaml_writer *writer,
                      const struct sch_schema *schema, const void *item,
                      bool block);

/* Emits the list FIELD of ITEM, in block style if BLOCK.  Its items are in
   flow style, so that each is on one line.  */
static void
emit_list (struct yaml_writer *writer, /* NOLINT(misc-no-recursion) */
           const struct sch_field *field, const void *item, bool block)
{
  const char *items = NULL;
  uint32_t count = 0;
  memcpy (&items, (const char *)item + field->offset, sizeof items);
  memcpy (&count, (const char *)item + field->count_offset, sizeof count);
  yaml_event_t event;
  yaml_sequence_start_event_initialize (&event, NULL, NULL, 1,
                                        block && count > 0
                                            ? YAML_BLOCK_SEQUENCE_STYLE
                                            : YAML_FLOW_SEQUENCE_STYLE);
  emit_event (writer, &event);
  for (uint32_t i = 0; i < count; i++)
    {
      emit_map (writer, field->child, items + i * field->child->bytes, false);
    }
  yaml_sequence_end_event_initialize (&event);
  emit_event (writer, &event);
}

static void
emit_map (struct yaml_writer *writer, /* NOLINT(misc-no-recursion) */
          const struct sch_schema *schema, const void *item, bool block)
{
  yaml_event_t event;
  yaml_mapping_start_event_initialize (&event, NULL, NULL, 1,
                                       block ? YAML_BLOCK_MAPPING_STYLE
                                             : YAML_FLOW_MAPPING_STYLE);
  emit_event (writer, &event);
  for (size_t i = 0; i < schema->field_count; i++)
    {
      const struct sch_field *field = &schema->fields[i];
      if (sch_is_omitted (field, item))
        {
          continue;
        }
      emit_scalar (writer, field->key, false);
      if (field->type == SCH_LIST)
        {
          emit_list (writer, field, item, block);
        }
      else if (field->type == SCH_MAP)
        {
          emit_map (writer, field->child, (const char *)item + field->offset,
                    block);
        }
      else
        {
          emit_value (writer, field, item);
        }
    }
  yaml_mapping_end_event_initialize (&event);
  emit_event (writer, &event);
}

/* Emits the stream, which has one document.  */
static void
emit_document (struct yaml_writer *writer)
{
  yaml_event_t event;
  yaml_stream_start_event_initialize (&event, YAML_UTF8_ENCODING);
  emit_event (writer, &event);
  yaml_document_start_event_initialize (&event, NULL, NULL, NULL, 1);
  emit_event (writer, &event);
  emit_map (writer, &cfg_schema, writer->config, true);
  yaml_document_end_event_initialize (&event, 1);
  emit_event (writer, &event);
  yaml_stream_end_event_initialize (&event);
  emit_event (writer, &event);
}

/* Returns CONFIG as canonical YAML, which cfg_parse reads back as an equal
   configuration.  Keys are in the order of the schema, items in the order of
   CONFIG and one per line, and defaults are written out.  The caller frees the
   result with g_free.  */
char *
cfg_emit (const struct cfg_config *config)
{
  struct cfg_config undirected = *config;
  undirected.links = cfg_undirected_links (config, &undirected.link_count);
  struct yaml_writer writer = {
    .config = &undirected,
    .out = g_string_new (NULL),
  };
  if (!yaml_emitter_initialize (&writer.emitter))
    {
      g_error ("out of memory");
    }
  yaml_emitter_set_output (&writer.emitter, append_output, writer.out);
  yaml_emitter_set_width (&writer.emitter, -1);
  emit_document (&writer);
  yaml_emitter_delete (&writer.emitter);
  g_free (undirected.links);
  return g_string_free (writer.out, FALSE);
}
