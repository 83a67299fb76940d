package org.chestnutloom.fakes.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Names a program, and for export and import an object in the object store. */
@Serializable
internal data class ProgramReference(
    val program: String,
    @SerialName("object")
    val objectName: String = program,
)
