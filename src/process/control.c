#include "process/control.h"

#include "process/log.h"

/* Engines move between pools and models, and tokens of different rows could
 * not be compared, so the engines of a zone have one lease.
 */
#define LEASE_PREFIX "lease/"
#define LEASE_NAME "engines"
#define VERSION_WORD "version "
/* Above the time of a call without faults; the lease's deadline is not
 * affected.
 */
#define LEASE_CALL_US (2 * CLOCK_US_PER_S)

static bool holds(const control_t *control)
{
	return control->lease.holding;
}

static void step(control_t *control);

static lease_call_outcome_t call_outcome(platform_outcome_t outcome)
{
	switch (outcome) {
	case PLATFORM_DONE:
		return LEASE_CALL_DONE;
	case PLATFORM_CONDITION_FAILED:
	case PLATFORM_NOT_FOUND:
		return LEASE_CALL_REFUSED;
	case PLATFORM_REJECTED:
	case PLATFORM_NOT_SENT:
		return LEASE_CALL_NOT_SENT;
	case PLATFORM_UNKNOWN:
		break;
	}
	return LEASE_CALL_UNKNOWN;
}

static void lease_read(void *context, const platform_answer_t *answer)
{
	control_t *control = context;
	str_t value = {NULL, 0};

	control->lease_call = NULL;
	if (answer->body)
		value.data = g_bytes_get_data(answer->body, &value.len);
	lease_on_read(&control->lease, clock_now(&control->clock),
		      call_outcome(answer->outcome), answer->version, value);
	step(control);
}

static void lease_written(void *context, const platform_answer_t *answer)
{
	control_t *control = context;
	int64_t now_us = clock_now(&control->clock);

	control->lease_call = NULL;
	lease_on_write(&control->lease, now_us, call_outcome(answer->outcome),
		       answer->version);
	if (answer->outcome == PLATFORM_DONE)
		order_note_published(&control->orders,
				     str_from_gstring(control->written_note),
				     now_us);
	step(control);
}

/* Reads the configuration version of a holder from the first line of its note;
 * 0 when there is none.
 */
static uint64_t noted_version(str_t note)
{
	str_t digits = {note.data, note.len};
	uint64_t version = 0;

	if (!str_has_prefix(note, STR(VERSION_WORD)))
		return 0;
	digits.data += strlen(VERSION_WORD);
	digits.len -= strlen(VERSION_WORD);
	for (; digits.len > 0 && g_ascii_isdigit(*digits.data);
	     digits.data++, digits.len--)
		version = version * 10 + (uint64_t)(*digits.data - '0');
	return version;
}

/* Prepares the note for the next write. A process that does not hold the lease
 * takes over what the last holder left; it does not take the lease while its
 * configuration is older than the last holder's, so that orders never revert.
 */
static void prepare_note(control_t *control, int64_t now_us)
{
	uint64_t version = control->state ? control->state->version : 0;
	GString *note = g_string_new(NULL);

	if (!holds(control) && control->lease.row_current) {
		order_read_note(&control->orders, control->lease.row.note);
		control->lease.blocked =
			noted_version(control->lease.row.note) > version;
	}
	g_string_append_printf(note, VERSION_WORD "%" G_GUINT64_FORMAT "\n",
			       version);
	order_print_note(&control->orders, note);
	if (!g_string_equal(note, control->lease.note)) {
		lease_set_note(&control->lease, str_from_gstring(note));
		lease_renew(&control->lease, now_us);
	}
	g_string_free(note, TRUE);
}

