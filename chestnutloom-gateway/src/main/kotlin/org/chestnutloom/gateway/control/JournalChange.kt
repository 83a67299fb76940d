package org.chestnutloom.gateway.control

import kotlinx.serialization.json.JsonElement
import org.chestnutloom.id.ProgramId

/**
 * One change of one program.
 *
 * @property state the program's whole new state
 * @property turns records of turns to add or replace, by turn number
 * @property related further programs of the same family whose state changes in the same transaction
 */
public data class JournalChange(
    public val program: ProgramId,
    public val state: JsonElement,
    public val turns: Map<Int, JsonElement> = emptyMap(),
    public val related: Map<ProgramId, JsonElement> = emptyMap(),
)
