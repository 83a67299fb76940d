package org.chestnutloom.common.flag

/** The values of flags, from the command line or the environment, and of positional arguments. */
public class FlagValues internal constructor(
    private val flags: Map<String, String?>,
    private val arguments: Map<String, String>,
) {
    /** Returns the value of the flag [name], or null when it is absent. */
    public fun flag(name: String): String? = flags[name]

    /** Returns the positional argument [name]. */
    public fun argument(name: String): String = arguments.getValue(name)
}