static void run_lease(control_t *control)
{
	int64_t now_us = clock_now(&control->clock);
	lease_action_t action;

	prepare_note(control, now_us);
	action = lease_step(&control->lease, now_us);
	if (action.kind == LEASE_READ) {
		control->lease_call = platform_get(control->platform,
						   control->key,
						   now_us + LEASE_CALL_US,
						   lease_read, control);
	} else if (action.kind == LEASE_WRITE) {
		GBytes *value =
			g_bytes_new(action.value->str, action.value->len);

		g_string_assign(control->written_note,
				control->lease.note->str);
		/* Sent once; the state machine reads back after a lost answer.
		 */
		control->lease_call = platform_put_once(control->platform,
							control->key, value,
							action.expected_version,
							now_us + LEASE_CALL_US,
							lease_written, control);
		g_bytes_unref(value);
	}
}

/* Starts afresh under a new token, or after a token was refused. */
static void check_token(control_t *control)
{
	if (control->token == control->lease.token &&
	    !control->orders.token_refused)
		return;
	if (control->token != control->lease.token)
		log_event(LOG_INFO, "lease_held", LOG_CSTR("key", control->key),
			  LOG_UINT("token", control->lease.token));
	control->token = control->lease.token;
	order_forget_sent(&control->orders);
}

static void add_drain(control_t *control, GHashTable *names, str_t line)
{
	static const char word[] = "draining ";
	str_t prefix = {word, sizeof(word) - 1};

	if (str_has_prefix(line, prefix))
		g_hash_table_add(names, g_strndup(line.data + prefix.len,
						  line.len - prefix.len));
}

static void add_drains(control_t *control, GHashTable *names, const char *value)
{
	lease_row_t row;
	char *note;
	char **lines;

	if (!lease_row_parse(str_from(value), &row) || !row.held)
		return;
	note = str_dup(row.note);
	lines = g_strsplit(note, "\n", -1);
	for (char **line = lines; *line; line++)
		add_drain(control, names, str_from(*line));
	g_strfreev(lines);
	g_free(note);
}

static bool same_names(GHashTable *a, GHashTable *b)
{
	GHashTableIter iter;
	gpointer key;

	if (g_hash_table_size(a) != g_hash_table_size(b))
		return false;
	g_hash_table_iter_init(&iter, a);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (!g_hash_table_contains(b, key))
			return false;
	}
	return true;
}

static void drains_read(void *context, const platform_answer_t *answer)
{
	control_t *control = context;
	GHashTable *names;
	bool changed;

	control->draining_read_call = NULL;
	if (answer->outcome != PLATFORM_DONE)
		return;
	names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (guint i = 0; i < answer->rows->len; i++)
		add_drains(
			control, names,
			g_array_index(answer->rows, platform_row_t, i).value);
	changed = !same_names(names, control->draining);
	g_hash_table_unref(control->draining);
	control->draining = names;
	if (changed && control->draining_changed)
		control->draining_changed(control->context);
}

static void read_drains(control_t *control, int64_t now_us)
{
	if (now_us < control->next_draining_read_us ||
	    control->draining_read_call)
		return;
	control->next_draining_read_us =
		now_us + CONTROL_DRAINING_READ_INTERVAL_US;
	control->draining_read_call =
		platform_list(control->platform, LEASE_PREFIX,
			      now_us + CONTROL_DRAINING_READ_INTERVAL_US,
			      drains_read, control);
}

/* Whether this process is the one of the zone that is to hold the lease. A
 * holder keeps it until the member that is to have it knows the configuration.
 */
static bool is_wanted(const control_t *control)
{
	const fleet_t *fleet = control->fleet;
	const member_t *owner = fleet_owner(fleet, control->settings->zone,
					    str_from(control->key));

	if (!control->state || !owner)
		return false;
	return fleet_is_self(fleet, owner) ||
	       (holds(control) && !fleet->members.self.leaving &&
		owner->config_version < control->state->version);
}

