package org.chestnutloom.gateway.body

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.chestnutloom.call.Refusal
import org.chestnutloom.id.ProgramId
import org.chestnutloom.program.Budget

private val namePattern = Regex("[A-Za-z0-9_-]{1,64}")
private val programIdPattern = Regex("[A-Za-z0-9_-]{1,128}(\\.[A-Za-z0-9_-]{1,64}){0,8}")

/**
 * A caller's request to open a program.
 *
 * @property parent the parent program if a sub-agent is opened, or null
 * @property name an id chosen by the caller that makes retries open the same program, or null
 */
internal data class OpenProgramRequest(
    val budget: Budget,
    val parent: ProgramId?,
    val name: String?,
) {
    companion object {
        /** Parses the JSON body of a request to open a program. */
        fun parse(body: JsonObject): Either<Refusal, OpenProgramRequest> =
            either {
                val budget = body["budget"] as? JsonObject ?: raise(badRequest("budget must be an object."))
                val parent = optionalString(body["parent"], "parent")?.let { parseId(it) }
                val name = optionalString(body["id"], "id")
                ensure(name == null || namePattern.matches(name)) {
                    badRequest("id must be 1 to 64 letters, digits, - or _.")
                }
                OpenProgramRequest(parseBudget(budget), parent, name)
            }

        /** Parses and validates a program id received from a caller. */
        fun parseProgramId(text: String): Either<Refusal, ProgramId> = either { parseId(text) }

        private fun Raise<Refusal>.parseId(text: String): ProgramId {
            ensure(programIdPattern.matches(text)) {
                badRequest("A program id must be 1 to 9 parts of letters, digits, - or _, separated by dots.")
            }
            return ProgramId(text)
        }

        private fun Raise<Refusal>.optionalString(
            field: JsonElement?,
            name: String,
        ): String? {
            if (field == null || field is JsonNull) return null
            val text = (field as? JsonPrimitive)?.takeIf { it.isString }
            return text?.content ?: raise(badRequest("$name must be a string."))
        }

        private fun Raise<Refusal>.parseBudget(body: JsonObject): Budget =
            Budget(parseAmount(body, "tokens"), parseAmount(body, "calls"), parseAmount(body, "wall_time_ms"))

        private fun Raise<Refusal>.parseAmount(
            body: JsonObject,
            name: String,
        ): Long {
            val number = (body[name] as? JsonPrimitive)?.takeUnless { it.isString }?.content?.toLongOrNull()
            ensure(number != null && number in 0..MAX_AMOUNT) {
                badRequest("budget.$name must be an integer between 0 and 10^12.")
            }
            return number
        }

        private const val MAX_AMOUNT = 1_000_000_000_000L
    }
}
