#include "support_settings.h"

/* Fills in settings with one key and an RPC port chosen by the kernel. */
void support_settings_init(settings_t *settings, const char *vm,
			   const char *zone)
{
	*settings = (settings_t){
		.deployment = g_strdup("test"),
		.vm = g_strdup(vm),
		.zone = g_strdup(zone),
		.rpc_address = g_strdup("127.0.0.1:0"),
		.peers = g_array_new(FALSE, TRUE, sizeof(settings_peer_t)),
		.keys = g_array_new(FALSE, TRUE, sizeof(settings_rpc_key_t)),
	};
	support_settings_add_key(settings, 1, "first secret");
}

/* Adds a key in front, so that it signs. */
void support_settings_add_key(settings_t *settings, uint32_t id,
			      const char *secret)
{
	settings_rpc_key_t key = {id, g_bytes_new(secret, strlen(secret))};

	g_array_prepend_val(settings->keys, key);
}

/* Adds a first contact. */
void support_settings_add_peer(settings_t *settings, const char *address)
{
	settings_peer_t peer = {.vm = g_strdup(""),
				.zone = g_strdup(""),
				.address = g_strdup(address)};

	g_array_append_val(settings->peers, peer);
}

/* Releases everything. */
void support_settings_finish(settings_t *settings)
{
	for (guint i = 0; i < settings->keys->len; i++)
		g_bytes_unref(
			g_array_index(settings->keys, settings_rpc_key_t, i)
				.secret);
	for (guint i = 0; i < settings->peers->len; i++) {
		settings_peer_t *peer =
			&g_array_index(settings->peers, settings_peer_t, i);

		g_free(peer->vm);
		g_free(peer->zone);
		g_free(peer->address);
	}
	g_array_unref(settings->keys);
	g_array_unref(settings->peers);
	g_free(settings->deployment);
	g_free(settings->vm);
	g_free(settings->zone);
	g_free(settings->rpc_address);
}
