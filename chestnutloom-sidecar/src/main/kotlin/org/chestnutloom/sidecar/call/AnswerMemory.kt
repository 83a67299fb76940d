package org.chestnutloom.sidecar.call

import org.chestnutloom.call.CallKind
import org.chestnutloom.wire.message.CallRequest
import java.util.concurrent.atomic.AtomicLong

/** Limits the total memory for the requests and answers of all calls. */
internal class AnswerMemory(
    private val maxBytes: Long = DEFAULT_MAX_BYTES,
) {
    private val usedBytes = AtomicLong()

    val used: Long
        get() = usedBytes.get()

    /** Reserves [bytes]; returns false if the limit would be exceeded. */
    fun reserve(bytes: Long): Boolean {
        val before = usedBytes.getAndUpdate { if (it + bytes <= maxBytes) it + bytes else it }
        return before + bytes <= maxBytes
    }

    fun release(bytes: Long) {
        usedBytes.addAndGet(-bytes)
    }

    companion object {
        private const val DEFAULT_MAX_BYTES = 96L * 1024 * 1024
        private const val STREAMED_TOKEN_BYTES = 320L
        private const val PLAIN_TOKEN_BYTES = 8L
        private const val BASE_ANSWER_BYTES = 8L * 1024

        /** Returns the number of bytes to reserve for [request] and its answer. */
        fun estimate(request: CallRequest): Long {
            val tokenBytes = if (request.stream) STREAMED_TOKEN_BYTES else PLAIN_TOKEN_BYTES
            val tokens = if (request.kind == CallKind.MODEL) request.maxCompletionTokens else 0
            return BASE_ANSWER_BYTES + request.body.length + tokens * tokenBytes
        }
    }
}
