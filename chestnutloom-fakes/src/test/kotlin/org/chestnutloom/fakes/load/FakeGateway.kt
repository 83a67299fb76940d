package org.chestnutloom.fakes.load

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.routing.Route
import io.ktor.server.routing.post
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.boolean
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.chestnutloom.fakes.StandIn
import org.chestnutloom.fakes.engine.GeneratedText
import org.chestnutloom.fakes.http.HttpResponse
import org.chestnutloom.fakes.http.HttpStandIn
import org.chestnutloom.fakes.http.respondAdmin
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

/**
 * A fake gateway that responds without sidecars or engines.
 *
 * @property refusedTurns how many turns it rate-limits before it accepts any
 * @property sendsWrongText whether it responds to model turns with a wrong text
 */
internal class FakeGateway(
    private val refusedTurns: Int = 0,
    private val sendsWrongText: Boolean = false,
) {
    private val turns = AtomicInteger()

    /** Program id and turn number of each turn request, in the order of arrival. */
    val paths = CopyOnWriteArrayList<String>()

    fun standIn(): StandIn = HttpStandIn(0, ::install)

    private fun install(route: Route) {
        route.post("/v1/programs") {
            call.respondAdmin {
                HttpResponse.json(mapOf("id" to "c-" + parse(it).getValue("id").jsonPrimitive.content))
            }
        }
        route.post("/v1/programs/{id}/close") { call.respondAdmin { HttpResponse.json(mapOf("state" to "closed")) } }
        route.post("/v1/programs/{id}/turns/{n}") { call.respondAdmin { call.turn(parse(it)) } }
    }

    private fun ApplicationCall.turn(body: JsonObject): HttpResponse {
        paths += parameters["id"] + "/" + parameters["n"]
        if (turns.incrementAndGet() <= refusedTurns) return HttpResponse.json(Json.parseToJsonElement(REFUSAL))
        val request = body["request"]?.jsonObject ?: return HttpResponse.json(mapOf("body" to "tool"))
        val text = if (sendsWrongText) "wrong" else textFor(request)
        val choice = """[{"message":{"content":"$text"}}]"""
        if (!request.getValue("stream").jsonPrimitive.boolean) {
            return HttpResponse.json(Json.parseToJsonElement("""{"body":{"choices":$choice}}"""))
        }
        val stream = "data: {\"choices\":$choice}\n\ndata: [DONE]\n\n"
        return HttpResponse(HttpStatusCode.OK, ContentType.Text.EventStream, stream.toByteArray())
    }

    private fun textFor(request: JsonObject): String =
        GeneratedText.full(
            request.getValue("model").jsonPrimitive.content,
            request
                .getValue("messages")
                .jsonArray
                .last()
                .jsonObject
                .getValue("content")
                .jsonPrimitive
                .content,
            request.getValue("max_tokens").jsonPrimitive.int,
        )

    private fun parse(body: ByteArray): JsonObject = Json.parseToJsonElement(body.decodeToString()).jsonObject

    private companion object {
        const val REFUSAL = """{"error":{"code":"rate_limited","execution":"not_run","retry_after_ms":20}}"""
    }
}
