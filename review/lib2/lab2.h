/* Stand-ins for the scripts of the second review: the platform's store,
   runners of a plain service, an entry daemon as a process and clients, all on
   loopback.  Every connection to a stand-in is served by a thread.  Failures
   of the laboratory itself end the program with the status 2. */
#ifndef LAB2_H
#define LAB2_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define LAB_HOST "lab.example"
#define LAB_KEY "key-of-the-lab"
#define LAB_KEYS "\"" LAB_KEY "\""

/* A text that grows. */
struct lab_text
{
  char *data;
  size_t length;
  size_t capacity;
};

/* A request as a stand-in has read it. */
struct lab_request
{
  char *head; /* start line and header lines, each with CRLF */
  char *body;
  size_t body_bytes;
};

/* An entry daemon.  Set `name' and, unless the store's own address is meant,
   `store_port' before the start; `relays' is a list of addresses as in the
   settings. */
struct lab_daemon
{
  const char *name;
  const char *relays; /* NULL: none */
  uint16_t store_port;
  uint16_t caller_port;
  uint16_t ready_port;
  pid_t pid; /* 0: not running */
  char settings_path[256];
};

/* The answer that a client has read. */
struct lab_answer
{
  int status;    /* 0: none */
  bool complete; /* the end of the body has arrived */
  bool closed;   /* the connection ended */
  int64_t sent_ms;
  int64_t answered_ms; /* 0: not yet */
  char *head;
  char *body;
};

/* What a runner does with a request: answers it on DESCRIPTOR.  Returns
   whether the connection stays open.  */
typedef bool (*lab_run) (int descriptor, const struct lab_request *request,
                         void *context);

/* base.c */
int64_t lab_now_ms (void);
void lab_sleep_ms (int64_t duration_ms);
void lab_fail (const char *format, ...);
bool lab_has_trouble (void);
void lab_open_record (void);
void lab_record (const char *format, ...);
void lab_append (struct lab_text *text, const void *data, size_t bytes);
void lab_print (struct lab_text *text, const char *format, ...);
char *lab_header (const char *head, const char *name);
uint16_t lab_listen (int *listener);
void lab_start_thread (void *(*run) (void *), void *context);
bool lab_write (int descriptor, const void *data, size_t bytes);
bool lab_read_request (int descriptor, struct lab_text *unread,
                       struct lab_request *request);
void lab_clear_request (struct lab_request *request);

/* store.c */
void lab_start_store (void);
uint16_t lab_store_port (void);
void lab_publish (const char *topic, const char *key, const char *value);
void lab_set_store_away (bool is_away);
void lab_set_store_busy (bool is_busy);
void lab_restore_store (int64_t age_ms, int64_t rewrite_ms);

/* proxy.c */
uint16_t lab_start_proxy (void);
void lab_set_cut (bool is_cut);
int64_t lab_newest_list_ms (void);

/* runner.c */
uint16_t lab_start_runner (const char *id, lab_run run, void *context);

/* daemon.c */
void lab_publish_config (int64_t version, int64_t timeout_ms,
                         const char *keys);
uint16_t lab_free_port (void);
void lab_start_daemon (struct lab_daemon *daemon);
void lab_await_ready (struct lab_daemon *daemon);
bool lab_daemon_runs (struct lab_daemon *daemon);
bool lab_reap (struct lab_daemon *daemon, int *signal_number);
int lab_probe_ready (const struct lab_daemon *daemon, int64_t timeout_ms);
void lab_end_daemons (void);

/* client.c */
int lab_connect (uint16_t port);
bool lab_read_answer (int descriptor, int64_t until_ms,
                      struct lab_answer *answer);
void lab_clear_answer (struct lab_answer *answer);

#endif
