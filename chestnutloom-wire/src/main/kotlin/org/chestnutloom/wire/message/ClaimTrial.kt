package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Asks a gateway to permit one trial of a quarantined request; the reply is one [Done], or a refusal.
 *
 * @property fingerprint identifies the request across retries
 */
@Serializable
@SerialName("claim-trial")
public data class ClaimTrial(
    public val fingerprint: String,
) : LinkRequest
