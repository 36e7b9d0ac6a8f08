#include "entry/load_exchange.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/fleet_known.h"
#include "entry/load_message.h"
#include "entry/passing.h"
#include "entry/path_choosing.h"
#include "net/call.h"

#include <string.h>

/* Interval between two statements.  An aggregator holds its answer for this
   long, so the next statement follows the answer. */
#define INTERVAL_US (400 * CLK_MS_US)

/* Shortest time between two statements, however many deaths there are. */
#define INTERVAL_MIN_US (20 * CLK_MS_US)

/* An aggregator that hasn't answered so long after its answer was due is
   left. */
#define ANSWER_TIMEOUT_MS 400

/* How long a relay that didn't answer isn't asked, and one whose software
   doesn't know statements. */
#define FAILED_US (2 * CLK_S_US)
#define UNABLE_US (10 * CLK_S_US)

/* Statements are sent for this long after the newest stream. */
#define ACTIVE_US (2 * CLK_S_US)

#define ANSWER_BYTES_MAX ((size_t)1024 * 1024)

/* At most one of so many endpoints of a service is avoided for the report of
   one daemon at a time. */
#define SUSPECTS_DIVISOR 4

/* Limits of the connections to aggregators. */
#define IDLE_MAX_US (8 * CLK_S_US)
#define IDLE_MARGIN_US (1 * CLK_S_US)

/* A relay of the settings. */
struct relay
{
  const char *address;
  int64_t skipped_until_us; /* monotonic */
};

/* What is known of the death of one incarnation of an engine. */
struct death
{
  char *id;
  int64_t born_ms;
  int64_t found_us;         /* monotonic, by the newest report */
  uint32_t reporters;       /* in the newest answer */
  enum fkn_verdict verdict; /* that the owner has been told */
  bool own;                 /* this daemon has found it dead itself */
  int64_t own_found_us;
};

struct lex_exchange
{
  struct trf_traffic *traffic;
  lex_dead dead;
  void *context;
  struct ncl_client *client;
  uv_timer_t timer;      /* for the next statement */
  GArray *relays;        /* struct relay, in the order of the settings */
  struct relay *relay;   /* that answered last; NULL: none */
  struct relay *asked;   /* by the call in progress */
  struct cal_call *call; /* NULL: none in progress */
  uint64_t sequence;     /* of the newest statement */
  int64_t sent_us;       /* monotonic, newest statement */
  GPtrArray *stated;     /* struct fst_endpoint: references, of `parts' */
  GArray *parts;         /* struct flo_part, of the newest statement */
  struct fkn_known *known;
  uint64_t deaths_version; /* of the newest answer of `relay' */
  GPtrArray *deaths;       /* struct death */
  uint64_t arrived[FLT_RANKS_MAX];
  int64_t active_us; /* monotonic, newest stream; 0: none yet */
  bool crowded;      /* statements are sent only then */
  bool lost;         /* no relay answers */
};

/* Returns whether the requests of SERVICE take paths through engines, whose
   load is exchanged.  */
static bool
has_paths (const struct lex_exchange *exchange, uint32_t service)
{
  const struct flt_config *config = fst_config (exchange->traffic->fleet);
  return config != NULL && service < config->service_count
         && flt_has_paths (&config->services[service]);
}

static void
destroy_death (gpointer data)
{
  struct death *death = data;
  g_free (death->id);
  g_free (death);
}

/* Returns what is known of the death of the engine ID that started at BORN_MS,
   or NULL.  */
static struct death *
find_death (const struct lex_exchange *exchange, const char *id,
            int64_t born_ms)
{
  for (guint i = 0; i < exchange->deaths->len; i++)
    {
      struct death *death = g_ptr_array_index (exchange->deaths, i);
      if (death->born_ms == born_ms && strcmp (death->id, id) == 0)
        {
          return death;
        }
    }
  return NULL;
}

/* Like find_death, but adds one that isn't known; NULL if there are too many.
 */
