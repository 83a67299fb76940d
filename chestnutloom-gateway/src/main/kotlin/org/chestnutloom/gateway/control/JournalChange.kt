package org.chestnutloom.gateway.control

import kotlinx.serialization.json.JsonElement
import org.chestnutloom.id.ProgramId

/**
 * A change to one program.
 *
 * @property state the complete new state of the program
 * @property turns the turn records to add or replace, by turn number
 * @property related the new states of other programs in the same program tree, written in the same transaction
 */
public data class JournalChange(
    public val program: ProgramId,
    public val state: JsonElement,
    public val turns: Map<Int, JsonElement> = emptyMap(),
    public val related: Map<ProgramId, JsonElement> = emptyMap(),
)
