package org.chestnutloom.fakes.platform

import kotlinx.serialization.Serializable

/** Asks the table service for a page of rows by the start of their keys. */
@Serializable
internal data class ScanRequest(
    val prefix: String,
    val afterKey: String? = null,
    val limit: Int,
)
