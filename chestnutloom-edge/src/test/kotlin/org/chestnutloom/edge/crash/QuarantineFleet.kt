package org.chestnutloom.edge.crash

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import org.chestnutloom.edge.VirtualClock
import org.chestnutloom.wire.link.PeerAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Gateways that report crashes to each other, in front of targets that requests of callers run at. */
internal class QuarantineFleet(
    private val test: TestScope,
    gatewayCount: Int,
) {
    private val clock = VirtualClock(test)
    private val grants = TrialGrants(clock)
    private val gateways =
        List(gatewayCount) { RequestQuarantine({ true }, grants::grant, clock, test.backgroundScope) }
    private var targetCount = 0

    init {
        test.backgroundScope.launch { exchangeReports() }
    }

    private suspend fun exchangeReports() {
        while (true) {
            delay(HEARTBEAT_INTERVAL)
            val reports = gateways.map { it.nextReports() }
            test.backgroundScope.launch {
                delay(TRANSIT)
                gateways.forEachIndexed { to, gateway ->
                    reports.forEachIndexed { from, sent -> if (from != to) gateway.merge(sent) }
                }
            }
        }
    }

    /** Sends a request that crashes its target after [runTime]; returns whether it reached one. */
    suspend fun sendCrashing(
        gateway: Int,
        fingerprint: RequestFingerprint,
        runTime: Duration,
    ): Boolean {
        if (gateways[gateway].admit(fingerprint) != null) return false
        val crashesBefore = gateways[gateway].crashesInRow(fingerprint)
        delay(runTime)
        gateways[gateway].recordAborted(fingerprint, nextTarget(), crashesBefore)
        return true
    }

    /** Sends a request that runs to its end in [runTime]; returns whether it reached a target. */
    suspend fun sendSound(
        gateway: Int,
        fingerprint: RequestFingerprint,
        runTime: Duration,
    ): Boolean {
        if (gateways[gateway].admit(fingerprint) != null) return false
        delay(runTime)
        gateways[gateway].recordSurvival(fingerprint)
        return true
    }

    /** Crashes one target of each gateway at the same moment, at which each runs a request with [fingerprint]. */
    suspend fun crashEverywhere(
        fingerprint: RequestFingerprint,
        runTime: Duration,
    ) {
        val crashesBefore = gateways.map { it.crashesInRow(fingerprint) }
        delay(runTime)
        gateways.forEachIndexed { index, it -> it.recordAborted(fingerprint, nextTarget(), crashesBefore[index]) }
    }

    private fun nextTarget() = TargetRun("e${targetCount++}", PeerAddress("127.0.0.1", port = 9))

    private companion object {
        val HEARTBEAT_INTERVAL = 100.milliseconds
        val TRANSIT = 20.milliseconds
    }
}
