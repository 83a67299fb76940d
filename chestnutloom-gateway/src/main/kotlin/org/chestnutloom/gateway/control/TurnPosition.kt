package org.chestnutloom.gateway.control

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonPrimitive

/** Where the record of one turn is kept: the name of a segment object and the place in it. */
internal data class TurnPosition(
    val segment: String,
    val index: Int,
) {
    fun toJson(): JsonArray = JsonArray(listOf(JsonPrimitive(segment), JsonPrimitive(index)))

    companion object {
        fun of(json: JsonArray): TurnPosition = TurnPosition(json[0].jsonPrimitive.content, json[1].jsonPrimitive.int)
    }
}
