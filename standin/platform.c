#include "standin/platform.h"

#include "base/clock.h"
#include "standin/http_server.h"
#include "standin/log_store.h"

#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LOG_PATH "/v1/log/"
#define WEIGHTS_PATH "/v1/weights/"
#define NAME_BYTES_MAX 64         /* of a stream or a host */
#define READ_RECORDS_DEFAULT 1000 /* records of one read */
#define WAIT_MAX_MS 30000
#define MINUTE_US (60 * CLK_S_US)

struct fp_platform
{
  struct fp_options options;
  struct hs_server *server;
  struct ls_store *log;
  struct hl_list *hosts;
  pthread_mutex_t lock;  /* guards all fields below */
  int64_t slow_ms;       /* delay before each answer */
  int64_t lose_answers;  /* number of appends whose answers will be lost */
  int64_t down_until_us; /* monotonic, of the log and the weight store */
  int64_t list_down_until_us;     /* monotonic, of the host list */
  int64_t served_version;         /* newest version of the host list served */
  double weight_allowance;        /* token bucket: ranges allowed now */
  int64_t weight_allowance_at_us; /* monotonic time of the last refill */
};

/* Fills ANSWER with the status and the error body of KIND.  */
static void
answer_error (struct hs_answer *answer, enum err_kind kind)
{
  const struct err_info *entry = err_info (kind);
  hs_fail (answer, entry->http_status, entry->name, entry->summary);
}

/* Returns true when TEXT has 1 to LIMIT characters, all of them ASCII letters,
   digits or characters of EXTRA.  TEXT may be NULL.  */
static bool
has_allowed_chars (const char *text, size_t limit, const char *extra)
{
  size_t length = text == NULL ? 0 : strlen (text);
  if (length == 0 || length > limit)
    {
      return false;
    }
  for (size_t i = 0; i < length; i++)
    {
      if (!g_ascii_isalnum (text[i]) && strchr (extra, text[i]) == NULL)
        {
          return false;
        }
    }
  return true;
}

/* Returns true when the answer to the current append must be lost, and counts
   it off.  */
static bool
take_lost_answer (struct fp_platform *platform)
{
  pthread_mutex_lock (&platform->lock);
  bool lost = platform->lose_answers > 0;
  platform->lose_answers -= lost ? 1 : 0;
  pthread_mutex_unlock (&platform->lock);
  return lost;
}

/* Answers POST /v1/log/STREAM, which appends a record.  */
static void
answer_append (struct fp_platform *platform, const char *stream,
               const json_t *body, struct hs_answer *answer)
{
  const char *record = json_string_value (json_object_get (body, "record"));
  if (!has_allowed_chars (record, SIZE_MAX, "+/="))
    {
      answer_error (answer, ERR_BAD_REQUEST);
      return;
    }
  int64_t offset = 0;
  enum err_kind kind = ls_append (platform->log, stream, record, &offset);
  if (kind != ERR_NONE)
    {
      answer_error (answer, kind);
      return;
    }
  answer->lost = take_lost_answer (platform);
  jn_write (platform->options.journal, "append",
            ",\"stream\":\"%s\",\"offset\":%" PRId64
            ",\"bytes\":%zu,\"lost\":%s",
            stream, offset, strlen (record), answer->lost ? "true" : "false");
  g_string_append_printf (answer->body, "{\"offset\":%" PRId64 "}", offset);
}

/* Answers a request with a path below /v1/log/: POST appends a record, any
   other method reads records.  */
static void
answer_log (struct fp_platform *platform, const struct hs_request *request,
            const json_t *body, struct hs_answer *answer)
{
  const char *stream = request->path + strlen (LOG_PATH);
  if (!has_allowed_chars (stream, NAME_BYTES_MAX, "-_."))
    {
      answer_error (answer, ERR_BAD_REQUEST);
      return;
    }
  if (strcmp (request->method, "POST") == 0)
    {
      answer_append (platform, stream, body, answer);
      return;
    }
  int64_t wait_ms = hs_query_number (request, "wait_ms", 0);
  enum err_kind kind
      = ls_read (platform->log, stream, hs_query_number (request, "from", 0),
                 hs_query_number (request, "max", READ_RECORDS_DEFAULT),
                 CLAMP (wait_ms, 0, WAIT_MAX_MS) * CLK_MS_US, answer->body);
  if (kind != ERR_NONE)
    {
      answer_error (answer, kind);
    }
}

/* Writes a journal entry when VERSION of the host list is newer than all
   versions served before.  */
