package org.chestnutloom.gateway.call

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.launch
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.gateway.control.KeyDirectory
import org.chestnutloom.gateway.control.SettingsSource
import org.chestnutloom.id.KeyId
import org.chestnutloom.wire.link.HeartbeatSource
import org.chestnutloom.wire.link.LinkException
import org.chestnutloom.wire.message.ApplyTargetSettings

private val logger = KotlinLogging.logger {}

/** Sends sidecars the current settings and recently withdrawn keys on each change and after each connection. */
internal class SidecarSettingsPublisher(
    private val pool: SidecarPool,
    private val settings: SettingsSource,
    private val keys: KeyDirectory,
    private val heartbeats: HeartbeatSource,
    private val scope: CoroutineScope,
) {
    private val withdrawn = LinkedHashSet<KeyId>()

    /** Starts observing changes. */
    fun start() {
        pool.onConnected = ::send
        scope.launch { settings.current.collect { sendToAll() } }
        scope.launch {
            keys.withdrawals.collect { key ->
                add(key)
                sendToAll()
            }
        }
    }

    private fun add(key: KeyId) =
        synchronized(withdrawn) {
            withdrawn += key
            if (withdrawn.size > MAX_KEYS) withdrawn.remove(withdrawn.first())
        }

    private fun sendToAll() = pool.all().forEach { sidecar -> scope.launch { send(sidecar) } }

    private suspend fun send(sidecar: Sidecar) {
        val applied = settings.current.value ?: return
        val recentlyWithdrawn = synchronized(withdrawn) { withdrawn.toList() }
        val keyVersion = heartbeats.current().keyVersion
        val request = ApplyTargetSettings(applied.version, keyVersion, applied.document, recentlyWithdrawn)
        try {
            sidecar.link.request(request).firstOrNull()
        } catch (exception: LinkException) {
            logger.warnEvent("settings_not_sent", "target" to sidecar.id, "failure" to exception.failure)
        }
    }

    private companion object {
        const val MAX_KEYS = 1_000
    }
}
