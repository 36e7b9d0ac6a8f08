#include "base/nearest.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

/* Longer words are neither corrected nor suggested. */
#define WORD_BYTES_MAX 64

/* Shorter words are not accepted as the prefix of a known word. */
#define PREFIX_BYTES_MIN 3

/* Returns the Levenshtein distance of A and B, in bytes.  B is at most
   WORD_BYTES_MAX bytes long.  */
static size_t
edit_distance (const char *a, const char *b)
{
  size_t row[WORD_BYTES_MAX + 1];
  size_t b_bytes = strlen (b);
  for (size_t j = 0; j <= b_bytes; j++)
    {
      row[j] = j;
    }
  for (size_t i = 0; a[i] != '\0'; i++)
    {
      size_t diagonal = row[0];
      row[0] = i + 1;
      for (size_t j = 0; j < b_bytes; j++)
        {
          size_t above = row[j + 1];
          size_t substitution = diagonal + (a[i] == b[j] ? 0 : 1);
          row[j + 1] = MIN (MIN (above, row[j]) + 1, substitution);
          diagonal = above;
        }
    }
  return row[b_bytes];
}

/* Returns the word of KNOWN, which has KNOWN_COUNT words, with the least edit
   distance to WORD, or NULL when every distance exceeds half the length of
   WORD.  A known word that starts with WORD, of at least PREFIX_BYTES_MIN
   bytes, has distance 0.  The first word wins a tie.  */
const char *
near_word (const char *word, const char *const *known, size_t known_count)
{
  size_t word_bytes = strlen (word);
  if (word_bytes > WORD_BYTES_MAX)
    {
      return NULL;
    }
  const char *nearest = NULL;
  size_t least_distance = word_bytes / 2 + 1;
  for (size_t i = 0; i < known_count; i++)
    {
      if (strlen (known[i]) > WORD_BYTES_MAX)
        {
          continue;
        }
      bool is_prefix = word_bytes >= PREFIX_BYTES_MIN
                       && strncmp (word, known[i], word_bytes) == 0;
      size_t distance = is_prefix ? 0 : edit_distance (word, known[i]);
      if (distance < least_distance)
        {
          least_distance = distance;
          nearest = known[i];
        }
    }
  return nearest;
}
