#include "process/apply.h"

#include "version/diff.h"

/*
 * Returns the key of the row that holds a deployment's head. The caller frees
 * it.
 */
char *apply_row_key(const char *deployment)
{
	return g_strconcat("state/", deployment, NULL);
}

/* Wraps the bytes, which stay owned by the GBytes. */
static str_t str_from_bytes(GBytes *bytes)
{
	gsize len;
	const char *data = g_bytes_get_data(bytes, &len);

	return (str_t){data, len};
}

/* Ends the submission with a result and calls the caller back. */
static void end_with_result(apply_t *apply, apply_result_t result,
			    const char *reason)
{
	apply->result = result;
	apply->reason = reason;
	apply->done(apply->context, apply);
}

/* Callback of a fetch that waits for an object. */
typedef struct {
	fetch_object_fn_t done;
	void *context;
} object_request_t;

/*
 * Passes an object on to the fetch that waits for it; NULL if it could not be
 * read.
 */
static void on_source_object(void *context, const platform_answer_t *answer)
{
	object_request_t request = *(object_request_t *)context;

	g_free(context);
	request.done(request.context,
		     answer->outcome == PLATFORM_DONE ? answer->body : NULL);
}

/* Reads an object from the platform for a fetch. */
static void get_source_object(void *context, const char *hash, uint64_t size,
			      fetch_object_fn_t done, void *done_context)
{
	apply_t *apply = context;
	object_request_t *request = g_new0(object_request_t, 1);

	request->done = done;
	request->context = done_context;
	platform_get_object(apply->platform, hash, apply->deadline_us,
			    on_source_object, request);
}

/*
 * Returns a source from which a fetch reads objects directly from the
 * platform.
 */
fetch_source_t apply_platform_source(apply_t *apply)
{
	return (fetch_source_t){get_source_object, apply};
}

/*
 * Compares the state in effect with the submitted one, and ends with the
 * result that end_with_differences() has set. Without the state in effect the
 * differences stay NULL.
 */
static void on_state_in_effect(void *context, const fetch_result_t *fetched)
{
	apply_t *apply = context;

	if (fetched->state) {
		apply->differences = g_string_new(NULL);
		diff_states(fetched->state, apply->state, apply->differences);
		state_unref(fetched->state);
	}
	apply->done(apply->context, apply);
}

/*
 * Fetches the state of another head to find the differences, and then ends
 * with the result.
 */
static void end_with_differences(apply_t *apply, apply_result_t result,
				 const char *reason, const head_t *other)
{
	fetch_source_t source = apply_platform_source(apply);

	apply->result = result;
	apply->reason = reason;
	apply->fetch = fetch_new(&source, other, &apply->manifest,
				 on_state_in_effect, apply);
	fetch_run(apply->fetch);
}

/*
 * Returns the version, attempt and author of a head, as later heads record
 * them.
 */
static head_past_t past_entry_of(const head_t *head)
{
	head_past_t author = {.version = head->version};

	memcpy(author.attempt, head->attempt, sizeof(author.attempt));
	memcpy(author.author, head->author, sizeof(author.author));
	return author;
}

/*
 * Ends the submission after its conditional write found another head in the
 * row. Each head records the attempts of the versions before it, which tells
 * whether this version was accepted and then replaced.
 */
static void end_conflict(apply_t *apply, const head_t *other)
{
	const head_past_t *recorded = head_find_past(other, apply->version);

	apply->winner = past_entry_of(other);
	if (other->version < apply->version ||
	    (other->version > apply->version && !recorded)) {
		end_with_result(
			apply, APPLY_UNKNOWN,
			"the versions since then are no longer recorded");
		return;
	}
	if (recorded && !strcmp(recorded->attempt, apply->attempt)) {
		apply->replaced = true;
		end_with_result(apply, APPLY_ACCEPTED,
				"accepted and then replaced");
		return;
	}
	if (recorded)
		apply->winner = *recorded;
	end_with_differences(apply, APPLY_REFUSED,
			     "another version was applied first", other);
}

/* Handles the answer to the write of the row. */
static void on_written(void *context, const platform_answer_t *answer)
{
	apply_t *apply = context;
	head_t other;

	switch (answer->outcome) {
	case PLATFORM_DONE:
		end_with_result(apply, APPLY_ACCEPTED, "accepted");
		return;
	case PLATFORM_CONDITION_FAILED:
		if (!answer->body)
			end_with_result(apply, APPLY_UNKNOWN,
					"the row was deleted");
		else if (!head_parse(&other, str_from_bytes(answer->body)))
			end_with_result(apply, APPLY_UNKNOWN,
					"the row is malformed");
		else
			end_conflict(apply, &other);
		return;
	case PLATFORM_NOT_SENT:
		end_with_result(apply, APPLY_UNREACHABLE,
				"the platform did not take the write");
		return;
	case PLATFORM_REJECTED:
		end_with_result(apply, APPLY_FAILED,
				"the platform rejected the write");
		return;
	default:
		end_with_result(
			apply, APPLY_UNKNOWN,
			"the response to the write was lost and the row could "
			"not be read back");
		return;
	}
}

/* Writes the new head if the row still has the version that was read. */
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

/* Handles the answer to the write of one object. */
static void on_object_put(void *context, const platform_answer_t *answer)
{
	apply_t *apply = context;

	apply->puts_in_flight--;
	if (answer->outcome != PLATFORM_DONE)
		apply->upload_failed = true;
	put_objects(apply);
}

