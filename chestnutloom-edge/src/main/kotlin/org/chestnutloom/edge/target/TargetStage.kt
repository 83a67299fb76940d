package org.chestnutloom.edge.target

/** Whether a target takes new work. */
public enum class TargetStage {
    /** It takes work. */
    READY,

    /** It finishes what it has and leaves. */
    DRAINING,
}
