package org.chestnutloom.edge.call

import org.chestnutloom.edge.target.Target

/** Learns of the attempts to send calls to targets; called on the event loop. */
internal interface AttemptListener {
    /** Called when [call] has got a slot at [target] and is about to be sent. */
    fun started(
        call: RoutedCall,
        target: Target,
    ) = Unit

    /** Called when the head of the response of [target] to [call] has arrived. */
    fun responseBegun(
        call: RoutedCall,
        target: Target,
    ) = Unit

    /** Called when the attempt has ended with [result], or with null if the caller left meanwhile. */
    fun ended(
        call: RoutedCall,
        target: Target,
        result: AttemptResult?,
    ) = Unit
}
