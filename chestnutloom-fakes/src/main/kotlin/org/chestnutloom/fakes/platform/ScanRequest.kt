package org.chestnutloom.fakes.platform

import kotlinx.serialization.Serializable

/** A request to the table service for a page of rows by key prefix. */
@Serializable
internal data class ScanRequest(
    val prefix: String,
    val afterKey: String? = null,
    val limit: Int,
)
