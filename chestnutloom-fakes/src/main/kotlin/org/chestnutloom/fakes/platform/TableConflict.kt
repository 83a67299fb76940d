package org.chestnutloom.fakes.platform

import kotlinx.serialization.Serializable
import org.chestnutloom.store.Row

/** The response to a transaction with a condition that does not hold. */
@Serializable
internal data class TableConflict(
    val failedKeys: List<String>,
    val current: List<Row>,
)
