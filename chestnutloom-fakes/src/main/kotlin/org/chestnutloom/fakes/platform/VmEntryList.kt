package org.chestnutloom.fakes.platform

import kotlinx.serialization.Serializable
import org.chestnutloom.store.VmEntry

/** The response of `GET /v1/vms`. */
@Serializable
internal data class VmEntryList(
    val vms: List<VmEntry>,
)
