package org.chestnutloom.sidecar.target

/** Thrown when a call cannot be put into an HTTP request; nothing was sent. */
internal class UnsendableException(
    detail: String,
) : IllegalArgumentException(detail)