static struct death *
add_death (struct lex_exchange *exchange, const char *id, int64_t born_ms)
{
  struct death *death = find_death (exchange, id, born_ms);
  if (death == NULL && exchange->deaths->len < FLO_DEATHS_MAX)
    {
      death = g_new0 (struct death, 1);
      death->id = g_strdup (id);
      death->born_ms = born_ms;
      g_ptr_array_add (exchange->deaths, death);
    }
  return death;
}

/* Describes DEATH, found at FOUND_US, with what calls to its engine show.
   Returns false when the engine isn't known here in that incarnation.  */
static bool
describe (const struct lex_exchange *exchange, const struct death *death,
          int64_t found_us, struct fkn_report *report)
{
  const struct fst_endpoint *engine
      = fst_find_id (exchange->traffic->fleet, death->id);
  if (engine == NULL || engine->born_ms != death->born_ms)
    {
      return false;
    }
  *report = (struct fkn_report){
    .reporters = death->reporters,
    .found_us = found_us,
    .progressed_us = engine->evidence.progressed_us,
    .answered_us = engine->answered_us,
    .cut_off = psg_is_cut_off (exchange->traffic, engine->service),
  };
  return true;
}

/* Sets REPORT to what this daemon states of DEATH at NOW_US: that it has found
   the engine dead itself, or that the engine answers.  Returns false when it
   states neither.  A daemon that is cut off doesn't know which are dead.  */
static bool
make_report (const struct lex_exchange *exchange, const struct death *death,
             int64_t now_us, struct flo_report *report)
{
  struct fkn_report shown;
  int64_t found_us = death->own ? MAX (death->own_found_us, death->found_us)
                                : death->found_us;
  if (!describe (exchange, death, found_us, &shown))
    {
      return false;
    }
  bool alive = fkn_is_disproved (&shown);
  int64_t since_us = alive ? MAX (shown.answered_us, shown.progressed_us)
                           : death->own_found_us;
  *report = (struct flo_report){
    .id = death->id,
    .born_ms = death->born_ms,
    .age_us = MAX (now_us - since_us, 0),
    .alive = alive,
  };
  return alive || (death->own && !shown.cut_off);
}

/* Forgets the deaths that are too old at NOW_US.  */
static void
expire_deaths (struct lex_exchange *exchange, int64_t now_us)
{
  for (guint i = exchange->deaths->len; i-- > 0;)
    {
      const struct death *death = g_ptr_array_index (exchange->deaths, i);
      if (now_us - MAX (death->found_us, death->own_found_us) >= FLO_DEATH_US)
        {
          g_ptr_array_remove_index_fast (exchange->deaths, i);
        }
    }
}

/* Sets the parts of the next statement.  Their engines are kept until the one
   after it.  */
static void
set_parts (struct lex_exchange *exchange)
{
  g_array_set_size (exchange->parts, 0);
  g_ptr_array_set_size (exchange->stated, 0);
  fst_list_first (exchange->traffic->fleet, exchange->stated);
  for (guint i = 0; i < MIN (exchange->stated->len, FLO_PARTS_MAX); i++)
    {
      const struct fst_endpoint *engine
          = g_ptr_array_index (exchange->stated, i);
      struct flo_part part = {
        .id = engine->id,
        .born_ms = engine->born_ms,
        .requests = MIN (engine->first_requests, FLO_REQUESTS_MAX),
      };
      pcs_count_waiting (engine, part.waiting);
      g_array_append_val (exchange->parts, part);
    }
}

/* Returns the reports of the next statement, struct flo_report.  The caller
   frees them.  */
static GArray *
list_reports (struct lex_exchange *exchange, int64_t now_us)
{
  GArray *reports = g_array_new (FALSE, FALSE, sizeof (struct flo_report));
  expire_deaths (exchange, now_us);
  for (guint i = 0; i < exchange->deaths->len; i++)
    {
      struct flo_report report;
      if (make_report (exchange, g_ptr_array_index (exchange->deaths, i),
                       now_us, &report))
        {
          g_array_append_val (reports, report);
        }
    }
  return reports;
}

