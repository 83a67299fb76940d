package org.chestnutloom.edge.store

/** Tells whether calls to the platform's store can be expected to succeed at the moment. */
public fun interface StoreReachability {
    /** Returns whether the store has not been failing for long, or another gateway reaches it. */
    public fun isReachable(): Boolean
}
