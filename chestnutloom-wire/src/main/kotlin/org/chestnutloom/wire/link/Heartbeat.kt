package org.chestnutloom.wire.link

import kotlinx.serialization.Serializable

/**
 * Sent by both ends of a link to show that it is alive.
 *
 * @property sequence grows by one with each heartbeat of a link
 * @property proofAgeMs age of the sender's proof that its configuration, keys and lease are current, in milliseconds,
 *   or null when the sender has none
 * @property configVersion the newest configuration version that the sender has in force
 * @property keyVersion the newest key change that the sender has in force
 */
@Serializable
public data class Heartbeat(
    public val sequence: Long,
    public val proofAgeMs: Long? = null,
    public val configVersion: Long = 0,
    public val keyVersion: Long = 0,
)