/* Returns the first relay that may be asked at NOW_US, or NULL.  */
static struct relay *
choose_relay (const struct lex_exchange *exchange, int64_t now_us)
{
  for (guint i = 0; i < exchange->relays->len; i++)
    {
      struct relay *relay = &g_array_index (exchange->relays, struct relay, i);
      if (now_us >= relay->skipped_until_us)
        {
          return relay;
        }
    }
  return NULL;
}

static void on_timer (uv_timer_t *timer);

/* Makes the next statement follow at WHEN_US.  */
static void
schedule (struct lex_exchange *exchange, int64_t when_us, int64_t now_us)
{
  int64_t delay_us = MAX (when_us - now_us, 0);
  uv_timer_start (&exchange->timer, on_timer,
                  (uint64_t)((delay_us + CLK_MS_US - 1) / CLK_MS_US), 0);
}

/* Returns whether one more engine may be suspect.  A daemon that is cut off
   reports all engines before it knows that it is; others then don't avoid
   most of them.  */
static bool
may_suspect (const struct lex_exchange *exchange, const struct death *death)
{
  const struct fst_endpoint *engine
      = fst_find_id (exchange->traffic->fleet, death->id);
  uint32_t engines
      = fst_endpoint_count (exchange->traffic->fleet, engine->service);
  uint32_t suspects = 0;
  for (guint i = 0; i < exchange->deaths->len; i++)
    {
      const struct death *known = g_ptr_array_index (exchange->deaths, i);
      suspects += known->verdict == FKN_SUSPECT;
    }
  return suspects < MAX (engines / SUSPECTS_DIVISOR, 1);
}

/* Tells the owner of DEATH if what this daemon makes of it at NOW_US is more
   than it was before.  */
static void
judge (struct lex_exchange *exchange, struct death *death, int64_t now_us)
{
  struct fkn_report report;
  if (!describe (exchange, death, death->found_us, &report))
    {
      return;
    }
  enum fkn_verdict verdict = fkn_judge (&report, now_us);
  if (verdict <= death->verdict
      || (verdict == FKN_SUSPECT
          && (death->own || !may_suspect (exchange, death))))
    {
      return;
    }
  death->verdict = verdict;
  bool confirmed = verdict == FKN_CONFIRMED;
  cnt_add (confirmed ? exchange->traffic->metrics->deaths_confirmed
                     : exchange->traffic->metrics->deaths_suspected,
           1);
  lg_line (LOG_NOTICE,
           confirmed ? "endpoint_dead_elsewhere" : "endpoint_suspect",
           "endpoint=%s born_ms=%ld reporters=%u age_ms=%ld own=%d", death->id,
           (long)death->born_ms, death->reporters,
           (long)((now_us - death->found_us) / CLK_MS_US), death->own);
  exchange->dead (exchange->context, death->id, death->born_ms, confirmed,
                  death->found_us);
}

/* Judges all deaths at NOW_US.  One that was ignored since a stream went on
   may count a moment later.  */
static void
judge_all (struct lex_exchange *exchange, int64_t now_us)
{
  for (guint i = 0; i < exchange->deaths->len; i++)
    {
      judge (exchange, g_ptr_array_index (exchange->deaths, i), now_us);
    }
}

/* Takes the deaths of ANSWER.  Those that it doesn't name any more have
   ended.  */
static void
take_deaths (struct lex_exchange *exchange, const struct lmg_answer *answer,
             int64_t now_us)
{
  for (guint i = 0; i < exchange->deaths->len; i++)
    {
      struct death *death = g_ptr_array_index (exchange->deaths, i);
      death->reporters = 0;
    }
  for (guint i = 0; i < answer->deaths->len; i++)
    {
      const struct flo_death *stated
          = &g_array_index (answer->deaths, struct flo_death, i);
      struct death *death = add_death (exchange, stated->id, stated->born_ms);
      if (death != NULL)
        {
          death->reporters = stated->reporters;
          death->found_us = now_us - stated->age_us;
        }
    }
  for (guint i = exchange->deaths->len; i-- > 0;)
    {
      const struct death *death = g_ptr_array_index (exchange->deaths, i);
      if (death->reporters == 0 && !death->own)
        {
          g_ptr_array_remove_index_fast (exchange->deaths, i);
        }
    }
  judge_all (exchange, now_us);
}

