package org.chestnutloom.common.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.chestnutloom.store.StoreFailure

/** JSON format for external services; unknown fields are ignored. */
internal val lenientJson: Json = Json { ignoreUnknownKeys = true }

/** Decodes the response body as JSON. */
internal fun <T> HttpOutcome.Response.decode(type: DeserializationStrategy<T>): Either<StoreFailure, T> =
    try {
        lenientJson.decodeFromString(type, body.decodeToString()).right()
    } catch (e: SerializationException) {
        StoreFailure.Malformed("cannot decode a response with status $status: ${e.javaClass.simpleName}").left()
    }
