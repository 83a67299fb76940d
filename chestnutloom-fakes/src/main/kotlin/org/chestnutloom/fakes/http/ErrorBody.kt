package org.chestnutloom.fakes.http

import kotlinx.serialization.Serializable

/** The body of an error response of a stand-in. */
@Serializable
internal data class ErrorBody(
    val problem: String,
)