/* Handles an answer of the relay that was asked.  */
static void
handle_answer (struct lex_exchange *exchange, const struct lmg_answer *answer,
               int64_t now_us)
{
  if (exchange->relay != exchange->asked || exchange->lost)
    {
      lg_line (LOG_NOTICE,
               exchange->lost ? "load_exchange_regained"
                              : "load_aggregator_changed",
               "relay=%s daemons=%u age_ms=%ld", exchange->asked->address,
               answer->known.daemons,
               (long)(fkn_age_us (exchange->known, now_us) / CLK_MS_US));
      cnt_add (exchange->traffic->metrics->aggregator_changes, 1);
    }
  exchange->relay = exchange->asked;
  exchange->lost = false;
  exchange->deaths_version = answer->deaths_version;
  fkn_apply (exchange->known, &answer->known,
             (const struct flo_part *)(const void *)exchange->parts->data,
             exchange->parts->len, now_us);
  take_deaths (exchange, answer, now_us);
}

/* Handles that the relay that was asked has no usable answer, for the reason
   WHY.  */
static void
handle_failure (struct lex_exchange *exchange, uint32_t status,
                const char *why, int64_t now_us)
{
  /* Earlier builds take only short bodies. */
  bool unable = status == HTTP_STATUS_NOT_FOUND
                || status == HTTP_STATUS_PAYLOAD_TOO_LARGE;
  exchange->asked->skipped_until_us
      = now_us + (unable ? UNABLE_US : FAILED_US);
  lg_line (LOG_INFO, "load_aggregator_left", "relay=%s status=%u why=\"%s\"",
           exchange->asked->address, status, why);
  if (choose_relay (exchange, now_us) == NULL && !exchange->lost)
    {
      exchange->lost = true;
      exchange->relay = NULL;
      cnt_add (exchange->traffic->metrics->exchange_losses, 1);
      lg_line (LOG_NOTICE, "load_exchange_lost", "relay=%s age_ms=%ld",
               exchange->asked->address,
               (long)(fkn_age_us (exchange->known, now_us) / CLK_MS_US));
    }
}

static void
on_answer (void *context, uint32_t status, const uint8_t *body,
           size_t body_bytes, const char *why)
{
  struct lex_exchange *exchange = context;
  int64_t now_us = clk_monotonic_us ();
  struct lmg_answer answer;
  exchange->call = NULL;
  if (status == HTTP_STATUS_OK && lmg_read_answer (body, body_bytes, &answer))
    {
      handle_answer (exchange, &answer, now_us);
      lmg_clear_answer (&answer);
    }
  else
    {
      handle_failure (exchange, status,
                      status == HTTP_STATUS_OK ? "no valid answer" : why,
                      now_us);
    }
  schedule (exchange, exchange->sent_us + INTERVAL_MIN_US, now_us);
}

/* Sends a statement to RELAY.  The first one to a relay is answered at once,
   so that it shows soon whether the relay serves.  */
static void
send_statement (struct lex_exchange *exchange, struct relay *relay,
                int64_t now_us)
{
  bool known = relay == exchange->relay;
  uint32_t wait_ms = known ? INTERVAL_US / CLK_MS_US : 0;
  set_parts (exchange);
  g_autoptr (GArray) reports = list_reports (exchange, now_us);
  struct lmg_request request = {
    .statement = {
      .name = exchange->traffic->settings->name,
      .sequence = ++exchange->sequence,
      .parts = (const struct flo_part *)(const void *)exchange->parts->data,
      .part_count = exchange->parts->len,
      .reports = (const struct flo_report *)(const void *)reports->data,
      .report_count = reports->len,
    },
    .wait_ms = wait_ms,
    .deaths_version = known ? exchange->deaths_version : 0,
  };
  memcpy (request.statement.arrived, exchange->arrived,
          sizeof exchange->arrived);
  g_autoptr (GByteArray) data = lmg_pack_request (&request);
  const struct cal_params params = {
    .client = exchange->client,
    .loop = exchange->traffic->loop,
    .address = relay->address,
    .method = "POST",
    .path = LMG_PATH,
    .reuses_connection = true,
    .data = data->data,
    .data_bytes = data->len,
    .timeout_ms = wait_ms + ANSWER_TIMEOUT_MS,
    .answer_bytes_max = ANSWER_BYTES_MAX,
    .done = on_answer,
    .context = exchange,
  };
  exchange->asked = relay;
  exchange->sent_us = now_us;
  exchange->call = cal_send (&params);
}

