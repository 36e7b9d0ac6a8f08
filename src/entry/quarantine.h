/* The quarantine of requests that crash endpoints, for both of this
   daemon's threads: the traffic thread reports what happens to requests and
   asks which may run; the control thread shares the evidence with the other
   daemons.  Thread-safe.  See core/poison.h for how it is decided. */
#ifndef ENTRY_QUARANTINE_H
#define ENTRY_QUARANTINE_H

#include "platform/store.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct qrn_quarantine;

/* What a request may have in common with others: the parts of its prompt, or
   with its repeats all else. */
struct qrn_request
{
  const char *service;
  char *const *part_ids; /* of the prompt */
  const char *method;
  const char *host;
  const char *target;
  const char *account; /* name of the client account; NULL: none */
  const uint8_t *body;
  size_t body_bytes;
};

/* What becomes of a request. */
struct qrn_verdict
{
  bool refused;
  bool trial; /* let through to find out whether it crashes endpoints */
  int64_t
      wait_us; /* until another one with the same trait may be let through */
};

struct qrn_quarantine *qrn_create (const char *daemon, int64_t bound_us);
void qrn_destroy (struct qrn_quarantine *quarantine);

/* For the traffic thread. */
char **qrn_name_traits (const struct qrn_request *request);
void qrn_report_arrival (struct qrn_quarantine *quarantine,
                         const char *service, char *const traits[]);
void qrn_report_end (struct qrn_quarantine *quarantine, char *const traits[],
                     const char *endpoint, int64_t born_ms);
void qrn_report_alive (struct qrn_quarantine *quarantine, const char *endpoint,
                       int64_t born_ms);
void qrn_report_sound (struct qrn_quarantine *quarantine,
                       char *const traits[]);
struct qrn_verdict qrn_check (struct qrn_quarantine *quarantine,
                              char *const traits[]);
bool qrn_is_quarantined (struct qrn_quarantine *quarantine,
                         char *const traits[], int64_t *wait_us);
bool qrn_log_changes (struct qrn_quarantine *quarantine, uint32_t *count);

/* For the control thread. */
void qrn_set_leader (struct qrn_quarantine *quarantine, bool leads);
GPtrArray *qrn_take_changes (struct qrn_quarantine *quarantine);
void qrn_return_changes (struct qrn_quarantine *quarantine,
                         const GPtrArray *records);
void qrn_publish_again (struct qrn_quarantine *quarantine, bool of_others);
void qrn_expire (struct qrn_quarantine *quarantine);
void qrn_begin_snapshot (struct qrn_quarantine *quarantine);
void qrn_end_snapshot (struct qrn_quarantine *quarantine);
void qrn_merge (struct qrn_quarantine *quarantine,
                const struct pfs_record *record);

#endif