/* Does what is due, in an order that lets orders follow a renewal at once. */
static void step(control_t *control)
{
	int64_t now_us = clock_now(&control->clock);
	int64_t next_us;

	lease_set_wanted(&control->lease, is_wanted(control), now_us);
	run_lease(control);
	if (lease_may_send(&control->lease, clock_now(&control->clock)))
		check_token(control);
	control_send_orders(control);
	next_us = MIN(lease_next_us(&control->lease),
		      control->next_draining_read_us);
	if (holds(control))
		next_us = MIN(next_us, now_us + CONTROL_TICK_INTERVAL_US);
	/* A call in progress comes back by itself. */
	alarm_set(&control->alarm, MAX(next_us, now_us + CLOCK_US_PER_MS));
}

static void tick(void *context)
{
	control_t *control = context;
	int64_t now_us = clock_now(&control->clock);

	read_drains(control, now_us);
	if (holds(control)) {
		control_poll(control);
		control_set_demand(control, now_us);
	}
	step(control);
}

/*
 * Starts without a state: drains are read, and no lease is taken. Everything
 * passed is borrowed. The function is called when the set of draining engines
 * has changed.
 */
void control_init(control_t *control, const settings_t *settings,
		  fleet_t *fleet, platform_t *platform, client_t *client,
		  control_draining_changed_fn_t draining_changed, void *context)
{
	int64_t now_us = clock_now(&client->clock);

	memset(control, 0, sizeof(*control));
	control->settings = settings;
	control->fleet = fleet;
	control->platform = platform;
	control->client = client;
	control->clock = client->clock;
	control->draining_changed = draining_changed;
	control->context = context;
	control->key =
		g_strdup_printf(LEASE_PREFIX "%s/" LEASE_NAME, settings->zone);
	control->written_note = g_string_new(NULL);
	control->calls = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	control->loads =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	control->draining =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	lease_init(&control->lease, settings->vm,
		   fleet->members.self.info.incarnation, now_us);
	order_init(&control->orders);
	alarm_init(&control->alarm, control->clock, tick, control);
	alarm_set(&control->alarm, now_us);
}

/* Aborts all calls. A held lease is left to run out. */
void control_finish(control_t *control)
{
	alarm_finish(&control->alarm);
	if (control->lease_call)
		platform_cancel(control->lease_call);
	if (control->draining_read_call)
		platform_cancel(control->draining_read_call);
	control_abort_calls(control);
	g_hash_table_unref(control->calls);
	g_hash_table_unref(control->loads);
	g_hash_table_unref(control->draining);
	order_finish(&control->orders);
	lease_finish(&control->lease);
	g_string_free(control->written_note, TRUE);
	g_free(control->key);
	g_clear_pointer(&control->state, state_unref);
}

static order_desired_t desired_of(const backend_t *backend)
{
	const model_t *model = backend->pool->model;

	return (order_desired_t){
		.name = backend->name,
		.address = backend->address,
		.role = backend->pool->role,
		.model = model->name,
		.version = model->version,
		.adapters = model->adapters,
		.n_adapters = model->n_adapters,
		.leaving = backend->leaving,
	};
}

/* Puts a state into effect; takes a reference of its own. */
void control_set_state(control_t *control, state_t *state)
{
	GArray *desired = g_array_new(FALSE, FALSE, sizeof(order_desired_t));

	state_ref(state);
	g_clear_pointer(&control->state, state_unref);
	control->state = state;
	for (size_t i = 0; i < state->n_backends; i++) {
		const backend_t *backend = &state->backends[i];
		order_desired_t entry;

		if (!backend->pool ||
		    !str_equal(backend->zone,
			       str_from(control->settings->zone)))
			continue;
		entry = desired_of(backend);
		g_array_append_val(desired, entry);
	}
	order_set_desired(&control->orders,
			  (const order_desired_t *)desired->data, desired->len);
	g_array_unref(desired);
	step(control);
}

/* To be called when the fleet has changed; the lease may move. */
void control_members_changed(control_t *control)
{
	step(control);
}

/* Tells whether an engine is to get no new work because it is to be changed. */
bool control_is_draining(const control_t *control, const char *engine)
{
	return g_hash_table_contains(control->draining, engine);
}
