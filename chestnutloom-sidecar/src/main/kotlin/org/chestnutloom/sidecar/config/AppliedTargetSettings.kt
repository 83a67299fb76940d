package org.chestnutloom.sidecar.config

import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import org.chestnutloom.common.log.event
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.config.DocumentDecoder
import org.chestnutloom.config.TargetSettings
import org.chestnutloom.id.TargetId
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms

/** Holds the target's section of the applied environment document. */
internal class AppliedTargetSettings(
    private val target: TargetId,
    private val decoder: DocumentDecoder,
    private val mechanisms: Mechanisms,
) {
    private val logger = KotlinLogging.logger {}
    private var version = 0L

    /** The target's settings in the applied document, or null if it does not name the target. */
    @Volatile
    var current: TargetSettings? = null
        private set

    /** Applies [document] if it is valid and newer than the applied one; returns whether it was applied. */
    @Synchronized
    fun apply(
        newVersion: Long,
        document: String,
    ): Boolean {
        if (mechanisms.has(Mechanism.CONFIG_MONOTONIC) && newVersion <= version) return false
        val settings =
            decoder.decode(document).getOrElse {
                logger.warnEvent("settings_unreadable", "version" to newVersion, "faults" to it.size)
                return false
            }
        version = newVersion
        current = settings.targets[target]
        logger.event("settings_in_force", "version" to newVersion, "names_target" to (current != null))
        return true
    }
}
