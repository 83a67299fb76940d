package org.chestnutloom.sidecar.call

/** The call record that a request was assigned to; [isNew] is true if the request created it. */
internal data class Admission(
    val record: CallRecord,
    val isNew: Boolean,
)
