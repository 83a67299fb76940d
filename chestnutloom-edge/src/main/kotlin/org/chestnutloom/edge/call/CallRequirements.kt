package org.chestnutloom.edge.call

import org.chestnutloom.edge.config.RouteKind
import org.chestnutloom.edge.target.TargetRequirements
import kotlin.time.Duration

/** A program waits to start for at most its route's latency objective divided by this number. */
private const val START_TIMEOUT_DIVISOR = 4

/** Returns what [call] requires of a target. */
internal fun requirementsOf(call: RoutedCall): TargetRequirements =
    TargetRequirements(
        service = call.service.name,
        priority = call.priority,
        prompt = call.head.prompt,
        isModelCall = call.route.kind == RouteKind.STREAMING,
        startsProgram = call.startsProgram,
        waitUntil = if (call.startsProgram) minOf(call.deadline, startDeadline(call)) else call.deadline,
        excludedTargets = call.excludedTargets,
        route = call.route.name,
        program = call.head.program,
        account = call.account?.id,
        isRepeatable = call.route.isIdempotent,
        programDeadline = call.head.programTimeLeft?.let { call.request.receivedAt + it },
        maxOutputTokens = call.head.maxOutputTokens,
        outputTokensHint = call.head.outputTokensHint,
        affinityKey = call.head.affinityKey?.takeIf { call.route.hasAffinity },
        coldRequestsPerSecond = call.service.coldRequestsPerSecond,
    )

/**
 * Limits how long a program waits to start, so that its caller can retry later or give up early.
 *
 * Under sustained overload a queue is always full, so that each program would start only after the longest wait
 * and miss its deadline.
 */
private fun startDeadline(call: RoutedCall): Duration =
    call.request.receivedAt + call.route.latencyObjective / START_TIMEOUT_DIVISOR
