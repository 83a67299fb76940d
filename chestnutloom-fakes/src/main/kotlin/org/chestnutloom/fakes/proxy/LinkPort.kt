package org.chestnutloom.fakes.proxy

import kotlinx.serialization.Serializable

/** The listen port of a link. */
@Serializable
public data class LinkPort(
    public val port: Int,
)
