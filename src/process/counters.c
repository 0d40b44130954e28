#include "process/counters.h"

#include <inttypes.h>
#include <string.h>

/* Name, type and help text of a metric as they are printed. */
typedef struct {
	const char *name;
	const char *type;
	const char *help;
} metric_t;

/* Build the description of a counter or gauge from its short name. */
#define COUNTER(name, help)                                      \
	{                                                        \
		"gooseberryspur_" name "_total", "counter", help \
	}
#define GAUGE(name, help)                             \
	{                                             \
		"gooseberryspur_" name, "gauge", help \
	}

static const metric_t metrics[COUNTERS_N] = {
	[COUNTER_REQUESTS] = COUNTER("requests", "Requests received."),
	[COUNTER_REQUESTS_REFUSED] =
		COUNTER("requests_refused", "Requests refused as not run."),
	[COUNTER_REQUESTS_FAILED] = COUNTER("requests_failed",
					    "Requests that may have run and "
					    "did not end whole."),
	[COUNTER_REQUESTS_PASSED_ON] =
		COUNTER("requests_passed_on",
			"Requests passed on to another VM, as this one does "
			"not reach the service."),
	[COUNTER_REQUESTS_QUARANTINED] =
		COUNTER("requests_quarantined",
			"Requests not sent because requests like them crash "
			"backend servers."),
	[COUNTER_QUARANTINE_TRIALS] =
		COUNTER("quarantine_trials",
			"Requests sent although requests like them are held, "
			"to learn whether they still crash servers."),
	[COUNTER_CALLER_GONE] =
		COUNTER("caller_gone", "Requests whose caller left early."),
	[COUNTER_PREFILLS] = COUNTER("prefills", "Prefill calls sent."),
	[COUNTER_PREFILL_TOKENS] =
		COUNTER("prefill_tokens", "Prompt tokens computed."),
	[COUNTER_PREFILL_TOKENS_WASTED] =
		COUNTER("prefill_tokens_wasted",
			"Prompt tokens computed and then discarded or "
			"computed again."),
	[COUNTER_IMPORTS] = COUNTER("imports", "KV cache imports sent."),
	[COUNTER_IMPORTS_FAILED] =
		COUNTER("imports_failed", "KV cache imports that failed."),
	[COUNTER_DECODES] = COUNTER("decodes", "Decode calls sent."),
	[COUNTER_DECODES_RESUMED] =
		COUNTER("decodes_resumed", "Decodes resumed at an offset."),
	[COUNTER_TOKENS_SENT] =
		COUNTER("tokens_sent", "Tokens written to callers."),
	[COUNTER_STALE_ANSWERS] = COUNTER("stale_answers",
					  "Answers of older attempts or at an "
					  "unexpected offset, dropped."),
	[COUNTER_CANCELS_SENT] =
		COUNTER("cancels_sent", "Cancel calls sent to engines."),
	[COUNTER_CANCELS_CONFIRMED] =
		COUNTER("cancels_confirmed", "Cancellations confirmed."),
	[COUNTER_CANCELS_ABANDONED] =
		COUNTER("cancels_abandoned",
			"Cancellations dropped after the engine's bound."),
	[COUNTER_RETRIES] = COUNTER("retries", "Calls sent again."),
	[COUNTER_RETRIES_DENIED] =
		COUNTER("retries_denied", "Retries denied by the budget."),
	[COUNTER_LEDGER_GRANTS] =
		COUNTER("ledger_grants", "Decode memory grants."),
	[COUNTER_LEDGER_REFUSALS] =
		COUNTER("ledger_refusals", "Decode memory refusals."),
	[COUNTER_LEDGER_FALLBACKS] =
		COUNTER("ledger_fallbacks",
			"Reservations from the fixed share because the keeper "
			"did not answer."),
	[COUNTER_LEDGER_OVERCOMMITS] =
		COUNTER("ledger_overcommits",
			"Imports that an engine refused for memory."),
	[COUNTER_RPC_SENT] = COUNTER("rpc_sent", "Datagrams sent."),
	[COUNTER_RPC_RECEIVED] = COUNTER("rpc_received", "Datagrams received."),
	[COUNTER_RPC_SENT_BYTES] =
		COUNTER("rpc_sent_bytes", "Bytes of datagrams sent."),
	[COUNTER_RPC_RECEIVED_BYTES] =
		COUNTER("rpc_received_bytes", "Bytes of datagrams received."),
	[COUNTER_RPC_TIMEOUTS] =
		COUNTER("rpc_timeouts", "Calls without an answer in time."),
	[COUNTER_RPC_BAD_MAC] =
		COUNTER("rpc_bad_mac", "Datagrams that failed authentication."),
	[COUNTER_RPC_REPLAYED] =
		COUNTER("rpc_replayed", "Datagrams refused as replayed."),
	[COUNTER_RPC_MALFORMED] =
		COUNTER("rpc_malformed", "Datagrams that did not decode."),
	[COUNTER_RPC_FORWARDED] =
		COUNTER("rpc_forwarded", "Announcements that were forwarded to "
					 "a VM of the own zone."),
	[COUNTER_PLATFORM_READS] =
		COUNTER("platform_reads", "Reads sent to the platform."),
	[COUNTER_LIST_READS] = COUNTER(
		"list_reads", "Reads of the server list sent to other VMs."),
	[COUNTER_LIST_ANSWERS] =
		COUNTER("list_answers",
			"Reads of the server list answered for other VMs."),
	[COUNTER_PLATFORM_WRITES] =
		COUNTER("platform_writes", "Writes sent to the platform."),
	[COUNTER_PLATFORM_ERRORS] =
		COUNTER("platform_errors", "Platform calls that failed."),
	[COUNTER_PLATFORM_DENIED] =
		COUNTER("platform_denied",
			"Platform calls not sent because of the breaker or "
			"budget."),
	[COUNTER_MEMBERS_SUSPECTED] =
		COUNTER("members_suspected", "Members put under suspicion."),
	[COUNTER_MEMBERS_REMOVED] =
		COUNTER("members_removed", "Members declared dead."),
	[COUNTER_ORDERS_SENT] = COUNTER("orders_sent", "Orders to engines."),
	[COUNTER_ORDERS_REFUSED] =
		COUNTER("orders_refused", "Orders that engines refused."),
	[COUNTER_LOG_LINES_DROPPED] =
		COUNTER("log_lines_dropped",
			"Log lines dropped because nobody reads them."),
	[GAUGE_REQUESTS_ACTIVE] =
		GAUGE("requests_active", "Requests in progress."),
	[GAUGE_QUARANTINE_RULES] =
		GAUGE("quarantine_rules",
		      "Rules on requests that crash backend servers."),
	[GAUGE_QUEUE_LENGTH] = GAUGE("queue_length", "Requests queued."),
	[GAUGE_MEMBERS_ALIVE] = GAUGE("members_alive", "Live members known."),
	[GAUGE_STATE_VERSION] =
		GAUGE("state_version", "Configuration version in force."),
	[GAUGE_STATE_AGE_SECONDS] =
		GAUGE("state_age_seconds",
		      "Time since the version was last confirmed."),
	[GAUGE_PLATFORM_UP] =
		GAUGE("platform_up", "1 when the last platform call worked."),
};

/* Present values, indexed by counter_t. */
static int64_t values[COUNTERS_N];

/* Adds an amount, which may be negative for a gauge. */
void counters_add(counter_t counter, int64_t amount)
{
	values[counter] += amount;
}

/* Sets a gauge to a value. */
void counters_set(counter_t gauge, int64_t value)
{
	values[gauge] = value;
}

/* Returns the present value of a counter or gauge. */
int64_t counters_get(counter_t counter)
{
	return values[counter];
}

/* Appends the HELP and TYPE lines of a metric. */
static void append_metric_header(GString *out, const metric_t *metric)
{
	g_string_append_printf(out, "# HELP %s %s\n# TYPE %s %s\n",
			       metric->name, metric->help, metric->name,
			       metric->type);
}

/* Appends all counters and gauges in the Prometheus text format. */
void counters_print(GString *out)
{
	for (size_t i = 0; i < COUNTERS_N; i++) {
		append_metric_header(out, &metrics[i]);
		g_string_append_printf(out, "%s %" PRId64 "\n", metrics[i].name,
				       values[i]);
	}
}

/* Sets all counters and gauges to zero, for tests. */
void counters_reset(void)
{
	memset(values, 0, sizeof(values));
}
