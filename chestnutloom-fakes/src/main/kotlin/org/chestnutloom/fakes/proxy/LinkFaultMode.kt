package org.chestnutloom.fakes.proxy

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What a proxy does to the connections of a link.
 *
 * @property onlyDirection the one direction that the mode changes, or null when it changes both
 */
@Serializable
public enum class LinkFaultMode(
    internal val onlyDirection: Direction? = null,
) {
    /** Bytes pass. */
    @SerialName("pass")
    PASS,

    /** Connections are closed, and new ones too. */
    @SerialName("cut")
    CUT,

    /** Bytes to the target are swallowed; a connection that lost some never carries any in that direction again. */
    @SerialName("cut_to_target")
    CUT_TO_TARGET(Direction.TO_TARGET),

    /** Bytes to the caller are swallowed; a connection that lost some never carries any in that direction again. */
    @SerialName("cut_to_caller")
    CUT_TO_CALLER(Direction.TO_CALLER),

    /** Open connections carry nothing more and stay open, for good; new connections work. */
    @SerialName("silent")
    SILENT,

    /** Bytes arrive late. */
    @SerialName("delay")
    DELAY,

    /** Bytes of every second connection arrive late, so that answers on different connections overtake each other. */
    @SerialName("reorder_connections")
    REORDER_CONNECTIONS,

    /** Requests are delivered; their answers are swallowed, and then the connection closes. */
    @SerialName("drop_reply")
    DROP_REPLY(Direction.TO_CALLER),

    /** Each piece that is read is written twice. */
    @SerialName("duplicate")
    DUPLICATE,
}
