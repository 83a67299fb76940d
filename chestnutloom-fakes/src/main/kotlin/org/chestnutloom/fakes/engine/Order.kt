package org.chestnutloom.fakes.engine

import kotlinx.serialization.Serializable

/** An administrative order to an engine, such as to load a model. */
@Serializable
internal data class Order(
    val fencing: Long,
    val kind: OrderKind,
    val argument: String,
)
