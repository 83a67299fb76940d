package org.chestnutloom.fakes.engine

import java.security.MessageDigest
import java.util.HexFormat

/**
 * The text that the stand-in engine generates.
 *
 * It depends only on the model, the last message and the number of tokens, so a checker can tell whether an answer is
 * whole and belongs to its request.
 */
public object GeneratedText {
    private const val HASH_CHARACTERS = 16

    /** Returns token [index] of the answer; the first one names the request, the others are numbered. */
    public fun token(
        model: String,
        lastMessage: String,
        index: Int,
    ): String = if (index == 0) hash(model, lastMessage) else " w$index"

    /** Returns the whole answer. */
    public fun full(
        model: String,
        lastMessage: String,
        tokens: Int,
    ): String = range(model, lastMessage, 0, tokens)

    /** Returns tokens [from] until [until] of the answer. */
    public fun range(
        model: String,
        lastMessage: String,
        from: Int,
        until: Int,
    ): String = (from until until).joinToString("") { token(model, lastMessage, it) }

    private fun hash(
        model: String,
        lastMessage: String,
    ): String {
        val digest = MessageDigest.getInstance("SHA-256").digest("$model\n$lastMessage".toByteArray())
        return HexFormat.of().formatHex(digest).take(HASH_CHARACTERS)
    }
}
