package org.chestnutloom.edge

import io.micrometer.core.instrument.MeterRegistry
import org.chestnutloom.edge.admission.ProgramScheduling
import org.chestnutloom.edge.availability.TargetAvailability
import org.chestnutloom.edge.call.AttemptListener
import org.chestnutloom.edge.config.ConfigurationHolder
import org.chestnutloom.edge.outlier.OutlierDetector
import org.chestnutloom.edge.outlier.OutlierFilter
import org.chestnutloom.edge.outlier.OutlierListener
import org.chestnutloom.edge.target.SchedulingPolicy
import org.chestnutloom.edge.target.TargetDirectory
import org.chestnutloom.edge.target.TargetScheduler
import org.chestnutloom.edge.target.constantCostPolicy
import org.chestnutloom.edge.target.learnedScheduling
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.route.RoutingPolicyKind
import org.chestnutloom.route.routingPolicy
import org.chestnutloom.time.Clock
import kotlin.random.Random

/**
 * The parts of a gateway that decide where and when requests are sent.
 *
 * @param hasUnevenTargets whether costs are learned and programs are admitted by committed work
 * @param isIsolated returns whether this gateway may have been unregistered without learning of it
 */
internal class EdgeScheduling(
    settings: EdgeSettings,
    private val configurations: ConfigurationHolder,
    targets: TargetDirectory,
    hasUnevenTargets: Boolean,
    isIsolated: () -> Boolean,
    private val clock: Clock,
    private val metrics: MeterRegistry,
) {
    /** Detects targets that fail part of their requests. */
    val outliers: OutlierDetector = OutlierDetector(targets, clock)

    /** The limits that operators and targets set. */
    val availability: TargetAvailability =
        TargetAvailability(targets, settings.self.gateway, isIsolated, clock, Random.Default)

    private val learnedCosts = if (hasUnevenTargets) learnedScheduling(targets, clock, metrics) else null

    /** The admission of programs by committed work, or null if free slots decide. */
    val programs: ProgramScheduling? =
        if (hasUnevenTargets) ProgramScheduling(clock, Random.Default, ::ratePerSecondOf) else null

    private val policy = schedulingPolicy()

    /** Assigns requests to targets. */
    val scheduler: TargetScheduler = TargetScheduler(targets, policy, settings.self.failureDomain, clock)

    /** The listeners through which the parts learn of attempts. */
    val attemptListeners: List<AttemptListener>
        get() {
            val optional = listOfNotNull(learnedCosts?.listener, programs?.listener(policy.costs))
            return availability.attemptListeners + OutlierListener(outliers) + optional
        }

    /** Registers the gauges of all parts. */
    fun registerGauges() {
        metrics.gauge("chestnutloom.edge.evacuations", availability.evacuations) { it.count.toDouble() }
        metrics.gauge("chestnutloom.edge.targets.cold", availability.coldTargets) { it.count.toDouble() }
        metrics.gauge("chestnutloom.edge.targets.ejected", outliers) { it.ejectedCount.toDouble() }
        metrics.gauge("chestnutloom.edge.waiting", scheduler) { it.waitingCount.toDouble() }
        val admission = programs?.admission ?: return
        metrics.gauge("chestnutloom.edge.programs.committed", admission) { it.committedSlots }
        metrics.gauge("chestnutloom.edge.programs.capacity", admission) { it.capacitySlots }
    }

    private fun schedulingPolicy(): SchedulingPolicy {
        val outlierFilter = OutlierFilter(outliers, clock)
        val constant =
            constantCostPolicy(routingPolicy(RoutingPolicyKind.COST), listOf(outlierFilter))
                .copy(listeners = listOf(outlierFilter))
        val withCosts = learnedCosts?.applyTo(constant) ?: constant
        return availability.applyTo(programs?.applyTo(withCosts) ?: withCosts)
    }

    private fun ratePerSecondOf(account: ClientAccountId): Double? =
        configurations.current
            ?.accountsById
            ?.get(account)
            ?.limit
            ?.ratePerSecond
}
