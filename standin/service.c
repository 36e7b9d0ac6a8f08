#include "standin/service.h"

#include "base/error.h"
#include "standin/http_server.h"

#include <civetweb.h>
#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#define JOB_BYTES_MAX 256
#define STOCK_RANGE 100   /* reported stocks are below this */
#define DIE_EXIT_STATUS 1 /* of the process after the fault `die' */
#define NOT_RUN_HEADER "X-Not-Run: true"

struct fs_service
{
  struct fs_options options;
  char *name;
  struct hs_server *server;
  pthread_mutex_t lock; /* guards all fields below */
  int64_t bookings;     /* made so far; numbers the next one */
  bool leaving;         /* refuses bookings */
  int64_t delay_ms;     /* added to the duration of each call */
  int64_t lose_answers; /* number of calls whose answers will be lost */
  int64_t not_run;      /* number of calls during which bookings are refused;
                           look-ups run, but are counted */
};

/* The injected faults that apply to one call. */
struct call_faults
{
  int64_t delay_ms; /* duration of the call, including work_ms */
  bool lose_answer;
  bool not_run;
};

/* Returns the faults that apply to the current call and counts the call off
   the limited ones.  */
static struct call_faults
take_faults (struct fs_service *service)
{
  struct call_faults faults = { .delay_ms = service->options.work_ms };
  pthread_mutex_lock (&service->lock);
  faults.delay_ms += service->delay_ms;
  faults.not_run = service->not_run > 0 || service->leaving;
  service->not_run -= service->not_run > 0 ? 1 : 0;
  faults.lose_answer = !faults.not_run && service->lose_answers > 0;
  service->lose_answers -= faults.lose_answer ? 1 : 0;
  pthread_mutex_unlock (&service->lock);
  return faults;
}

/* Books SLOT, also when it is already booked, and writes the effect to the
   journal.  */
static void
book (struct fs_service *service, const struct hs_request *request,
      const char *slot, struct hs_answer *answer)
{
  GString *quoted_slot = g_string_new (NULL);
  GString *quoted_id = g_string_new (NULL);
  jn_append_json (quoted_slot, slot);
  jn_append_json (quoted_id, request->request_id);
  pthread_mutex_lock (&service->lock);
  int64_t booking = ++service->bookings;
  jn_write (service->options.journal, "effect",
            ",\"host\":\"%s\",\"booking\":%" PRId64
            ",\"slot\":%s,\"request_id\":%s",
            service->name, booking, quoted_slot->str, quoted_id->str);
  pthread_mutex_unlock (&service->lock);
  g_string_append_printf (answer->body,
                          "{\"booking\":%" PRId64 ",\"slot\":%s}", booking,
                          quoted_slot->str);
  g_string_free (quoted_id, TRUE);
  g_string_free (quoted_slot, TRUE);
}

/* Answers POST /book, which books the slot in BODY.  */
static void
answer_book (struct fs_service *service, const struct hs_request *request,
             const json_t *body, struct hs_answer *answer)
{
  const char *slot = json_string_value (json_object_get (body, "slot"));
  if (slot == NULL)
    {
      hs_fail (answer, 400, "bad_request", "slot is missing");
      return;
    }
  struct call_faults faults = take_faults (service);
  if (faults.not_run)
    {
      jn_write (service->options.journal, "not_run", ",\"host\":\"%s\"",
                service->name);
      hs_fail (answer, 503, "endpoint_refused", "the call did not run");
      answer->header = NOT_RUN_HEADER;
      return;
    }
  book (service, request, slot, answer);
  usleep ((useconds_t)(faults.delay_ms * 1000));
  answer->lost = faults.lose_answer;
}

/* Answers GET /lookup with the stock of a job, which is a hash of the job's
   name.  */
