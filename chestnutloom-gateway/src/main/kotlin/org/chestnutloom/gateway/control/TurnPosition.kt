package org.chestnutloom.gateway.control

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonPrimitive

/** The location of a turn record: the name of a segment object and the index in it. */
internal data class TurnPosition(
    val segment: String,
    val index: Int,
) {
    fun toJson(): JsonArray = JsonArray(listOf(JsonPrimitive(segment), JsonPrimitive(index)))

    companion object {
        fun of(json: JsonArray): TurnPosition = TurnPosition(json[0].jsonPrimitive.content, json[1].jsonPrimitive.int)
    }
}
