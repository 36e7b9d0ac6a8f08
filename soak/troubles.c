#include "soak/troubles.h"

#include "base/clock.h"

#include <signal.h>
#include <stdio.h>

/* At most so much goes on at once, and a new thing begins on average after
   this time. */
#define ACTIVE_MAX 4
#define PAUSE_MS 700

/* For this time anything may begin, then as long planned work alone, in which
   the promises with a time are judged. */
#define PHASE_US (10 * CLK_S_US)

/* Once an endpoint is dead, the list goes on naming it for this time. */
#define LISTED_DEAD_US (1200 * CLK_MS_US)

/* A leaving endpoint serves for this time beyond the bound, then it ends. */
#define LEAVING_EXTRA_US (700 * CLK_MS_US)
#define LEAVING_US (1000 * CLK_MS_US)

/* Requests that an endpoint's fault concerns, and the delay of a slow way. */
#define FAULTY_REQUESTS 12
#define DELAY_MS 400

struct kind;

/* Something that goes on. */
struct trouble
{
  const struct kind *kind;
  guint number;  /* in the record, of an unplanned one */
  uint32_t what; /* index of a daemon or endpoint */
  struct spx_proxy *proxy;
  int64_t due_us; /* of the next phase */
  uint32_t phase;
  bool over;
};

struct stb_troubles
{
  struct stb_params params;
  GPtrArray *active; /* struct trouble */
  int64_t began_us;
  int64_t next_us;
  uint64_t version;
  uint32_t extra_key; /* newest that was given out */
  bool key_is_there;
  bool ending;
};

/* A kind of trouble: `step' does the next phase, sets when it is due again, or
   that it is over. */
struct kind
{
  const char *name;
  bool planned;
  void (*step) (struct stb_troubles *, struct trouble *, int64_t now_us);
};

static uint32_t
draw (struct stb_troubles *troubles, uint32_t first, uint32_t end)
{
  return (uint32_t)g_rand_int_range (troubles->params.random, (gint32)first,
                                     (gint32)end);
}

/* Makes TROUBLE go on for FIRST_MS to END_MS.  */
static void
last (struct stb_troubles *troubles, struct trouble *trouble, int64_t now_us,
      uint32_t first_ms, uint32_t end_ms)
{
  trouble->due_us = now_us + draw (troubles, first_ms, end_ms) * CLK_MS_US;
}

static struct sdm_daemon *
draw_daemon (struct stb_troubles *troubles)
{
  const struct sdm_daemons *daemons = troubles->params.daemons;
  return sdm_at (daemons, draw (troubles, 0, daemons->list->len));
}

static void
step_stop (struct stb_troubles *troubles, struct trouble *trouble,
           int64_t now_us)
{
  (void)now_us;
  sdm_stop (draw_daemon (troubles));
  trouble->over = true;
}

static void
step_reload (struct stb_troubles *troubles, struct trouble *trouble,
             int64_t now_us)
{
  (void)now_us;
  const struct sdm_daemon *daemon = draw_daemon (troubles);
  if (daemon->in_rotation)
    {
      sep_signal (daemon->process, SIGHUP);
    }
  trouble->over = true;
}

/* Publishes a configuration that has another extra key than the one before, or
   none.  */
static void
step_publish (struct stb_troubles *troubles, struct trouble *trouble,
              int64_t now_us)
{
  troubles->key_is_there = draw (troubles, 0, 3) > 0;
  troubles->extra_key += troubles->key_is_there;
  troubles->version += draw (troubles, 1, 5);
  g_autofree char *key = g_strdup_printf ("key-%u", troubles->extra_key + 1);
  sfl_publish (troubles->params.fleet, troubles->version,
               troubles->key_is_there ? key : NULL);
  struct srd_change change = {
    .version = troubles->version,
    .extra_key = troubles->key_is_there ? troubles->extra_key : 0,
    .acked_us = now_us,
  };
  g_array_append_val (troubles->params.record->changes, change);
  trouble->over = true;
}

static uint32_t
draw_endpoint (struct stb_troubles *troubles)
{
  return draw (troubles, 0,
               troubles->params.engines + troubles->params.services);
}

/* True when another trouble concerns the endpoint INDEX.  */
static bool
is_taken (const struct stb_troubles *troubles, const struct trouble *own,
          uint32_t index)
{
  for (guint i = 0; i < troubles->active->len; i++)
    {
      const struct trouble *other = g_ptr_array_index (troubles->active, i);
      if (other != own && other->kind->step == own->kind->step
          && other->what == index)
        {
          return true;
        }
    }
  return false;
}

