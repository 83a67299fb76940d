package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Asks a gateway that reaches the platform's store to change rows; the reply is one [StoreReply].
 *
 * @property conditions rows with the version that each must have
 * @property puts rows with the value that each gets
 * @property removals rows that are removed
 */
@Serializable
@SerialName("change-store")
public class ChangeStore(
    public val conditions: List<RelayedRow>,
    public val puts: List<RelayedRow>,
    public val removals: List<RelayedRow>,
) : LinkRequest
