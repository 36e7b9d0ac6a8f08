/* Reads a scalar or a list of scalars into a struct member, according to the
   type of its field.  Private to the schema module. */
#ifndef CONFIG_SCHEMA_VALUE_H
#define CONFIG_SCHEMA_VALUE_H

#include "config/schema.h"

/* The state of reading one document. */
struct sch_reader
{
  const struct yt_node *root;
  struct cmp_list *errors;
  GString *path; /* of the current value, such as `hosts[2].kind' */
  GHashTable *indices_by_list; /* list key -> (item name -> index + 1) */
};

void sch_read_scalar (struct sch_reader *reader, const struct sch_field *field,
                      const struct yt_node *node, void *member);
void sch_read_strings (struct sch_reader *reader,
                       const struct sch_field *field,
                       const struct yt_node *node, void *member);

#endif
