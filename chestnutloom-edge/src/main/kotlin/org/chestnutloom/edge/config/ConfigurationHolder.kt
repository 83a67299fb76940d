package org.chestnutloom.edge.config

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.common.log.event
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** The configuration in force, which only ever moves to a higher version; used on the event loop only. */
public class ConfigurationHolder(
    private val clock: Clock,
) {
    private val listeners = mutableListOf<(EdgeConfiguration) -> Unit>()
    private val startedAt = clock.elapsed()
    private val first = CompletableDeferred<EdgeConfiguration>()
    private var confirmedAt: Duration? = null

    /** The configuration in force, or null before the first. */
    public var current: EdgeConfiguration? = null
        private set

    /** Whether the store lately confirmed that there is nothing newer. */
    public val isFresh: Boolean
        get() = confirmedAt.let { it != null && clock.elapsed() - it < FRESH_FOR }

    /**
     * Returns the configuration in force, or null when there is none.
     *
     * A process that has just started waits for its first one a little, since that is about to come.
     */
    public suspend fun awaitCurrent(): EdgeConfiguration? {
        current?.let { return it }
        val longestWait = startedAt + FIRST_READ - clock.elapsed()
        if (longestWait <= Duration.ZERO) return null
        return withTimeoutOrNull(longestWait) { first.await() }
    }

    /** Calls [listener] with each new configuration. */
    public fun onChange(listener: (EdgeConfiguration) -> Unit) {
        listeners += listener
    }

    /** Takes note that the store was heard and has nothing newer than what was offered before. */
    public fun confirm() {
        confirmedAt = clock.elapsed()
    }

    /** Puts [configuration] in force if it is newer than the one that is. */
    public fun offer(configuration: EdgeConfiguration) {
        val known = current
        if (known != null && known.version >= configuration.version) return
        current = configuration
        logger.event(
            "configuration_in_force",
            "version" to configuration.version,
            "before" to (known?.version ?: "none"),
            "routes" to configuration.routes.size,
            "accounts" to (configuration.accounts?.size ?: "none"),
        )
        listeners.forEach { it(configuration) }
        first.complete(configuration)
    }

    private companion object {
        /** Longer than a watch of the store takes to come back without news. */
        private val FRESH_FOR = 2_500.milliseconds

        /** How long a process takes from its start to its first configuration, while the store works. */
        private val FIRST_READ = 600.milliseconds
    }
}
