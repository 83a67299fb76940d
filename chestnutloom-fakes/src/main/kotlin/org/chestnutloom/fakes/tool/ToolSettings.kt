package org.chestnutloom.fakes.tool

import org.chestnutloom.fakes.fault.Crash
import java.nio.file.Path

/**
 * Settings of the stand-in for a tool service.
 *
 * @property logFile the file that the request log is appended to, or null for none
 * @property maxBodyCharacters the maximum number of characters of each request body in the log
 * @property crash the action for a request that crashes the service
 */
public data class ToolSettings(
    public val port: Int = 0,
    public val logFile: Path? = null,
    public val maxBodyCharacters: Int = Int.MAX_VALUE,
    public val crash: Crash = Crash.HALT_PROCESS,
)
