package org.chestnutloom.edge.target

import kotlinx.coroutines.CoroutineScope
import org.chestnutloom.edge.http.ConnectionPool
import org.chestnutloom.edge.http.HttpConnector
import org.chestnutloom.time.Clock

/** Makes the view of a target that was found. */
public class TargetFactory(
    private val connector: HttpConnector,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    /** Returns the view of [entry], whose engine's memory holds [cacheTokens]. */
    internal fun create(
        entry: TargetEntry,
        cacheTokens: Long,
    ): Target = Target(entry, ConnectionPool(entry.address, connector, clock, scope), PromptCacheEstimate(cacheTokens))
}
