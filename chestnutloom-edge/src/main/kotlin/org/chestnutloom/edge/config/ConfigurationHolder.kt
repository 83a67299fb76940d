package org.chestnutloom.edge.config

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.common.log.event
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Holds the current configuration, whose version only increases; confined to the event loop. */
public class ConfigurationHolder(
    private val clock: Clock,
) {
    private val listeners = mutableListOf<(EdgeConfiguration) -> Unit>()
    private val startedAt = clock.elapsed()
    private val first = CompletableDeferred<EdgeConfiguration>()
    private var confirmedAt: Duration? = null

    /** The current configuration, or null before the first was read. */
    public var current: EdgeConfiguration? = null
        private set

    /** Whether the store recently confirmed that there is no newer version. */
    public val isFresh: Boolean
        get() = age.let { it != null && it < MAX_CONFIRMATION_AGE }

    /** The time since the store confirmed that there is no newer version, or null if it never has. */
    internal val age: Duration?
        get() = confirmedAt?.let { clock.elapsed() - it }

    /**
     * Returns the current configuration, or null when there is none.
     *
     * A process that has just started waits briefly for its first configuration.
     */
    public suspend fun awaitCurrent(): EdgeConfiguration? {
        current?.let { return it }
        val remaining = startedAt + FIRST_READ_TIMEOUT - clock.elapsed()
        if (remaining <= Duration.ZERO) return null
        return withTimeoutOrNull(remaining) { first.await() }
    }

    /** Calls [listener] with each new configuration. */
    public fun onChange(listener: (EdgeConfiguration) -> Unit) {
        listeners += listener
    }

    /** Records that the store responded and has no newer version than the last one offered. */
    public fun confirm() {
        confirmedAt = clock.elapsed()
    }

    /** Applies [configuration] if its version is newer than the current one. */
    public fun offer(configuration: EdgeConfiguration) {
        val previous = current
        if (previous != null && previous.version >= configuration.version) return
        current = configuration
        logger.event(
            "configuration_in_force",
            "version" to configuration.version,
            "before" to (previous?.version ?: "none"),
            "routes" to configuration.routes.size,
            "accounts" to (configuration.accounts?.size ?: "none"),
        )
        listeners.forEach { it(configuration) }
        first.complete(configuration)
    }

    private companion object {
        /** Longer than a watch of the store waits before it returns without changes. */
        private val MAX_CONFIRMATION_AGE = 2_500.milliseconds

        /** The time in which a process reads its first configuration after its start while the store is available. */
        private val FIRST_READ_TIMEOUT = 600.milliseconds
    }
}
