package org.chestnutloom.edge.fleet

/**
 * Returns this heartbeat with the work of its states in [FleetHeartbeat.workMs], where it is sent.
 *
 * The loads themselves cannot be extended: gateways of earlier builds reject arrays with more elements than they know,
 * but ignore unknown fields of the heartbeat.
 */
internal fun FleetHeartbeat.withAnnouncedWork(): FleetHeartbeat {
    val work = states.map { state -> state.loads.map { it.workMs } }
    return if (work.all { loads -> loads.all { it == 0 } }) this else copy(workMs = work)
}

/** Returns this received heartbeat with [FleetHeartbeat.workMs] in the loads of its states. */
internal fun FleetHeartbeat.withAppliedWork(): FleetHeartbeat {
    if (workMs.size != states.size) return this
    val applied = states.zip(workMs, ::withWork)
    return copy(sender = applied.first(), relayed = applied.drop(1))
}

private val FleetHeartbeat.states: List<GatewayState>
    get() = listOf(sender) + relayed

private fun withWork(
    state: GatewayState,
    workMs: List<Int>,
): GatewayState {
    if (workMs.size != state.loads.size) return state
    return state.copy(loads = state.loads.zip(workMs, ::withWork))
}

private fun withWork(
    load: TargetLoad,
    workMs: Int,
): TargetLoad = load.copy(workMs = workMs.coerceIn(0, TargetLoad.MAX_WORK_MS))
