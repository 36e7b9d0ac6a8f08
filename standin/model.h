/* The model that the simulated engines run.  Each token is a deterministic
   function of the layers, the positions and the stream's state, so that a
   checker can compute the expected answer. */
#ifndef STANDIN_MODEL_H
#define STANDIN_MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define MD_PROMPT_BYTES_PER_POSITION 4
#define MD_ACTIVATION_HEX 16 /* hex digits of an activation per position */
#define MD_WORD_BYTES 16     /* buffer size */

/* A decoded token. */
struct md_output
{
  uint32_t token;
  bool end;                 /* the token ends the answer */
  char text[MD_WORD_BYTES]; /* a word and a space; empty when END is set */
};

uint32_t md_prompt_positions (size_t prompt_bytes);
void md_prompt_tokens (const char *prompt, size_t prompt_bytes,
                       uint32_t *tokens);
uint64_t md_embed (uint32_t token, uint32_t position);
uint64_t md_initial_kv (const char *model, uint32_t layer);
uint64_t md_run_layer (uint64_t *kv, uint64_t hidden, uint32_t layer);
void md_decode (uint64_t hidden, struct md_output *output);
uint32_t md_answer (const char *model, uint32_t layers, const char *prompt,
                    uint32_t max_tokens, GString *out);

#endif