static void
journal_served (struct fp_platform *platform, int64_t version)
{
  pthread_mutex_lock (&platform->lock);
  bool first = version > platform->served_version;
  platform->served_version = first ? version : platform->served_version;
  pthread_mutex_unlock (&platform->lock);
  if (first)
    {
      jn_write (platform->options.journal, "list_served",
                ",\"version\":%" PRId64, version);
    }
}

/* Answers GET /v1/hosts with the host list, or with 304 when the caller
   already has the current version.  */
static void
answer_hosts (struct fp_platform *platform, const struct hs_request *request,
              struct hs_answer *answer)
{
  int64_t now_us = clk_monotonic_us ();
  pthread_mutex_lock (&platform->lock);
  bool down = now_us < platform->list_down_until_us;
  pthread_mutex_unlock (&platform->lock);
  if (down)
    {
      answer_error (answer, ERR_LOG_UNAVAILABLE);
      return;
    }
  int64_t known = hs_query_number (request, "than", -1);
  int64_t version = hl_render (platform->hosts, known, now_us, answer->body);
  journal_served (platform, version);
  answer->status = version == known ? 304 : 200;
}

/* Answers GET /v1/weights/MODEL/FIRST-END with an empty object, at most
   weights_per_min times a minute.  The path isn't checked.  */
static void
answer_weights (struct fp_platform *platform, struct hs_answer *answer)
{
  int64_t now_us = clk_monotonic_us ();
  pthread_mutex_lock (&platform->lock);
  bool down = now_us < platform->down_until_us;
  double refill = (double)(now_us - platform->weight_allowance_at_us)
                  * platform->options.weights_per_min / MINUTE_US;
  platform->weight_allowance = MIN (platform->weight_allowance + refill,
                                    platform->options.weights_per_min);
  platform->weight_allowance_at_us = now_us;
  bool allowed = !down && platform->weight_allowance >= 1;
  platform->weight_allowance -= allowed ? 1 : 0;
  pthread_mutex_unlock (&platform->lock);
  if (down)
    {
      answer_error (answer, ERR_LOG_UNAVAILABLE);
    }
  else if (!allowed)
    {
      answer_error (answer, ERR_RATE_LIMITED);
      answer->header = "Retry-After: 1";
    }
  else
    {
      g_string_append (answer->body, "{}");
    }
}

/* Adds or changes the host in VALUE, which is a name or an object with name,
   address and role.  Ignores invalid names.  */
static void
change_host (struct fp_platform *platform, const json_t *value, bool leaving)
{
  const json_t *name
      = json_is_object (value) ? json_object_get (value, "name") : value;
  struct hl_host host = {
    .name = json_string_value (name),
    .address = json_string_value (json_object_get (value, "address")),
    .role = json_string_value (json_object_get (value, "role")),
    .leaving = leaving,
  };
  if (has_allowed_chars (host.name, NAME_BYTES_MAX, "-_."))
    {
      int64_t version = hl_put (platform->hosts, &host, clk_monotonic_us ());
      jn_write (platform->options.journal, "host",
                ",\"host\":\"%s\",\"state\":\"%s\",\"version\":%" PRId64,
                host.name, leaving ? "leaving" : "live", version);
    }
}

/* Calls change_host for VALUE, or for each element when VALUE is an array.  */
static void
change_hosts (struct fp_platform *platform, const json_t *value, bool leaving)
{
  if (!json_is_array (value))
    {
      change_host (platform, value, leaving);
      return;
    }
  for (size_t i = 0; i < json_array_size (value); i++)
    {
      change_host (platform, json_array_get (value, i), leaving);
    }
}

/* Returns the integer member NAME of BODY, or MISSING when there is none.  */
static int64_t
get_number (const json_t *body, const char *name, int64_t missing)
{
  const json_t *value = json_object_get (body, name);
  return json_is_integer (value) ? json_integer_value (value) : missing;
}

/* Sets the outages, delays and lost answers that BODY contains.  */
static void
set_faults (struct fp_platform *platform, const json_t *body)
{
  int64_t now_us = clk_monotonic_us ();
  int64_t down_ms = get_number (body, "down_ms", -1);
  int64_t list_down_ms = get_number (body, "list_down_ms", -1);
  int64_t lag_ms = get_number (body, "list_lag_ms", -1);
  pthread_mutex_lock (&platform->lock);
  platform->slow_ms = get_number (body, "slow_ms", platform->slow_ms);
  platform->lose_answers
      = get_number (body, "lose_answers", platform->lose_answers);
  if (down_ms >= 0)
    {
      platform->down_until_us = now_us + down_ms * CLK_MS_US;
      ls_set_down_until (platform->log, platform->down_until_us);
    }
  if (list_down_ms >= 0)
    {
      platform->list_down_until_us = now_us + list_down_ms * CLK_MS_US;
    }
  pthread_mutex_unlock (&platform->lock);
  if (lag_ms >= 0)
    {
      hl_set_lag (platform->hosts, lag_ms * CLK_MS_US);
    }
}

