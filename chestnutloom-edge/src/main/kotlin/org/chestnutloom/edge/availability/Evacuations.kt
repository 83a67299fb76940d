package org.chestnutloom.edge.availability

import io.github.oshai.kotlinlogging.KotlinLogging
import org.chestnutloom.common.log.event
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** The failure domains whose targets get no requests by order of the operators; confined to the event loop. */
internal class Evacuations(
    private val clock: Clock,
) {
    private val evacuated = HashSet<String>()
    private val endedAtByDomain = HashMap<String, Duration>()
    private val listeners = mutableListOf<() -> Unit>()

    /** The number of failure domains that are evacuated. */
    val count: Int
        get() = evacuated.size

    /** Whether a failure domain is evacuated or was until recently. */
    val isAnyInEffect: Boolean
        get() = evacuated.isNotEmpty() || endedAtByDomain.isNotEmpty()

    /** Returns whether the failure domain [domain] is evacuated. */
    fun isEvacuated(domain: String): Boolean = domain in evacuated

    /** Returns the fraction of its load that the failure domain [domain] may take: 0 to 1, which grows after its return. */
    fun shareOf(domain: String): Double {
        if (domain in evacuated) return 0.0
        val endedAt = endedAtByDomain[domain] ?: return 1.0
        val share = (clock.elapsed() - endedAt) / RETURN_PERIOD
        if (share >= 1.0) endedAtByDomain.remove(domain)
        return share.coerceIn(0.0, 1.0)
    }

    /** Calls [listener] after each change. */
    fun onChange(listener: () -> Unit) {
        listeners += listener
    }

    /** Evacuates the failure domain [domain]. */
    fun start(domain: String) {
        if (!evacuated.add(domain)) return
        endedAtByDomain.remove(domain)
        logger.event("evacuation_started", "failure_domain" to domain)
        notifyListeners()
    }

    /** Lets the load of the failure domain [domain] return. */
    fun end(domain: String) {
        if (!evacuated.remove(domain)) return
        endedAtByDomain[domain] = clock.elapsed()
        logger.event("evacuation_ended", "failure_domain" to domain)
        notifyListeners()
    }

    /** Evacuates exactly the failure domains [domains]. */
    fun replaceAll(domains: Set<String>) {
        (evacuated - domains).forEach(::end)
        domains.forEach(::start)
    }

    private fun notifyListeners() {
        listeners.forEach { it() }
    }

    private companion object {
        /** Long enough for caches and connections of the returning targets to be established at a fraction of the load. */
        private val RETURN_PERIOD = 5.seconds
    }
}
