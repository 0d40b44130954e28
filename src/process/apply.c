#include "process/apply.h"

#include "version/diff.h"

/* Key of the row that holds a deployment's head. */
char *apply_row_key(const char *deployment)
{
	return g_strconcat("state/", deployment, NULL);
}

static str_t bytes_text(GBytes *bytes)
{
	gsize len;
	const char *data = g_bytes_get_data(bytes, &len);

	return (str_t){data, len};
}

static void end(apply_t *apply, apply_result_t result, const char *reason)
{
	apply->result = result;
	apply->reason = reason;
	apply->done(apply->context, apply);
}

/* An object that a fetch waits for. */
typedef struct {
	fetch_object_fn_t done;
	void *context;
} object_wait_t;

static void on_source_object(void *context, const platform_answer_t *answer)
{
	object_wait_t wait = *(object_wait_t *)context;

	g_free(context);
	wait.done(wait.context,
		  answer->outcome == PLATFORM_DONE ? answer->body : NULL);
}

static void get_source_object(void *context, const char *hash, uint64_t size,
			      fetch_object_fn_t done, void *done_context)
{
	apply_t *apply = context;
	object_wait_t *wait = g_new0(object_wait_t, 1);

	wait->done = done;
	wait->context = done_context;
	platform_get_object(apply->platform, hash, apply->deadline_us,
			    on_source_object, wait);
}

/* Objects straight from the platform. */
fetch_source_t apply_platform_source(apply_t *apply)
{
	return (fetch_source_t){get_source_object, apply};
}

/* Compares the state in effect with the file, and ends with the result that
 * was decided before.
 */
static void on_other_state(void *context, const fetch_result_t *fetched)
{
	apply_t *apply = context;

	if (fetched->state) {
		apply->differences = g_string_new(NULL);
		diff_states(fetched->state, apply->state, apply->differences);
		state_unref(fetched->state);
	}
	apply->done(apply->context, apply);
}

static void end_with_differences(apply_t *apply, apply_result_t result,
				 const char *reason, const head_t *other)
{
	fetch_source_t source = apply_platform_source(apply);

	apply->result = result;
	apply->reason = reason;
	apply->fetch = fetch_new(&source, other, &apply->manifest,
				 on_other_state, apply);
	fetch_run(apply->fetch);
}

static head_past_t author_of(const head_t *head)
{
	head_past_t author = {.version = head->version};

	memcpy(author.attempt, head->attempt, sizeof(author.attempt));
	memcpy(author.author, head->author, sizeof(author.author));
	return author;
}

/*
 * Another value is in the row. The heads name the last versions' attempts,
 * which tells whether this version was accepted and then replaced.
 */
static void end_conflict(apply_t *apply, const head_t *other)
{
	const head_past_t *same = head_find_past(other, apply->version);

	apply->winner = author_of(other);
	if (other->version < apply->version ||
	    (other->version > apply->version && !same)) {
		end(apply, APPLY_UNKNOWN,
		    "the versions since then are no longer recorded");
		return;
	}
	if (same && !strcmp(same->attempt, apply->attempt)) {
		apply->replaced = true;
		end(apply, APPLY_ACCEPTED, "accepted and then replaced");
		return;
	}
	if (same)
		apply->winner = *same;
	end_with_differences(apply, APPLY_REFUSED,
			     "another version was applied first", other);
}

static void on_written(void *context, const platform_answer_t *answer)
{
	apply_t *apply = context;
	head_t other;

	switch (answer->outcome) {
	case PLATFORM_DONE:
		end(apply, APPLY_ACCEPTED, "accepted");
		return;
	case PLATFORM_CONDITION_FAILED:
		if (!answer->body)
			end(apply, APPLY_UNKNOWN, "the row was deleted");
		else if (!head_parse(&other, bytes_text(answer->body)))
			end(apply, APPLY_UNKNOWN, "the row is malformed");
		else
			end_conflict(apply, &other);
		return;
	case PLATFORM_NOT_SENT:
		end(apply, APPLY_UNREACHABLE,
		    "the platform did not take the write");
		return;
	case PLATFORM_REJECTED:
		end(apply, APPLY_FAILED, "the platform rejected the write");
		return;
	default:
		end(apply, APPLY_UNKNOWN,
		    "the response to the write was lost and the row could not "
		    "be read back");
		return;
	}
}

