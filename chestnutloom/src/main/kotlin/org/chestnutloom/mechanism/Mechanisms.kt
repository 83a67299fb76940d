package org.chestnutloom.mechanism

import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.toImmutableSet

/** The safety mechanisms that a process runs with. */
public class Mechanisms private constructor(
    private val disabled: ImmutableSet<Mechanism>,
) {
    /** Tells whether [mechanism] is on. */
    public fun has(mechanism: Mechanism): Boolean = mechanism !in disabled

    public companion object {
        /** Every mechanism is on. */
        public val ALL: Mechanisms = Mechanisms(emptySet<Mechanism>().toImmutableSet())

        /** Every mechanism but [disabled] is on. */
        public fun without(disabled: Set<Mechanism>): Mechanisms = Mechanisms(disabled.toImmutableSet())
    }
}
