#include "support_faults.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "request/retry.h"
#include "support_http.h"

#define END_TIMEOUT_MS 10000
/* Shortest and longest time that a fault lasts. */
#define FAULT_MIN_US (INT64_C(300) * G_TIME_SPAN_MILLISECOND)
#define FAULT_MAX_US (INT64_C(2500) * G_TIME_SPAN_MILLISECOND)

#define AT(place) FAULT_AT_##place

static const fault_kind_t kinds[] = {
	{"prefill_killed", AT(PREFILL), FAULT_KILL, NULL, NULL},
	{"decode_killed", AT(DECODE), FAULT_KILL, NULL, NULL},
	{"service_killed", AT(SERVICE), FAULT_KILL, NULL, NULL},
	{"router_killed", AT(ROUTER), FAULT_KILL, NULL, NULL},
	{"prefill_stopped", AT(PREFILL), FAULT_STOP, NULL, NULL},
	{"decode_stopped", AT(DECODE), FAULT_STOP, NULL, NULL},
	{"service_stopped", AT(SERVICE), FAULT_STOP, NULL, NULL},
	{"router_stopped", AT(ROUTER), FAULT_STOP, NULL, NULL},
	{"prefill_crash", AT(PREFILL), FAULT_CRASH, "{\"crash_on_prefill\":1}",
	 NULL},
	{"import_crash", AT(DECODE), FAULT_CRASH, "{\"crash_on_import\":1}",
	 NULL},
	{"decode_crash", AT(DECODE), FAULT_CRASH,
	 "{\"crash_after_tokens\":300}", NULL},
	{"service_crash_before", AT(SERVICE), FAULT_CRASH,
	 "{\"crash_before_call\":1}", NULL},
	{"service_crash_after", AT(SERVICE), FAULT_CRASH,
	 "{\"crash_after_call\":1}", NULL},
	{"streams_silent", AT(DECODE), FAULT_SET, "{\"stall_streams\":true}",
	 "{\"stall_streams\":false}"},
	{"new_streams_silent", AT(DECODE), FAULT_SET,
	 "{\"stall_new_streams\":10}", "{\"stall_new_streams\":0}"},
	{"exports_stalled", AT(PREFILL), FAULT_SET, "{\"stall_transfers\":5}",
	 "{\"stall_transfers\":0}"},
	{"imports_stalled", AT(DECODE), FAULT_SET, "{\"stall_transfers\":5}",
	 "{\"stall_transfers\":0}"},
	{"prefills_stalled", AT(PREFILL), FAULT_SET, "{\"stall_prefills\":5}",
	 "{\"stall_prefills\":0}"},
	{"prefill_refuses", AT(PREFILL), FAULT_SET, "{\"refuse\":20}",
	 "{\"refuse\":0}"},
	{"decode_refuses", AT(DECODE), FAULT_SET, "{\"refuse\":20}",
	 "{\"refuse\":0}"},
	{"service_refuses", AT(SERVICE), FAULT_SET, "{\"refuse\":10}",
	 "{\"refuse\":0}"},
	{"prefill_full", AT(PREFILL), FAULT_SET, "{\"memory_full\":20}",
	 "{\"memory_full\":0}"},
	{"decode_full", AT(DECODE), FAULT_SET, "{\"memory_full\":20}",
	 "{\"memory_full\":0}"},
	{"prefill_loses_answers", AT(PREFILL), FAULT_SET,
	 "{\"lose_answer\":10}", "{\"lose_answer\":0}"},
	{"decode_loses_answers", AT(DECODE), FAULT_SET, "{\"lose_answer\":10}",
	 "{\"lose_answer\":0}"},
	{"cancel_answers_lost", AT(DECODE), FAULT_SET,
	 "{\"lose_cancel_answer\":10}", "{\"lose_cancel_answer\":0}"},
	{"service_loses_answers", AT(SERVICE), FAULT_SET,
	 "{\"lose_answer\":10}", "{\"lose_answer\":0}"},
	{"service_stalls", AT(SERVICE), FAULT_SET, "{\"stall\":5}",
	 "{\"stall\":0}"},
	{"tokens_duplicated", AT(DECODE), FAULT_SET, "{\"duplicate\":200}",
	 "{\"duplicate\":0}"},
	{"tokens_reordered", AT(DECODE), FAULT_SET, "{\"reorder\":200}",
	 "{\"reorder\":0}"},
	{"prefill_slow", AT(PREFILL), FAULT_SET, "{\"slow_factor\":20}",
	 "{\"slow_factor\":1}"},
	{"decode_slow", AT(DECODE), FAULT_SET, "{\"slow_factor\":10}",
	 "{\"slow_factor\":1}"},
	{"table_answers_lost", AT(PLATFORM), FAULT_SET,
	 "{\"lose_write_answer\":10}", "{\"lose_write_answer\":0}"},
	{"table_down", AT(PLATFORM), FAULT_SET, "{\"outage\":1000}",
	 "{\"outage\":0}"},
	{"table_hangs", AT(PLATFORM), FAULT_SET, "{\"hang\":20}",
	 "{\"hang\":0}"},
};

static unsigned draw(uint64_t *seed, unsigned n)
{
	return (unsigned)(retry_random(seed) % n);
}

static int64_t draw_us(uint64_t *seed, int64_t from_us, int64_t to_us)
{
	return from_us +
	       (int64_t)(retry_random(seed) % (uint64_t)(to_us - from_us));
}

static unsigned processes(const deployment_config_t *config,
			  fault_place_t place)
{
	switch (place) {
	case FAULT_AT_PREFILL:
		return config->prefills;
	case FAULT_AT_DECODE:
		return config->decodes;
	case FAULT_AT_SERVICE:
		return config->services;
	case FAULT_AT_ROUTER:
		return config->routers;
	case FAULT_AT_PLATFORM:
		return 1;
	}
	return 0;
}

