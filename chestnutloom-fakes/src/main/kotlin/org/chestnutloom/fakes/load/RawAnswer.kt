package org.chestnutloom.fakes.load

/** What came back for one HTTP request. */
internal sealed interface RawAnswer {
    /** An HTTP answer with its [body]. */
    data class Received(
        val body: String,
        val isStream: Boolean,
    ) : RawAnswer

    /** The connection failed first. */
    data class Failed(
        val detail: String,
    ) : RawAnswer
}
