package org.chestnutloom.fakes.edge

/** Returns a valid signed response to [request]. */
public fun signedResponse(
    request: ReceivedRequest,
    body: String,
    status: String = "200 OK",
    connectionAction: ConnectionAction = ConnectionAction.KEEP_ALIVE,
): ScriptedResponse =
    ScriptedResponse(
        listOf(responseHead(request, status) + "Content-Length: ${body.length}\r\n\r\n$body"),
        connectionAction,
    )

/** Returns the status line and first headers of a response to [request], without the empty line that ends them. */
public fun responseHead(
    request: ReceivedRequest,
    status: String = "200 OK",
): String =
    "HTTP/1.1 $status\r\nChestnutloom-Attempt-Id: ${request.header("Chestnutloom-Attempt-Id")}\r\n" +
        "Chestnutloom-Server-Signature: sig\r\n"

/** Returns a response to [request] that streams [events]; without its last chunk unless [isComplete]. */
public fun streamResponse(
    request: ReceivedRequest,
    events: List<String>,
    isComplete: Boolean = true,
): ScriptedResponse {
    val pieces = events.mapIndexed { index, data -> chunk("id: ${index + 1}\ndata: $data\n\n") }
    val start = responseHead(request) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    val end = if (isComplete) listOf("0\r\n\r\n") else emptyList()
    val connectionAction = if (isComplete) ConnectionAction.KEEP_ALIVE else ConnectionAction.CLOSE
    return ScriptedResponse(listOf(start) + pieces + end, connectionAction)
}

private fun chunk(text: String): String = "${text.length.toString(HEX)}\r\n$text\r\n"

private const val HEX = 16
