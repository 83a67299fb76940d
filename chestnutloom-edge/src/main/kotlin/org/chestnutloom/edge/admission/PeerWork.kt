package org.chestnutloom.edge.admission

import org.chestnutloom.id.GatewayId

/** The sum of the work that other gateways report; a gateway that is silent no longer counts. */
internal class PeerWork {
    private val reports = HashMap<GatewayId, WorkReport>()
    private val modelWaitingMs = LongArray(WaitingWork.PRIORITIES)
    private val plainWaitingMs = LongArray(WaitingWork.PRIORITIES)
    private var limitPercentSum = 0
    private var limitCount = 0
    private var committedMilliSlots = 0L

    /** The mean number of slots that the programs of other gateways need. */
    val committedSlots: Double
        get() = committedMilliSlots / MILLI

    /** Replaces the report of [gateway] by [report], or removes it if that is null or not plausible. */
    fun update(
        gateway: GatewayId,
        report: WorkReport?,
    ) {
        reports.remove(gateway)?.let { add(it, sign = -1) }
        if (report == null || !report.isPlausible) return
        reports[gateway] = report
        add(report, sign = 1)
    }

    /** Returns the service time of requests at other gateways that wait with a higher priority than [priority], in ms. */
    fun waitingBeforeMs(
        isModelCall: Boolean,
        priority: Int,
    ): Long {
        val waitingMs = if (isModelCall) modelWaitingMs else plainWaitingMs
        return (0 until priority.coerceIn(0, waitingMs.size)).sumOf { waitingMs[it] }
    }

    /** Returns the mean of the utilization limits that are known, [ownPercent] among them, or null if none is. */
    fun meanLimitPercent(ownPercent: Int): Double? {
        val count = limitCount + if (ownPercent > 0) 1 else 0
        return if (count == 0) null else (limitPercentSum + ownPercent) / count.toDouble()
    }

    private fun add(
        report: WorkReport,
        sign: Int,
    ) {
        limitPercentSum += sign * report.limitPercent
        if (report.limitPercent > 0) limitCount += sign
        committedMilliSlots += sign * report.committedMilliSlots
        addWaiting(modelWaitingMs, report.modelWaitingMs, sign)
        addWaiting(plainWaitingMs, report.plainWaitingMs, sign)
    }

    private fun addWaiting(
        totalMs: LongArray,
        reportedMs: List<Int>,
        sign: Int,
    ) {
        reportedMs.take(totalMs.size).forEachIndexed { priority, ms -> totalMs[priority] += sign * ms.toLong() }
    }

    private companion object {
        private const val MILLI = 1_000.0
    }
}
