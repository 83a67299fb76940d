package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Asks a gateway that can reach the platform's store to change rows; the reply is one [StoreReply].
 *
 * @property conditions rows with their required versions
 * @property puts rows with their new values
 * @property removals rows to remove
 */
@Serializable
@SerialName("change-store")
public class ChangeStore(
    public val conditions: List<RelayedRow>,
    public val puts: List<RelayedRow>,
    public val removals: List<RelayedRow>,
) : LinkRequest
