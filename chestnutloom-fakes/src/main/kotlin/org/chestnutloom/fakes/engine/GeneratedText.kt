package org.chestnutloom.fakes.engine

import java.security.MessageDigest
import java.util.HexFormat

/**
 * The text that the stand-in engine generates.
 *
 * It depends only on the model, the last message and the number of tokens, so that a test can check whether a response
 * is complete and belongs to its request.
 */
public object GeneratedText {
    private const val HASH_CHARACTERS = 16

    /** Returns token [index] of the text: a hash of the request for the first token, and numbers for the others. */
    public fun token(
        model: String,
        lastMessage: String,
        index: Int,
    ): String = if (index == 0) hash(model, lastMessage) else " w$index"

    /** Returns the full text of [tokens] tokens. */
    public fun full(
        model: String,
        lastMessage: String,
        tokens: Int,
    ): String = range(model, lastMessage, 0, tokens)

    /** Returns the tokens from [from] (inclusive) to [until] (exclusive). */
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
