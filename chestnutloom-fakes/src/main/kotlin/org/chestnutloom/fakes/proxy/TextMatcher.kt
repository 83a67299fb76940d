package org.chestnutloom.fakes.proxy

/** Finds [text] in a stream of bytes, also across the pieces that it comes in; a null text is found at once. */
internal class TextMatcher(
    private val text: String?,
) {
    private var tail = ""

    var hasMatched: Boolean = text == null
        private set

    fun feed(piece: ByteArray) {
        if (hasMatched || text == null) return
        val seen = tail + piece.toString(Charsets.ISO_8859_1)
        hasMatched = text in seen
        tail = seen.takeLast(text.length - 1)
    }
}
