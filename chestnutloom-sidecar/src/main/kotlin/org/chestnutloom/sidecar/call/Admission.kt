package org.chestnutloom.sidecar.call

/** The call record of an admitted request; [isNew] is true if the request created it. */
internal data class Admission(
    val record: CallRecord,
    val isNew: Boolean,
)
