package org.chestnutloom.common.flag

/** What the user gave: flags or their environment variables, and arguments. */
public class FlagValues internal constructor(
    private val flags: Map<String, String?>,
    private val arguments: Map<String, String>,
) {
    /** Returns the value of the flag called [name], or null when it was not given. */
    public fun flag(name: String): String? = flags[name]

    /** Returns the required argument called [name]. */
    public fun argument(name: String): String = arguments.getValue(name)
}