static void write_row(apply_t *apply)
{
	GString *text = g_string_new(NULL);
	GBytes *value;

	head_print(&apply->new_head, text);
	value = g_string_free_to_bytes(text);
	platform_write(apply->platform, apply->key, value, apply->row_version,
		       apply->deadline_us, on_written, apply);
	g_bytes_unref(value);
}

static void put_objects(apply_t *apply);

static void on_object_put(void *context, const platform_answer_t *answer)
{
	apply_t *apply = context;

	apply->puts_in_flight--;
	if (answer->outcome != PLATFORM_DONE)
		apply->upload_failed = true;
	put_objects(apply);
}

/* The row is written only after all that it names is there. */
static void put_objects(apply_t *apply)
{
	while (!apply->upload_failed &&
	       apply->puts_in_flight < APPLY_MAX_PUTS_IN_FLIGHT &&
	       apply->next_object < apply->objects->len) {
		GBytes *bytes = apply->objects->pdata[apply->next_object++];
		char hash[MANIFEST_HASH_DIGITS + 1];

		manifest_hash(bytes_text(bytes), hash);
		apply->puts_in_flight++;
		apply->n_uploaded++;
		apply->uploaded_bytes += g_bytes_get_size(bytes);
		platform_put_object(apply->platform, hash, bytes,
				    apply->deadline_us, on_object_put, apply);
	}
	if (apply->puts_in_flight > 0)
		return;
	if (apply->upload_failed)
		end(apply, APPLY_UNREACHABLE,
		    "the objects could not be written");
	else
		write_row(apply);
}

static void collect_parts(apply_t *apply)
{
	GArray *parts = apply->manifest.parts;

	apply->n_parts = parts->len;
	for (guint i = 0; i < parts->len; i++) {
		const manifest_part_t *part =
			&g_array_index(parts, manifest_part_t, i);
		const manifest_part_t *old =
			manifest_find(&apply->old_manifest, part->name);

		if (old && !strcmp(old->hash, part->hash))
			continue;
		apply->n_changed_parts++;
		g_ptr_array_add(apply->objects, g_bytes_ref(part->bytes));
	}
}

/* A delta that is longer than half of the manifest is not worth a request. */
static void add_delta(apply_t *apply)
{
	head_delta_t delta = {0};
	GString *text = g_string_new(NULL);

	manifest_print_delta(&apply->old_manifest, &apply->manifest, text);
	if (apply->old_manifest.parts->len == 0 ||
	    text->len > apply->new_head.manifest_size / 2) {
		g_string_free(text, TRUE);
		return;
	}
	memcpy(delta.from, apply->head.manifest, sizeof(delta.from));
	memcpy(delta.to, apply->new_head.manifest, sizeof(delta.to));
	manifest_hash(str_from_gstring(text), delta.hash);
	delta.size = text->len;
	head_add_delta(&apply->new_head, &delta);
	g_ptr_array_add(apply->objects, g_string_free_to_bytes(text));
}

static void make_attempt(char attempt[HEAD_ATTEMPT_DIGITS + 1])
{
	char *uuid = g_uuid_string_random();
	size_t n = 0;

	for (size_t i = 0; uuid[i] && n < HEAD_ATTEMPT_DIGITS; i++) {
		if (uuid[i] != '-')
			attempt[n++] = uuid[i];
	}
	attempt[n] = '\0';
	g_free(uuid);
}

static void make_head(apply_t *apply, const GString *manifest_text)
{
	head_t *head = &apply->new_head;

	*head = apply->head;
	if (apply->row_version != PLATFORM_NO_ROW) {
		head_past_t past = author_of(&apply->head);

		head_add_past(head, &past);
	}
	g_strlcpy(head->deployment, apply->deployment,
		  sizeof(head->deployment));
	head->version = apply->head.version + 1;
	memset(head->author, 0, sizeof(head->author));
	g_strlcpy(head->author, apply->author, sizeof(head->author));
	make_attempt(head->attempt);
	head->time_s = apply->time_s;
	head->manifest_size = manifest_text->len;
	manifest_hash(str_from_gstring(manifest_text), head->manifest);
	apply->version = head->version;
	memcpy(apply->attempt, head->attempt, sizeof(apply->attempt));
}

static void submit(apply_t *apply, GString *manifest_text)
{
	make_head(apply, manifest_text);
	collect_parts(apply);
	add_delta(apply);
	g_ptr_array_add(apply->objects, g_string_free_to_bytes(manifest_text));
	put_objects(apply);
}

