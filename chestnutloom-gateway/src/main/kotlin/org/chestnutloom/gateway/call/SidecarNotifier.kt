package org.chestnutloom.gateway.call

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.launch
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.id.CallId
import org.chestnutloom.id.ProgramId
import org.chestnutloom.id.TargetId
import org.chestnutloom.wire.link.LinkException
import org.chestnutloom.wire.link.LinkFailure
import org.chestnutloom.wire.message.CancelCall
import org.chestnutloom.wire.message.EndProgram
import org.chestnutloom.wire.message.ForgetCalls
import org.chestnutloom.wire.message.LinkRequest
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Sends notifications to sidecars in the background, with a limited number of attempts. */
internal class SidecarNotifier(
    private val findSidecar: (TargetId) -> Sidecar?,
    private val scope: CoroutineScope,
) {
    /** Asks [sidecar] to cancel the call [id]. */
    fun cancel(
        sidecar: Sidecar,
        id: CallId,
    ) = send(sidecar, CancelCall(id))

    /** Tells [sidecar] that it may discard the answer of the call [id]; the answer of a turn must be durable. */
    fun forget(
        sidecar: Sidecar,
        id: CallId,
    ) = send(sidecar, ForgetCalls(listOf(id)))

    /** Tells the sidecars of [targets] that [program] has ended. */
    fun endProgram(
        program: ProgramId,
        targets: Collection<TargetId>,
    ) = targets.mapNotNull(findSidecar).forEach { send(it, EndProgram(program)) }

    private fun send(
        sidecar: Sidecar,
        request: LinkRequest,
    ) {
        scope.launch {
            var backoff = FIRST_BACKOFF
            repeat(MAX_ATTEMPTS) {
                val failure = trySend(sidecar, request) ?: return@launch
                if (it == MAX_ATTEMPTS - 1) logFailure(sidecar, request, failure)
                delay(backoff)
                backoff *= 2
            }
        }
    }

    private suspend fun trySend(
        sidecar: Sidecar,
        request: LinkRequest,
    ): LinkFailure? =
        try {
            sidecar.link.request(request).firstOrNull()
            null
        } catch (exception: LinkException) {
            exception.failure
        }

    private fun logFailure(
        sidecar: Sidecar,
        request: LinkRequest,
        failure: LinkFailure,
    ) {
        val kind = request::class.simpleName
        logger.warnEvent("sidecar_notice_failed", "target" to sidecar.id, "notice" to kind, "failure" to failure)
    }

    private companion object {
        const val MAX_ATTEMPTS = 6
        val FIRST_BACKOFF = 100.milliseconds
    }
}