/*
 * Writes the objects, at most APPLY_MAX_PUTS_IN_FLIGHT at a time. The row is
 * written only after all objects that it refers to are stored.
 */
static void put_objects(apply_t *apply)
{
	while (!apply->upload_failed &&
	       apply->puts_in_flight < APPLY_MAX_PUTS_IN_FLIGHT &&
	       apply->next_object < apply->objects->len) {
		GBytes *bytes = apply->objects->pdata[apply->next_object++];
		char hash[MANIFEST_HASH_DIGITS + 1];

		manifest_hash(str_from_bytes(bytes), hash);
		apply->puts_in_flight++;
		apply->n_uploaded++;
		apply->uploaded_bytes += g_bytes_get_size(bytes);
		platform_put_object(apply->platform, hash, bytes,
				    apply->deadline_us, on_object_put, apply);
	}
	if (apply->puts_in_flight > 0)
		return;
	if (apply->upload_failed)
		end_with_result(apply, APPLY_UNREACHABLE,
				"the objects could not be written");
	else
		write_row(apply);
}

/* Collects the parts that the version in effect does not have. */
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

/*
 * Adds a delta from the old manifest to the new one, so that VMs need not
 * fetch the whole manifest. A delta longer than half of the manifest saves too
 * little and is left out.
 */
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

/* Makes a random ID of this attempt, from the hex digits of a UUID. */
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

/* Makes the head of the new version from the head in effect. */
static void make_head(apply_t *apply, const GString *manifest_text)
{
	head_t *head = &apply->new_head;

	*head = apply->head;
	if (apply->row_version != PLATFORM_NO_ROW) {
		head_past_t past = past_entry_of(&apply->head);

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

/*
 * Collects all objects of the new version and starts to write them. Takes
 * ownership of the manifest text.
 */
static void submit(apply_t *apply, GString *manifest_text)
{
	make_head(apply, manifest_text);
	collect_parts(apply);
	add_delta(apply);
	g_ptr_array_add(apply->objects, g_string_free_to_bytes(manifest_text));
	put_objects(apply);
}

/*
 * Ends if the state in effect is the same or in a dry run; otherwise submits
 * the state. Both manifests are known, or there is no old one.
 */
static void compare_manifests(apply_t *apply)
{
	GString *text = g_string_new(NULL);
	char hash[MANIFEST_HASH_DIGITS + 1];

	manifest_print(&apply->manifest, text);
	manifest_hash(str_from_gstring(text), hash);
	if (apply->row_version != PLATFORM_NO_ROW &&
	    !strcmp(hash, apply->head.manifest)) {
		apply->version = apply->head.version;
		g_string_free(text, TRUE);
		end_with_result(apply, APPLY_UNCHANGED,
				"the state in effect is the same");
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
		end_with_result(apply, APPLY_DRY_RUN, "dry run");
	}
}

/*
 * Takes the manifest of the version in effect. If it is missing or malformed,
 * all parts are written and no delta is made.
 */
static void on_old_manifest(void *context, const platform_answer_t *answer)
{
	apply_t *apply = context;
	char hash[MANIFEST_HASH_DIGITS + 1];

	if (answer->outcome == PLATFORM_DONE) {
		manifest_hash(str_from_bytes(answer->body), hash);
		if (strcmp(hash, apply->head.manifest) != 0 ||
		    !manifest_parse(&apply->old_manifest,
				    str_from_bytes(answer->body))) {
			manifest_finish(&apply->old_manifest);
			manifest_init(&apply->old_manifest);
		}
	}
	compare_manifests(apply);
}

/*
 * Refuses the submission if another version than the base version is in
 * effect; otherwise reads the manifest in effect.
 */
static void check_base_version(apply_t *apply)
{
	if (apply->has_base_version &&
	    apply->base_version != apply->head.version) {
		apply->version = apply->base_version + 1;
		apply->expected_version = apply->base_version;
		apply->winner = past_entry_of(&apply->head);
		if (apply->row_version == PLATFORM_NO_ROW)
			end_with_result(apply, APPLY_REFUSED,
					"there is no version yet");
		else
			end_with_differences(
				apply, APPLY_REFUSED,
				"another version was applied first",
				&apply->head);
		return;
	}
	apply->expected_version = apply->head.version;
	if (apply->row_version == PLATFORM_NO_ROW)
		compare_manifests(apply);
	else
		platform_get_object(apply->platform, apply->head.manifest,
				    apply->deadline_us, on_old_manifest, apply);
}

/* Handles the answer to the read of the row. */
static void on_row(void *context, const platform_answer_t *answer)
{
	apply_t *apply = context;

	switch (answer->outcome) {
	case PLATFORM_NOT_FOUND:
		check_base_version(apply);
		return;
	case PLATFORM_DONE:
		apply->row_version = answer->version;
		if (!head_parse(&apply->head, str_from_bytes(answer->body)))
			end_with_result(apply, APPLY_FAILED,
					"the row is malformed");
		else if (strcmp(apply->head.deployment, apply->deployment) != 0)
			end_with_result(
				apply, APPLY_FAILED,
				"the row belongs to another deployment");
		else
			check_base_version(apply);
		return;
	case PLATFORM_REJECTED:
		end_with_result(apply, APPLY_FAILED,
				"the platform rejected the read");
		return;
	default:
		end_with_result(apply, APPLY_UNREACHABLE,
				"the version in effect could not be read");
		return;
	}
}

/*
 * Starts to submit a state. The callback is called once; after it the
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
