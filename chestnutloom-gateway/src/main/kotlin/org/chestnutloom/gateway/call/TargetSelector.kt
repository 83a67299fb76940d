package org.chestnutloom.gateway.call

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.call.CallKind
import org.chestnutloom.config.EnvironmentSettings
import org.chestnutloom.gateway.control.SettingsSource
import org.chestnutloom.id.TargetId
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.route.RouteQuery
import org.chestnutloom.route.RoutingPolicy
import org.chestnutloom.route.TargetView
import org.chestnutloom.store.VmState
import org.chestnutloom.wire.message.LoadReport
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Selects a sidecar for each attempt of a call. */
internal class TargetSelector(
    private val pool: SidecarPool,
    private val settings: SettingsSource,
    private val policy: RoutingPolicy,
    private val failureDomain: String,
    private val mechanisms: Mechanisms,
) {
    /**
     * Returns a sidecar for [plan], or null if none becomes available within [MAX_WAIT].
     *
     * A sidecar in [excluded] is selected only if no other one is available after a short wait.
     */
    suspend fun select(
        plan: CallPlan,
        excluded: Set<TargetId>,
    ): Sidecar? =
        selectNow(plan, excluded) ?: withTimeoutOrNull(MAX_WAIT) {
            var selected: Sidecar? = null
            while (selected == null) {
                delay(CHECK_INTERVAL)
                selected = selectNow(plan, excluded) ?: selectNow(plan, emptySet())
            }
            selected
        }

    /** Returns a sidecar for [plan] that is available now and not in [excluded], or null. */
    fun selectNow(
        plan: CallPlan,
        excluded: Set<TargetId>,
    ): Sidecar? {
        val configured = settings.current.value?.settings ?: return null
        val candidates = pool.all().filter { it.id !in excluded && canServe(it, plan, configured) }
        val views = candidates.mapNotNull { view(it, plan) }
        val chosen = policy.choose(RouteQuery(plan.promptTokens, failureDomain), views) ?: return null
        return candidates.first { it.id == chosen.id }
    }

    private fun canServe(
        sidecar: Sidecar,
        plan: CallPlan,
        configured: EnvironmentSettings,
    ): Boolean {
        val load = sidecar.load()
        val report = load.report ?: return false
        val isUp = load.isWatched && report.targetReachable
        return isUp &&
            !isDraining(sidecar, report) &&
            isConfigured(sidecar.id, plan, configured) &&
            isOffered(report, plan)
    }

    private fun isDraining(
        sidecar: Sidecar,
        report: LoadReport,
    ): Boolean = mechanisms.has(Mechanism.DRAIN) && (report.draining || sidecar.entry.state == VmState.LEAVING)

    private fun isConfigured(
        target: TargetId,
        plan: CallPlan,
        configured: EnvironmentSettings,
    ): Boolean =
        when (plan.kind) {
            CallKind.MODEL -> plan.model in configured.targets[target]?.models.orEmpty()
            CallKind.TOOL -> target in configured.services[plan.service]?.targets.orEmpty()
        }

    private fun isOffered(
        report: LoadReport,
        plan: CallPlan,
    ): Boolean =
        when (plan.kind) {
            CallKind.MODEL -> report.models.isEmpty() || plan.model in report.models
            CallKind.TOOL -> report.services.isEmpty() || plan.service in report.services
        }

    private fun view(
        sidecar: Sidecar,
        plan: CallPlan,
    ): TargetView? {
        val load = sidecar.load()
        val report = load.report ?: return null
        return TargetView(
            id = sidecar.id,
            failureDomain = sidecar.entry.failureDomain,
            expectedWaitMs = report.expectedWaitMs,
            callsInFlight = report.queuedCalls + report.runningCalls,
            maxRunningCalls = report.maxRunningCalls,
            sentSinceReport = load.sentSinceReport,
            tokensSentSinceReport = load.tokensSentSinceReport,
            prefillTokensPerSecond = report.prefillTokensPerSecond,
            cachedTokens = cachedTokens(sidecar, plan, report),
        )
    }

    private fun cachedTokens(
        sidecar: Sidecar,
        plan: CallPlan,
        report: LoadReport,
    ): Long {
        val reported = plan.program?.let { report.cachedPrograms[it] }
        if (reported != null) return reported
        return if (plan.lastTarget == sidecar.id) plan.lastPromptTokens else 0
    }

    private companion object {
        val CHECK_INTERVAL = 50.milliseconds
        val MAX_WAIT = 2.seconds
    }
}
