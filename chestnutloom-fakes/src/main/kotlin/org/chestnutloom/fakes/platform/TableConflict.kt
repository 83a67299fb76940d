package org.chestnutloom.fakes.platform

import kotlinx.serialization.Serializable
import org.chestnutloom.store.Row

/** The answer to a transaction whose conditions did not all hold. */
@Serializable
internal data class TableConflict(
    val failedKeys: List<String>,
    val current: List<Row>,
)