static void
answer_lookup (struct fs_service *service, const struct hs_request *request,
               struct hs_answer *answer)
{
  char job[JOB_BYTES_MAX];
  if (mg_get_var (request->query, strlen (request->query), "job", job,
                  sizeof job)
      <= 0)
    {
      hs_fail (answer, 400, "bad_request", "job is missing");
      return;
    }
  struct call_faults faults = take_faults (service);
  usleep ((useconds_t)(faults.delay_ms * 1000));
  g_string_append (answer->body, "{\"job\":");
  jn_append_json (answer->body, job);
  g_string_append_printf (
      answer->body, ",\"stock\":%u}",
      (uint32_t)(XXH64 (job, strlen (job), 0) % STOCK_RANGE));
  answer->lost = faults.lose_answer;
}

/* Sets *VALUE to the member NAME of BODY if that is an integer.  */
static void
set_number (const json_t *body, const char *name, int64_t *value)
{
  const json_t *member = json_object_get (body, name);
  if (json_is_integer (member))
    {
      *value = json_integer_value (member);
    }
}

/* Answers POST /fault: injects the faults that BODY contains.  The fault `die'
   exits the process without an answer.  */
static void
answer_fault (struct fs_service *service, const json_t *body,
              struct hs_answer *answer)
{
  char *text = json_dumps (body, JSON_COMPACT);
  jn_write (service->options.journal, "fault", ",\"host\":\"%s\",\"fault\":%s",
            service->name, text);
  free (text);
  if (json_is_true (json_object_get (body, "die")))
    {
      _exit (DIE_EXIT_STATUS);
    }
  const json_t *leaving = json_object_get (body, "leaving");
  pthread_mutex_lock (&service->lock);
  service->leaving
      = leaving == NULL ? service->leaving : json_is_true (leaving);
  set_number (body, "delay_ms", &service->delay_ms);
  set_number (body, "lose_answers", &service->lose_answers);
  set_number (body, "not_run", &service->not_run);
  pthread_mutex_unlock (&service->lock);
  if (json_is_true (json_object_get (body, "silent_connections")))
    {
      hs_silence_connections (service->server);
    }
  answer->control = true;
  g_string_append (answer->body, "{}");
}

/* Dispatches a request by its method and path.  Called from several threads
   at once.  */
static void
handle_request (void *user, const struct hs_request *request,
                struct hs_answer *answer)
{
  struct fs_service *service = user;
  json_t *body = json_loadb (request->body, request->body_bytes, 0, NULL);
  bool is_post = strcmp (request->method, "POST") == 0;
  if (is_post && strcmp (request->path, "/book") == 0)
    {
      answer_book (service, request, body, answer);
    }
  else if (is_post && strcmp (request->path, "/fault") == 0)
    {
      answer_fault (service, body, answer);
    }
  else if (!is_post && strcmp (request->path, "/lookup") == 0)
    {
      answer_lookup (service, request, answer);
    }
  else
    {
      hs_fail (answer, 404, "not_found", "no such path");
    }
  json_decref (body);
}

/* Starts a service with OPTIONS and writes `started' to the journal.  Returns
   NULL and sets ERROR to ERR_SETTINGS when the server can't listen.  */
struct fs_service *
fs_create (const struct fs_options *options, GError **error)
{
  struct fs_service *service = g_new0 (struct fs_service, 1);
  service->options = *options;
  service->name = g_strdup (options->name);
  pthread_mutex_init (&service->lock, NULL);
  const struct hs_options server = {
    .port = options->port,
    .connections = options->connections,
    .handler = handle_request,
    .user = service,
  };
  service->server = hs_create (&server, error);
  if (service->server == NULL)
    {
      fs_destroy (service);
      return NULL;
    }
  jn_write (options->journal, "started", ",\"host\":\"%s\"", options->name);
  return service;
}

/* Stops SERVICE and frees it; NULL is allowed.  */
void
fs_destroy (struct fs_service *service)
{
  if (service == NULL)
    {
      return;
    }
  hs_destroy (service->server);
  pthread_mutex_destroy (&service->lock);
  g_free (service->name);
  g_free (service);
}

/* Returns the port that SERVICE listens on.  */
uint16_t
fs_port (const struct fs_service *service)
{
  return hs_port (service->server);
}
