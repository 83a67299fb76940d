package org.chestnutloom.sidecar

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.launch
import org.chestnutloom.wire.message.LinkReply

/** Collects a stream of replies. */
internal class OpenStream(
    scope: CoroutineScope,
    flow: Flow<LinkReply>,
) {
    val replies = mutableListOf<LinkReply>()
    private val job: Job = scope.launch { flow.collect { replies.add(it) } }

    fun cancel() = job.cancel()
}
