package org.chestnutloom.wire.link

/** Why a stream over a link failed. */
public sealed interface LinkFailure {
    /** The connection was refused: no process listens at the address. */
    public data class Refused(
        public val address: PeerAddress,
    ) : LinkFailure

    /** No connection was established in time; the request was not sent. */
    public data class Unreachable(
        public val address: PeerAddress,
        public val detail: String,
    ) : LinkFailure

    /** The connection failed or timed out after the request may have been sent. */
    public data class Lost(
        public val address: PeerAddress,
        public val detail: String,
    ) : LinkFailure

    /** The peer sent an invalid frame. */
    public data class Malformed(
        public val address: PeerAddress,
        public val detail: String,
    ) : LinkFailure

    /** Another process than the expected one listens at the address. */
    public data class WrongPeer(
        public val expected: String,
        public val actual: PeerIdentity,
    ) : LinkFailure
}
