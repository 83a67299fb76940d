package org.chestnutloom.edge.http

/** Thrown while a response is decoded that is not accepted for [reason]. */
internal class InvalidResponseException(
    reason: InvalidResponse,
) : Exception(reason.detail, null, false, false)
