package org.chestnutloom.fakes.platform

import kotlinx.serialization.Serializable
import org.chestnutloom.store.VmEntry

/** The VM list as an answer. */
@Serializable
internal data class VmEntryList(
    val vms: List<VmEntry>,
)
