package org.chestnutloom.gateway.control

import org.chestnutloom.store.VmEntry

/** Provides the target VMs of the last VM list that was read. */
public interface TargetDirectory {
    /** Returns the listed target VMs; those in state `LEAVING` get no new work. */
    public fun targets(): List<VmEntry>
}
