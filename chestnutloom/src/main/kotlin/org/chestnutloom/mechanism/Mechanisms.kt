package org.chestnutloom.mechanism

import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.toImmutableSet

/** The safety mechanisms that are enabled in a process. */
public class Mechanisms private constructor(
    private val disabled: ImmutableSet<Mechanism>,
) {
    /** Returns whether [mechanism] is enabled. */
    public fun has(mechanism: Mechanism): Boolean = mechanism !in disabled

    public companion object {
        /** All mechanisms enabled. */
        public val ALL: Mechanisms = Mechanisms(emptySet<Mechanism>().toImmutableSet())

        /** Returns all mechanisms except [disabled]. */
        public fun without(disabled: Set<Mechanism>): Mechanisms = Mechanisms(disabled.toImmutableSet())
    }
}
