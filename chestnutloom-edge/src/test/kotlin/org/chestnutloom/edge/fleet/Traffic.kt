package org.chestnutloom.edge.fleet

/**
 * What a simulated gateway has exchanged with the others.
 *
 * @property receivedStates the gateway states in received heartbeats, relayed ones included
 */
internal data class Traffic(
    val sentDatagrams: Int = 0,
    val sentBytes: Int = 0,
    val receivedStates: Int = 0,
) {
    operator fun minus(earlier: Traffic): Traffic =
        Traffic(
            sentDatagrams - earlier.sentDatagrams,
            sentBytes - earlier.sentBytes,
            receivedStates - earlier.receivedStates,
        )
}
