package org.chestnutloom.fakes.proxy

/** Finds [text] in a stream of bytes, even if it spans several chunks; a null text matches immediately. */
internal class TextMatcher(
    private val text: String?,
) {
    private var tail = ""

    var hasMatched: Boolean = text == null
        private set

    fun feed(chunk: ByteArray) {
        if (hasMatched || text == null) return
        val seen = tail + chunk.toString(Charsets.ISO_8859_1)
        hasMatched = text in seen
        tail = seen.takeLast(text.length - 1)
    }
}
