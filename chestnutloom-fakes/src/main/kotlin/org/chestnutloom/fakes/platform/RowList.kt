package org.chestnutloom.fakes.platform

import kotlinx.serialization.Serializable
import org.chestnutloom.store.Row

/** A response with rows. */
@Serializable
internal data class RowList(
    val rows: List<Row>,
)
