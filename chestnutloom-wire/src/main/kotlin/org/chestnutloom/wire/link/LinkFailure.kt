package org.chestnutloom.wire.link

/** Why a stream over a link ended before the peer ended it. */
public sealed interface LinkFailure {
    /** The peer refused the connection, so no process listens at the address. */
    public data class Refused(
        public val address: PeerAddress,
    ) : LinkFailure

    /** No connection could be made in time; the request was not sent. */
    public data class Unreachable(
        public val address: PeerAddress,
        public val detail: String,
    ) : LinkFailure

    /** The connection failed or went silent after the request may have been sent. */
    public data class Lost(
        public val address: PeerAddress,
        public val detail: String,
    ) : LinkFailure

    /** The peer sent bytes that are not a valid frame. */
    public data class Malformed(
        public val address: PeerAddress,
        public val detail: String,
    ) : LinkFailure

    /** Another process than the expected one answered at the address. */
    public data class WrongPeer(
        public val expected: String,
        public val actual: PeerIdentity,
    ) : LinkFailure
}
