package org.chestnutloom.edge.fleet

/**
 * A gateway's registration with the version of its row.
 *
 * @property rowVersion the version of the row, which increases with each write
 */
public data class RegisteredMember(
    public val member: Member,
    public val rowVersion: Long,
)
