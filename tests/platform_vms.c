#include "platform_store.h"

typedef struct {
	int64_t visible_us;
	JsonObject *body;
} vm_list_t;

static void add_list(platform_vms_t *vms, JsonObject *body, int64_t lag_us)
{
	vm_list_t *list = g_new0(vm_list_t, 1);

	list->visible_us = fake_now_us() + lag_us;
	list->body = body;
	g_queue_push_tail(&vms->lists, list);
}

static void drop_oldest(platform_vms_t *vms)
{
	vm_list_t *list = g_queue_pop_head(&vms->lists);

	json_object_unref(list->body);
	g_free(list);
}

void platform_vms_init(platform_vms_t *vms, int64_t lag_us)
{
	g_queue_init(&vms->lists);
	vms->lag_us = lag_us;
	add_list(vms, fake_json("vms", "a", json_array_new(), NULL), 0);
}

/* POST /vms: the list that GET /vms serves after the lag, or at once. */
void platform_set_vms(platform_vms_t *vms, SoupServerMessage *message,
		      bool at_once)
{
	JsonObject *body = fake_body(message);

	if (!body || !json_object_has_member(body, "vms")) {
		g_clear_pointer(&body, json_object_unref);
		fake_reply_error(message, 400, "vms expected");
		return;
	}
	if (at_once) {
		while (!g_queue_is_empty(&vms->lists))
			drop_oldest(vms);
	}
	add_list(vms, body, at_once ? 0 : vms->lag_us);
	fake_reply(message, 200, json_object_new());
}

/* GET /vms */
void platform_reply_vms(platform_vms_t *vms, SoupServerMessage *message)
{
	int64_t now_us = fake_now_us();
	const vm_list_t *second;

	while ((second = g_queue_peek_nth(&vms->lists, 1))) {
		if (second->visible_us > now_us)
			break;
		drop_oldest(vms);
	}
	fake_reply(message, 200,
		   json_object_ref(
			   ((const vm_list_t *)g_queue_peek_head(&vms->lists))
				   ->body));
}