static bool same_process(const fault_t *a, const fault_t *b)
{
	return a->kind->place == b->kind->place && a->index == b->index;
}

/*
 * Draws up to FAULTS_MAX faults at different processes that overlap in time and
 * begin within a load of this length.
 */
void faults_draw(faults_t *faults, unsigned n,
		 const deployment_config_t *config, int64_t load_us,
		 uint64_t *seed)
{
	int64_t begin_us = draw_us(seed, load_us / 8, load_us * 2 / 3);

	memset(faults, 0, sizeof(*faults));
	while (faults->n < n) {
		fault_t *fault = &faults->faults[faults->n];
		int64_t length_us = draw_us(seed, FAULT_MIN_US, FAULT_MAX_US);

		fault->kind = &kinds[draw(seed, G_N_ELEMENTS(kinds))];
		fault->index =
			draw(seed, processes(config, fault->kind->place));
		if (faults->n > 0 && same_process(fault, &faults->faults[0]))
			continue;
		if (faults->n > 0)
			begin_us = draw_us(seed, begin_us,
					   faults->faults[0].end_us);
		fault->begin_us = begin_us;
		fault->end_us = begin_us + length_us;
		faults->n++;
	}
}

/* Prints the mix on one line. */
void faults_print(const faults_t *faults)
{
	for (unsigned i = 0; i < faults->n; i++) {
		const fault_t *fault = &faults->faults[i];

		printf(" %s-%u@%d..%dms", fault->kind->name, fault->index + 1,
		       (int)(fault->begin_us / G_TIME_SPAN_MILLISECOND),
		       (int)(fault->end_us / G_TIME_SPAN_MILLISECOND));
	}
	printf("\n");
	fflush(stdout);
}

/* Tells whether callers' connections are lost with an entry VM. */
bool faults_kill_router(const faults_t *faults)
{
	for (unsigned i = 0; i < faults->n; i++)
		if (faults->faults[i].kind->place == FAULT_AT_ROUTER &&
		    faults->faults[i].kind->action == FAULT_KILL)
			return true;
	return false;
}

static process_t *process_of(deployment_t *deployment, const fault_t *fault)
{
	switch (fault->kind->place) {
	case FAULT_AT_PREFILL:
		return &deployment->prefill[fault->index];
	case FAULT_AT_DECODE:
		return &deployment->decode[fault->index];
	case FAULT_AT_SERVICE:
		return &deployment->service[fault->index];
	case FAULT_AT_ROUTER:
		return &deployment->router[fault->index];
	case FAULT_AT_PLATFORM:
		return &deployment->platform;
	}
	return NULL;
}

static const char *address_of(const deployment_t *deployment,
			      const fault_t *fault)
{
	switch (fault->kind->place) {
	case FAULT_AT_PREFILL:
		return deployment->prefill_address[fault->index];
	case FAULT_AT_DECODE:
		return deployment->decode_address[fault->index];
	case FAULT_AT_SERVICE:
		return deployment->service_address[fault->index];
	case FAULT_AT_ROUTER:
		return deployment->callers_address[fault->index];
	case FAULT_AT_PLATFORM:
		return deployment->platform_address;
	}
	return NULL;
}

static void begin(deployment_t *deployment, const fault_t *fault)
{
	if (fault->kind->action == FAULT_KILL)
		process_signal(process_of(deployment, fault), SIGKILL);
	else if (fault->kind->action == FAULT_STOP)
		process_signal(process_of(deployment, fault), SIGSTOP);
	else
		http_set_faults(address_of(deployment, fault), fault->kind->on);
}

static void restart(deployment_t *deployment, const fault_t *fault)
{
	process_t *process = process_of(deployment, fault);

	process_signal(process, SIGKILL);
	process_wait_end(process, END_TIMEOUT_MS);
	if (fault->kind->place == FAULT_AT_PREFILL) {
		deployment_restart_backend(deployment, DEPLOYMENT_PREFILL,
					   fault->index);
	} else if (fault->kind->place == FAULT_AT_DECODE) {
		deployment_restart_backend(deployment, DEPLOYMENT_DECODE,
					   fault->index);
	} else if (fault->kind->place == FAULT_AT_SERVICE) {
		deployment_restart_backend(deployment, DEPLOYMENT_SERVICE,
					   fault->index);
	} else {
		process_finish(process);
		deployment_start_router(deployment, fault->index);
	}
}

static void end(deployment_t *deployment, const fault_t *fault)
{
	if (fault->kind->action == FAULT_STOP)
		process_signal(process_of(deployment, fault), SIGCONT);
	else if (fault->kind->action == FAULT_SET)
		http_set_faults(address_of(deployment, fault),
				fault->kind->off);
	else
		restart(deployment, fault);
}

/* Brings the faults about from now on; returns when the last one has ended. */
void faults_run(const faults_t *faults, deployment_t *deployment)
{
	int64_t start_us = g_get_monotonic_time();
	bool begun[FAULTS_MAX] = {false}, ended[FAULTS_MAX] = {false};
	unsigned left = faults->n;

	while (left > 0) {
		int64_t now_us = g_get_monotonic_time() - start_us;

		for (unsigned i = 0; i < faults->n; i++) {
			const fault_t *fault = &faults->faults[i];

			if (!begun[i] && now_us >= fault->begin_us) {
				begin(deployment, fault);
				begun[i] = true;
			} else if (!ended[i] && now_us >= fault->end_us) {
				end(deployment, fault);
				ended[i] = true;
				left--;
			}
		}
		g_usleep(1000);
	}
}
