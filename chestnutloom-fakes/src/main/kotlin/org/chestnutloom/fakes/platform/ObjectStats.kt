package org.chestnutloom.fakes.platform

import kotlinx.serialization.Serializable

/** What an object store did since its start. */
@Serializable
public data class ObjectStats(
    public val puts: Long,
    public val gets: Long,
    public val putBytes: Long,
    public val objects: Int,
)
