package org.chestnutloom.fakes.platform

import kotlinx.serialization.Serializable
import org.chestnutloom.store.Row

/** Some rows, as an answer. */
@Serializable
internal data class RowList(
    val rows: List<Row>,
)
