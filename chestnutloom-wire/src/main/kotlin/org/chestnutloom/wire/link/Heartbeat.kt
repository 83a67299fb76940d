package org.chestnutloom.wire.link

import kotlinx.serialization.Serializable

/**
 * A periodic liveness message, sent by both sides of a link.
 *
 * @property sequence the sequence number, which increases by one with each heartbeat of a connection
 * @property proofAgeMs age of the sender's proof that its configuration, keys and lease are current, in milliseconds;
 *   null when the sender has no proof
 * @property configVersion the configuration version that the sender has applied
 * @property keyVersion the version of the newest key change that the sender has applied
 */
@Serializable
public data class Heartbeat(
    public val sequence: Long,
    public val proofAgeMs: Long? = null,
    public val configVersion: Long = 0,
    public val keyVersion: Long = 0,
)
