/* Suggests the known word that is most similar to a misspelt one. */
#ifndef BASE_NEAREST_H
#define BASE_NEAREST_H

#include <stddef.h>

const char *near_word (const char *word, const char *const *known,
                       size_t known_count);

#endif
