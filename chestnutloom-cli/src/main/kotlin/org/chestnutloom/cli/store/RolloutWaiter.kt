package org.chestnutloom.cli.store

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.raise.either
import kotlinx.coroutines.delay
import org.chestnutloom.cli.CommandFailure
import org.chestnutloom.config.ConfigHead
import org.chestnutloom.lease.LeaseRecord
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Waits until every gateway has applied a change. */
internal class RolloutWaiter(
    private val store: EnvironmentStore,
    private val clock: Clock,
    private val wait: Duration,
    private val lease: Duration,
) {
    /** Returns the gateways that have not applied [wanted] after the wait, or null when the rows cannot be read. */
    suspend fun await(wanted: ConfigHead): List<String>? {
        val tracker = RolloutTracker(wanted, lease)
        val deadline = clock.elapsed() + wait
        var outstanding: List<String>?
        while (true) {
            outstanding = readLeases().map { tracker.outstanding(it, clock.elapsed()) }.getOrElse { null }
            if (outstanding?.isEmpty() == true || clock.elapsed() >= deadline) return outstanding
            delay(POLL_INTERVAL)
        }
    }

    private suspend fun readLeases(): Either<CommandFailure, List<Pair<Long, LeaseRecord>>> =
        either {
            val rows = store.readRows(LeaseRecord.prefix(store.environment)).bind()
            rows.map { it.version to store.decode(LeaseRecord.serializer(), it).bind() }
        }

    private companion object {
        private val POLL_INTERVAL = 100.milliseconds
    }
}