/* An endpoint leaves, ends and comes back as another one.  */
static void
step_leave (struct stb_troubles *troubles, struct trouble *trouble,
            int64_t now_us)
{
  struct sfl_fleet *fleet = troubles->params.fleet;
  GArray *drains = troubles->params.record->drains;
  switch (trouble->phase++)
    {
    case 0:
      trouble->what = draw_endpoint (troubles);
      trouble->over = is_taken (troubles, trouble, trouble->what)
                      || !sfl_is_alive (fleet, trouble->what);
      if (!trouble->over)
        {
          struct srd_drain leaving = { .endpoint = trouble->what,
                                       .acked_us = now_us,
                                       .ended_us = SRD_NEVER };
          g_array_append_val (drains, leaving);
          trouble->number = drains->len - 1;
          sfl_leave (fleet, trouble->what);
          trouble->due_us = now_us + LEAVING_US + LEAVING_EXTRA_US;
        }
      break;
    case 1:
      sfl_remove (fleet, trouble->what);
      if (sfl_is_alive (fleet, trouble->what))
        {
          sfl_kill (fleet, trouble->what);
          sfl_restart (fleet, trouble->what);
        }
      g_array_index (drains, struct srd_drain, trouble->number).ended_us
          = now_us;
      trouble->over = true;
      break;
    default:
      break;
    }
}

/* An endpoint dies, is named for a while, and comes back as another one.  */
static void
step_die (struct stb_troubles *troubles, struct trouble *trouble,
          int64_t now_us)
{
  struct sfl_fleet *fleet = troubles->params.fleet;
  switch (trouble->phase++)
    {
    case 0:
      trouble->what = draw_endpoint (troubles);
      trouble->over = !sfl_is_alive (fleet, trouble->what);
      if (!trouble->over)
        {
          sfl_kill (fleet, trouble->what);
          trouble->due_us = now_us + LISTED_DEAD_US;
        }
      break;
    case 1:
      sfl_remove (fleet, trouble->what);
      last (troubles, trouble, now_us, 100, 2500);
      break;
    default:
      if (!sfl_is_alive (fleet, trouble->what))
        {
          sfl_restart (fleet, trouble->what);
        }
      trouble->over = true;
      break;
    }
}

static void
step_kill (struct stb_troubles *troubles, struct trouble *trouble,
           int64_t now_us)
{
  if (trouble->phase++ == 0)
    {
      sdm_kill (draw_daemon (troubles));
      last (troubles, trouble, now_us, 500, 1000);
      return;
    }
  trouble->over = true;
}

static void
step_pause (struct stb_troubles *troubles, struct trouble *trouble,
            int64_t now_us)
{
  if (trouble->phase++ == 0)
    {
      struct sdm_daemon *daemon = draw_daemon (troubles);
      trouble->what = daemon->index;
      sdm_pause (daemon, true);
      last (troubles, trouble, now_us, 200, 4000);
      return;
    }
  sdm_pause (sdm_at (troubles->params.daemons, trouble->what), false);
  trouble->over = true;
}

/* Endpoints treat their next requests badly.  */
static void
step_fault (struct stb_troubles *troubles, struct trouble *trouble,
            int64_t now_us)
{
  static const enum sfl_fault faults[2][6] = {
    { SFL_REFUSES, SFL_FAILS, SFL_CUTS, SFL_TEARS, SFL_FOREIGN, SFL_MUTE },
    { SFL_REFUSES, SFL_CUTS_MIDWAY, SFL_UNSIGNED, SFL_FOREIGN, SFL_REFUSES,
      SFL_MUTE },
  };
  if (trouble->phase++ == 0)
    {
      bool engines = draw (troubles, 0, 2) == 1;
      trouble->what = engines;
      sfl_set_fault (troubles->params.fleet, engines,
                     faults[engines][draw (troubles, 0, 6)],
                     draw (troubles, 1, FAULTY_REQUESTS));
      last (troubles, trouble, now_us, 500, 2000);
      return;
    }
  sfl_set_fault (troubles->params.fleet, trouble->what == 1, SFL_SOUND, 0);
  trouble->over = true;
}

static void
step_store (struct stb_troubles *troubles, struct trouble *trouble,
            int64_t now_us)
{
  static const enum sfl_store_state states[]
      = { SFL_STORE_REFUSES, SFL_STORE_SILENT, SFL_STORE_LOSES };
  if (trouble->phase++ == 0)
    {
      sfl_set_store (troubles->params.fleet,
                     states[draw (troubles, 0, G_N_ELEMENTS (states))]);
      last (troubles, trouble, now_us, 300, 6000);
      return;
    }
  sfl_set_store (troubles->params.fleet, SFL_STORE_SOUND);
  trouble->over = true;
}

/* The store forgets its history, or deals its partitions anew.  */
static void
step_upset (struct stb_troubles *troubles, struct trouble *trouble,
            int64_t now_us)
{
  (void)now_us;
  if (draw (troubles, 0, 2) == 0)
    {
      sfl_forget_history (troubles->params.fleet);
    }
  else
    {
      sfl_deal_anew (troubles->params.fleet);
    }
  trouble->over = true;
}

/* Spoils the connections of a way; the one to an endpoint, or that of a daemon
   to the store.  */
