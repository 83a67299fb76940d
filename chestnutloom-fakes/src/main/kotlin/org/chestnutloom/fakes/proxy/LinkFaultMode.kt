package org.chestnutloom.fakes.proxy

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Kinds of faults that a proxy injects on the connections of a link.
 *
 * @property onlyDirection the only direction that the mode affects, or null if it affects both
 */
@Serializable
public enum class LinkFaultMode(
    internal val onlyDirection: Direction? = null,
) {
    /** Bytes pass unchanged. */
    @SerialName("pass")
    PASS,

    /** Existing and new connections are closed. */
    @SerialName("cut")
    CUT,

    /** Bytes to the target are discarded; a connection that lost some never delivers any in that direction again. */
    @SerialName("cut_to_target")
    CUT_TO_TARGET(Direction.TO_TARGET),

    /** Bytes to the caller are discarded; a connection that lost some never delivers any in that direction again. */
    @SerialName("cut_to_caller")
    CUT_TO_CALLER(Direction.TO_CALLER),

    /** Existing connections stay open but never transfer bytes again; new connections work. */
    @SerialName("silent")
    SILENT,

    /** Bytes are delayed. */
    @SerialName("delay")
    DELAY,

    /** Bytes of every second connection are delayed, so that replies on different connections are reordered. */
    @SerialName("reorder_connections")
    REORDER_CONNECTIONS,

    /** Requests are delivered, replies are discarded, and then the connection is closed. */
    @SerialName("drop_reply")
    DROP_REPLY(Direction.TO_CALLER),

    /** Each chunk that is read is written twice. */
    @SerialName("duplicate")
    DUPLICATE,
}
