package org.chestnutloom.edge.admission

import org.chestnutloom.edge.target.QueuedRequest
import org.chestnutloom.edge.target.TargetRequirements

/** The service time of the requests that wait at this gateway, without those that start programs. */
internal class WaitingWork {
    private val modelWaitingMs = DoubleArray(PRIORITIES)
    private val plainWaitingMs = DoubleArray(PRIORITIES)

    /** The waiting requests to engines in ms, by priority, without trailing zeros. */
    val modelMs: List<Int>
        get() = compact(modelWaitingMs)

    /** The waiting requests to services without an engine in ms, by priority, without trailing zeros. */
    val plainMs: List<Int>
        get() = compact(plainWaitingMs)

    fun added(request: QueuedRequest) = add(request, sign = 1)

    fun removed(request: QueuedRequest) = add(request, sign = -1)

    private fun add(
        request: QueuedRequest,
        sign: Int,
    ) {
        val required: TargetRequirements = request.requirements
        if (required.startsProgram) return
        val waitingMs = if (required.isModelCall) modelWaitingMs else plainWaitingMs
        waitingMs[required.priority.coerceIn(0, PRIORITIES - 1)] += sign * request.serviceMs
    }

    private fun compact(waitingMs: DoubleArray): List<Int> = waitingMs.map { it.toInt() }.dropLastWhile { it <= 0 }

    companion object {
        /** Requests of lower priorities are counted with the last one. */
        const val PRIORITIES = 3
    }
}
