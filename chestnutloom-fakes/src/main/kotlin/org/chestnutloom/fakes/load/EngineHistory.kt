package org.chestnutloom.fakes.load

import org.chestnutloom.fakes.engine.CacheEvent
import org.chestnutloom.fakes.record.RequestRecord

/**
 * What one engine did.
 *
 * @property events every change of its cache; empty when the engine died
 */
internal data class EngineHistory(
    val requests: List<RequestRecord>,
    val events: List<CacheEvent>,
)
