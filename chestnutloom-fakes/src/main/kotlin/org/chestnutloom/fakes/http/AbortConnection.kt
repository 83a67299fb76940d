package org.chestnutloom.fakes.http

import io.ktor.server.application.ApplicationCall
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlin.time.Duration.Companion.milliseconds

/** The number of coroutine jobs that the Ktor server nests below the job of a connection, down to a call. */
private const val JOBS_BELOW_CONNECTION = 2

/** The time for data that was already sent to be flushed before the connection is closed. */
private val FLUSH_TIME = 50.milliseconds

/** Closes the caller's connection immediately, without sending more data. */
internal suspend fun ApplicationCall.abortConnection(): Nothing {
    connectionJob().cancel()
    awaitCancellation()
}

/** Closes the caller's connection after flushing sent data, without completing the response. */
internal suspend fun ApplicationCall.flushAndAbortConnection(): Nothing {
    delay(FLUSH_TIME)
    abortConnection()
}

@OptIn(ExperimentalCoroutinesApi::class)
private fun ApplicationCall.connectionJob(): Job =
    generateSequence(coroutineContext.job, Job::parent).elementAt(JOBS_BELOW_CONNECTION)