static void
spoil (struct stb_troubles *troubles, struct trouble *trouble, int64_t now_us,
       struct spx_proxy *proxy)
{
  if (trouble->phase++ == 0)
    {
      trouble->proxy = proxy;
      spx_set_mode (proxy, (enum spx_mode)draw (troubles, 1, SPX_MODES),
                    draw (troubles, 20, DELAY_MS) * CLK_MS_US);
      last (troubles, trouble, now_us, 200, 4000);
      return;
    }
  spx_set_mode (trouble->proxy, SPX_PASS, 0);
  trouble->over = true;
}

static void
step_endpoint_way (struct stb_troubles *troubles, struct trouble *trouble,
                   int64_t now_us)
{
  GPtrArray *proxies = troubles->params.proxies;
  spoil (troubles, trouble, now_us,
         g_ptr_array_index (proxies, draw (troubles, 0, proxies->len)));
}

static void
step_store_way (struct stb_troubles *troubles, struct trouble *trouble,
                int64_t now_us)
{
  spoil (troubles, trouble, now_us, draw_daemon (troubles)->store_proxy);
}

/* Planned work first, which is the first of so many. */
#define PLANNED 5

static const struct kind kinds[] = {
  { "stop", true, step_stop },
  { "reload", true, step_reload },
  { "publish", true, step_publish },
  { "publish", true, step_publish },
  { "leave", true, step_leave },
  { "die", false, step_die },
  { "kill", false, step_kill },
  { "pause", false, step_pause },
  { "fault", false, step_fault },
  { "store", false, step_store },
  { "upset", false, step_upset },
  { "endpoint_way", false, step_endpoint_way },
  { "store_way", false, step_store_way },
};

/* Creates troubles that begin soon.  PARAMS must stay valid.  */
struct stb_troubles *
stb_create (const struct stb_params *params)
{
  struct stb_troubles *troubles = g_new0 (struct stb_troubles, 1);
  troubles->params = *params;
  troubles->active = g_ptr_array_new_with_free_func (g_free);
  troubles->began_us = clk_monotonic_us ();
  troubles->next_us = troubles->began_us + CLK_S_US;
  troubles->version = 1;
  return troubles;
}

/* Frees TROUBLES, which are over.  */
void
stb_destroy (struct stb_troubles *troubles)
{
  g_ptr_array_free (troubles->active, TRUE);
  g_free (troubles);
}

static void
tell (const struct stb_troubles *troubles, const struct trouble *trouble,
      int64_t now_us)
{
  if (troubles->params.verbose)
    {
      printf ("%.3f %s phase %u of %u%s\n", (double)now_us / CLK_S_US,
              trouble->kind->name, trouble->phase, trouble->what,
              trouble->over ? ", over" : "");
    }
}

static void
begin (struct stb_troubles *troubles, int64_t now_us)
{
  struct trouble *trouble = g_new0 (struct trouble, 1);
  bool calm = (now_us - troubles->began_us) / PHASE_US % 2 == 1;
  trouble->kind
      = &kinds[draw (troubles, 0, calm ? PLANNED : G_N_ELEMENTS (kinds))];
  trouble->due_us = now_us;
  if (!trouble->kind->planned)
    {
      trouble->number = srd_begin_fault (troubles->params.record, now_us);
    }
  g_ptr_array_add (troubles->active, trouble);
}

/* Begins, carries on and ends what is due.  */
void
stb_step (struct stb_troubles *troubles, int64_t now_us)
{
  if (!troubles->ending && now_us >= troubles->next_us
      && troubles->active->len < ACTIVE_MAX)
    {
      troubles->next_us
          = now_us + draw (troubles, 1, 2 * PAUSE_MS) * CLK_MS_US;
      begin (troubles, now_us);
    }
  for (guint i = troubles->active->len; i-- > 0;)
    {
      struct trouble *trouble = g_ptr_array_index (troubles->active, i);
      if (now_us < trouble->due_us)
        {
          continue;
        }
      trouble->kind->step (troubles, trouble, now_us);
      tell (troubles, trouble, now_us);
      if (trouble->over)
        {
          if (!trouble->kind->planned)
            {
              srd_end_fault (troubles->params.record, trouble->number, now_us);
            }
          g_ptr_array_remove_index (troubles->active, i);
        }
    }
}

/* Begins nothing more; what goes on ends soon.  */
void
stb_end (struct stb_troubles *troubles, int64_t now_us)
{
  troubles->ending = true;
  for (guint i = 0; i < troubles->active->len; i++)
    {
      struct trouble *trouble = g_ptr_array_index (troubles->active, i);
      if (!trouble->kind->planned)
        {
          trouble->due_us = MIN (trouble->due_us, now_us);
        }
    }
}

/* True once nothing goes on any more.  */
bool
stb_is_over (const struct stb_troubles *troubles)
{
  return troubles->ending && troubles->active->len == 0;
}

/* Returns the extra key that was given out last, whether it is still there or
   not; 0: none was.  */
uint32_t
stb_extra_key (const struct stb_troubles *troubles)
{
  return troubles->extra_key;
}
