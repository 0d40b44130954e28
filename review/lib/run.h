/* One run of a case: its record, its threads, and the entry processes that it starts. */
#ifndef REVIEW_RUN_H
#define REVIEW_RUN_H

#include <stdbool.h>
#include <sys/types.h>

#define MAX_VMS 8

/* Exit codes of a case. */
enum { RULE_HELD = 0, RULE_BROKEN = 1, NOT_RUN = 2 };

/* An entry VM. */
typedef struct {
	char name[32];
	char zone[32];
	int callers_port;
	int ready_port;
	int metrics_port;
	int peer_port;
	pid_t pid; /* 0: not running */
} vm_t;

/* Settings that all VMs of a run share. */
typedef struct {
	int store_port;
	double shutdown_limit_s;
	double retry_share;
	double retry_slack;
} deployment_t;

long long now_ms(void);
void sleep_ms(long long ms);
void start_thread(void *(*run)(void *), void *argument);
void run_begin(const char *record_path);
void run_end(int code) __attribute__((noreturn));
void give_up(const char *reason) __attribute__((noreturn));
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
void note(const char *format, ...) __attribute__((format(printf, 1, 2)));
bool has_trouble(void);
void vm_init(vm_t *vm, const char *name, const char *zone);
void vm_start(vm_t *vm, const deployment_t *deployment, bool bootstrap);
bool vm_is_ready(const vm_t *vm);
void vm_wait_ready(const vm_t *vm);
void vm_signal(vm_t *vm, int signal_number);
bool vm_has_ended(vm_t *vm);

#endif
