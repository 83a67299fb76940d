package org.chestnutloom.common.flag

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Converts the values of flags to typed values.
 *
 * An invalid value is recorded in [errors] and replaced by a placeholder, so that one pass reports all errors.
 */
public class FlagReader(
    private val values: FlagValues,
) {
    private val collected = mutableListOf<UsageError>()

    /** The errors found so far. */
    public val errors: ImmutableList<UsageError>
        get() = collected.toImmutableList()

    /** Records an error of the flag [name]. */
    public fun addError(
        name: String,
        problem: String,
    ) {
        collected += UsageError("--$name", problem)
    }

    /** Returns the flag's value, or null when it is absent or blank. */
    public fun optional(name: String): String? = values.flag(name)?.takeIf { it.isNotBlank() }

    /** Returns the flag's value; its absence is an error. */
    public fun required(name: String): String {
        val text = optional(name)
        if (text == null) addError(name, "is missing")
        return text.orEmpty()
    }

    /** Returns whether the switch is set. */
    public fun switch(name: String): Boolean = optional(name).toBoolean()

    /** Returns the flag's comma-separated values. */
    public fun list(name: String): List<String> =
        optional(name)
            .orEmpty()
            .split(',')
            .map { it.trim() }
            .filter { it.isNotEmpty() }

    /** Returns the flag's value as an integer within [range], or [default]. */
    public fun int(
        name: String,
        range: IntRange,
        default: Int,
    ): Int {
        val text = optional(name) ?: return default
        val number = text.toIntOrNull()
        if (number != null && number in range) return number
        addError(name, "must be an integer from ${range.first} to ${range.last}")
        return default
    }

    /** Returns the flag's value as a number within [range], or [default]. */
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

    /** Returns the flag's value in milliseconds as a positive duration, or [default]. */
    public fun duration(
        name: String,
        default: Duration,
    ): Duration = int(name, 1..Int.MAX_VALUE, default.inWholeMilliseconds.toInt()).milliseconds

    /** Returns the flag's value as an `http://` or `https://` URL; its absence is an error. */
    public fun url(name: String): String {
        val text = required(name)
        val isValid = text.isEmpty() || URL_PATTERN.matches(text)
        if (!isValid) addError(name, "must be a URL such as http://127.0.0.1:8080")
        return text
    }

    /** Returns the entry of [options] that the flag names, or [default]. */
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
        private val URL_PATTERN = Regex("https?://[^\\s/:]+(:\\d{1,5})?(/\\S*)?")
    }
}
