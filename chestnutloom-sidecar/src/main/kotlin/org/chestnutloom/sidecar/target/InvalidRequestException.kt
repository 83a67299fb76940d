package org.chestnutloom.sidecar.target

/** Thrown when a call cannot be encoded as an HTTP request; nothing was sent. */
internal class InvalidRequestException(
    detail: String,
) : IllegalArgumentException(detail)
