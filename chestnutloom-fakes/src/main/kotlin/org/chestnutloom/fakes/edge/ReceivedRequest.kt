package org.chestnutloom.fakes.edge

/**
 * A request that a [ScriptedTarget] received; its texts have one character for each byte.
 *
 * @property target the HTTP request target: the path and query
 * @property headers the values by lowercase header name; of a repeated header, only the last value
 */
public class ReceivedRequest(
    public val method: String,
    public val target: String,
    public val headers: Map<String, String>,
    public val body: ByteArray,
) {
    /** Returns the value of the header [name], ignoring case, or null if the request does not have it. */
    public fun header(name: String): String? = headers[name.lowercase()]
}
