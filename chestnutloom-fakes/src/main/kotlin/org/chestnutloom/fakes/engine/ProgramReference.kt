package org.chestnutloom.fakes.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A program and, for cache export and import, an object in the object store. */
@Serializable
internal data class ProgramReference(
    val program: String,
    @SerialName("object")
    val objectName: String = program,
)
