package org.chestnutloom.store

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** The JSON format of row contents; unknown fields are ignored so that old and new processes can share rows. */
public val rowJson: Json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
    }

/** Decodes the content of this row, or returns null if it is not a valid [T]. */
public inline fun <reified T> Row.decodeOrNull(): T? =
    try {
        rowJson.decodeFromString<T>(value)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
