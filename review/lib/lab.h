/* Stand-ins for the scripts of the review: the platform's store, runners,
   clients, and the entry daemon as a separate process.  Everything listens on
   free ports of 127.0.0.1.  Servers use one thread for each connection.  */
#ifndef LAB_H
#define LAB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define LAB_ADDRESS_BYTES 32

/* The exit codes of a script. */
enum lab_result
{
  LAB_HELD = 0,
  LAB_BROKEN = 1,
  LAB_NOT_RUN = 2
};

/* Time and record.  lab_fail ends the script with LAB_NOT_RUN.  */
void lab_begin (const char *record_path);
double lab_now_s (void);
void lab_sleep_s (double seconds);
void lab_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
void lab_fail (const char *format, ...)
    __attribute__ ((format (printf, 1, 2), noreturn));
bool lab_has_trouble (void);
const char *lab_folder (void);
int lab_end (enum lab_result result);

/* A connection with the bytes that were read and not used yet. */
struct lab_connection
{
  int fd;
  size_t used;
  char bytes[65536];
  void *note; /* of the server's owner; freed with the connection */
};

/* A request, or the head of an answer. */
struct lab_message
{
  char method[16];
  char url[1024];
  char head[16384]; /* header lines after the first line */
  char *body;       /* allocated; NULL: none */
  size_t body_bytes;
};

bool lab_header (const struct lab_message *message, const char *name,
                 char *value, size_t value_bytes);
uint64_t lab_query (const char *url, const char *name);
bool lab_send (int fd, const void *bytes, size_t count);
bool lab_send_text (int fd, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void lab_free_port (char address[LAB_ADDRESS_BYTES]);
int lab_connect (const char *address);

/* Handles REQUEST; returns false when the connection is to be closed.  */
typedef bool (*lab_handler) (void *context, struct lab_connection *connection,
                             const struct lab_message *request);

struct lab_server;
struct lab_server *lab_serve (lab_handler handler, void *context,
                              char address[LAB_ADDRESS_BYTES]);
void lab_stop_serving (struct lab_server *server);
struct lab_server *lab_serve_at (lab_handler handler, void *context,
                                 const char *address);

/* The platform's store: a log with the operator's and the runners' topics.  */
void lab_store_start (char address[LAB_ADDRESS_BYTES]);
void lab_store_put (const char *topic, const char *key, const char *value);

/* The operator's configuration: a service of engines, "drafter", whose model
   has LAB_LAYERS layers, and a plain one, "registry", with the routes of the
   site ptt-fleet.  Streams may be resumed only if RESUMABLE.  */
#define LAB_LAYERS 8
#define LAB_HOST "ptt.example"
#define LAB_DRAFT_PATH "/draft/"
#define LAB_ISSUE_PATH "/issue/"
#define LAB_READ_PATH "/read/"
#define LAB_KEY "n2ctnfzs989anu6wsjnb"
void lab_publish_config (uint64_t version, bool resumable);
void lab_format_request (char *text, size_t bytes, const char *method,
                         const char *path, const char *id,
                         uint32_t deadline_ms, uint32_t output_tokens);

/* Runners.  */
struct lab_runner;

/* Answers a request that the runner has accepted.  Returns false when the
   connection is to be closed.  */
typedef bool (*lab_run) (struct lab_runner *runner,
                         struct lab_connection *connection,
                         const struct lab_message *request, const char *id);

struct lab_runner
{
  char id[32];
  const char *service;
  const char *kind; /* of accelerator; NULL: a plain service */
  uint32_t slots;
  uint32_t first_layer, end_layer;
  lab_run run;
  char address[LAB_ADDRESS_BYTES];
  uint64_t born_ms;
  uint64_t sequence;
  uint64_t orders;
  uint64_t fence;
  bool listed;
  struct lab_server *server;
  /* Called for an order to hold the layers FIRST to END before it is applied.
     Returns false when the runner has ended instead.  NULL: none.  */
  bool (*ordered) (struct lab_runner *runner, uint32_t first, uint32_t end);
};

void lab_runner_start (struct lab_runner *runner);
bool lab_runner_start_at (struct lab_runner *runner, const char *address);
void lab_runner_end (struct lab_runner *runner);
void lab_runner_unlist (struct lab_runner *runner);
void lab_runners_beat (void);
bool lab_check_path (const struct lab_runner *runner,
                     const struct lab_message *request);
void lab_count_run (const char *id, const char *runner);
uint32_t lab_runs (const char *id);

/* A stream of COUNT events, one every INTERVAL_S, after a first wait of
   FIRST_S.  The run begins with the first event.  */
bool lab_stream (struct lab_runner *runner, struct lab_connection *connection,
                 const char *id, uint32_t count, double first_s,
                 double interval_s, bool chunked);
size_t lab_event (const char *id, uint32_t number, char *text, size_t bytes);

/* Entry daemons, with the settings of platform/settings.yaml.in.  */
struct lab_daemon
{
  const char *name;
  const char *zone;
  char front[LAB_ADDRESS_BYTES];
  char ready[LAB_ADDRESS_BYTES];
  pid_t pid;
};

void lab_daemon_start (struct lab_daemon *daemon, const char *store_address);
void lab_daemon_await_ready (const struct lab_daemon *daemon);
void lab_daemon_signal (const struct lab_daemon *daemon, int number);
bool lab_daemon_await_end (struct lab_daemon *daemon, double limit_s);

/* How the answer to a client's request ended. */
enum lab_ending
{
  LAB_COMPLETE, /* by its length or its last chunk */
  LAB_CLOSED,   /* by the end of the connection, in order */
  LAB_RESET,    /* by a reset, or without a connection */
  LAB_SILENT    /* the client's time was over */
};

struct lab_answer
{
  int status;      /* 0: none */
  bool has_length; /* a length or chunks tell where the body ends */
  enum lab_ending ending;
  char head[16384];
  char *body;
  size_t body_bytes;
};

const char *lab_ending_name (enum lab_ending ending);
void lab_ask (const char *address, const char *request, double patience_s,
              struct lab_answer *answer);
void lab_read_answer (int fd, double patience_s, struct lab_answer *answer);
void lab_answer_clear (struct lab_answer *answer);

#endif
