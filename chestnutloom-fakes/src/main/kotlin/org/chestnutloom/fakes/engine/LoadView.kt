package org.chestnutloom.fakes.engine

import kotlinx.serialization.Serializable

/** The response of `GET /v1/load`. */
@Serializable
internal data class LoadView(
    val running: Int,
    val waiting: Int,
    val cachedTokens: Long,
    val cacheTokens: Long,
)
