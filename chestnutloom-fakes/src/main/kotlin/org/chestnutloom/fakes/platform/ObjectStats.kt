package org.chestnutloom.fakes.platform

import kotlinx.serialization.Serializable

/** Counters of an object store since its start. */
@Serializable
public data class ObjectStats(
    public val puts: Long,
    public val gets: Long,
    public val putBytes: Long,
    public val objects: Int,
)
