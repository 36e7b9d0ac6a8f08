/* The operator's configuration, and requests that fit it.  The model is a
   tenth of the one of the site ptt-fleet, with the same layers' size.  */
#include "lab.h"

#include <stdio.h>

#define ROUTES                                                                \
  "\"Routes\":["                                                              \
  "{\"Name\":\"draft\",\"Hostname\":\"" LAB_HOST                              \
  "\",\"PathPrefix\":\"" LAB_DRAFT_PATH                                       \
  "\",\"Kind\":\"stream\",\"TimeoutMs\":20000,\"TargetLatencyMs\":500,"       \
  "\"Priority\":1,\"Service\":\"drafter\",\"MaxAttempts\":2,"                 \
  "\"Public\":false,\"Sticky\":true,\"Resumable\":%s,"                        \
  "\"TargetGapMs\":200},"                                                     \
  "{\"Name\":\"issue\",\"Hostname\":\"" LAB_HOST                              \
  "\",\"PathPrefix\":\"" LAB_ISSUE_PATH                                       \
  "\",\"Kind\":\"non_idempotent\",\"TimeoutMs\":4000,"                        \
  "\"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"registry\","          \
  "\"MaxAttempts\":2,\"Public\":false},"                                      \
  "{\"Name\":\"read\",\"Hostname\":\"" LAB_HOST                               \
  "\",\"PathPrefix\":\"" LAB_READ_PATH                                        \
  "\",\"Kind\":\"idempotent\",\"TimeoutMs\":4000,"                            \
  "\"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"registry\","          \
  "\"MaxAttempts\":2,\"Public\":false}],"

#define SERVICES                                                              \
  "\"Services\":[{\"Name\":\"drafter\",\"HealthPath\":\"/health\","           \
  "\"MaxConns\":1048,\"Protocol\":\"h1\",\"Tls\":false,"                      \
  "\"Engine\":{\"Slots\":192,\"KvCapacity\":100000,"                          \
  "\"KvTokenBytes\":42600,\"LinkMbps\":480000.0,\"Stride\":2,"                \
  "\"Models\":[{\"Name\":\"m0\",\"pace\":1.0,\"LoadS\":14.0,"                 \
  "\"WarmS\":1.0}],\"step_ms\":0.85,\"per_seq_ms\":0.00276,"                  \
  "\"context_per_k\":0.0037,\"read_per_s\":272000.0,"                         \
  "\"pairs_per_m\":0.12,\"chunk\":512,\"report_lag_ms\":200.0,"               \
  "\"usual\":{\"prompt\":772,\"answer\":150},\"Layers\":8,"                   \
  "\"LayerMb\":1750.0,\"ActivationBytes\":21300,\"PipeMbps\":6500.0,"         \
  "\"Kinds\":[{\"Name\":\"t4\",\"Mb\":14400.0,\"pace\":15.0,"                 \
  "\"ReadX\":15.0}]}},"                                                       \
  "{\"Name\":\"registry\",\"HealthPath\":\"/health\",\"MaxConns\":52,"        \
  "\"Protocol\":\"h1\",\"Tls\":false}],"

#define REST                                                                  \
  "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"            \
  "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"                        \
  "\"Tenants\":[{\"Name\":\"hule930\",\"ApiKeys\":[\"" LAB_KEY                \
  "\"],\"Priority\":1}]}"

void
lab_publish_config (uint64_t version, bool resumable)
{
  char text[8192];
  snprintf (text, sizeof text, "{\"Version\":%lu," ROUTES SERVICES REST,
            (unsigned long)version, resumable ? "true" : "false");
  lab_store_put ("keyed.op", "config", text);
}

/* Writes a request with the id ID.  OUTPUT_TOKENS is 0 for requests to plain
   services.  */
void
lab_format_request (char *text, size_t bytes, const char *method,
                    const char *path, const char *id, uint32_t deadline_ms,
                    uint32_t output_tokens)
{
  char model[256] = "";
  if (output_tokens > 0)
    {
      snprintf (model, sizeof model,
                "X-Kumquatthread-Model: m0\r\n"
                "X-Kumquatthread-Token-Counts: 800,%u\r\n"
                "X-Kumquatthread-Prompt-Prefix: 5c1e07a2:40,%s:760\r\n",
                output_tokens, id);
    }
  snprintf (text, bytes,
            "%s %s HTTP/1.1\r\nHost: " LAB_HOST
            "\r\nX-Kumquatthread-Attempt-Id: %s\r\n%s"
            "X-Kumquatthread-Deadline-Ms: %u\r\nX-Api-Key: " LAB_KEY
            "\r\n%s\r\n",
            method, path, id, model, deadline_ms,
            method[0] == 'P' ? "Content-Length: 0\r\n" : "");
}
