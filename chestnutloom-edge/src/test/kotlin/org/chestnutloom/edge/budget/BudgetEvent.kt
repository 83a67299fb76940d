package org.chestnutloom.edge.budget

/** What happens to a fleet in a [BudgetModel]; events at gateways name them by index. */
internal sealed interface BudgetEvent {
    /** A caller sends a turn, which is stored at its end if [isRetained]. */
    data class Begin(
        val gateway: Int,
        val isRetained: Boolean,
    ) : BudgetEvent

    /** A caller sends a turn that will be stored; once its tokens are claimed it waits for [Send]. */
    data class Claim(
        val gateway: Int,
    ) : BudgetEvent

    /** The oldest turn whose tokens are claimed is sent to a target. */
    data class Send(
        val gateway: Int,
    ) : BudgetEvent

    /** The oldest turn in progress ends whole. */
    data class End(
        val gateway: Int,
    ) : BudgetEvent

    /** The oldest turn in progress breaks off. */
    data class Break(
        val gateway: Int,
    ) : BudgetEvent

    /** The caller of the last turn that is not admitted yet leaves. */
    data class Leave(
        val gateway: Int,
    ) : BudgetEvent

    /** The gateway is killed and starts again. */
    data class Kill(
        val gateway: Int,
    ) : BudgetEvent

    /** The gateway is paused, or continues; while it is paused it is taken for gone if [isUnregistered]. */
    data class Pause(
        val gateway: Int,
        val isUnregistered: Boolean,
    ) : BudgetEvent

    /** Another program replaces this one in the gateway's memory. */
    data class Evict(
        val gateway: Int,
    ) : BudgetEvent

    /** How the store handles changes from now on. */
    data class Store(
        val mode: StoreMode,
    ) : BudgetEvent

    /** The store applies the changes that it holds, if their conditions still hold. */
    data object ApplyHeld : BudgetEvent
}

/** How the store of a [BudgetModel] handles changes. */
internal enum class StoreMode {
    SOUND,
    UNAVAILABLE,

    /** Changes are applied, and their responses are lost. */
    LOSING_RESPONSES,

    /** Changes get no response, and are applied later. */
    LATE,

    /** Changes are applied and answered later. */
    SLOW,
}
