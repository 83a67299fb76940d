package org.chestnutloom.cli

/** Exit codes of the command-line tool. */
internal enum class ExitCode(
    val value: Int,
) {
    /** The command succeeded. */
    OK(0),

    /** The command failed, and nothing was changed. */
    FAILED(1),

    /** The command line is invalid. */
    USAGE(2),

    /** A concurrent change to the environment was written first, and nothing was changed. */
    CONFLICT(3),

    /** The table service is unavailable, or the outcome of the change is unknown. */
    STORE(4),

    /** The change was accepted, but not every gateway has applied it yet. */
    OUTSTANDING(5),
}
