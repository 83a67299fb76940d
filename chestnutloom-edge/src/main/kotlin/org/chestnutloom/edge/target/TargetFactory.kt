package org.chestnutloom.edge.target

import kotlinx.coroutines.CoroutineScope
import org.chestnutloom.edge.http.ConnectionPool
import org.chestnutloom.edge.http.HttpConnector
import org.chestnutloom.time.Clock

/** Creates a [Target] for each target that is found. */
public class TargetFactory(
    private val connector: HttpConnector,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    /** Creates the target of [entry], whose engine caches [cacheTokens] tokens. */
    internal fun create(
        entry: TargetEntry,
        cacheTokens: Long,
    ): Target = Target(entry, ConnectionPool(entry.address, connector, clock, scope), PromptCacheEstimate(cacheTokens))
}
