/* Model of a service's engines and of the entry VMs in front of them, in
 * simulated time and without network. The VMs decide with the product's own
 * modules: occupancy with encoded announcements, workload, admission, stage
 * balance, rounds and choice. It compares ways of deciding with each other; its
 * figures were not compared with those of real engines.
 *
 * An engine of the prefill stage reads one prompt after the other; an answer
 * takes a fixed time beside that. An engine of the decode stage sends an event
 * of each stream after a time that grows with the number of streams; it refuses
 * a stream whose memory it does not have. A changing engine ends its work and
 * is then absent for a while.
 */
#ifndef SUPPORT_MODEL_H
#define SUPPORT_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/* A deployment and its traffic. Sizes of requests vary by half about their
 * mean.
 */
typedef struct {
	unsigned vms, engines, prefills; /* prefill engines at the start */
	bool rounds; /* stages are changed by rounds of orders */
	int64_t slots, kv_tokens; /* of each engine */
	double prefill_us_per_token;
	int64_t prefill_fixed_us;
	int64_t event_us, event_us_per_stream;
	int64_t tokens_per_event;
	int64_t stage_change_us;
	int64_t prompt_tokens, output_tokens; /* means */
	double rate_per_s;
	unsigned clump; /* requests that arrive together */
	int64_t announce_delay_us; /* until other VMs know of a change */
	int64_t surge_from_us, surge_until_us; /* traffic times surge_factor */
	double surge_factor;
	int64_t restart_at_us; /* VM 0 forgets all that it knows; 0: never */
	int64_t count_from_us, until_us; /* arrivals that the result counts */
	uint64_t seed;
} model_config_t;

/* What became of the requests that arrived while counted. */
typedef struct {
	unsigned arrived, on_time, late, refused;
	unsigned engine_refusals; /* prompts read for nothing */
	int64_t longest_refusal_us; /* longest wait that ended in a refusal */
	unsigned prefills; /* engines of the stage at the end */
} model_result_t;

extern const model_config_t model_base;

model_result_t model_run(const model_config_t *config);

#endif
