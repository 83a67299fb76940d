package org.chestnutloom.common.flag

/**
 * One command-line flag, given as `--name value` or through an environment variable.
 *
 * @property isSwitch whether the flag takes no value; its presence means true
 */
public data class Flag(
    public val name: String,
    public val description: String,
    public val isSwitch: Boolean = false,
) {
    /** The environment variable that supplies the value when the flag is absent. */
    public val variable: String
        get() = "CHESTNUTLOOM_" + name.uppercase().replace('-', '_')
}
