/* Schemas: tables that list the keys of a YAML map, the valid values of each
   key, and the struct member that holds the value.  Configurations and
   settings are read, written and compared with the same tables. */
#ifndef CONFIG_SCHEMA_H
#define CONFIG_SCHEMA_H

#include "config/yaml_tree.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum sch_type
{
  SCH_UNSIGNED, /* not negative; uint32_t, uint64_t or int64_t: value
                   times `scale' */
  SCH_FRACTION, /* double */
  SCH_BOOL,
  SCH_CHOICE,      /* enum: index in `choices' */
  SCH_CHAR_ARRAY,  /* char[] */
  SCH_STRING,      /* char *, freed with g_free */
  SCH_REFERENCE,   /* uint32_t: index of an item in `target_list' */
  SCH_STRING_LIST, /* char **, freed with g_strfreev */
  SCH_MAP,         /* nested struct */
  SCH_LIST,        /* pointer to an array of structs, and its length */
  SCH_TYPE_COUNT
};

/* Returns NULL when TEXT is valid, else a description of the valid values for
   the error message.  */
typedef const char *(*sch_validator) (const char *text);

struct sch_schema;

/* A key of a map and the struct member that holds its value. */
struct sch_field
{
  const char *key;
  size_t offset;       /* in the struct */
  size_t bytes;        /* of the member */
  uint64_t min;        /* SCH_UNSIGNED: value before scaling; lists: length */
  uint64_t max;        /* as min */
  uint64_t scale;      /* factor from the unit in the file; 0 means 1 */
  double min_fraction; /* SCH_FRACTION */
  double max_fraction;
  const char *const *choices;     /* SCH_CHOICE: NULL-terminated */
  sch_validator check;            /* of the text; NULL: any text is valid */
  const char *target_list;        /* SCH_REFERENCE: key of a top-level list */
  const struct sch_schema *child; /* SCH_MAP, SCH_LIST: of struct or items */
  size_t count_offset;            /* SCH_LIST: of the length, a uint32_t */
  enum sch_type type;
  bool required;
  bool decimal;   /* SCH_UNSIGNED: decimal numbers are valid too; the scaled
                     value is rounded down */
  bool omit_zero; /* the key is not written when the value is 0 or false */
  bool secret;    /* the value is never shown in an error message or diff */
};

/* A map and the struct that holds its values. */
struct sch_schema
{
  size_t bytes;         /* of the struct */
  const void *defaults; /* such a struct; NULL: sch_read keeps what OUT has */
  const char *unique_key; /* key whose value is unique in a list, or NULL */
  const struct sch_field *fields;
  size_t field_count;
};

/* Offset and size of MEMBER of TYPE, for a struct sch_field.  */
#define SCH_MEMBER(type, member)                                              \
  .offset = offsetof (type, member), .bytes = sizeof (((type *)0)->member)

/* Value of a reference that is not set. */
#define SCH_NO_INDEX UINT32_MAX

bool sch_read (const struct sch_schema *schema, const struct yt_node *root,
               void *out, struct cmp_list *errors);
bool sch_is_omitted (const struct sch_field *field, const void *item);
void sch_print (const struct sch_schema *root_schema, const void *root,
                const struct sch_field *field, const void *item,
                GString *value);
const char *sch_quote (const struct sch_field *field, const char *text,
                       char *buffer, size_t buffer_bytes);

/* Functions of type sch_validator. */
const char *sch_check_name (const char *text);
const char *sch_check_sha256 (const char *text);
const char *sch_check_address (const char *text);
const char *sch_check_listen_address (const char *text);
const char *sch_check_url (const char *text);
const char *sch_check_method (const char *text);
const char *sch_check_path (const char *text);
const char *sch_check_file (const char *text);

#endif
