/* Fuzzes the parser of completion requests.  The first byte selects a chat or
   a plain completion.  The parser must return either a request or a failure,
   and an accepted request must have a prompt and a model. */
#include "fuzz.h"

#include "caller/caller.h"

#include <stdint.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes)
{
  if (bytes == 0)
    {
      return 0;
    }
  bool chat = data[0] == 'c';
  struct cal_draft draft = { 0 };
  struct err_failure failure = { 0 };
  bool valid = cal_draft_parse ((const char *)data + 1, bytes - 1, chat,
                                &draft, &failure);
  if (valid == (failure.kind != ERR_NONE))
    {
      fz_fail ("the parser returned both a request and a failure, or neither");
    }
  if (valid && (draft.prompt == NULL || draft.model[0] == '\0'))
    {
      fz_fail ("the accepted request has no prompt or no model");
    }
  cal_draft_clear (&draft);
  return 0;
}