/* Both manifests are known, or there is no old one. */
static void compare(apply_t *apply)
{
	GString *text = g_string_new(NULL);
	char hash[MANIFEST_HASH_DIGITS + 1];

	manifest_print(&apply->manifest, text);
	manifest_hash(str_from_gstring(text), hash);
	if (apply->row_version != PLATFORM_NO_ROW &&
	    !strcmp(hash, apply->head.manifest)) {
		apply->version = apply->head.version;
		g_string_free(text, TRUE);
		end(apply, APPLY_UNCHANGED, "the state in effect is the same");
	} else if (!apply->dry_run) {
		submit(apply, text);
	} else {
		g_string_free(text, TRUE);
		apply->version = apply->head.version;
		if (apply->row_version != PLATFORM_NO_ROW) {
			end_with_differences(apply, APPLY_DRY_RUN, "dry run",
					     &apply->head);
			return;
		}
		apply->differences = g_string_new(NULL);
		diff_states(NULL, apply->state, apply->differences);
		end(apply, APPLY_DRY_RUN, "dry run");
	}
}

/* Without the old manifest all parts are written and there is no delta. */
static void on_old_manifest(void *context, const platform_answer_t *answer)
{
	apply_t *apply = context;
	char hash[MANIFEST_HASH_DIGITS + 1];

	if (answer->outcome == PLATFORM_DONE) {
		manifest_hash(bytes_text(answer->body), hash);
		if (strcmp(hash, apply->head.manifest) != 0 ||
		    !manifest_parse(&apply->old_manifest,
				    bytes_text(answer->body))) {
			manifest_finish(&apply->old_manifest);
			manifest_init(&apply->old_manifest);
		}
	}
	compare(apply);
}

static void take_row(apply_t *apply)
{
	if (apply->has_base_version &&
	    apply->base_version != apply->head.version) {
		apply->version = apply->base_version + 1;
		apply->expected_version = apply->base_version;
		apply->winner = author_of(&apply->head);
		if (apply->row_version == PLATFORM_NO_ROW)
			end(apply, APPLY_REFUSED, "there is no version yet");
		else
			end_with_differences(
				apply, APPLY_REFUSED,
				"another version was applied first",
				&apply->head);
		return;
	}
	apply->expected_version = apply->head.version;
	if (apply->row_version == PLATFORM_NO_ROW)
		compare(apply);
	else
		platform_get_object(apply->platform, apply->head.manifest,
				    apply->deadline_us, on_old_manifest, apply);
}

static void on_row(void *context, const platform_answer_t *answer)
{
	apply_t *apply = context;

	switch (answer->outcome) {
	case PLATFORM_NOT_FOUND:
		take_row(apply);
		return;
	case PLATFORM_DONE:
		apply->row_version = answer->version;
		if (!head_parse(&apply->head, bytes_text(answer->body)))
			end(apply, APPLY_FAILED, "the row is malformed");
		else if (strcmp(apply->head.deployment, apply->deployment) != 0)
			end(apply, APPLY_FAILED,
			    "the row belongs to another deployment");
		else
			take_row(apply);
		return;
	case PLATFORM_REJECTED:
		end(apply, APPLY_FAILED, "the platform rejected the read");
		return;
	default:
		end(apply, APPLY_UNREACHABLE,
		    "the version in effect could not be read");
		return;
	}
}

/*
 * Starts to submit a state. The callback is called once, after which the
 * structure is released with apply_finish().
 */
void apply_start(apply_t *apply)
{
	g_strlcpy(apply->deployment, apply->state->deployment.data,
		  MIN(sizeof(apply->deployment),
		      apply->state->deployment.len + 1));
	apply->key = apply_row_key(apply->deployment);
	apply->objects =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	manifest_init(&apply->old_manifest);
	manifest_init(&apply->manifest);
	manifest_split(&apply->manifest, apply->state);
	platform_get(apply->platform, apply->key, apply->deadline_us, on_row,
		     apply);
}

/* Frees what apply_start() allocated. */
void apply_finish(apply_t *apply)
{
	g_clear_pointer(&apply->key, g_free);
	g_clear_pointer(&apply->fetch, fetch_free);
	g_clear_pointer(&apply->objects, g_ptr_array_unref);
	manifest_finish(&apply->old_manifest);
	manifest_finish(&apply->manifest);
	if (apply->differences)
		g_string_free(apply->differences, TRUE);
	apply->differences = NULL;
}
