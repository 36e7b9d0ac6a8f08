/* Tests of the compression of byte strings.  */
#include "base/deflate.h"
#include "base/error.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* Byte strings that are compressed and then damaged. */
static const struct
{
  const char *name;
  uint32_t repeats;      /* of a phrase, which make up the byte string */
  int32_t expected_more; /* bytes that the reader expects beyond its size */
  uint32_t cut_bytes;    /* cut off from the end of the compressed form */
  uint32_t flip_byte;    /* index of a byte that is changed; 0: none */
  bool valid;
} rows[] = {
  { .name = "empty", .repeats = 0, .valid = true },
  { .name = "short", .repeats = 1, .valid = true },
  { .name = "long", .repeats = 50000, .valid = true },
  { .name = "longer than stated", .repeats = 10, .expected_more = -1 },
  { .name = "shorter than stated", .repeats = 10, .expected_more = 1 },
  { .name = "far shorter", .repeats = 1, .expected_more = INT32_MAX },
  { .name = "cut", .repeats = 100, .cut_bytes = 3 },
  { .name = "cut to nothing", .repeats = 1, .cut_bytes = UINT32_MAX },
  { .name = "damaged", .repeats = 100, .flip_byte = 9 },
};

static void
test_rows (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      GString *text = g_string_new (NULL);
      for (uint32_t n = 0; n < rows[i].repeats; n++)
        {
          g_string_append (text, "{\"layers\":[0,16]}");
        }
      g_autoptr (GBytes) compressed
          = dfl_compress ((const uint8_t *)text->str, text->len);
      gsize bytes = 0;
      const uint8_t *data = g_bytes_get_data (compressed, &bytes);
      bytes -= MIN (rows[i].cut_bytes, bytes);
      uint8_t *copy = g_memdup2 (data, bytes);
      if (rows[i].flip_byte > 0)
        {
          copy[rows[i].flip_byte] ^= 0x55;
        }
      g_autoptr (GError) error = NULL;
      uint8_t *expanded = dfl_expand (
          copy, bytes, (size_t)((int64_t)text->len + rows[i].expected_more),
          &error);
      bool equal
          = expanded != NULL && memcmp (expanded, text->str, text->len) == 0;
      if (equal != rows[i].valid
          || (!rows[i].valid
              && !g_error_matches (error, ERR_DOMAIN, ERR_PROTOCOL)))
        {
          fail_msg ("%s: %d, %s", rows[i].name, equal,
                    error == NULL ? "no error" : error->message);
        }
      g_free (expanded);
      g_free (copy);
      g_string_free (text, TRUE);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_rows),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
