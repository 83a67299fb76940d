package org.chestnutloom.sidecar.call

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.chestnutloom.wire.message.LinkReply

/**
 * An immutable snapshot of the progress of a call. Snapshots are compared by identity.
 *
 * @property queuedMs time in the queue, in milliseconds, or null before the call starts
 * @property end final reply of the call, or null before its end
 */
internal class CallProgress(
    val queuedMs: Long? = null,
    val chunks: PersistentList<String> = persistentListOf(),
    val end: LinkReply? = null,
) {
    fun started(afterMs: Long): CallProgress = CallProgress(afterMs, chunks, end)

    fun withChunk(chunk: String): CallProgress = CallProgress(queuedMs, chunks.add(chunk), end)

    fun ended(reply: LinkReply): CallProgress = CallProgress(queuedMs, chunks, end ?: reply)
}
