#include "process/alarm.h"

/*
 * Sets the GLib source to the deadline. GLib's clock stops while a VM is
 * suspended, so the deadline is given to it as the remaining time.
 */
static void set_ready_time(alarm_t *alarm)
{
	int64_t wait_us = MAX(alarm->at_us - clock_now(&alarm->clock), 0);

	g_source_set_ready_time(alarm->source,
				g_get_monotonic_time() + wait_us);
}

/*
 * Calls the function of the alarm if its deadline has passed on its own clock;
 * otherwise waits for the rest.
 */
static gboolean dispatch(GSource *source, GSourceFunc fn, gpointer data)
{
	alarm_t *alarm = data;

	if (alarm->at_us < 0)
		return G_SOURCE_CONTINUE;
	if (clock_now(&alarm->clock) < alarm->at_us) {
		set_ready_time(alarm);
		return G_SOURCE_CONTINUE;
	}
	alarm_set(alarm, -1);
	alarm->fn(alarm->context);
	return G_SOURCE_CONTINUE;
}

/*
 * Does nothing and is never called. GLib passes data to the dispatch function
 * only if the source has a callback.
 */
static gboolean unused_callback(gpointer data)
{
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_funcs = {.dispatch = dispatch};

/* Sets up an alarm without a deadline in the thread-default main context. */
void alarm_init(alarm_t *alarm, clock_source_t clock, alarm_fn_t fn,
		void *context)
{
	*alarm = (alarm_t){.clock = clock, .fn = fn, .context = context};
	alarm->at_us = -1;
	alarm->source = g_source_new(&source_funcs, sizeof(GSource));
	g_source_set_callback(alarm->source, unused_callback, alarm, NULL);
	g_source_attach(alarm->source, g_main_context_get_thread_default());
}

/*
 * Sets the deadline in microseconds, which replaces an earlier one; -1 clears
 * it. The function is called once, at or after the deadline.
 */
void alarm_set(alarm_t *alarm, int64_t at_us)
{
	alarm->at_us = at_us;
	if (at_us < 0)
		g_source_set_ready_time(alarm->source, -1);
	else
		set_ready_time(alarm);
}

/*
 * Removes the alarm. Allowed for an alarm that is all zeros and was never set
 * up.
 */
void alarm_finish(alarm_t *alarm)
{
	if (!alarm->source)
		return;
	g_source_destroy(alarm->source);
	g_source_unref(alarm->source);
	alarm->source = NULL;
}
