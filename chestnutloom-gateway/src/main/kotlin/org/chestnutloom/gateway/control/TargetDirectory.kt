package org.chestnutloom.gateway.control

import org.chestnutloom.store.VmEntry

/** Knows the target VMs as the platform's list last showed them. */
public interface TargetDirectory {
    /** Returns the listed target VMs; those whose state is leaving get no new work. */
    public fun targets(): List<VmEntry>
}
