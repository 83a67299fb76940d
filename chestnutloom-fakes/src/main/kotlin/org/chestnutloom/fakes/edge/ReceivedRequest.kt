package org.chestnutloom.fakes.edge

/** A request as a scripted target got it. */
public class ReceivedRequest(
    public val method: String,
    public val target: String,
    public val headers: Map<String, String>,
    public val body: ByteArray,
) {
    /** Returns the value of the header called [name], in whatever case it was sent. */
    public fun header(name: String): String? = headers[name.lowercase()]
}