/* True when this daemon serves streams, or did so lately, in a crowded
   fleet.  */
static bool
is_active (const struct lex_exchange *exchange, int64_t now_us)
{
  return exchange->crowded && exchange->active_us != 0
         && now_us - exchange->active_us < ACTIVE_US;
}

/* Sends the next statement, unless one waits for its answer or none is due.  A
   relay that doesn't answer is followed by the next one at once.  */
static void
on_timer (uv_timer_t *timer)
{
  struct lex_exchange *exchange = timer->data;
  int64_t now_us = clk_monotonic_us ();
  struct relay *relay = choose_relay (exchange, now_us);
  if (exchange->call == NULL && relay != NULL && is_active (exchange, now_us))
    {
      send_statement (exchange, relay, now_us);
    }
}

/* Returns the exchange of TRAFFIC, which calls DEAD with CONTEXT when others
   report an engine dead.  TRAFFIC must outlive the result.  */
struct lex_exchange *
lex_create (struct trf_traffic *traffic, lex_dead dead, void *context)
{
  const struct ncl_params client_params = {
    .idle_max_us = IDLE_MAX_US,
    .idle_margin_us = IDLE_MARGIN_US,
    .connect_timeout_us = ANSWER_TIMEOUT_MS * CLK_MS_US,
    .user_timeout_ms = ANSWER_TIMEOUT_MS,
    .idle_connections_max = 1,
  };
  struct lex_exchange *exchange = g_new0 (struct lex_exchange, 1);
  exchange->traffic = traffic;
  exchange->dead = dead;
  exchange->context = context;
  exchange->client = ncl_create (traffic->loop, &client_params);
  exchange->relays = g_array_new (FALSE, FALSE, sizeof (struct relay));
  char **addresses = traffic->settings->relays;
  for (guint i = 0; addresses != NULL && addresses[i] != NULL; i++)
    {
      const struct relay relay = { .address = addresses[i] };
      g_array_append_val (exchange->relays, relay);
    }
  exchange->stated
      = g_ptr_array_new_with_free_func ((GDestroyNotify)fst_release);
  exchange->parts = g_array_new (FALSE, FALSE, sizeof (struct flo_part));
  exchange->known = fkn_create ();
  exchange->deaths = g_ptr_array_new_with_free_func (destroy_death);
  /* The sequence must rise over restarts, too. */
  exchange->sequence = (uint64_t)clk_real_us ();
  uv_timer_init (traffic->loop, &exchange->timer);
  exchange->timer.data = exchange;
  return exchange;
}

static void
on_timer_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

/* Closes EXCHANGE; the loop must run once more to free it.  */
void
lex_destroy (struct lex_exchange *exchange)
{
  if (exchange->call != NULL)
    {
      cal_cancel (exchange->call);
    }
  ncl_destroy (exchange->client);
  fkn_destroy (exchange->known);
  g_ptr_array_free (exchange->stated, TRUE);
  g_ptr_array_free (exchange->deaths, TRUE);
  g_array_free (exchange->parts, TRUE);
  g_array_free (exchange->relays, TRUE);
  uv_close ((uv_handle_t *)&exchange->timer, on_timer_closed);
}

/* Does what is due at NOW_US; called at each sweep.  CROWDED: the fleet has so
   many daemons that they exchange their load.  */
