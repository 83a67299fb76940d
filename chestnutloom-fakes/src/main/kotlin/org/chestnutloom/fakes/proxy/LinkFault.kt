package org.chestnutloom.fakes.proxy

import kotlinx.serialization.Serializable

/**
 * A fault that a proxy puts on a link.
 *
 * @property delayMs how late bytes arrive; with [LinkFaultMode.DROP_REPLY], how long answers are swallowed before the
 * connection closes
 * @property afterBytes how many bytes of each direction a connection still carries
 * @property count how many connections, or duplicated pieces, the fault holds for; null means all
 * @property direction the direction that the fault holds for; null means both
 * @property match the fault holds for a connection once this text went towards its target; null means at once
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
    /** Whether the fault holds for connections even when they carry nothing. */
    internal val isImmediate: Boolean
        get() = afterBytes == 0L && match == null

    internal fun holdsFor(flow: Direction): Boolean {
        val only = mode.onlyDirection ?: direction
        return only == null || only == flow
    }

    public companion object {
        /** No fault. */
        public val NONE: LinkFault = LinkFault(LinkFaultMode.PASS)
    }
}
