package org.chestnutloom.fakes.http

import kotlinx.serialization.Serializable

/** The body of an answer to a request that a stand-in cannot read. */
@Serializable
internal data class BadRequest(
    val problem: String,
)
