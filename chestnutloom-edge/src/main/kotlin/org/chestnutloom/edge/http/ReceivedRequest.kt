package org.chestnutloom.edge.http

/**
 * A request that was read and waits to be handled.
 *
 * @property reservation the memory of the request's body, until its exchange ends
 */
internal class ReceivedRequest(
    val request: CallerRequest,
    val reservation: BodyReservation,
)