void
lex_step (struct lex_exchange *exchange, bool crowded, int64_t now_us)
{
  exchange->crowded = crowded;
  ncl_expire (exchange->client, now_us);
  if (fst_has_streams (exchange->traffic->fleet))
    {
      exchange->active_us = now_us;
    }
  expire_deaths (exchange, now_us);
  judge_all (exchange, now_us);
  if (exchange->call == NULL && is_active (exchange, now_us)
      && !uv_is_active ((uv_handle_t *)&exchange->timer))
    {
      schedule (exchange, exchange->sent_us + INTERVAL_US, now_us);
    }
}

/* Counts a request with the rank index RANK that arrived, if the requests of
   SERVICE take paths through engines.  */
void
lex_count_arrival (struct lex_exchange *exchange, uint32_t service,
                   uint32_t rank, int64_t now_us)
{
  if (has_paths (exchange, service))
    {
      exchange->arrived[MIN (rank, FLT_RANKS_MAX - 1)]++;
      exchange->active_us = now_us;
    }
}

/* Takes a failure of KIND of ENDPOINT that this daemon's own calls have shown.
   If it means that an engine is dead, others are told at once: that one is
   found dead, or that another engine couldn't reach it and it is avoided from
   now on, IN_BACKOFF.  */
void
lex_report_failure (struct lex_exchange *exchange,
                    const struct fst_endpoint *endpoint,
                    enum evd_failure_kind kind, bool in_backoff,
                    int64_t now_us)
{
  bool is_death = kind == EVD_DEAD || (kind == EVD_UNAVAILABLE && in_backoff);
  if (!is_death || !exchange->crowded || !endpoint->listed
      || !has_paths (exchange, endpoint->service)
      || psg_is_cut_off (exchange->traffic, endpoint->service))
    {
      return;
    }
  struct death *death = add_death (exchange, endpoint->id, endpoint->born_ms);
  if (death == NULL)
    {
      return;
    }
  bool was_own = death->own;
  death->own = true;
  death->own_found_us = now_us;
  if (was_own || !is_active (exchange, now_us))
    {
      return;
    }
  cnt_add (exchange->traffic->metrics->deaths_told, 1);
  lg_line (LOG_NOTICE, "endpoint_death_told", "endpoint=%s born_ms=%ld",
           endpoint->id, (long)endpoint->born_ms);
  if (exchange->call != NULL)
    {
      cal_cancel (exchange->call);
      exchange->call = NULL;
    }
  schedule (exchange, exchange->sent_us + INTERVAL_MIN_US, now_us);
}

/* Sets TOTAL to the other daemons' requests at ENDPOINT, at which paths begin.
   Returns false when nothing recent is known.  */
bool
lex_total (const struct lex_exchange *exchange,
           const struct fst_endpoint *endpoint, int64_t now_us,
           struct flo_total *total)
{
  return fkn_total (exchange->known, endpoint->id, endpoint->born_ms, now_us,
                    total);
}

/* Sets PER_S to the arrivals a second at all daemons, by rank index.  Returns
   false when nothing recent is known.  */
bool
lex_rates (const struct lex_exchange *exchange, int64_t now_us,
           double per_s[FLT_RANKS_MAX])
{
  return fkn_rates (exchange->known, now_us, per_s);
}

/* Updates the gauges of the exchange as of NOW_US.  */
void
lex_update_gauges (const struct lex_exchange *exchange, int64_t now_us)
{
  const struct emt_metrics *metrics = exchange->traffic->metrics;
  bool current = fkn_is_current (exchange->known, now_us);
  int64_t age_us = fkn_age_us (exchange->known, now_us);
  cnt_set_gauge (metrics->load_age_ms, age_us < 0 ? -1 : age_us / CLK_MS_US);
  cnt_set_gauge (metrics->load_daemons,
                 current ? fkn_daemons (exchange->known) : 0);
  cnt_set_gauge (metrics->load_elsewhere,
                 current ? fkn_requests (exchange->known) : 0);
}
