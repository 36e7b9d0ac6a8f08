/* Command line parsing and the main loop of the stand-in programs. */
#ifndef STANDIN_PROGRAM_H
#define STANDIN_PROGRAM_H

#include <glib.h>
#include <stdint.h>

int prg_parse (int argc, char **argv, void **table);
void prg_block_signals (void);
void prg_serve (uint16_t port);
int prg_fail (const char *program, GError *error);

#endif
