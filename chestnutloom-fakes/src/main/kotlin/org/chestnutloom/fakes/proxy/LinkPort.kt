package org.chestnutloom.fakes.proxy

import kotlinx.serialization.Serializable

/** The port that a link of a proxy listens on. */
@Serializable
public data class LinkPort(
    public val port: Int,
)
