package org.chestnutloom.sidecar.call

/** The run that a request belongs to; [isNew] tells whether the request opened it. */
internal data class Admission(
    val record: CallRecord,
    val isNew: Boolean,
)
