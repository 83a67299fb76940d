package org.chestnutloom.integration.edge

import org.chestnutloom.fakes.edge.ConnectionAction
import org.chestnutloom.fakes.edge.ReceivedRequest
import org.chestnutloom.fakes.edge.ScriptedResponse

/** Returns a proper answer to [request]. */
fun signed(
    request: ReceivedRequest,
    body: String,
    status: String = "200 OK",
    end: ConnectionAction = ConnectionAction.KEEP_ALIVE,
): ScriptedResponse =
    ScriptedResponse(listOf(head(request, status) + "Content-Length: ${body.length}\r\n\r\n$body"), end)

/** Returns the head of an answer to [request], to which more headers may be added. */
fun head(
    request: ReceivedRequest,
    status: String = "200 OK",
): String =
    "HTTP/1.1 $status\r\nChestnutloom-Attempt-Id: ${request.header("Chestnutloom-Attempt-Id")}\r\n" +
        "Chestnutloom-Server-Signature: sig\r\n"

/** Returns a stream of [events] in answer to [request]. */
fun stream(
    request: ReceivedRequest,
    events: List<String>,
    isWhole: Boolean = true,
): ScriptedResponse {
    val pieces = events.mapIndexed { index, data -> chunk("id: ${index + 1}\ndata: $data\n\n") }
    val start = head(request) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    val end = if (isWhole) listOf("0\r\n\r\n") else emptyList()
    val connectionAction = if (isWhole) ConnectionAction.KEEP_ALIVE else ConnectionAction.CLOSE
    return ScriptedResponse(listOf(start) + pieces + end, connectionAction)
}

private fun chunk(text: String): String = "${text.length.toString(HEX)}\r\n$text\r\n"

private const val HEX = 16
