package org.chestnutloom.store

import kotlinx.serialization.Serializable

/**
 * One VM in the platform's list.
 *
 * @property id the id of the gateway or target on the VM
 * @property host the VM's IP address
 * @property port the port on which its chestnutloom process accepts links from other chestnutloom processes
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
