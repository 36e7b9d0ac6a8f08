#include "standin/model.h"

#include <string.h>
#include <xxhash.h>

#define SYLLABLES 32
#define SYLLABLE_BITS 5
#define VOCABULARY 32768 /* tokens, each a word of three syllables */
/* On average one of this many tokens ends the answer. */
#define END_ONE_IN 1024

static const char *const syllables[SYLLABLES] = {
  "ba", "be", "bi", "bo", "da", "de", "di", "do", "ka", "ke", "ki",
  "ko", "la", "le", "li", "lo", "ma", "me", "mi", "mo", "na", "ne",
  "ni", "no", "ra", "re", "ri", "ro", "sa", "se", "si", "so",
};

/* Hashes A and B into one value.  Not symmetric in A and B.  */
static uint64_t
mix (uint64_t a, uint64_t b)
{
  uint64_t x = (a << 23 | a >> 41) + b * UINT64_C (0x9e3779b97f4a7c15);
  x ^= x >> 30;
  x *= UINT64_C (0xbf58476d1ce4e5b9);
  x ^= x >> 27;
  x *= UINT64_C (0x94d049bb133111eb);
  return x ^ x >> 31;
}

/* Returns the number of positions of a prompt of PROMPT_BYTES bytes, which is
   at least 1.  */
uint32_t
md_prompt_positions (size_t prompt_bytes)
{
  size_t positions = (prompt_bytes + MD_PROMPT_BYTES_PER_POSITION - 1)
                     / MD_PROMPT_BYTES_PER_POSITION;
  return positions == 0 ? 1 : (uint32_t)positions;
}

/* Writes the tokens of PROMPT to TOKENS, one for each of its
   md_prompt_positions.  */
void
md_prompt_tokens (const char *prompt, size_t prompt_bytes, uint32_t *tokens)
{
  uint32_t positions = md_prompt_positions (prompt_bytes);
  for (uint32_t i = 0; i < positions; i++)
    {
      size_t start = (size_t)i * MD_PROMPT_BYTES_PER_POSITION;
      size_t left = prompt_bytes - start;
      size_t bytes = left < MD_PROMPT_BYTES_PER_POSITION
                         ? left
                         : MD_PROMPT_BYTES_PER_POSITION;
      tokens[i] = (uint32_t)XXH64 (prompt + start, bytes, 1);
    }
}

/* Returns the hidden value that is the input of layer 0 for TOKEN at
   POSITION.  */
uint64_t
md_embed (uint32_t token, uint32_t position)
{
  return mix (token, position);
}

/* Returns the KV state of LAYER of MODEL before the first position.  */
uint64_t
md_initial_kv (const char *model, uint32_t layer)
{
  return mix (XXH64 (model, strlen (model), 0), layer);
}

/* Runs one position through LAYER.  Updates the layer's state KV and returns
   the hidden value for the next layer.  */
uint64_t
md_run_layer (uint64_t *kv, uint64_t hidden, uint32_t layer)
{
  *kv = mix (*kv, hidden);
  return mix (hidden, *kv + layer);
}

/* Decodes HIDDEN, the output of the last layer, into the next token.  */
void
md_decode (uint64_t hidden, struct md_output *output)
{
  output->token = (uint32_t)(hidden % VOCABULARY);
  output->end = (hidden >> 32) % END_ONE_IN == 0;
  output->text[0] = '\0';
  if (output->end)
    {
      return;
    }
  uint32_t rest = output->token;
  char *at = output->text;
  for (int i = 0; i < 3; i++)
    {
      memcpy (at, syllables[rest % SYLLABLES], 2);
      at += 2;
      rest >>= SYLLABLE_BITS;
    }
  memcpy (at, " ", 2);
}

/* Runs one position through all layers and returns the output of the last
   layer.  */
static uint64_t
run_position (uint64_t *kv, uint32_t layers, uint32_t token, uint32_t position)
{
  uint64_t hidden = md_embed (token, position);
  for (uint32_t layer = 0; layer < layers; layer++)
    {
      hidden = md_run_layer (&kv[layer], hidden, layer);
    }
  return hidden;
}

/* Computes the answer of MODEL with LAYERS layers to PROMPT, at most
   MAX_TOKENS tokens, and appends its text to OUT.  Returns the number of
   tokens without the one that ends the answer.  */
uint32_t
md_answer (const char *model, uint32_t layers, const char *prompt,
           uint32_t max_tokens, GString *out)
{
  size_t bytes = strlen (prompt);
  uint32_t positions = md_prompt_positions (bytes);
  uint32_t *tokens = g_new (uint32_t, positions);
  md_prompt_tokens (prompt, bytes, tokens);
  uint64_t *kv = g_new (uint64_t, layers);
  for (uint32_t layer = 0; layer < layers; layer++)
    {
      kv[layer] = md_initial_kv (model, layer);
    }
  uint64_t hidden = 0;
  for (uint32_t i = 0; i < positions; i++)
    {
      hidden = run_position (kv, layers, tokens[i], i);
    }
  uint32_t count = 0;
  struct md_output output;
  while (count < max_tokens)
    {
      md_decode (hidden, &output);
      if (output.end)
        {
          break;
        }
      g_string_append (out, output.text);
      count++;
      hidden = run_position (kv, layers, output.token, positions++);
    }
  g_free (kv);
  g_free (tokens);
  return count;
}
