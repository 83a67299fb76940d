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

private val nameForm = Regex("[A-Za-z0-9_-]{1,64}")
private val programForm = Regex("[A-Za-z0-9_-]{1,128}(\\.[A-Za-z0-9_-]{1,64}){0,8}")

/**
 * A caller's request to open a program.
 *
 * @property parent the program whose sub-agent is opened, or null
 * @property name what the caller calls the program, so that a repeat opens the same one, or null
 */
internal data class OpenProgramRequest(
    val budget: Budget,
    val parent: ProgramId?,
    val name: String?,
) {
    companion object {
        /** Reads the JSON of a request to open a program. */
        fun parse(body: JsonObject): Either<Refusal, OpenProgramRequest> =
            either {
                val budget = body["budget"] as? JsonObject ?: raise(badRequest("budget must be an object"))
                val parent = optionalText(body["parent"], "parent")?.let { programId(it) }
                val name = optionalText(body["id"], "id")
                ensure(name == null || nameForm.matches(name)) {
                    badRequest("id must be 1 to 64 letters, digits, - or _")
                }
                OpenProgramRequest(budget(budget), parent, name)
            }

        /** Reads a program id as callers write it. */
        fun parseProgramId(text: String): Either<Refusal, ProgramId> = either { programId(text) }

        private fun Raise<Refusal>.programId(text: String): ProgramId {
            ensure(programForm.matches(text)) { badRequest("the program id is not well-formed") }
            return ProgramId(text)
        }

        private fun Raise<Refusal>.optionalText(
            field: JsonElement?,
            name: String,
        ): String? {
            if (field == null || field is JsonNull) return null
            val text = (field as? JsonPrimitive)?.takeIf { it.isString }
            return text?.content ?: raise(badRequest("$name must be a string"))
        }

        private fun Raise<Refusal>.budget(body: JsonObject): Budget =
            Budget(amount(body, "tokens"), amount(body, "calls"), amount(body, "wall_time_ms"))

        private fun Raise<Refusal>.amount(
            body: JsonObject,
            name: String,
        ): Long {
            val number = (body[name] as? JsonPrimitive)?.takeUnless { it.isString }?.content?.toLongOrNull()
            ensure(number != null && number in 0..MAX_AMOUNT) { badRequest("budget.$name must be a whole number") }
            return number
        }

        private const val MAX_AMOUNT = 1_000_000_000_000L
    }
}
