/* Sends cancels to engines on threads of its own, so that traffic threads
   don't wait for the answers.  A cancel makes an engine drop the stream of an
   attempt whose result is no longer needed. */
#ifndef ENDPOINT_CANCELLER_H
#define ENDPOINT_CANCELLER_H

#include "endpoint/endpoint.h"

struct can_canceller;

struct can_canceller *can_create (void);
void can_destroy (struct can_canceller *canceller);
void can_cancel (struct can_canceller *canceller,
                 struct ept_endpoint *endpoint, const char *request,
                 uint32_t attempt);

#endif