/* Answers POST /fault: injects the faults and applies the host changes that
   BODY contains.  */
static void
answer_fault (struct fp_platform *platform, const json_t *body,
              struct hs_answer *answer)
{
  char *text = json_dumps (body, JSON_COMPACT);
  jn_write (platform->options.journal, "fault",
            ",\"host\":\"platform\",\"fault\":%s", text);
  free (text);
  set_faults (platform, body);
  const json_t *leaving = json_object_get (body, "leaving");
  const json_t *live = json_object_get (body, "live");
  const char *gone = json_string_value (json_object_get (body, "gone"));
  if (leaving != NULL)
    {
      change_hosts (platform, leaving, true);
    }
  if (live != NULL)
    {
      change_hosts (platform, live, false);
    }
  if (gone != NULL)
    {
      hl_remove (platform->hosts, gone, clk_monotonic_us ());
    }
  if (json_is_true (json_object_get (body, "silent_connections")))
    {
      hs_silence_connections (platform->server);
    }
  answer->control = true;
  g_string_append (answer->body, "{}");
}

/* Waits for the delay that the fault slow_ms sets.  */
static void
delay_answer (struct fp_platform *platform)
{
  pthread_mutex_lock (&platform->lock);
  int64_t slow_ms = platform->slow_ms;
  pthread_mutex_unlock (&platform->lock);
  if (slow_ms > 0)
    {
      usleep ((useconds_t)(slow_ms * CLK_MS_US));
    }
}

/* Dispatches a request by its path.  Called from several threads at once.  */
static void
handle_request (void *user, const struct hs_request *request,
                struct hs_answer *answer)
{
  struct fp_platform *platform = user;
  json_t *body = json_loadb (request->body, request->body_bytes, 0, NULL);
  if (strcmp (request->path, "/fault") == 0)
    {
      answer_fault (platform, body, answer);
      json_decref (body);
      return;
    }
  delay_answer (platform);
  if (g_str_has_prefix (request->path, LOG_PATH))
    {
      answer_log (platform, request, body, answer);
    }
  else if (strcmp (request->path, "/v1/hosts") == 0)
    {
      answer_hosts (platform, request, answer);
    }
  else if (g_str_has_prefix (request->path, WEIGHTS_PATH))
    {
      answer_weights (platform, answer);
    }
  else
    {
      answer_error (answer, ERR_NOT_FOUND);
    }
  json_decref (body);
}

/* Starts a platform with OPTIONS.  Returns NULL and sets ERROR to ERR_SETTINGS
   when the server can't listen.  */
struct fp_platform *
fp_create (const struct fp_options *options, GError **error)
{
  struct fp_platform *platform = g_new0 (struct fp_platform, 1);
  platform->options = *options;
  pthread_mutex_init (&platform->lock, NULL);
  platform->log
      = ls_create (options->appends_per_s, options->retention_ms * CLK_MS_US);
  platform->hosts = hl_create (options->list_lag_ms * CLK_MS_US);
  platform->weight_allowance = options->weights_per_min;
  const struct hs_options server = {
    .port = options->port,
    .connections = options->connections,
    .handler = handle_request,
    .user = platform,
  };
  platform->server = hs_create (&server, error);
  if (platform->server == NULL)
    {
      fp_destroy (platform);
      return NULL;
    }
  return platform;
}

/* Stops PLATFORM and frees it; NULL is allowed.  */
void
fp_destroy (struct fp_platform *platform)
{
  if (platform == NULL)
    {
      return;
    }
  ls_stop (platform->log);
  hs_destroy (platform->server);
  ls_destroy (platform->log);
  hl_destroy (platform->hosts);
  pthread_mutex_destroy (&platform->lock);
  g_free (platform);
}

/* Returns the port that PLATFORM listens on.  */
uint16_t
fp_port (const struct fp_platform *platform)
{
  return hs_port (platform->server);
}

/* Adds HOST to the host list, visible at once regardless of the lag.  */
void
fp_add_host (struct fp_platform *platform, const struct hl_host *host)
{
  hl_put (platform->hosts, host, INT64_MIN / 2);
}
