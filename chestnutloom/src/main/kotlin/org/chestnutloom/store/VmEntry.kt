package org.chestnutloom.store

import kotlinx.serialization.Serializable

/**
 * One VM on the platform's list.
 *
 * @property id the gateway id or target id that the VM carries
 * @property host the VM's IP number
 * @property port the port on which its chestnutloom process takes links from other chestnutloom processes
 */
@Serializable
public data class VmEntry(
    public val id: String,
    public val role: VmRole,
    public val host: String,
    public val port: Int,
    public val failureDomain: String,
    public val state: VmState,
)
