package org.chestnutloom.edge.target

/** The lifecycle stage of a target. */
public enum class TargetStage {
    /** The target accepts new requests. */
    READY,

    /** The target completes its requests in flight and then unregisters. */
    DRAINING,
}
