package org.chestnutloom.fakes.load

import org.chestnutloom.fakes.engine.CacheEvent
import org.chestnutloom.fakes.record.RequestRecord

/**
 * The request log and cache events of one engine.
 *
 * @property events every change of its cache; empty if the engine process has ended
 */
internal data class EngineHistory(
    val requests: List<RequestRecord>,
    val events: List<CacheEvent>,
)
