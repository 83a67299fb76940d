package org.chestnutloom.sidecar

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.launch
import org.chestnutloom.wire.message.LinkReply

/** Collects the replies of [flow] until it ends or [cancel] is called. */
internal class ReplyCollector(
    scope: CoroutineScope,
    flow: Flow<LinkReply>,
) {
    val replies = mutableListOf<LinkReply>()
    private val job: Job = scope.launch { flow.collect { replies.add(it) } }

    fun cancel() = job.cancel()
}
