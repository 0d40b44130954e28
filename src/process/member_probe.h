/* What the files of the membership state machine share: member.c keeps the
 * statements about members, member_probe.c decides whom to probe and when.
 */
#ifndef PROCESS_MEMBER_PROBE_H
#define PROCESS_MEMBER_PROBE_H

#include "process/member.h"

uint32_t member_random_below(members_t *members, uint32_t limit);
int64_t member_scale_wait(const members_t *members, int64_t wait_us);
void member_change_state(members_t *members, member_t *member,
			 member_state_t state, int64_t now_us);
void member_merge_message(members_t *members, int64_t now_us,
			  const member_message_t *message);

#endif
