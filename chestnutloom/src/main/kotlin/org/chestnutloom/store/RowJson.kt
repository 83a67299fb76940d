package org.chestnutloom.store

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** The JSON form of row contents: unknown fields are skipped, so that old and new processes can share rows. */
public val rowJson: Json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
    }

/** Decodes the content of this row, or returns null when it is not a [T]. */
public inline fun <reified T> Row.decodeOrNull(): T? =
    try {
        rowJson.decodeFromString<T>(value)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
