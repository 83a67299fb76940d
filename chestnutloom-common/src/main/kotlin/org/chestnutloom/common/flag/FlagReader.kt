package org.chestnutloom.common.flag

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Turns flags into typed values; errors are collected, and a default is returned so that parsing continues. */
public class FlagReader(
    private val values: FlagValues,
) {
    private val found = mutableListOf<UsageError>()

    /** The errors found so far. */
    public val errors: ImmutableList<UsageError>
        get() = found.toImmutableList()

    /** Notes that the flag called [name] is at fault. */
    public fun addError(
        name: String,
        problem: String,
    ) {
        found += UsageError("--$name", problem)
    }

    /** Returns the flag's text, or null when it was not given. */
    public fun optional(name: String): String? = values.flag(name)?.takeIf { it.isNotBlank() }

    /** Returns the flag's text, which has to be given. */
    public fun required(name: String): String {
        val text = optional(name)
        if (text == null) addError(name, "is missing")
        return text.orEmpty()
    }

    /** Returns whether the switch was given. */
    public fun switch(name: String): Boolean = optional(name).toBoolean()

    /** Returns the comma-separated texts of the flag. */
    public fun list(name: String): List<String> =
        optional(name)
            .orEmpty()
            .split(',')
            .map { it.trim() }
            .filter { it.isNotEmpty() }

    /** Returns the flag's whole number, or [default]. */
    public fun int(
        name: String,
        range: IntRange,
        default: Int,
    ): Int {
        val text = optional(name) ?: return default
        val number = text.toIntOrNull()
        if (number != null && number in range) return number
        addError(name, "must be a whole number from ${range.first} to ${range.last}")
        return default
    }

    /** Returns the flag's number, or [default]. */
    public fun double(
        name: String,
        range: ClosedFloatingPointRange<Double>,
        default: Double,
    ): Double {
        val text = optional(name) ?: return default
        val number = text.toDoubleOrNull()
        if (number != null && number in range) return number
        addError(name, "must be a number from ${range.start} to ${range.endInclusive}")
        return default
    }

    /** Returns the flag's milliseconds as a duration above zero, or [default]. */
    public fun duration(
        name: String,
        default: Duration,
    ): Duration = int(name, 1..Int.MAX_VALUE, default.inWholeMilliseconds.toInt()).milliseconds

    /** Returns the flag's `http://` or `https://` address, which has to be given. */
    public fun url(name: String): String {
        val text = required(name)
        val isValid = text.isEmpty() || URL.matches(text)
        if (!isValid) addError(name, "must be an address such as http://127.0.0.1:8080")
        return text
    }

    /** Returns which of [options] the flag names, or [default]. */
    public fun <T> choice(
        name: String,
        options: Map<String, T>,
        default: T,
    ): T {
        val text = optional(name) ?: return default
        if (text !in options) addError(name, "must be one of ${options.keys.joinToString()}")
        return options[text] ?: default
    }

    private companion object {
        private val URL = Regex("https?://[^\\s/:]+(:\\d{1,5})?(/\\S*)?")
    }
}
