package org.chestnutloom.fakes.http

import io.ktor.server.application.ApplicationCall
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlin.time.Duration.Companion.milliseconds

/** How many jobs the server nests below a connection's job to run one call. */
private const val JOBS_BELOW_CONNECTION = 2

/** How long bytes that were sent get to leave before the connection closes. */
private val FLUSH_TIME = 50.milliseconds

/** Closes the caller's connection at once, without another byte. */
internal suspend fun ApplicationCall.dropConnection(): Nothing {
    connectionJob().cancel()
    awaitCancellation()
}

/** Closes the caller's connection once what was sent has left, without the end of the answer. */
internal suspend fun ApplicationCall.cutConnection(): Nothing {
    delay(FLUSH_TIME)
    dropConnection()
}

@OptIn(ExperimentalCoroutinesApi::class)
private fun ApplicationCall.connectionJob(): Job =
    generateSequence(coroutineContext.job, Job::parent).elementAt(JOBS_BELOW_CONNECTION)
