package org.chestnutloom.common.flag

/**
 * One setting of a program, given as `--name value` or by an environment variable.
 *
 * @property isSwitch whether the flag stands alone and means yes
 */
public data class Flag(
    public val name: String,
    public val description: String,
    public val isSwitch: Boolean = false,
) {
    /** The environment variable that is used when the flag is not given. */
    public val variable: String
        get() = "CHESTNUTLOOM_" + name.uppercase().replace('-', '_')
}
