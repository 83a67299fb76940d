package org.chestnutloom.edge.target

import arrow.core.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.chestnutloom.edge.http.HttpConnection
import org.chestnutloom.edge.http.ResponseFraming
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Watches the run of [target] that serves one exchange, as far as the end of its response will depend on it; confined to
 * the event loop.
 *
 * A connection that is accepted soon enough after the run was running belongs to the same run, as the address is not
 * listened at again so soon after a run has ended. What is answered on that connection later shows that the run is still
 * there, however late it arrives.
 *
 * @property healthPath the path of requests for the target's health, or null without one
 * @property sentAt when the request of the exchange was sent, on the monotonic clock
 */
internal class RunWatch(
    private val target: Target,
    private val healthPath: String?,
    private val sentAt: Duration,
    private val clock: Clock,
    private val scope: CoroutineScope,
) : RunEvidence {
    private var health: HealthConnection? = null

    /** The health connection that was asked at the end of the response. */
    private var asked: HealthConnection? = null

    /** The latest time that health connections which are no longer used have shown. */
    private var answeredAtEarlier = sentAt
    private var isUnframed = false
    private var job: Job? = null

    override val runningAt: Duration
        get() = maxOf(answeredAtEarlier, health?.answeredAt ?: answeredAtEarlier)

    override val isConfirmed: Boolean
        get() = asked?.isIntact == true

    init {
        if (target.sendsUnframed) start()
    }

    /** Records the framing of the response, whose head has arrived. */
    fun headReceived(framing: ResponseFraming) {
        if (framing != ResponseFraming.CONNECTION) return close()
        target.sendsUnframed = true
        isUnframed = true
        start()
    }

    override fun ask() {
        if (healthPath == null || clock.elapsed() - runningAt < ASK_AFTER) return
        val usable = health?.takeIf { it.isUsable || it.isWaiting } ?: takePooled()
        usable?.askAgain()
        asked = usable
    }

    private fun takePooled(): HealthConnection? = target.pool.takeOpenedBefore(runningAt + REPLACEMENT_TIME)?.let(::use)

    /** Ends the watch and closes its connection. */
    fun close() {
        job?.cancel()
        health?.close()
    }

    private fun start() {
        if (job != null || healthPath == null) return
        job =
            scope.launch {
                delay(sentAt + INTERVAL - clock.elapsed())
                while (true) {
                    refresh(health)
                    delay(INTERVAL)
                }
            }
    }

    private suspend fun refresh(current: HealthConnection?) {
        when {
            // Without a head, the response most likely has a length, so that this takes no connection if it can do without.
            current == null -> if (isUnframed || !target.pool.hasIdle) openHealthConnection()
            // The target may be busy for a while.
            current.isWaiting -> return
            current.isUsable -> current.ask()
            else -> openHealthConnection()
        }
    }

    private suspend fun openHealthConnection() {
        if (clock.elapsed() - runningAt > REPLACEMENT_TIME) return
        val connection = target.pool.open().getOrElse { return }
        if (connection.openedAt - runningAt > REPLACEMENT_TIME) return connection.close()
        use(connection)
    }

    private fun use(connection: HttpConnection): HealthConnection {
        answeredAtEarlier = runningAt
        health?.close()
        val address = target.entry.address
        return HealthConnection(connection, address, checkNotNull(healthPath), clock, scope).also { health = it }
    }

    companion object {
        /** Less than the time after which another process listens at the address of one that ended. */
        val REPLACEMENT_TIME: Duration = 1_000.milliseconds

        /** So short that a connection can be opened before the run may have been replaced. */
        private val INTERVAL = 600.milliseconds

        /** The time from which on the end of a response may be probed too late for the time alone to tell. */
        private val ASK_AFTER = 800.milliseconds
    }
}
