package org.chestnutloom.gateway.control

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import org.chestnutloom.id.ProgramId

/**
 * The row `program/{environment}/{id}`: one program.
 *
 * @property epoch the fencing epoch under which the row was written
 * @property turns where the record of each turn is kept, by turn number: segment object and index in it
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
