package org.chestnutloom.fakes.platform

import kotlinx.serialization.Serializable

/** A request to the table service for rows by key. */
@Serializable
internal data class ReadRequest(
    val keys: List<String>,
)
