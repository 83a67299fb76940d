package org.chestnutloom.common.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.chestnutloom.store.StoreFailure

/** The JSON form of the outside systems; fields that are not known are skipped. */
internal val lenientJson: Json = Json { ignoreUnknownKeys = true }

/** Decodes the body of an answer. */
internal fun <T> HttpOutcome.Answer.decode(type: DeserializationStrategy<T>): Either<StoreFailure, T> =
    try {
        lenientJson.decodeFromString(type, body.decodeToString()).right()
    } catch (e: SerializationException) {
        StoreFailure.Malformed("status $status: ${e.javaClass.simpleName}").left()
    }
