package org.chestnutloom.edge.http

/** What a server does wrong in an exchange. */
internal enum class Disorder {
    NONE,

    /** A whole response to an earlier request arrives ahead of the response. */
    LATE_WHOLE,

    /** A part of a response to an earlier request arrives ahead of the response. */
    LATE_PART,

    /** Another whole response arrives behind the end of the response. */
    EXTRA_WHOLE,

    /** A part of another response, or other bytes, arrive behind the end of the response. */
    EXTRA_PART,

    /** The response ends early, together with its connection. */
    CUT,
}
