package org.chestnutloom.fakes.proxy

import kotlinx.serialization.Serializable

/**
 * A fault that a proxy injects on a link.
 *
 * @property delayMs delay of the bytes; with [LinkFaultMode.DROP_REPLY], how long replies are discarded before the
 * connection is closed
 * @property afterBytes how many bytes pass in each direction of a connection before the fault applies
 * @property count the number of connections, or of duplicated chunks, that the fault applies to; null means all
 * @property direction the direction that the fault applies to; null means both
 * @property match the fault applies to a connection once this text was sent to its target; null means immediately
 */
@Serializable
public data class LinkFault(
    public val mode: LinkFaultMode,
    public val delayMs: Long = 0,
    public val afterBytes: Long = 0,
    public val count: Int? = null,
    public val direction: Direction? = null,
    public val match: String? = null,
) {
    /** Whether the fault applies to connections before they transfer any bytes. */
    internal val isImmediate: Boolean
        get() = afterBytes == 0L && match == null

    internal fun appliesTo(flow: Direction): Boolean {
        val only = mode.onlyDirection ?: direction
        return only == null || only == flow
    }

    public companion object {
        /** No fault. */
        public val NONE: LinkFault = LinkFault(LinkFaultMode.PASS)
    }
}
