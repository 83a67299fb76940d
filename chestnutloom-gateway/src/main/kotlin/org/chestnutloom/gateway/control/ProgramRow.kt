package org.chestnutloom.gateway.control

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import org.chestnutloom.id.ProgramId

/**
 * A program as stored in the row `program/{environment}/{id}`.
 *
 * @property epoch the ownership epoch, a fencing token, in which the row was written
 * @property turns the location of each turn record by turn number: the segment object and the index in it
 */
@Serializable
internal data class ProgramRow(
    val epoch: Long,
    val state: JsonElement,
    val turns: Map<Int, JsonArray> = emptyMap(),
) {
    companion object {
        fun rowKey(
            environment: String,
            program: ProgramId,
        ): String = "program/$environment/${program.value}"
    }
}
