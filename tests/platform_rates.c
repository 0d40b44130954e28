#include <string.h>

#include "platform_store.h"
#include "process/clock.h"

void platform_rates_init(platform_rates_t *rates, int64_t reads_s,
			 int64_t writes_s)
{
	rates->seconds = g_array_new(FALSE, FALSE, sizeof(platform_second_t));
	memset(&rates->now, 0, sizeof(rates->now));
	rates->reads_s = reads_s;
	rates->writes_s = writes_s;
}

/* Counts one call in the current second. */
void platform_rates_count(platform_rates_t *rates, bool is_write)
{
	int64_t second = fake_now_us() / CLOCK_US_PER_S;

	if (rates->now.second != second) {
		if (rates->now.second)
			g_array_append_val(rates->seconds, rates->now);
		memset(&rates->now, 0, sizeof(rates->now));
		rates->now.second = second;
	}
	if (is_write)
		rates->now.writes++;
	else
		rates->now.reads++;
}

/* Tells whether the call counted last is within its rate. */
bool platform_rates_allow(platform_rates_t *rates, bool is_write)
{
	bool allowed = is_write ? rates->now.writes <= rates->writes_s
				: rates->now.reads <= rates->reads_s;

	if (!allowed)
		rates->now.throttled++;
	return allowed;
}

static void append_second(const platform_second_t *second, GString *out)
{
	g_string_append_printf(
		out,
		"{\"kind\":\"second\",\"second\":%" G_GINT64_FORMAT
		",\"reads\":%" G_GINT64_FORMAT ",\"writes\":%" G_GINT64_FORMAT
		",\"throttled\":%" G_GINT64_FORMAT
		",\"failed\":%" G_GINT64_FORMAT "}\n",
		second->second, second->reads, second->writes,
		second->throttled, second->failed);
}

/* Appends one JSON line for each second that had calls. */
void platform_rates_append(const platform_rates_t *rates, GString *out)
{
	for (unsigned i = 0; i < rates->seconds->len; i++)
		append_second(&g_array_index(rates->seconds, platform_second_t,
					     i),
			      out);
	if (rates->now.second)
		append_second(&rates->now, out);
}
